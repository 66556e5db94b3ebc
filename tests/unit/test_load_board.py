"""What a hall coordinator knows of the requests in flight at its endpoints."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S, HostLoadReport, LoadTable


def report(
    host: str, beat: int, running: dict[str, int], grant: int = 0, start: int = 1
) -> HostLoadReport:
    return HostLoadReport(host, start, beat, grant, running)


def known(load_table: LoadTable) -> dict[str, int]:
    return {name: count for name, count in load_table.running_by_endpoint().items() if count}


def test_a_grant_counts_at_once_and_once_until_the_host_says_so_itself() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 1, {"e": 1}), 0.0)
    grant = load_table.grant("a", "e")
    assert known(load_table) == {"e": 2}
    load_table.record_report(report("a", 2, {"e": 1}, grant - 1), 0.1)
    assert known(load_table) == {"e": 2}, "the host had not the answer when it spoke"
    load_table.record_report(report("a", 3, {"e": 2}, grant), 0.2)
    assert known(load_table) == {"e": 2}


def test_an_overtaken_report_says_nothing() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 2, {"e": 5}), 0.0)
    load_table.record_report(report("a", 1, {"e": 9}), 0.1)
    assert known(load_table) == {"e": 5}


def test_a_host_that_is_silent_or_starts_anew_leaves_nothing_behind() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 7, {"e": 5}), 0.0)
    load_table.grant("a", "f")
    load_table.record_report(report("b", 1, {"e": 1}), REPORT_TIMEOUT_S)
    load_table.record_report(report("a", 1, {"e": 2}, start=2), REPORT_TIMEOUT_S)
    assert known(load_table) == {"e": 3}
    load_table.forget_silent(2 * REPORT_TIMEOUT_S + 0.1)
    assert known(load_table) == {}


def test_a_new_coordinator_continues_from_the_grants_of_the_previous_one() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 9, {}, grant=40), 0.0)
    assert load_table.grant("a", "e") == 41
    load_table.record_report(report("a", 10, {}, grant=40), 0.1)
    assert known(load_table) == {"e": 1}


def test_failure_reports_count_hosts_and_end_with_the_report_that_has_none() -> None:
    load_table = LoadTable()
    for host in ("a", "b"):
        load_table.record_report(HostLoadReport(host, 1, 1, 0, {}, frozenset({"e"})), 0.0)
    assert load_table.failure_reports_by_endpoint()["e"] == 2
    load_table.record_report(report("a", 2, {}), 0.1)
    assert load_table.failure_reports_by_endpoint()["e"] == 1
    load_table.forget_silent(REPORT_TIMEOUT_S + 0.1)
    assert load_table.failure_reports_by_endpoint()["e"] == 0


class Board(RuleBasedStateMachine):
    """Hosts that begin and end requests, with reports that are lost and overtake each other."""

    HOSTS = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.load_table = LoadTable()
        self.beats = Counter[str]()
        self.last_grant = Counter[str]()
        self.running = {host: Counter[str]() for host in self.HOSTS}
        self.on_the_way: list[HostLoadReport] = []

    def _report(self, host: str) -> HostLoadReport:
        self.beats[host] += 1
        return report(host, self.beats[host], dict(self.running[host]), self.last_grant[host])

    @rule(host=st.sampled_from(HOSTS), endpoint=st.sampled_from("ef"), is_lost=st.booleans())
    def place(self, host: str, endpoint: str, is_lost: bool) -> None:
        self.load_table.record_report(self._report(host), 0.0)
        grant = self.load_table.grant(host, endpoint)
        if not is_lost:
            self.last_grant[host] = grant
            self.running[host][endpoint] += 1

    @rule(host=st.sampled_from(HOSTS))
    def end_one(self, host: str) -> None:
        for endpoint in +self.running[host]:
            self.running[host][endpoint] -= 1
            break
        self.on_the_way.append(self._report(host))

    @rule(position=st.integers(0, 20))
    def deliver(self, position: int) -> None:
        if self.on_the_way:
            self.load_table.record_report(self.on_the_way.pop(position % len(self.on_the_way)), 0.0)

    @invariant()
    def nothing_is_negative(self) -> None:
        assert min(self.load_table.running_by_endpoint().values(), default=0) >= 0

    def teardown(self) -> None:
        # Once every host has placed again and spoken, the sums are those of the hosts.
        for host in self.HOSTS:
            self.place(host, "e", False)
            self.load_table.record_report(self._report(host), 0.0)
        total = sum(self.running.values(), Counter[str]())
        assert known(self.load_table) == dict(+total)


Board.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestBoard = Board.TestCase
