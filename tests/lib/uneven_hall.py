"""Models a hall whose endpoints differ in speed, in virtual time.

Requests arrive at several hosts; one coordinator places them all and knows what is running. Each
host learns from the answers to its own requests only, and reports twice a second. An endpoint
serves as many requests at once as it has slots; the others wait there in order of arrival.
"""

import functools
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator

import attrs

from bayhinge._internal.decisions.endpoint_speeds import (
    DurationSample,
    EndpointSpeeds,
    combined_ratios,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.load_table import HostLoadReport, LoadTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry

SERVICE, ROUTE, HALL = "app", "app", "north"
SLOTS = 6
MEAN_S = 0.2
"""Mean duration of a request at an endpoint of speed 1."""

REPORT_S = 0.5
REFRESH_S = 0.25
FAILURE_S = 0.004
"""Time in which a failing endpoint closes the connection."""

UNEVEN = (0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.5, 1.7)
EQUAL = (1.0,) * 8

Choice = Callable[["Hall", tuple[str, ...], float], EndpointState | None]


@attrs.frozen
class Phase:
    """A time in which one endpoint's durations change by a factor, or it fails at once."""

    endpoint: int
    from_s: float
    to_s: float
    factor: float = 1.0
    fails: bool = False


@attrs.frozen
class Day:
    """What happens in one run.

    Attributes:
        durations: relative duration of each endpoint.
        use: requests that arrive, as a share of what all endpoints together can serve.
        spread: coefficient of variation of a request's work; 1 is exponential.
    """

    durations: tuple[float, ...] = UNEVEN
    use: float = 0.75
    hosts: int = 6
    seconds: float = 90.0
    phases: tuple[Phase, ...] = ()
    spread: float = 1.0
    seed: int = 1


@attrs.define(eq=False)
class Request:
    """One request; ``work_s`` is its duration at an endpoint of speed 1."""

    host: int
    arrived_s: float
    work_s: float
    sent_s: float = 0.0
    running_when_sent: int = 0
    tried: tuple[str, ...] = ()
    endpoint: str = ""
    ended_s: float = 0.0


@attrs.define(eq=False)
class ModelEndpoint:
    """The requests at one endpoint."""

    number: int
    serving: int = 0
    waiting: deque[Request] = attrs.field(factory=deque)


class Hall:
    """One run of the model with one way to choose endpoints."""

    def __init__(self, day: Day, choose: Choice) -> None:
        self._day, self._choose = day, choose
        self.random = random.Random(day.seed)
        self._arrivals = random.Random(day.seed + 1_000_000)
        self.table = EndpointTable(HALL)
        self._endpoint_by_name = {
            f"app-{number}": ModelEndpoint(number) for number in range(len(day.durations))
        }
        for name in self._endpoint_by_name:
            self.table.put(EndpointEntry(name, SERVICE, f"{name}:80", HALL, SLOTS, False))
        self.speeds = [EndpointSpeeds() for _ in range(day.hosts)]
        self.loads = LoadTable()
        self._running = [Counter[str]() for _ in range(day.hosts)]
        self._reports = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self.requests: list[Request] = []
        self.ratios: list[tuple[float, dict[str, float]]] = []

    def run(self) -> "Hall":
        """Runs until every request has been answered."""
        for request in self._arriving():
            self.requests.append(request)
            self._at(request.arrived_s, functools.partial(self._place, request))
        for step in range(1, int(self._day.seconds / REFRESH_S)):
            self._at(step * REFRESH_S, self._refresh)
        while self._events:
            at_s, _, callback = heapq.heappop(self._events)
            callback(at_s)
        return self

    def _arriving(self) -> Iterator[Request]:
        day, drawn = self._day, self._arrivals
        per_s = day.use * sum(SLOTS / (MEAN_S * duration) for duration in day.durations)
        shape = 1 / day.spread**2
        now_s = 0.0
        while (now_s := now_s + drawn.expovariate(per_s)) < day.seconds:
            work_s = drawn.gammavariate(shape, MEAN_S / shape)
            yield Request(drawn.randrange(day.hosts), now_s, work_s)

    def _at(self, at_s: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), callback))

    def _place(self, request: Request, now_s: float) -> None:
        state = self._choose(self, request.tried, now_s)
        if state is None:
            # Every endpoint was tried: start over, as a caller would.
            request.tried = ()
            self._at(now_s + FAILURE_S, functools.partial(self._place, request))
            return
        request.endpoint = state.entry.instance
        self._count(request, state, 1)
        request.sent_s, request.running_when_sent = now_s, state.running_at_peers
        endpoint = self._endpoint_by_name[request.endpoint]
        if any(phase.fails for phase in self._phases(endpoint, now_s)):
            self._at(now_s + FAILURE_S, functools.partial(self._fail, request))
        elif endpoint.serving < SLOTS:
            self._serve(endpoint, request, now_s)
        else:
            endpoint.waiting.append(request)

    def _phases(self, endpoint: ModelEndpoint, now_s: float) -> list[Phase]:
        return [
            phase
            for phase in self._day.phases
            if phase.endpoint == endpoint.number and phase.from_s <= now_s < phase.to_s
        ]

    def true_ratio(self, name: str, now_s: float) -> float:
        """Returns the relative duration of an endpoint at present."""
        endpoint = self._endpoint_by_name[name]
        ratio = self._day.durations[endpoint.number]
        for phase in self._phases(endpoint, now_s):
            ratio *= phase.factor
        return ratio

    def _serve(self, endpoint: ModelEndpoint, request: Request, now_s: float) -> None:
        endpoint.serving += 1
        took_s = request.work_s * self.true_ratio(request.endpoint, now_s)
        self._at(now_s + took_s, functools.partial(self._end, endpoint, request))

    def _end(self, endpoint: ModelEndpoint, request: Request, now_s: float) -> None:
        endpoint.serving -= 1
        if endpoint.waiting:
            self._serve(endpoint, endpoint.waiting.popleft(), now_s)
        state = self._state(request)
        self._count(request, state, -1)
        state.record_success()
        request.ended_s = now_s
        sample = DurationSample(
            request.endpoint,
            SERVICE,
            ROUTE,
            now_s - request.sent_s,
            False,
            request.running_when_sent,
            SLOTS,
        )
        self.speeds[request.host].record(sample, now_s)

    def _fail(self, request: Request, now_s: float) -> None:
        state = self._state(request)
        self._count(request, state, -1)
        state.record_failure(now_s)
        request.tried = (*request.tried, request.endpoint)
        self._place(request, now_s)

    def _count(self, request: Request, state: EndpointState, change: int) -> None:
        state.running_at_peers += change
        self._running[request.host][request.endpoint] += change

    def _state(self, request: Request) -> EndpointState:
        state = self.table.find(request.endpoint)
        assert state is not None
        return state

    def _refresh(self, now_s: float) -> None:
        """Host 0 is the coordinator; the others report every ``REPORT_S``."""
        names = list(self._endpoint_by_name)
        if round(now_s / REFRESH_S) % round(REPORT_S / REFRESH_S) == 0:
            for host, speeds in enumerate(self.speeds[1:], start=1):
                report = HostLoadReport(
                    f"host-{host}",
                    1,
                    next(self._reports),
                    0,
                    dict(self._running[host]),
                    relative_duration_by_endpoint=speeds.reported(names, now_s),
                )
                self.loads.record_report(report, now_s)
        own = self.speeds[0]
        reported = self.loads.relative_duration_by_endpoint(
            own.reported(names, now_s), self._running[0]
        )
        ratios = combined_ratios(reported, own, dict.fromkeys(names, SERVICE), now_s)
        for name, ratio in ratios.items():
            state = self.table.find(name)
            assert state is not None
            state.relative_duration = ratio
        self.ratios.append((now_s, ratios))
