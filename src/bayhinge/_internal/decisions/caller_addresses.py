"""Selects the host addresses that are advertised to a caller. Pure.

A caller picks one of the addresses at random for each connection. Where its own hall has enough
hosts, only these and a spare are advertised: requests then stay in the hall of their endpoints and
turns, which saves traffic and connections between halls.
"""

import math
import random
from collections.abc import Iterable, Sequence

import attrs

from bayhinge.coordination.rendezvous import rank

MIN_LOCAL_HOSTS = 8
"""Ready hosts with which a hall serves its callers alone; it can lose several of them."""

SPARE_HOSTS = 1
"""Hosts of other halls that are advertised too, in case the whole hall is lost. Callers pick at
random, so each spare takes its share of the requests: beside ten hosts of the hall, one spare gets
9% of them and two get 17%."""

MIN_ADVERTISED_HOSTS = 10
"""Hosts of a hall that are advertised at least. Each host keeps its own connections to endpoints,
so fewer hosts reuse more of them; a third of the hosts may be lost."""

REQUESTS_PER_HOST = 12.0
"""Requests a second of one host beyond which further hosts are advertised. Low, as a burst may
treble the load; a request costs some 4 ms of processor time."""


FULL_THOUSANDTHS = 900
"""Part of its memory budget from which a host is nearly full. Heartbeats are about a second old, in
which the remaining tenth is used up by a few long bodies."""


@attrs.frozen(eq=False, repr=False)
class ReadyHost:
    """A host that accepts callers' requests.

    Attributes:
        requests_per_s: its current rate of callers' requests.
        is_partitioned: it can't reach the disks directly, and reaches them only through relays.
        memory_used: part of its memory budget in use, in thousandths.
        is_advertised: its own hall's callers get its address, so it has connections to endpoints.
    """

    address: str
    hall: str
    region: str
    requests_per_s: int = 0
    is_partitioned: bool = False
    is_advertised: bool = False
    memory_used: int = 0


def addresses_for(
    hosts: Iterable[ReadyHost], hall: str, region: str, generator: random.Random
) -> list[str]:
    """Returns the addresses for a caller in ``hall``, the nearest first."""
    ordered = sorted(
        _with_room(_without_partitioned(list(hosts))),
        key=lambda host: (host.hall != hall, host.region != region, host.address),
    )
    local = [host for host in ordered if host.hall == hall]
    if len(local) < MIN_LOCAL_HOSTS:
        return [host.address for host in ordered]
    others = [host for host in ordered if host.hall != hall]
    return hosts_to_advertise(local, hall) + _spares(others, region, generator)


def _spares(others: Sequence[ReadyHost], region: str, generator: random.Random) -> list[str]:
    """Returns hosts of other halls, preferably of the same region and already advertised."""
    pool = [host for host in others if host.region == region] or others
    # Idle hosts would open connections to endpoints for a few requests each.
    pool = [host for host in pool if host.is_advertised] or pool
    return [host.address for host in generator.sample(pool, min(SPARE_HOSTS, len(pool)))]


def _without_partitioned(hosts: Sequence[ReadyHost]) -> Sequence[ReadyHost]:
    """Leaves out partitioned hosts, unless most hosts are: then the disks themselves are down."""
    connected = [host for host in hosts if not host.is_partitioned]
    return connected if 2 * len(connected) >= len(hosts) else hosts


def _with_room(hosts: Sequence[ReadyHost]) -> Sequence[ReadyHost]:
    """Leaves out hosts that are nearly full, unless most are: the others would then be overrun."""
    with_room = [host for host in hosts if host.memory_used < FULL_THOUSANDTHS]
    return with_room if 2 * len(with_room) >= len(hosts) else hosts


def hosts_to_advertise(local: Sequence[ReadyHost], hall: str) -> list[str]:
    """Returns the hosts of a hall to advertise for its load; every host returns the same ones."""
    rate = sum(host.requests_per_s for host in local)
    count = max(MIN_ADVERTISED_HOSTS, math.ceil(rate / REQUESTS_PER_HOST))
    if count >= len(local):
        return [host.address for host in local]
    return rank(f"callers of {hall}", [host.address for host in local])[:count]
