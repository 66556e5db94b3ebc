"""Guards against hosts without a coordinator that release all their waiting requests at once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.local_share import ServiceView, local_limit


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 30), min_size=1, max_size=90), st.integers(1, 200))
def test_all_hosts_together_exceed_the_slots_by_one_request_per_host(
    running: list[int], slots: int
) -> None:
    free = max(0, slots - sum(running))
    limits = [local_limit(ServiceView(one, slots, free, len(running))) for one in running]
    assert sum(limits) <= max(slots, sum(running)) + len(running)


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 90), st.integers(1, 200))
def test_hosts_of_an_idle_service_may_use_all_its_slots(hosts: int, slots: int) -> None:
    limits = [local_limit(ServiceView(0, slots, slots, hosts))] * hosts
    assert sum(limits) > slots - hosts


def test_a_host_may_always_have_one_request_in_flight() -> None:
    assert local_limit(ServiceView(0, 6, 0, 79)) == 1


def test_a_host_may_replace_its_own_requests_while_no_slot_is_free() -> None:
    assert local_limit(ServiceView(4, 6, 0, 79)) == 4


def test_a_host_below_its_share_may_use_one_of_few_free_slots() -> None:
    assert local_limit(ServiceView(1, 12, 2, 4)) == 2
    assert local_limit(ServiceView(3, 12, 2, 4)) == 3
