"""How many connections to endpoints a large hall opens, by the hosts that its callers know.

Real choices of addresses and endpoints, in virtual time: callers draw a host for each request, the
hall's coordinator chooses the endpoint, and each host keeps its own connections for eight seconds.
"""

import heapq
import random

import attrs
import pytest

from bayhinge._internal.decisions import caller_addresses
from bayhinge._internal.decisions.caller_addresses import ReadyHost, addresses_for
from bayhinge._internal.decisions.endpoint_book import EndpointTable, PlacementPreference
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation

HALL_HOSTS = 35
KEPT_S = 8.0
"""0.8 of the ten seconds that endpoints name."""

RATE = 80.0
"""Requests a second of a hall, half of them turns of programs."""

LENGTH_S = 34.0
ENGINES, SERVICES = 6, 7
OWN_ENGINE = 0.7
"""Turns that go back to the engine of the turn before."""

WORK_S = 0.2
SLOTS = 6


@attrs.frozen
class Played:
    """Shares of all requests, the most that one host had a second, and one endpoint at once."""

    opened: float
    refused: float
    busiest_per_s: float
    most_at_once: int


def hosts_of(rate: float, count: int = HALL_HOSTS) -> list[ReadyHost]:
    return [
        ReadyHost(f"host-{number}", "north", "", requests_per_s=round(rate / count))
        for number in range(count)
    ]


def table_of_a_hall() -> EndpointTable:
    endpoint_table = EndpointTable("north")
    for service, count in (("llm", ENGINES), ("app", SERVICES)):
        for number in range(count):
            instance = f"{service}-{number}"
            address = f"127.0.0.1:{number}"
            endpoint_table.put(EndpointEntry(instance, service, address, "north", SLOTS, False))
    return endpoint_table


def play(
    rate: float, told: list[str], lost: frozenset[str] = frozenset(), says_connected: bool = True
) -> Played:
    generator = random.Random(7)
    endpoint_table = table_of_a_hall()
    idle: dict[tuple[str, str], list[float]] = {}
    ends: list[tuple[float, str, str]] = []
    requests_by_host: dict[str, int] = {}
    now_s, count, opened, refused, most = 0.0, 0, 0, 0, 0
    while now_s < LENGTH_S:
        now_s += generator.expovariate(rate)
        count += 1
        while ends and ends[0][0] <= now_s:
            ended_s, host, instance = heapq.heappop(ends)
            idle.setdefault((host, instance), []).append(ended_s + KEPT_S)
            endpoint_table.find(instance).running_here -= 1  # type: ignore[union-attr]
        host = generator.choice(told)
        if host in lost:
            refused += 1
            continue
        preference = PlacementPreference()
        is_turn = generator.random() < 0.5
        if is_turn and generator.random() < OWN_ENGINE:
            preference = PlacementPreference(
                EndpointIncarnation(f"llm-{generator.randrange(ENGINES)}"), kept_tokens=3000
            )
        free = {key for (at, key), kept in idle.items() if at == host and kept and kept[-1] > now_s}
        if says_connected:
            preference = attrs.evolve(preference, connected=frozenset(free))
        state = endpoint_table.choose("llm" if is_turn else "app", preference, (), now_s)
        assert state is not None
        state.running_here += 1
        most = max(most, state.running_here)
        kept = idle.setdefault((host, state.entry.instance), [])
        while kept and kept[-1] < now_s:
            kept.pop()
        if kept:
            kept.pop()
        else:
            opened += 1
        took_s = generator.expovariate(1 / WORK_S)
        heapq.heappush(ends, (now_s + took_s, host, state.entry.instance))
        requests_by_host[host] = requests_by_host.get(host, 0) + 1
    busiest_per_s = max(requests_by_host.values()) / LENGTH_S
    return Played(opened / count, refused / count, busiest_per_s, most)


def told(rate: float) -> list[str]:
    return addresses_for(hosts_of(rate), "north", "", random.Random(1))


def test_few_hosts_that_send_use_their_connections_again() -> None:
    everybody = play(RATE, [host.address for host in hosts_of(RATE)], says_connected=False)
    chosen = play(RATE, told(RATE), says_connected=False)
    print(everybody, chosen)
    assert everybody.opened > 0.25
    assert chosen.opened < 0.13
    assert chosen.busiest_per_s < caller_addresses.REQUESTS_PER_HOST


def test_of_equal_endpoints_one_that_is_connected_is_chosen() -> None:
    everybody = [host.address for host in hosts_of(RATE)]
    for names in (everybody, told(RATE)):
        without, with_them = play(RATE, names, says_connected=False), play(RATE, names)
        print(without, with_them)
        assert with_them.opened < 0.86 * without.opened
        assert with_them.most_at_once <= without.most_at_once, "balance comes first"


def test_the_loss_of_every_third_host_meets_no_more_callers_than_before() -> None:
    all_hosts = [host.address for host in hosts_of(RATE)]
    lost = frozenset(all_hosts[::3])
    few = play(RATE, told(RATE), lost)
    print(play(RATE, all_hosts, lost), few)
    assert few.refused < 0.5


@pytest.mark.parametrize("burst", [2, 3])
def test_a_burst_is_carried_by_more_hosts_once_it_is_known(burst: int) -> None:
    known = play(burst * RATE, told(burst * RATE))
    unknown = play(burst * RATE, told(RATE))
    print(known, unknown)
    assert known.busiest_per_s < 1.2 * caller_addresses.REQUESTS_PER_HOST
    assert unknown.busiest_per_s < burst * caller_addresses.REQUESTS_PER_HOST
