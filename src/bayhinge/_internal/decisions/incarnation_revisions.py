"""Tells which hosts do not know yet that an endpoint has restarted. Pure."""

from collections.abc import Collection


class IncarnationRevisions:
    """Store revisions at which endpoint restarts became known here.

    Hosts report up to which revision they know the endpoints. Those that are behind refer to an
    ended incarnation: their figures do not apply to the new one, and they can't send to it.
    """

    def __init__(self) -> None:
        self._revision_by_endpoint: dict[str, int] = {}

    def record(self, endpoint: str, revision: int) -> None:
        """Records that an endpoint has restarted, as stored since ``revision``."""
        self._revision_by_endpoint[endpoint] = revision

    def forget(self, endpoint: str) -> None:
        """Forgets a removed endpoint."""
        self._revision_by_endpoint.pop(endpoint, None)

    def not_known_by(self, known_revision: int | None) -> Collection[str]:
        """Returns the endpoints whose newest incarnation a host does not know.

        ``known_revision`` is None if the host does not report it; its figures are then accepted.
        """
        if known_revision is None or not self._revision_by_endpoint:
            return ()
        return {
            endpoint
            for endpoint, revision in self._revision_by_endpoint.items()
            if revision > known_revision
        }
