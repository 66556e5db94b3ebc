"""Guards against a large hall that opens too many connections to endpoints (simulated)."""

import heapq
import random

import attrs
import pytest

from bayhinge._internal.decisions import caller_addresses
from bayhinge._internal.decisions.caller_addresses import ReadyHost, addresses_for
from bayhinge._internal.decisions.endpoint_table import EndpointTable, PlacementPreference
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation

HALL_HOSTS = 35
IDLE_CONNECTION_S = 8.0
"""Idle time of connections: 0.8 of the ten seconds that endpoints allow."""

REQUESTS_PER_S = 80.0
"""Requests per second of a hall, half of them turns of programs."""

DURATION_S = 34.0
ENGINES, SERVICES = 6, 7
SAME_ENGINE_SHARE = 0.7
"""Share of turns that prefer the engine of the turn before."""

MEAN_REQUEST_S = 0.2
SLOTS = 6


@attrs.frozen
class SimulationResult:
    """The result of a simulation.

    Attributes:
        opened: share of the requests that opened a connection.
        refused: share of the requests that went to a lost host.
        busiest_per_s: requests per second of the busiest host.
        most_at_once: most concurrent requests at one endpoint.
    """

    opened: float
    refused: float
    busiest_per_s: float
    most_at_once: int


def hosts_of(rate: float, count: int = HALL_HOSTS) -> list[ReadyHost]:
    return [
        ReadyHost(f"host-{number}", "north", "", requests_per_s=round(rate / count))
        for number in range(count)
    ]


def hall_table() -> EndpointTable:
    endpoint_table = EndpointTable("north")
    for service, count in (("llm", ENGINES), ("app", SERVICES)):
        for number in range(count):
            instance = f"{service}-{number}"
            address = f"127.0.0.1:{number}"
            endpoint_table.put(EndpointEntry(instance, service, address, "north", SLOTS, False))
    return endpoint_table


def simulate(
    rate: float,
    advertised: list[str],
    lost_hosts: frozenset[str] = frozenset(),
    prefers_connected: bool = True,
) -> SimulationResult:
    generator = random.Random(7)
    endpoint_table = hall_table()
    idle: dict[tuple[str, str], list[float]] = {}
    completions: list[tuple[float, str, str]] = []
    requests_by_host: dict[str, int] = {}
    now_s, count, opened, refused, most_at_once = 0.0, 0, 0, 0, 0
    while now_s < DURATION_S:
        now_s += generator.expovariate(rate)
        count += 1
        while completions and completions[0][0] <= now_s:
            ended_s, host, instance = heapq.heappop(completions)
            idle.setdefault((host, instance), []).append(ended_s + IDLE_CONNECTION_S)
            endpoint_table.find(instance).running_here -= 1  # type: ignore[union-attr]
        host = generator.choice(advertised)
        if host in lost_hosts:
            refused += 1
            continue
        preference = PlacementPreference()
        is_turn = generator.random() < 0.5
        if is_turn and generator.random() < SAME_ENGINE_SHARE:
            preference = PlacementPreference(
                EndpointIncarnation(f"llm-{generator.randrange(ENGINES)}"), kept_tokens=3000
            )
        connected_instances = {
            key
            for (at, key), idle_until in idle.items()
            if at == host and idle_until and idle_until[-1] > now_s
        }
        if prefers_connected:
            preference = attrs.evolve(preference, connected=frozenset(connected_instances))
        state = endpoint_table.choose("llm" if is_turn else "app", preference, (), now_s)
        assert state is not None
        state.running_here += 1
        most_at_once = max(most_at_once, state.running_here)
        idle_until = idle.setdefault((host, state.entry.instance), [])
        while idle_until and idle_until[-1] < now_s:
            idle_until.pop()
        if idle_until:
            idle_until.pop()
        else:
            opened += 1
        took_s = generator.expovariate(1 / MEAN_REQUEST_S)
        heapq.heappush(completions, (now_s + took_s, host, state.entry.instance))
        requests_by_host[host] = requests_by_host.get(host, 0) + 1
    busiest_per_s = max(requests_by_host.values()) / DURATION_S
    return SimulationResult(opened / count, refused / count, busiest_per_s, most_at_once)


def advertised(rate: float) -> list[str]:
    return addresses_for(hosts_of(rate), "north", "", random.Random(1))


def test_fewer_sending_hosts_reuse_more_connections() -> None:
    all_hosts = simulate(
        REQUESTS_PER_S, [host.address for host in hosts_of(REQUESTS_PER_S)], prefers_connected=False
    )
    few_hosts = simulate(REQUESTS_PER_S, advertised(REQUESTS_PER_S), prefers_connected=False)
    print(all_hosts, few_hosts)
    assert all_hosts.opened > 0.25
    assert few_hosts.opened < 0.13
    assert few_hosts.busiest_per_s < caller_addresses.REQUESTS_PER_HOST


def test_of_equal_endpoints_a_connected_one_is_chosen() -> None:
    all_hosts = [host.address for host in hosts_of(REQUESTS_PER_S)]
    for names in (all_hosts, advertised(REQUESTS_PER_S)):
        unaware, aware = (
            simulate(REQUESTS_PER_S, names, prefers_connected=False),
            simulate(REQUESTS_PER_S, names),
        )
        print(unaware, aware)
        assert aware.opened < 0.86 * unaware.opened
        assert aware.most_at_once <= unaware.most_at_once, (
            "balance takes precedence over open connections"
        )


def test_the_loss_of_every_third_host_fails_less_than_half_of_requests() -> None:
    all_hosts = [host.address for host in hosts_of(REQUESTS_PER_S)]
    lost_hosts = frozenset(all_hosts[::3])
    few_hosts = simulate(REQUESTS_PER_S, advertised(REQUESTS_PER_S), lost_hosts)
    print(simulate(REQUESTS_PER_S, all_hosts, lost_hosts), few_hosts)
    assert few_hosts.refused < 0.5


@pytest.mark.parametrize("burst", [2, 3])
def test_a_burst_is_spread_over_more_hosts_once_it_is_known(burst: int) -> None:
    known = simulate(burst * REQUESTS_PER_S, advertised(burst * REQUESTS_PER_S))
    unknown = simulate(burst * REQUESTS_PER_S, advertised(REQUESTS_PER_S))
    print(known, unknown)
    assert known.busiest_per_s < 1.2 * caller_addresses.REQUESTS_PER_HOST
    assert unknown.busiest_per_s < burst * caller_addresses.REQUESTS_PER_HOST
