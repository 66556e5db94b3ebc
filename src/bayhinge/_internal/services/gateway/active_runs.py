"""Runs under way at endpoints, each at a start, and their end where that start is over."""

import attrs

from bayhinge._internal.decisions.endpoint_book import EndpointBelief
from bayhinge._internal.decisions.endpoint_starts import NewStart, is_over
from bayhinge._internal.network.endpoint_link import EndpointConnection

ENDED_REASON = "its endpoint has started again: the run is over"


@attrs.define(eq=False)
class ActiveRun:
    """One request at one start of an endpoint.

    Attributes:
        belief: that of the start, as far as is known: a request that was sent after a restart, and
            before the news of it, is found to be at the later one.
        connection: the way there, or None while it is opened.
        is_over: the start has ended, or its address is another's.
    """

    state: EndpointBelief
    connection: EndpointConnection | None = None
    is_ended: bool = False

    @property
    def endpoint(self) -> str:
        """The endpoint's id."""
        return self.state.entry.instance


class ActiveRuns:
    """The runs of one host, by endpoint."""

    def __init__(self) -> None:
        """Starts with none."""
        self._runs_by_endpoint: dict[str, set[ActiveRun]] = {}

    def begin(self, state: EndpointBelief) -> ActiveRun:
        """Counts a request as under way at an endpoint."""
        run = ActiveRun(state)
        state.running_here += 1
        self._runs_by_endpoint.setdefault(state.entry.instance, set()).add(run)
        return run

    def end(self, run: ActiveRun) -> None:
        """The request is no longer under way there."""
        run.state.running_here -= 1
        runs = self._runs_by_endpoint[run.endpoint]
        runs.remove(run)
        if not runs:
            del self._runs_by_endpoint[run.endpoint]

    def handle_restart(self, newest: EndpointBelief, incarnation: NewStart) -> tuple[int, int]:
        """Ends the runs of former starts, and counts the others at the newest one.

        Returns how many are over, and how many go on.
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

    def handle_replacement(self, endpoint: str, incarnation: NewStart) -> int:
        """Ends the runs of an endpoint whose address another one has now; returns how many."""
        ended = 0
        for run in self._runs_by_endpoint.get(endpoint, set()):
            connection = run.connection
            if connection is not None and is_over(connection.contact, incarnation):
                _end(run)
                ended += 1
        return ended


def _is_stale(run: ActiveRun, incarnation: NewStart) -> bool:
    if run.connection is None:
        return run.state.entry.address != incarnation.address
    return is_over(run.connection.contact, incarnation)


def _end(run: ActiveRun) -> None:
    run.is_ended = True
    if run.connection is not None:
        run.connection.abort(ENDED_REASON)
