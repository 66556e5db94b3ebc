"""Runs under way at endpoints, each at a start, and their end where that start is over."""

import attrs

from bayhinge._internal.decisions.endpoint_book import EndpointBelief
from bayhinge._internal.decisions.endpoint_starts import NewStart, is_over
from bayhinge._internal.network.endpoint_link import EndpointConnection

WHY_OVER = "its endpoint has started again: the run is over"


@attrs.define(eq=False)
class RunUnderWay:
    """One request at one start of an endpoint.

    Attributes:
        belief: that of the start, as far as is known: a request that was sent after a restart, and
            before the news of it, is found to be at the later one.
        connection: the way there, or None while it is opened.
        is_over: the start has ended, or its address is another's.
    """

    belief: EndpointBelief
    connection: EndpointConnection | None = None
    is_over: bool = False

    @property
    def endpoint(self) -> str:
        """The endpoint's id."""
        return self.belief.entry.instance


class RunsUnderWay:
    """The runs of one host, by endpoint."""

    def __init__(self) -> None:
        """Starts with none."""
        self._runs_by_endpoint: dict[str, set[RunUnderWay]] = {}

    def begin(self, belief: EndpointBelief) -> RunUnderWay:
        """Counts a request as under way at an endpoint."""
        run = RunUnderWay(belief)
        belief.running_here += 1
        self._runs_by_endpoint.setdefault(belief.entry.instance, set()).add(run)
        return run

    def end(self, run: RunUnderWay) -> None:
        """The request is no longer under way there."""
        run.belief.running_here -= 1
        runs = self._runs_by_endpoint[run.endpoint]
        runs.remove(run)
        if not runs:
            del self._runs_by_endpoint[run.endpoint]

    def start_again(self, newest: EndpointBelief, start: NewStart) -> tuple[int, int]:
        """Ends the runs of former starts, and counts the others at the newest one.

        Returns how many are over, and how many go on.
        """
        kept = 0
        runs = self._runs_by_endpoint.get(newest.entry.instance, set())
        for run in runs:
            if _leads_elsewhere(run, start):
                _end(run)
                continue
            run.belief.running_here -= 1
            run.belief = newest
            newest.running_here += 1
            kept += 1
        return len(runs) - kept, kept

    def displace(self, endpoint: str, start: NewStart) -> int:
        """Ends the runs of an endpoint whose address another one has now; returns how many."""
        over = 0
        for run in self._runs_by_endpoint.get(endpoint, set()):
            connection = run.connection
            if connection is not None and is_over(connection.contact, start):
                _end(run)
                over += 1
        return over


def _leads_elsewhere(run: RunUnderWay, start: NewStart) -> bool:
    if run.connection is None:
        return run.belief.entry.address != start.address
    return is_over(run.connection.contact, start)


def _end(run: RunUnderWay) -> None:
    run.is_over = True
    if run.connection is not None:
        run.connection.abort(WHY_OVER)
