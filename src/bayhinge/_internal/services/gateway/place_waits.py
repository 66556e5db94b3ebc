"""The wait of one request for a place, its log lines, and the counts of all waits of a host."""

import asyncio
from types import TracebackType

import attrs
import eliot

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.services.gateway.place_demand import NoPlaceError, PlaceDemand
from bayhinge._internal.services.gateway.place_views import service_load
from bayhinge._internal.services.gateway.place_waiters import PlaceOutcome
from bayhinge._internal.utils.log_output import LineBudget

MIN_RETRY_AFTER_S = 0.3
"""Least retry delay of a request whose time is over; also of a refusal that names no delay."""

LOGGED_WAIT_S = 0.5
"""Waits that end in a grant have a log line from this length on."""

GRANT_LINES_PER_S = 5
"""Rate limit of these lines."""


@attrs.define
class WaitCounts:
    """Counts of the requests of one host that waited for a place.

    Attributes:
        waiting: requests that wait now.
        waited: requests that had to wait, with any end.
        granted: those that got a place.
        waited_s: seconds that all have waited.
        refused_as_predicted: refused because the predicted wait was too long.
        refused_as_time_over: refused because their caller's time was over.
    """

    waiting: int = 0
    waited: int = 0
    granted: int = 0
    waited_s: float = 0.0
    refused_as_predicted: int = 0
    refused_as_time_over: int = 0
    grant_lines: LineBudget = attrs.field(factory=lambda: LineBudget(GRANT_LINES_PER_S))


class PlaceWait:
    """A context in which one request waits.

    Attributes:
        replies: number of replies so far.
    """

    def __init__(
        self,
        service: str,
        demand: PlaceDemand,
        counts: WaitCounts,
        endpoint_table: EndpointTable,
    ) -> None:
        self.service = service
        self.demand = demand
        self.replies = 0
        self._counts = counts
        self._endpoint_table = endpoint_table
        self._reply = PlaceOutcome()
        self._reply_s = self._began_s = _now()

    def __enter__(self) -> "PlaceWait":
        self._counts.waiting += 1
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._counts.waiting -= 1
        self._counts.waited += 1
        self._counts.waited_s += _now() - self._began_s

    def record_reply(self, reply: PlaceOutcome) -> None:
        """Keeps the figures of the newest reply."""
        self.replies += 1
        if reply.state is None:
            self._reply, self._reply_s = reply, _now()

    def record_grant(self) -> None:
        """Counts a wait that ended in a grant, and logs a long one."""
        self._counts.granted += 1
        now = _now()
        waited_s = now - self.demand.arrived_s
        lines = self._counts.grant_lines
        if waited_s >= LOGGED_WAIT_S and lines.try_acquire(now):
            eliot.log_message(
                "place.granted_late",
                attempt=self.demand.attempt,
                service=self.service,
                waited_ms=_milliseconds(waited_s),
                expected_wait_ms=_milliseconds(self._reply.expected_wait_s),
                waiting_ahead=self._reply.waiting_ahead,
                untold=lines.suppressed,
            )

    def refused(self) -> NoPlaceError:
        """Returns the error of a request whose predicted wait is too long."""
        self._counts.refused_as_predicted += 1
        retry_after_s = self._reply.retry_after_s or MIN_RETRY_AFTER_S
        return self._error("no place is expected in time", retry_after_s)

    def time_over(self) -> NoPlaceError:
        """Returns the error of a request whose caller's time is over."""
        self._counts.refused_as_time_over += 1
        retry_after_s = max(MIN_RETRY_AFTER_S, self._reply.expected_wait_s)
        return self._error("no place became free in the caller's time", retry_after_s)

    def _error(self, why: str, retry_after_s: float) -> NoPlaceError:
        now = _now()
        waited_s = now - self.demand.arrived_s
        load = service_load(self._endpoint_table, self.service)
        eliot.log_message(
            "place.refused",
            attempt=self.demand.attempt,
            service=self.service,
            why=why,
            urgency=self.demand.urgency,
            begins_program=self.demand.begins_program,
            waited_ms=_milliseconds(waited_s),
            time_left_ms=_milliseconds(self.demand.deadline_s - now),
            objective_left_ms=_milliseconds(self.demand.objective_s - now),
            expected_wait_ms=_milliseconds(self._reply.expected_wait_s),
            waiting_ahead=self._reply.waiting_ahead,
            reply_age_ms=_milliseconds(now - self._reply_s),
            replies=self.replies,
            running=load.running,
            slots=load.slots,
            retry_after_s=round(retry_after_s, 3),
        )
        return NoPlaceError(
            why, waited_s, self._reply.expected_wait_s, self._reply.waiting_ahead, retry_after_s
        )


def _milliseconds(time_s: float) -> int:
    return round(time_s * 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
