"""Guards against accounts that get more than an equal share, or pay for what nobody else wanted."""

import random

import pytest

from bayhinge._internal.decisions import account_shares
from bayhinge._internal.decisions.account_shares import MAX_DEBT_S, AccountShares

GROUP = ("engine", 5)
OTHER = ("app", 5)


def _next(shares: AccountShares, waiting: list[str]) -> str:
    return min(waiting, key=lambda name: (shares.counter_us(GROUP, name), name))


def _share_out(shares: AccountShares, duration_by_name: dict[str, float], grants: int) -> None:
    for _ in range(grants):
        name = _next(shares, list(duration_by_name))
        shares.record_grant(GROUP, name, 0.0)
        shares.record_duration("engine", name, duration_by_name[name])


def test_shares_are_equal_in_service_time_not_in_requests() -> None:
    shares = AccountShares()
    duration_by_name = {"long": 3.0, "short": 0.5, "middle": 1.0}
    for name in duration_by_name:
        shares.start_waiting(GROUP, name, 0.0)
    _share_out(shares, duration_by_name, 900)
    used = [shares.counter_us(GROUP, name) / 1e6 for name in duration_by_name]
    assert max(used) - min(used) <= max(duration_by_name.values())


def test_an_account_has_no_credit_from_the_time_when_it_did_not_compete() -> None:
    shares = AccountShares()
    shares.start_waiting(GROUP, "busy", 0.0)
    _share_out(shares, {"busy": 1.0}, 100)
    shares.start_waiting(GROUP, "new", 0.0)
    ahead_s = (shares.counter_us(GROUP, "busy") - shares.counter_us(GROUP, "new")) / 1e6
    assert 0 <= ahead_s <= 1.0


def test_places_that_nobody_else_wanted_are_not_held_against_an_account() -> None:
    shares = AccountShares()
    for _ in range(500):
        shares.record_grant(GROUP, "alone", 0.0)
        shares.record_duration("engine", "alone", 1.0)
    for name in ("alone", "new"):
        shares.start_waiting(GROUP, name, 0.0)
    ahead_s = (shares.counter_us(GROUP, "alone") - shares.counter_us(GROUP, "new")) / 1e6
    assert 0 <= ahead_s <= 1.0


def test_use_of_another_service_counts_up_to_a_limit() -> None:
    shares = AccountShares()
    shares.start_waiting(OTHER, "a", 0.0)
    for seconds, expected_s in ((3, 3.0), (300, MAX_DEBT_S)):
        for _ in range(seconds):
            shares.record_grant(OTHER, "a", 0.0)
            shares.record_duration("app", "a", 1.0)
        ahead_s = (shares.counter_us(GROUP, "a") - shares.counter_us(GROUP, "b")) / 1e6
        assert ahead_s == pytest.approx(expected_s)


def test_an_oldest_request_with_a_large_counter_does_not_lift_newcomers() -> None:
    shares = AccountShares()
    shares.start_waiting(GROUP, "large", 0.0)
    _share_out(shares, {"large": 1.0}, 5)
    shares.start_waiting(GROUP, "small", 0.0)
    before = shares.counter_us(GROUP, "new")
    shares.record_grant(GROUP, "large", 0.0)
    assert shares.counter_us(GROUP, "new") == before <= shares.counter_us(GROUP, "small")


def test_the_actual_duration_replaces_the_expected_one() -> None:
    shares = AccountShares()
    shares.start_waiting(GROUP, "a", 0.0)
    for _ in range(3):
        shares.record_grant(GROUP, "a", 0.0)
    for duration_s in (0.25, 4.0, 0.0):
        shares.record_duration("engine", "a", duration_s)
    assert shares.counter_us(GROUP, "a") == 4_250_000
    # Granted by an earlier coordinator: charged as a whole.
    shares.record_duration("engine", "a", 2.0)
    assert shares.counter_us(GROUP, "a") == 6_250_000


def test_the_expected_service_time_follows_the_actual_ones_of_the_service() -> None:
    shares = AccountShares()
    for _ in range(100):
        shares.record_duration("engine", "a", 0.2)
        shares.record_duration("app", "a", 7.0)
    assert shares.expected_s("engine") == pytest.approx(0.2)
    assert shares.expected_s("app") == pytest.approx(7.0)
    assert shares.long_duration_s("app") == pytest.approx(7.0)


def test_idle_accounts_are_forgotten_and_waiting_ones_are_kept() -> None:
    shares = AccountShares()
    shares.start_waiting(GROUP, "waits", 0.0)
    shares.record_grant(GROUP, "waits", 0.0)
    for number in range(20):
        shares.record_grant(GROUP, f"idle-{number}", 1.0)
    for step in range(10):
        shares.record_grant(GROUP, "active", 2.0 + account_shares.IDLE_ACCOUNT_S + step)
    assert len(shares) == 2
    assert shares.counter_us(GROUP, "waits") > 0


def test_the_number_of_accounts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(account_shares, "MAX_ACCOUNTS", 50)
    shares, drawn = AccountShares(), random.Random(1)
    for _ in range(2000):
        shares.record_grant(GROUP, f"account-{drawn.randrange(500)}", 0.0)
    assert len(shares) == 50
