"""Which hosts have not heard yet that an endpoint has started again. Pure."""

from collections.abc import Collection


class StartRevisions:
    """The store's revisions with which later starts of endpoints became known here.

    Hosts say up to which revision they know the endpoints. Those that are behind speak of a start
    that is over: their figures of it say nothing of the next one, and they can't be sent there.
    """

    def __init__(self) -> None:
        """Starts with no endpoint that has started again."""
        self._revision_by_endpoint: dict[str, int] = {}

    def note(self, endpoint: str, revision: int) -> None:
        """An endpoint has started again; that stands in the store since a revision."""
        self._revision_by_endpoint[endpoint] = revision

    def forget(self, endpoint: str) -> None:
        """An endpoint is gone."""
        self._revision_by_endpoint.pop(endpoint, None)

    def unheard_by(self, known_to: int | None) -> Collection[str]:
        """Returns the endpoints of whose newest starts a host has not heard.

        None is a host that does not say what it knows: then its word counts.
        """
        if known_to is None or not self._revision_by_endpoint:
            return ()
        return {
            endpoint
            for endpoint, revision in self._revision_by_endpoint.items()
            if revision > known_to
        }
