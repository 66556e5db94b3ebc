"""Guards against requests that the hall coordinator counts twice, or never stops counting."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.decisions.load_table import (
    LOST_GRANT_S,
    REPORT_TIMEOUT_S,
    HostLoadReport,
    LoadTable,
)


def report(
    host: str, beat: int, running: dict[str, int], grant: int = 0, start: int = 1
) -> HostLoadReport:
    return HostLoadReport(host, start, beat, grant, running)


def nonzero_counts(load_table: LoadTable) -> dict[str, int]:
    return {name: count for name, count in load_table.running_by_endpoint().items() if count}


def test_a_grant_counts_once_before_and_after_the_host_reports_it() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 1, {"e": 1}), 0.0)
    grant = load_table.grant("a", "e", 0.0)
    assert nonzero_counts(load_table) == {"e": 2}
    load_table.record_report(report("a", 2, {"e": 1}, grant - 1), 0.1)
    assert nonzero_counts(load_table) == {"e": 2}, (
        "the host had not received the grant when it reported"
    )
    load_table.record_report(report("a", 3, {"e": 2}, grant), 0.2)
    assert nonzero_counts(load_table) == {"e": 2}


def test_a_grant_that_later_reports_do_not_include_is_dropped() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 1, {"e": 1}), 0.0)
    grant = load_table.grant("a", "e", 0.0)
    load_table.record_report(report("a", 2, {"e": 1}, grant - 1), LOST_GRANT_S / 2)
    assert nonzero_counts(load_table) == {"e": 2}, "the grant may still be under way"
    load_table.record_report(report("a", 3, {"e": 1}, grant - 1), LOST_GRANT_S)
    assert nonzero_counts(load_table) == {"e": 1}
    # A host that was only slow counts by its own report from then on.
    load_table.record_report(report("a", 4, {"e": 2}, grant), LOST_GRANT_S)
    assert nonzero_counts(load_table) == {"e": 2}


def test_a_revoked_grant_is_not_counted_and_is_revoked_once() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 1, {"e": 1}), 0.0)
    grant = load_table.grant("a", "e", 0.0)
    for _ in range(2):
        load_table.revoke_grant("a", grant)
        load_table.revoke_grant("unknown", grant)
        assert nonzero_counts(load_table) == {"e": 1}
    load_table.record_report(report("a", 2, {"e": 1}, grant), 0.1)
    assert nonzero_counts(load_table) == {"e": 1}


def test_an_outdated_report_is_ignored() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 2, {"e": 5}), 0.0)
    load_table.record_report(report("a", 1, {"e": 9}), 0.1)
    assert nonzero_counts(load_table) == {"e": 5}


def test_counts_of_a_silent_or_restarted_host_are_dropped() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 7, {"e": 5}), 0.0)
    load_table.grant("a", "f", 0.0)
    load_table.record_report(report("b", 1, {"e": 1}), REPORT_TIMEOUT_S)
    load_table.record_report(report("a", 1, {"e": 2}, start=2), REPORT_TIMEOUT_S)
    assert nonzero_counts(load_table) == {"e": 3}
    load_table.forget_silent(2 * REPORT_TIMEOUT_S + 0.1)
    assert nonzero_counts(load_table) == {}


def test_a_new_coordinator_continues_the_numbers_of_grants() -> None:
    load_table = LoadTable()
    load_table.record_report(report("a", 9, {}, grant=40), 0.0)
    assert load_table.grant("a", "e", 0.0) == 41
    load_table.record_report(report("a", 10, {}, grant=40), 0.1)
    assert nonzero_counts(load_table) == {"e": 1}


def test_failure_reports_count_hosts_and_end_with_a_report_without_them() -> None:
    load_table = LoadTable()
    for host in ("a", "b"):
        load_table.record_report(HostLoadReport(host, 1, 1, 0, {}, frozenset({"e"})), 0.0)
    assert load_table.failure_reports_by_endpoint()["e"] == 2
    load_table.record_report(report("a", 2, {}), 0.1)
    assert load_table.failure_reports_by_endpoint()["e"] == 1
    load_table.forget_silent(REPORT_TIMEOUT_S + 0.1)
    assert load_table.failure_reports_by_endpoint()["e"] == 0


class LoadTableMachine(RuleBasedStateMachine):
    """Hosts that begin and end requests, with lost grants and reordered reports."""

    HOSTS = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.load_table = LoadTable()
        self.beats = Counter[str]()
        self.last_grant = Counter[str]()
        self.running = {host: Counter[str]() for host in self.HOSTS}
        self.reports_in_flight: list[HostLoadReport] = []

    def _report(self, host: str) -> HostLoadReport:
        self.beats[host] += 1
        return report(host, self.beats[host], dict(self.running[host]), self.last_grant[host])

    @rule(host=st.sampled_from(HOSTS), endpoint=st.sampled_from("ef"), is_lost=st.booleans())
    def place(self, host: str, endpoint: str, is_lost: bool) -> None:
        self.load_table.record_report(self._report(host), 0.0)
        grant = self.load_table.grant(host, endpoint, 0.0)
        if not is_lost:
            self.last_grant[host] = grant
            self.running[host][endpoint] += 1

    @rule(host=st.sampled_from(HOSTS))
    def end_one(self, host: str) -> None:
        for endpoint in +self.running[host]:
            self.running[host][endpoint] -= 1
            break
        self.reports_in_flight.append(self._report(host))

    @rule(position=st.integers(0, 20))
    def deliver(self, position: int) -> None:
        if self.reports_in_flight:
            self.load_table.record_report(
                self.reports_in_flight.pop(position % len(self.reports_in_flight)), 0.0
            )

    @invariant()
    def counts_are_not_negative(self) -> None:
        assert min(self.load_table.running_by_endpoint().values(), default=0) >= 0

    def teardown(self) -> None:
        # After each host has placed a request and reported, the sums match the hosts.
        for host in self.HOSTS:
            self.place(host, "e", False)
            self.load_table.record_report(self._report(host), 0.0)
        total = sum(self.running.values(), Counter[str]())
        assert nonzero_counts(self.load_table) == dict(+total)


LoadTableMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestLoadTable = LoadTableMachine.TestCase


def test_the_requests_of_a_host_whose_connection_ended_do_not_count_until_its_report() -> None:
    """Guards against places that a killed host keeps in use until its report expires."""
    load_table = LoadTable()
    load_table.record_report(report("a", 1, {"e": 2}), 0.0)
    load_table.record_report(report("b", 1, {"e": 1}), 0.0)
    load_table.grant("a", "e", 0.0)
    for host in ("a", "unknown"):
        load_table.clear_loads(host)
        assert nonzero_counts(load_table) == {"e": 1}
    assert load_table.has_report("a"), "its last heartbeat must not count in its place"
    # A host that is alive has only lost a connection.
    load_table.record_report(report("a", 2, {"e": 3}), 0.1)
    assert nonzero_counts(load_table) == {"e": 4}
    load_table.forget_silent(REPORT_TIMEOUT_S + 0.05)
    assert nonzero_counts(load_table) == {"e": 3}
