"""Active runs by endpoint incarnation; runs of an ended incarnation are aborted."""

import attrs

from bayhinge._internal.decisions.endpoint_incarnations import NewIncarnation, is_stale
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.network.endpoint_connections import EndpointConnection

ENDED_REASON = "the endpoint has restarted"


@attrs.define(eq=False, repr=False)
class ActiveRun:
    """One request at one incarnation of an endpoint.

    Attributes:
        state: that of the incarnation; replaced if a request sent after a restart was first counted
            at the earlier one.
        connection: None while it is being opened.
        is_ended: the incarnation has ended, or another endpoint has its address.
        has_place: it still counts as running at the endpoint.
        sent_s: when the request was sent, on the event loop's clock; None before.
        running_when_sent: requests in flight at the endpoint then, including this one.
    """

    state: EndpointState
    connection: EndpointConnection | None = None
    is_ended: bool = False
    has_place: bool = True
    sent_s: float | None = None
    running_when_sent: int = 1

    @property
    def endpoint(self) -> str:
        """The endpoint's id."""
        return self.state.entry.instance


class ActiveRuns:
    """The active runs of one host."""

    def __init__(self) -> None:
        self._runs_by_endpoint: dict[str, set[ActiveRun]] = {}

    def begin(self, state: EndpointState) -> ActiveRun:
        """Adds a run at an endpoint."""
        run = ActiveRun(state)
        state.running_here += 1
        self._runs_by_endpoint.setdefault(state.entry.instance, set()).add(run)
        return run

    def end(self, run: ActiveRun) -> None:
        """Removes a run."""
        run.state.running_here -= 1
        runs = self._runs_by_endpoint[run.endpoint]
        runs.remove(run)
        if not runs:
            del self._runs_by_endpoint[run.endpoint]

    def handle_restart(self, newest: EndpointState, incarnation: NewIncarnation) -> tuple[int, int]:
        """Ends the runs of earlier incarnations, and counts the others at the newest one.

        Returns how many ended, and how many continue.
        """
        continued = 0
        runs = self._runs_by_endpoint.get(newest.entry.instance, set())
        for run in runs:
            if _is_stale(run, incarnation):
                _end(run)
                continue
            run.state.running_here -= 1
            run.state = newest
            newest.running_here += 1
            continued += 1
        return len(runs) - continued, continued

    def handle_replacement(self, endpoint: str, incarnation: NewIncarnation) -> int:
        """Ends the runs of an endpoint whose address another has taken; returns how many."""
        ended = 0
        for run in self._runs_by_endpoint.get(endpoint, set()):
            connection = run.connection
            if connection is not None and is_stale(connection.connection_times, incarnation):
                _end(run)
                ended += 1
        return ended


def _is_stale(run: ActiveRun, incarnation: NewIncarnation) -> bool:
    if run.connection is None:
        return run.state.entry.address != incarnation.address
    return is_stale(run.connection.connection_times, incarnation)


def _end(run: ActiveRun) -> None:
    run.is_ended = True
    if run.connection is not None:
        run.connection.abort(ENDED_REASON)
