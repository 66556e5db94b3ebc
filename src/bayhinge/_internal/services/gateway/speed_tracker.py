"""Measures the durations of answers, and applies the learned speeds to the endpoint table."""

import asyncio
from collections.abc import Callable

import eliot

from bayhinge._internal.decisions.endpoint_speeds import (
    DurationSample,
    EndpointSpeeds,
    combined_ratios,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.speed_changes import SLOW_RATIO, SpeedChange, SpeedChanges
from bayhinge._internal.models.routing import Route
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.delivery import Delivery

REFRESH_PERIOD_S = 0.2
"""Shortest time between two refreshes of the endpoint table. A ratio changes over seconds, while a
coordinator places hundreds of requests a second and combines the ratios of all hosts."""

REPORT_PERIOD_S = 0.5
"""Shortest time between two reports that carry ratios. Reports without them are sent several times
a second, and the coordinator keeps the ratios of the one before."""


class SpeedTracker:
    """The speeds of endpoints, as measured by this host and reported by others.

    Attributes:
        ratios_from_hosts: returns the relative durations that other hosts have reported.
        coordinated_hall: returns the hall that this host coordinates, or "".
    """

    def __init__(self, endpoint_table: EndpointTable) -> None:
        self._endpoint_table = endpoint_table
        self._speeds = EndpointSpeeds()
        self._changes = SpeedChanges()
        self._refreshed_s = float("-inf")
        self._reported_s_by_hall: dict[str, float] = {}
        self.ratios_from_hosts: Callable[[], dict[str, float]] = dict
        self.coordinated_hall: Callable[[], str] = str

    # ---- measuring ----

    def begin(self, run: ActiveRun) -> None:
        """Records that a request is about to be sent."""
        run.sent_s = asyncio.get_running_loop().time()
        run.running_when_sent = run.state.running_here + run.state.running_at_peers

    def record_answer(self, run: ActiveRun, route: Route, delivery: Delivery) -> None:
        """Records the duration of a complete answer; ignores answers of any other kind."""
        duration_s = _duration_s(run, delivery)
        if (
            duration_s is None
            or not delivery.is_served
            or not self._endpoint_table.is_current(run.state)
        ):
            return
        entry = run.state.entry
        sample = DurationSample(
            entry.instance,
            entry.service,
            route.name,
            duration_s,
            delivery.pace is not None,
            run.running_when_sent,
            entry.slots,
        )
        self._speeds.record(sample, asyncio.get_running_loop().time())
        self.refresh()

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops what was learned of an endpoint that has restarted."""
        self._speeds.forget_endpoint(endpoint)
        self._changes.forget_endpoint(endpoint)

    # ---- reporting ----

    def own_ratios(self, hall: str) -> dict[str, int]:
        """Returns this host's ratios of a hall's endpoints that are worth reporting."""
        endpoints = [
            state.entry.instance for state in self._endpoint_table.all() if state.entry.hall == hall
        ]
        return self._speeds.reported(endpoints, asyncio.get_running_loop().time())

    def due_ratios(self, hall: str) -> dict[str, int] | None:
        """Returns the ratios to report to a hall, or None shortly after the last report."""
        now = asyncio.get_running_loop().time()
        if now < self._reported_s_by_hall.get(hall, float("-inf")) + REPORT_PERIOD_S:
            return None
        self._reported_s_by_hall[hall] = now
        return self.own_ratios(hall)

    # ---- applying ----

    def refresh(self) -> None:
        """Applies the ratios to the endpoint table, at most every ``REFRESH_PERIOD_S``."""
        now = asyncio.get_running_loop().time()
        if now < self._refreshed_s + REFRESH_PERIOD_S:
            return
        self._refreshed_s = now
        states = self._endpoint_table.all()
        service_by_endpoint = {state.entry.instance: state.entry.service for state in states}
        self._speeds.retain_only(service_by_endpoint.keys())
        self._changes.retain_only(service_by_endpoint.keys())
        ratios = combined_ratios(self.ratios_from_hosts(), self._speeds, service_by_endpoint, now)
        for state in states:
            state.relative_duration = ratios[state.entry.instance]
            # One host measures too little for a line; the coordinator has the mean of all.
            change = self._changes.update(state.entry.instance, state.relative_duration, now)
            if change is not None and state.entry.hall == self.coordinated_hall():
                self._log(state, change, now)

    def _log(self, state: EndpointState, change: SpeedChange, now_s: float) -> None:
        figures = self._speeds.figures(state.entry.instance, now_s)
        eliot.log_message(
            "endpoint.speed_changed",
            endpoint=state.entry.instance,
            service=state.entry.service,
            speed=change.state.value,
            before=change.before.value,
            lasted_s=None if change.lasted_s is None else round(change.lasted_s, 1),
            relative_duration=round(state.relative_duration, 2),
            running=state.running_here + state.running_at_peers,
            own_samples=0 if figures is None else figures.samples,
            own_age_s=None if figures is None else round(figures.age_s, 1),
        )

    # ---- metrics ----

    def slow_count(self) -> int:
        """Returns the number of endpoints that are slow at present."""
        return sum(state.relative_duration >= SLOW_RATIO for state in self._endpoint_table.all())

    def slowest(self) -> float:
        """Returns the greatest relative duration, or 1 without endpoints."""
        return max((state.relative_duration for state in self._endpoint_table.all()), default=1.0)


def _duration_s(run: ActiveRun, delivery: Delivery) -> float | None:
    """Returns the duration of an answer, see :mod:`endpoint_speeds`, or None if it has none."""
    if delivery.pace is not None:
        return delivery.pace.per_event_s
    if delivery.read_s is None or run.sent_s is None:
        return None
    return delivery.read_s - run.sent_s
