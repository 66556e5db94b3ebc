"""Learns how long endpoints take for their answers, relative to their service. Pure.

The ratio of an endpoint is a moving average of the durations of its answers, each divided by the
usual duration of its route and by the delay that the requests running there explain. 1 is the
usual duration, 2 is twice as long. Failed and rejected requests give no sample: they are handled by
ejection, see :mod:`bayhinge._internal.decisions.endpoint_state`.

What a duration is depends on the answer:

* Plain requests: from sending the request until its whole body has been read. The time to the
  headers alone would miss the work of services that send them early.
* Streams: the time per event after the first one. The time to the first event depends on the length
  of the prompt, on what of it is in cache, and on the wait for a slot; the number of events depends
  on the answer. The time per event depends on neither.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Set
from statistics import median

import attrs

MIN_RATIO = 0.25
MAX_RATIO = 8.0
"""Bounds of a ratio, and of a single sample from above: a host that was stopped for a second
measures durations that say nothing about the endpoint."""

MEMORY_S = 3.0
"""Time constant of the average while samples are frequent. A changed speed is known to two thirds
after this time; shorter ones follow the noise of single answers."""

MIN_SAMPLE_KEEP = 0.5
"""Least factor by which a new sample reduces the weight of the earlier ones. Where one host rarely
sends to an endpoint, an average covers about two samples, and the coordinator averages over hosts;
with a longer memory, a recovered endpoint gets its share of the work back later."""

PRIOR_SAMPLES = 0.5
"""Weight of the starting ratio, in samples. More would hide a real difference on hosts that have
two samples of each endpoint."""

MIN_SAMPLES = 1.5
"""Weight of the samples from which on a ratio is used and reported; two samples at least. A single
answer may take three times as long as usual without a cause."""

MIN_MEDIAN_ENDPOINTS = 3
"""Endpoints with samples that a median needs; of two, one slow endpoint would shift it."""

RETURN_S = 10.0
"""Time constant of the return to 1 without samples. An idle service sends nothing to its slowest
endpoint; with a ratio of 4 this one counts as usual again after 30 s and gets a request, which
costs one request in 30 s a longer answer."""

MIN_REPORTED_DIFFERENCE = 0.1
"""Difference from 1 below which a ratio is not reported; keeps messages small. Much less than the
noise of four samples, so that the reports of several hosts are not a biased selection."""

NOISE = 0.15
"""Difference from 1 below which a ratio counts as 1. One request more in six slots weighs more, and
noise must neither move work nor outweigh an idle connection."""

SHARING_COST = 0.2
"""Share by which the events of an engine take longer when all its slots are in use than when one
is, as in the engine of ``bayhinge_standins``."""

MIN_TIMED_EVENTS = 4
"""Events after the first one that a stream needs to give a sample. With fewer, the time per event
is that of the network's segments."""

MAX_PAUSED_SHARE = 0.1
"""Share of a stream's time that the host may have waited for the caller. Beyond it, the caller's
speed would be taken for that of the endpoint."""


@attrs.frozen
class DurationSample:
    """The duration of one complete answer.

    Attributes:
        duration_s: see the module; of the whole answer or per event.
        is_per_event: whether the duration is that of an event.
        running: requests in flight at the endpoint when this one was sent, including it.
    """

    endpoint: str
    service: str
    route: str
    duration_s: float
    is_per_event: bool
    running: int
    slots: int

    @property
    def unhindered_s(self) -> float:
        """The duration without the delay that the other requests at the endpoint explain.

        Requests beyond the slots wait there, so durations grow in proportion to their number.
        Events of a stream come only once it has a slot; they share the engine with the others.
        """
        occupied = self.running / max(1, self.slots)
        if self.is_per_event:
            return self.duration_s / (1.0 + SHARING_COST * min(1.0, occupied))
        return self.duration_s / max(1.0, occupied)


@attrs.define
class _Average:
    """A moving average over the last ``MEMORY_S`` seconds or the last samples.

    Attributes:
        weight: the number of samples that the average represents.
        newest_s: when the newest sample was added.
        samples: the number of all samples.
    """

    value: float = 1.0
    weight: float = 0.0
    newest_s: float = 0.0
    samples: int = 0

    def add(self, value: float, now_s: float) -> None:
        keep = math.exp(-max(0.0, now_s - self.newest_s) / MEMORY_S)
        self.weight = self.weight * max(MIN_SAMPLE_KEEP, keep) + 1.0
        self.value += (value - self.value) / self.weight
        self.newest_s = now_s
        self.samples += 1


@attrs.frozen
class SpeedFigures:
    """What one host has measured of an endpoint.

    Attributes:
        samples: number of samples since the endpoint's start.
        age_s: seconds since the newest sample.
    """

    samples: int
    age_s: float


@attrs.define
class _EndpointSpeed:
    """The measured speed of one incarnation of an endpoint.

    Attributes:
        start: the ratio that it counts as having before the first sample.
        measured: the moving average of the ratios of its answers.
        reported_until_s: until when its ratio is reported even if it is near 1.
    """

    service: str
    start: float
    measured: _Average = attrs.field(factory=_Average)
    reported_until_s: float = 0.0

    def ratio(self, now_s: float) -> float:
        """Returns the ratio, shrunk toward the start by few samples and toward 1 by age."""
        measured = self.measured
        share = measured.weight / (measured.weight + PRIOR_SAMPLES)
        ratio = self.start + (measured.value - self.start) * share
        return bounded(1.0 + (ratio - 1.0) * math.exp(-self.age_s(now_s) / RETURN_S))

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the newest sample."""
        return max(0.0, now_s - self.measured.newest_s)

    def is_reported(self, ratio: float, now_s: float) -> bool:
        """Whether the coordinator needs the ratio.

        A ratio that has come back to 1 is still reported for a while: it outweighs those of hosts
        that have not sent there since.
        """
        if self.measured.weight < MIN_SAMPLES:
            return False
        if abs(ratio - 1.0) > MIN_REPORTED_DIFFERENCE:
            self.reported_until_s = now_s + RETURN_S
        return now_s < self.reported_until_s


class EndpointSpeeds:
    """The speeds of the current incarnations of endpoints, as one host measures them."""

    def __init__(self) -> None:
        self._speed_by_endpoint: dict[str, _EndpointSpeed] = {}
        self._usual_by_route: dict[tuple[str, str, bool], _Average] = {}

    def record(self, sample: DurationSample, now_s: float) -> None:
        """Adds the duration of a complete answer."""
        key = sample.service, sample.route, sample.is_per_event
        usual = self._usual_by_route.get(key)
        if usual is None:
            usual = self._usual_by_route[key] = _Average()
        duration_s = sample.unhindered_s
        if usual.weight >= MIN_SAMPLES and usual.value > 0.0:
            # Bounded, so that one answer of a stopped host does not make all others look fast.
            duration_s = min(duration_s, MAX_RATIO * usual.value)
            self._add_ratio(sample, duration_s / usual.value, now_s)
        usual.add(duration_s, now_s)

    def _add_ratio(self, sample: DurationSample, ratio: float, now_s: float) -> None:
        """Adds a ratio to an endpoint, which starts at the median of its service."""
        speed = self._speed_by_endpoint.get(sample.endpoint)
        if speed is None:
            start = self.service_median(sample.service, now_s)
            speed = self._speed_by_endpoint[sample.endpoint] = _EndpointSpeed(sample.service, start)
        speed.measured.add(ratio, now_s)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops what is known of an endpoint that has restarted or was removed."""
        self._speed_by_endpoint.pop(endpoint, None)

    def retain_only(self, endpoints: Set[str]) -> None:
        """Drops what is known of all other endpoints."""
        for endpoint in self._speed_by_endpoint.keys() - endpoints:
            del self._speed_by_endpoint[endpoint]

    def ratio(self, endpoint: str, now_s: float) -> float | None:
        """Returns an endpoint's ratio, or None without enough samples."""
        speed = self._speed_by_endpoint.get(endpoint)
        if speed is None or speed.measured.weight < MIN_SAMPLES:
            return None
        return speed.ratio(now_s)

    def service_median(self, service: str, now_s: float) -> float:
        """Returns the median ratio of a service's endpoints, at which a new one starts.

        It is 1 as long as few are known: the first samples of a service are of any endpoint.
        """
        ratios = [
            speed.ratio(now_s)
            for speed in self._speed_by_endpoint.values()
            if speed.service == service
        ]
        return median(ratios) if len(ratios) >= MIN_MEDIAN_ENDPOINTS else 1.0

    def figures(self, endpoint: str, now_s: float) -> SpeedFigures | None:
        """Returns what is known of an endpoint's speed, or None without samples."""
        speed = self._speed_by_endpoint.get(endpoint)
        return None if speed is None else SpeedFigures(speed.measured.samples, speed.age_s(now_s))

    def reported(self, endpoints: Iterable[str], now_s: float) -> dict[str, int]:
        """Returns the ratios worth reporting among some endpoints, in thousandths."""
        ratio_by_endpoint: dict[str, int] = {}
        for endpoint in endpoints:
            speed = self._speed_by_endpoint.get(endpoint)
            if speed is None:
                continue
            ratio = speed.ratio(now_s)
            if speed.is_reported(ratio, now_s):
                ratio_by_endpoint[endpoint] = to_thousandths(ratio)
        return ratio_by_endpoint


class EventPace:
    """Measures the time per event of one stream as it arrives."""

    def __init__(self) -> None:
        self._first_s: float | None = None
        self._newest_s = 0.0
        self._events = 0
        self._paused_s = 0.0

    def record_events(self, events: int, now_s: float) -> None:
        """Records events that have arrived together; those of the first arrival do not count."""
        if not events:
            return
        if self._first_s is None:
            self._first_s = now_s
        else:
            self._events += events
        self._newest_s = now_s

    def record_pause(self, pause_s: float) -> None:
        """Records that nothing was read for a time, because the caller did not read."""
        self._paused_s += pause_s

    @property
    def per_event_s(self) -> float | None:
        """Seconds per event, or None if the stream does not tell."""
        if self._first_s is None or self._events < MIN_TIMED_EVENTS:
            return None
        elapsed_s = self._newest_s - self._first_s
        if elapsed_s <= 0.0 or self._paused_s > MAX_PAUSED_SHARE * elapsed_s:
            return None
        return elapsed_s / self._events


def bounded(ratio: float) -> float:
    """Returns a ratio, limited to ``MIN_RATIO`` to ``MAX_RATIO``."""
    return min(MAX_RATIO, max(MIN_RATIO, ratio))


def without_noise(ratio: float) -> float:
    """Returns the ratio to place by: 1 if the difference may be noise."""
    return 1.0 if abs(ratio - 1.0) <= NOISE else bounded(ratio)


def to_thousandths(ratio: float) -> int:
    """Returns a ratio as it is sent to other hosts."""
    return round(1000 * ratio)


def bounded_thousandths(thousandths: int) -> int:
    """Returns a ratio that another host has sent, within its bounds, in thousandths."""
    return min(to_thousandths(MAX_RATIO), max(to_thousandths(MIN_RATIO), thousandths))


def from_thousandths(thousandths: int) -> float:
    """Returns a ratio that another host has sent, within its bounds."""
    return bounded_thousandths(thousandths) / 1000


def combined_ratios(
    reported: Mapping[str, float],
    own: EndpointSpeeds,
    service_by_endpoint: Mapping[str, str],
    now_s: float,
) -> dict[str, float]:
    """Returns the ratios to place by: those reported, else this host's own, else the median.

    The median is that of the service's other endpoints, of which the unknown count as 1: hosts
    report only ratios other than 1, so the median of the known ones would be that of exceptions.
    """
    known: dict[str, float] = {}
    known_by_service: dict[str, list[float]] = {}
    for endpoint, service in service_by_endpoint.items():
        ratio = reported.get(endpoint)
        if ratio is None:
            ratio = own.ratio(endpoint, now_s)
        if ratio is not None:
            known[endpoint] = ratio
            known_by_service.setdefault(service, []).append(ratio)
    count_by_service = Counter(service_by_endpoint.values())
    start_by_service = {
        service: median([*ratios, *[1.0] * (count_by_service[service] - len(ratios) - 1)])
        for service, ratios in known_by_service.items()
    }
    return {
        endpoint: without_noise(known.get(endpoint, start_by_service.get(service, 1.0)))
        for endpoint, service in service_by_endpoint.items()
    }
