"""What is learned about endpoints' speeds."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.endpoint_speeds import (
    MAX_RATIO,
    MEMORY_S,
    MIN_RATIO,
    MIN_TIMED_EVENTS,
    RETURN_S,
    DurationSample,
    EndpointSpeeds,
    EventPace,
    combined_ratios,
    without_noise,
)
from bayhinge._internal.decisions.speed_changes import (
    MIN_CHANGE_PERIOD_S,
    SLOW_FOR_GOOD_S,
    SpeedChanges,
    SpeedState,
)

SLOTS = 6
USUAL = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}


def sample(
    endpoint: str, duration_s: float, running: int = 1, is_per_event: bool = False, route: str = "r"
) -> DurationSample:
    return DurationSample(endpoint, "app", route, duration_s, is_per_event, running, SLOTS)


def feed(
    speeds: EndpointSpeeds,
    factors: dict[str, float],
    from_s: float,
    seconds: float,
    running: int = 1,
    spread: float = 0.0,
    seed: int = 1,
) -> float:
    """Records an answer of each endpoint every 0.1 s; returns the time of the last one."""
    drawn = random.Random(seed)
    now_s = from_s
    while now_s < from_s + seconds:
        now_s += 0.1
        for endpoint, factor in factors.items():
            work = drawn.expovariate(1.0) if spread else 1.0
            speeds.record(sample(endpoint, 0.2 * factor * work, running), now_s)
    return now_s


def ratio_of(speeds: EndpointSpeeds, endpoint: str, now_s: float) -> float:
    ratio = speeds.ratio(endpoint, now_s)
    assert ratio is not None
    return ratio


def test_a_slow_endpoint_is_known_within_seconds_and_so_is_its_return() -> None:
    """Guards against an average that hides a slow endpoint, or holds it against it for long."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, USUAL, 0.0, 20.0)
    assert ratio_of(speeds, "a", now_s) == pytest.approx(1.0, abs=0.01)
    now_s = feed(speeds, USUAL | {"a": 4.0}, now_s, 2 * MEMORY_S)
    relative = ratio_of(speeds, "a", now_s) / ratio_of(speeds, "b", now_s)
    assert 2.5 < relative < 4.2
    now_s = feed(speeds, USUAL, now_s, 3 * MEMORY_S)
    assert ratio_of(speeds, "a", now_s) / ratio_of(speeds, "b", now_s) < 1.5


def test_each_route_is_compared_with_itself() -> None:
    """Guards against an endpoint that looks slow because it got the longer requests."""
    speeds = EndpointSpeeds()
    for step in range(200):
        now_s = 0.1 * step
        for endpoint in USUAL:
            speeds.record(sample(endpoint, 0.1, route="short"), now_s)
        speeds.record(sample("a", 2.0, route="long"), now_s)
        if step % 5 == 0:
            speeds.record(sample("b", 2.0, route="long"), now_s)
    assert ratio_of(speeds, "a", 20.0) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("running", [7, 12, 18])
def test_waiting_at_an_endpoint_is_not_taken_for_slowness(running: int) -> None:
    """Guards against a burst at one endpoint that makes it look slow."""
    speeds = EndpointSpeeds()
    feed(speeds, USUAL, 0.0, 10.0)
    for step in range(60):
        now_s = 10.0 + 0.1 * step
        speeds.record(sample("a", 0.2 * running / SLOTS, running), now_s)
        for endpoint in "bcd":
            speeds.record(sample(endpoint, 0.2, 3), now_s)
    assert ratio_of(speeds, "a", 16.0) == pytest.approx(1.0, abs=0.05)


def test_requests_beyond_the_slots_do_not_delay_the_events_of_a_stream() -> None:
    """Guards against a busy slow engine that is excused for its queue."""
    assert sample("a", 0.01, 18, True).unhindered_s == sample("a", 0.01, 6, True).unhindered_s
    assert sample("a", 0.01, 6, True).unhindered_s < sample("a", 0.01, 1, True).unhindered_s


def test_a_ratio_without_samples_returns_to_one() -> None:
    """Guards against an endpoint that is never tried again."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, USUAL | {"a": 4.0}, 0.0, 20.0)
    before = ratio_of(speeds, "a", now_s)
    after = ratio_of(speeds, "a", now_s + RETURN_S)
    assert 1.0 < after < 1.0 + 0.4 * (before - 1.0)
    assert without_noise(ratio_of(speeds, "a", now_s + 4 * RETURN_S)) == 1.0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from([0.0, 1e-9, 0.001, 0.2, 5.0, 3600.0]),
            st.integers(0, 40),
            st.booleans(),
            st.floats(0.0, 100.0),
        ),
        max_size=60,
    )
)
def test_ratios_stay_within_their_bounds(
    samples: list[tuple[str, float, int, bool, float]],
) -> None:
    """Guards against ratios that shut an endpoint out, also with zero durations or time jumps."""
    speeds = EndpointSpeeds()
    for endpoint, duration_s, running, is_per_event, now_s in samples:
        speeds.record(sample(endpoint, duration_s, running, is_per_event), now_s)
    for endpoint in "abc":
        assert MIN_RATIO <= (speeds.ratio(endpoint, 100.0) or 1.0) <= MAX_RATIO
    assert all(250 <= value <= 8000 for value in speeds.reported("abc", 100.0).values())


def test_one_long_answer_is_not_enough() -> None:
    """Guards against a host that moves its work because of a single answer."""
    speeds = EndpointSpeeds()
    feed(speeds, {"b": 1.0, "c": 1.0}, 0.0, 5.0)
    speeds.record(sample("a", 1.6), 5.0)
    assert speeds.ratio("a", 5.0) is None
    assert speeds.reported("a", 5.0) == {}


def test_only_differences_are_reported_until_they_are_gone_for_a_while() -> None:
    """Guards against long reports, and against a return that a coordinator does not learn."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, USUAL, 0.0, 10.0)
    assert speeds.reported(USUAL, now_s) == {}
    now_s = feed(speeds, USUAL | {"a": 4.0}, now_s, 10.0)
    assert speeds.reported(USUAL, now_s)["a"] > 2000
    assert "a" not in speeds.reported("bcd", now_s), "only the endpoints that are asked for"
    for _ in range(50):
        now_s = feed(speeds, USUAL, now_s, 0.5)
        ratios = speeds.reported(USUAL, now_s)
        if abs(ratio_of(speeds, "a", now_s) - 1.0) < 0.1:
            break
    assert "a" in ratios
    now_s = feed(speeds, USUAL, now_s, 2 * RETURN_S)
    assert speeds.reported(USUAL, now_s) == {}


def test_a_new_incarnation_begins_at_the_median_of_its_service() -> None:
    """Guards against a fresh endpoint that inherits a speed, or draws all work as the fastest."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, {"a": 4.0, "b": 4.0, "c": 4.0, "d": 0.2}, 0.0, 20.0)
    speeds.forget_endpoint("a")
    assert speeds.ratio("a", now_s) is None
    services = dict.fromkeys("abcd", "app") | {"z": "other"}
    ratios = combined_ratios({}, speeds, services, now_s)
    assert ratios["a"] == pytest.approx(ratio_of(speeds, "c", now_s))
    assert ratios["a"] > 1.2
    assert ratios["z"] == 1.0
    reported = combined_ratios({"a": 3.0}, speeds, services, now_s)
    assert reported["a"] == 3.0, "what hosts report outweighs the own figures"


def test_removed_endpoints_are_forgotten() -> None:
    """Guards against memory that grows with every endpoint that ever was."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, USUAL, 0.0, 5.0)
    speeds.retain_only({"a"})
    assert [name for name in USUAL if speeds.ratio(name, now_s) is not None] == ["a"]
    changes = SpeedChanges()
    for name in "ab":
        assert changes.update(name, 2.0, 0.0) is not None
    changes.retain_only({"a"})
    assert changes.update("b", 2.0, 0.1) is not None, "as if it had never been"
    assert changes.update("a", 2.0, 0.1) is None


@pytest.mark.parametrize("seed", range(5))
def test_noise_of_equal_endpoints_rarely_counts(seed: int) -> None:
    """Guards against work that follows the spread of durations (here exponential)."""
    speeds = EndpointSpeeds()
    now_s = feed(speeds, USUAL, 0.0, 10.0, spread=1.0, seed=seed)
    off = 0
    for _ in range(100):
        now_s = feed(speeds, USUAL, now_s, 0.5, spread=1.0, seed=seed + round(now_s * 100))
        off += sum(abs(ratio_of(speeds, name, now_s) - 1.0) > 0.5 for name in USUAL)
    assert off <= 20, "of 400"


# ---- streams ----


def test_the_time_per_event_excludes_the_first_one() -> None:
    """Guards against long prompts that make an engine look slow."""
    pace = EventPace()
    pace.record_events(1, 3.0)
    for step in range(1, 11):
        pace.record_events(2, 3.0 + 0.1 * step)
    assert pace.per_event_s == pytest.approx(0.05)


def test_short_streams_and_slow_callers_tell_nothing() -> None:
    """Guards against speeds that are those of a segment or of a caller."""
    pace = EventPace()
    assert pace.per_event_s is None
    pace.record_events(1, 0.0)
    pace.record_events(9, 0.0)
    assert pace.per_event_s is None, "all at once"
    pace = EventPace()
    pace.record_events(1, 0.0)
    pace.record_events(MIN_TIMED_EVENTS - 1, 0.1)
    assert pace.per_event_s is None
    pace.record_events(1, 0.2)
    assert pace.per_event_s == pytest.approx(0.05)
    pace.record_pause(0.05)
    assert pace.per_event_s is None


# ---- changes ----


def test_slow_for_a_while_and_slow_for_good_are_told_apart() -> None:
    """Guards against log lines that call a passing delay a slow machine."""
    changes = SpeedChanges()
    assert changes.update("a", 1.4, 0.0) is None
    change = changes.update("a", 1.6, 1.0)
    assert change is not None
    assert (change.state, change.before) == (SpeedState.SLOW_FOR_A_WHILE, SpeedState.USUAL)
    assert changes.update("a", 3.0, 30.0) is None
    change = changes.update("a", 1.4, 1.0 + SLOW_FOR_GOOD_S)
    assert change is not None and change.state is SpeedState.SLOW_FOR_GOOD
    change = changes.update("a", 1.2, 90.0)
    assert change is not None and change.state is SpeedState.USUAL
    assert change.lasted_s == pytest.approx(90.0 - 1.0 - SLOW_FOR_GOOD_S)


def test_a_ratio_that_swings_gives_few_changes() -> None:
    """Guards against a log that is filled by one endpoint."""
    changes = SpeedChanges()
    seconds = 100
    found = [
        changes.update("a", 3.0 if step % 2 else 1.0, 0.1 * step) for step in range(10 * seconds)
    ]
    assert 2 < sum(change is not None for change in found) <= seconds / MIN_CHANGE_PERIOD_S + 1
