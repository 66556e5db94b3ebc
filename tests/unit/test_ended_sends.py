"""How many endpoints may end under a request, by what a host has seen and heard."""

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.decisions.ended_send_history import (
    ENDING_S,
    KEEP_CLEARED_S,
    KEEP_S,
    LATENCY_S,
    SETTLE_S,
    TRIAL_S,
    UNDECIDED_S,
    BrokenSend,
    RequestKey,
)
from bayhinge._internal.decisions.ended_sends import (
    ALIVE_AFTER_S,
    MAX_REQUESTS,
    MAX_SENDS,
    TOLD_WITHIN_S,
    EndedSends,
)
from bayhinge._internal.decisions.send_permission import MAX_ENDED, Permission
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation

KEY = RequestKey("a", has_program=True)
ANYBODY = RequestKey("b", has_program=False)


def endpoint(number: int) -> EndpointIncarnation:
    return EndpointIncarnation(f"e-{number}")


def sends_with(key: RequestKey, ended: int, broken: int = 0) -> EndedSends:
    """Returns sends of a request that broke off one after the other, a second apart."""
    sends = EndedSends()
    for number in range(ended + broken):
        sends.record_broken(key, endpoint(number), BrokenSend(number, number + 0.5))
        if number < ended:
            sends.record_endpoint_ended(endpoint(number), number + 0.5)
    return sends


def test_three_ends_withhold_a_request_and_two_leave_it_one_endpoint() -> None:
    permissions = [sends_with(KEY, ended).permission(KEY, 4.0) for ended in range(MAX_ENDED + 1)]
    assert permissions == [
        Permission.FREE,
        Permission.FREE,
        Permission.ALONE,
        Permission.WITHHELD,
    ]


def test_other_requests_are_sent_as_before() -> None:
    assert sends_with(KEY, 3).permission(RequestKey("c", True), 4.0) is Permission.FREE


def test_lost_answers_withhold_a_request_only_until_their_endpoints_show_that_they_go_on() -> None:
    sends = sends_with(KEY, 0, broken=5)
    assert sends.permission(KEY, 5.0) is Permission.EXAMINE
    assert sends.settled_from_s(KEY) == 0.5 + ENDING_S
    for number in range(5):
        assert sends.record_endpoint_answered(endpoint(number), number + 0.5 + ENDING_S) == [KEY]
    assert sends.permission(KEY, 5.0 + ENDING_S) is Permission.FREE


def test_an_answer_to_what_was_sent_before_the_run_was_over_shows_nothing() -> None:
    sends = EndedSends()
    sends.record_broken(KEY, endpoint(0), BrokenSend(0.0, 0.5, over_s=4.0))
    assert sends.record_endpoint_answered(endpoint(0), 3.9) == []
    assert sends.undecided(KEY) == [endpoint(0)]
    assert sends.record_endpoint_answered(endpoint(0), 4.0) == [KEY]
    assert sends.undecided(KEY) == []


def test_endpoints_in_doubt_are_examined_before_one_too_many_may_end() -> None:
    sends = sends_with(KEY, 2, broken=1)
    assert sends.permission(KEY, 4.0) is Permission.EXAMINE
    sends.record_endpoint_ended(endpoint(2), 4.0)
    assert sends.permission(KEY, 4.0) is Permission.WITHHELD


def test_an_end_that_is_found_long_after_a_lost_answer_is_not_blamed_on_it() -> None:
    sends = sends_with(KEY, 0, broken=1)
    over_s = 0.5 + ENDING_S
    assert sends.record_endpoint_answered(endpoint(0), over_s) == [KEY]
    assert sends.record_endpoint_ended(endpoint(0), over_s + UNDECIDED_S + 0.1) == []


def test_an_endpoint_that_answers_later_has_not_ended() -> None:
    sends = sends_with(KEY, 3)
    assert sends.record_endpoint_alive(endpoint(0), 0.5 + ALIVE_AFTER_S - 0.1) == []
    assert sends.permission(KEY, 4.0) is Permission.WITHHELD
    assert sends.record_endpoint_alive(endpoint(0), 0.5 + ALIVE_AFTER_S) == [KEY]
    assert sends.permission(KEY, 4.0) is Permission.ALONE


def test_an_endpoint_in_doubt_that_answers_anything_counts_no_more_but_may_yet_have_ended() -> None:
    sends = sends_with(KEY, 2, broken=1)
    assert sends.permission(KEY, 3.0) is Permission.EXAMINE
    assert sends.record_endpoint_answered(endpoint(2), 2.5 + ENDING_S) == [KEY]
    assert sends.permission(KEY, 4.0) is Permission.ALONE
    # The answer was that of a later incarnation.
    assert sends.record_endpoint_ended(endpoint(2), 4.0) == [KEY]
    assert sends.permission(KEY, 4.0) is Permission.WITHHELD


def test_a_doubt_lasts_until_its_endpoint_answers_but_not_for_ever() -> None:
    sends = sends_with(KEY, 0, broken=MAX_ENDED)
    assert sends.permission(KEY, KEEP_S) is Permission.EXAMINE
    sends.forget_old(KEEP_S)
    assert sends.permission(KEY, KEEP_S) is Permission.EXAMINE
    assert sends.permission(KEY, KEEP_S + MAX_ENDED) is Permission.FREE


def test_a_later_send_to_the_same_endpoint_puts_it_in_doubt_again() -> None:
    sends = sends_with(KEY, 0, broken=1)
    sends.record_endpoint_answered(endpoint(0), 0.5 + ENDING_S)
    sends.record_broken(KEY, endpoint(0), BrokenSend(1.6, 1.7))
    assert sends.undecided(KEY) == [endpoint(0)]
    # The same send, as another host tells it.
    sends.record_answered(KEY, endpoint(0), BrokenSend(1.601, 1.701))
    assert sends.undecided(KEY) == []


def test_a_request_avoids_the_endpoints_that_ended_or_are_in_doubt() -> None:
    sends = sends_with(KEY, 1, broken=2)
    sends.record_endpoint_answered(endpoint(2), 2.5 + ENDING_S)
    assert sends.failed_endpoints(KEY) == {"e-0", "e-1"}


def test_a_request_that_is_answered_begins_anew() -> None:
    sends = sends_with(KEY, 2)
    assert sends.record_served(KEY) == [endpoint(0), endpoint(1)]
    assert sends.permission(KEY, 4.0) is Permission.FREE


def test_equal_requests_of_many_callers_that_fail_together_count_once() -> None:
    sends = EndedSends()
    for number in range(5):
        sends.record_broken(ANYBODY, endpoint(number), BrokenSend(1.0 + number / 100, 2.0))
        sends.record_endpoint_ended(endpoint(number), 2.1)
    assert sends.permission(ANYBODY, 3.0) is Permission.FREE


def test_equal_requests_of_unknown_callers_that_fail_one_after_the_other_all_count() -> None:
    assert sends_with(ANYBODY, 3).permission(ANYBODY, 4.0) is Permission.WITHHELD


def test_several_attempts_at_once_stay_within_the_endpoints_that_are_left() -> None:
    sends = sends_with(KEY, 1)
    assert sends.begin_send(KEY, "e-7", is_trial=False)
    assert sends.permission(KEY, 2.0) is Permission.FREE
    sends.begin_send(KEY, "e-8", is_trial=False)
    assert sends.permission(KEY, 2.0) is Permission.BUSY
    sends.end_send(KEY, "e-8")
    assert sends.permission(KEY, 2.0) is Permission.FREE


def test_no_two_requests_are_on_trial_at_one_endpoint() -> None:
    sends, other = sends_with(KEY, 2), RequestKey("c", True)
    sends.begin_send(KEY, "e-7", is_trial=True)
    sends.record_trial(KEY, "e-8", 3.0)
    assert sends.trial_endpoints(other, 3.0) == {"e-7", "e-8"}
    assert sends.trial_endpoints(KEY, 3.0) == frozenset()
    sends.end_send(KEY, "e-7")
    sends.record_trial_over(KEY, "e-8")
    assert sends.trial_endpoints(other, 3.0) == frozenset()


def test_another_hosts_trial_makes_a_request_wait_until_it_ends_or_lapses() -> None:
    sends = sends_with(KEY, 2)
    sends.record_trial(KEY, "e-8", 3.0)
    assert sends.permission(KEY, 3.0) is Permission.BUSY
    assert sends.permission(KEY, 3.1 + TRIAL_S) is Permission.ALONE


def test_what_is_old_is_forgotten() -> None:
    sends = sends_with(KEY, 3)
    sends.forget_old(KEEP_S)
    assert sends.permission(KEY, KEEP_S) is Permission.WITHHELD
    sends.forget_old(KEEP_S + 4.0)
    assert len(sends) == 0
    assert sends.permission(KEY, KEEP_S + 4.0) is Permission.FREE


def test_memory_is_bounded_and_a_storm_of_failures_displaces_no_request_that_ends_endpoints() -> (
    None
):
    sends = sends_with(KEY, 3)
    for number in range(3 * MAX_REQUESTS):
        key = RequestKey(f"r-{number}", True)
        sends.record_broken(key, endpoint(9), BrokenSend(4.0, 4.5))
    sends.record_endpoint_ended(endpoint(9), 4.6)
    assert len(sends) == MAX_REQUESTS
    assert sends.permission(KEY, 5.0) is Permission.WITHHELD


def test_a_request_of_which_many_answers_are_lost_stays_small() -> None:
    sends = sends_with(KEY, 2, broken=10 * MAX_SENDS)
    assert len(sends.counting(KEY)) == MAX_SENDS
    assert len(sends.ended(KEY)) == 2


def test_hosts_that_remember_the_same_ends_have_the_same_digest() -> None:
    one, other = EndedSends(), EndedSends()
    for number in range(3):
        one.record_ended(KEY, endpoint(number), BrokenSend(1.0, 2.0), 3.0)
        other.record_ended(KEY, endpoint(2 - number), BrokenSend(1.0, 2.0), 9.0)
    assert one.digest(9.0) == other.digest(9.0) != 0
    other.record_cleared(KEY, endpoint(0), BrokenSend(1.0, 2.0))
    assert one.digest(9.0) != other.digest(9.0)
    assert one.digest(2.1 + KEEP_S) == 0
    # A doubt counts like an end, so a host that missed it must notice.
    one.record_broken(KEY, endpoint(7), BrokenSend(8.0, 9.0))
    before = one.digest(9.0 + TOLD_WITHIN_S)
    one.record_endpoint_answered(endpoint(7), 9.0 + ENDING_S)
    assert one.digest(9.0 + TOLD_WITHIN_S) not in {0, before}


def test_an_end_that_is_told_after_its_time_is_not_remembered_again() -> None:
    sends = EndedSends()
    send = BrokenSend(1.0, 2.0)
    assert not sends.record_ended(KEY, endpoint(0), send, 2.1 + KEEP_S)
    assert len(sends) == 0


def test_a_clearance_is_remembered_for_hosts_that_missed_it() -> None:
    sends = sends_with(KEY, 1)
    sends.record_served(KEY)
    sends.forget_old(KEEP_CLEARED_S)
    assert not sends.record_ended(KEY, endpoint(0), BrokenSend(0.0, 0.5), 9.0)
    sends.forget_old(KEEP_CLEARED_S + 1.0)
    assert len(sends) == 0


def test_a_send_that_began_before_anything_failed_counts_before_any_claim() -> None:
    sends = sends_with(KEY, 2)
    claim = sends.begin_send(KEY, "e-8", is_trial=True, number=1, now_s=4.0)
    assert sends.permission(KEY, 4.1, claim=claim) is Permission.ALONE
    sends.record_trial(KEY, "e-9", 4.01, number=0, is_trial=False)
    assert sends.permission(KEY, 4.1, claim=claim) is Permission.BUSY


def test_equal_requests_of_unknown_callers_wait_for_the_first_that_is_sent_again() -> None:
    sends = sends_with(ANYBODY, 1)
    first = sends.begin_send(ANYBODY, "e-8", is_trial=False, number=1, now_s=4.0)
    second = sends.begin_send(ANYBODY, "e-9", is_trial=False, number=2, now_s=4.0)
    assert sends.permission(ANYBODY, 4.0, claim=first) is Permission.FREE
    assert sends.permission(ANYBODY, 4.0, claim=second) is Permission.WAIT
    sends.record_served(ANYBODY)
    assert sends.permission(ANYBODY, 4.0, claim=second) is Permission.FREE


@attrs.frozen
class Claim:
    """One host's claim, and how long its message takes to the others."""

    at_s: float
    number: int
    delay_s: float


@given(
    st.integers(1, MAX_ENDED - 1),
    st.lists(
        st.builds(Claim, st.floats(10.0, 10.1), st.integers(1, 2**62), st.floats(0.0, LATENCY_S)),
        min_size=1,
        max_size=6,
        unique_by=lambda claim: claim.number,
    ),
)
def test_hosts_that_claim_together_send_to_no_more_endpoints_than_are_left(
    lost: int, claims: list[Claim]
) -> None:
    allowed = 0
    for own in claims:
        sends = sends_with(KEY, lost)
        begun = sends.begin_send(KEY, f"e-{own.number}", False, own.number, own.at_s)
        decided_s = own.at_s + SETTLE_S
        for other in claims:
            heard_s = other.at_s + other.delay_s
            if other is not own and heard_s <= decided_s:
                sends.record_trial(KEY, f"e-{other.number}", heard_s, other.number, False)
        permission = sends.permission(KEY, decided_s, claim=begun)
        allowed += permission in {Permission.FREE, Permission.ALONE}
    assert allowed <= MAX_ENDED - lost


@attrs.frozen
class News:
    """An end or a clearance that hosts tell each other."""

    is_cleared: bool
    endpoint: int


@given(
    st.lists(st.builds(News, st.booleans(), st.integers(0, 4)), max_size=8),
    st.randoms(use_true_random=False),
)
def test_hosts_agree_whatever_the_order_and_repetition_of_news(
    news: list[News], order: random.Random
) -> None:
    def heard(messages: list[News]) -> list[EndpointIncarnation]:
        sends = EndedSends()
        for each in messages:
            send = BrokenSend(each.endpoint, each.endpoint + 0.5)
            if each.is_cleared:
                sends.record_cleared(KEY, endpoint(each.endpoint), send)
            else:
                sends.record_ended(KEY, endpoint(each.endpoint), send, 9.0)
        return sorted(sends.ended(KEY), key=lambda each: each.endpoint)

    again = [*news, *news]
    order.shuffle(again)
    assert heard(again) == heard(news)
