"""Which hosts a caller is told of. Pure.

A caller draws one of the addresses for each connection. Where its own hall has hosts enough,
it is told of these: its requests then stay in the hall with their endpoints and their turns,
and fewer bytes and fewer connections go between halls.
"""

import math
import random
from collections.abc import Iterable, Sequence

import attrs

from bayhinge.coordination.rendezvous import rank

ENOUGH_NEAR = 8
"""Ready hosts of a hall that serve its callers by themselves; several of them may be lost
before the others feel it."""

SPARES = 1
"""Hosts of other halls that are told as well, for the case that a whole hall is lost. Callers draw
among all that they are told of, so with ten of the own hall one spare gets 9 in 100 of the
requests, two get 17."""

TOLD_NEAR = 10
"""Hosts of a hall that its callers are told of while these carry the load. Each host keeps its own
connections to endpoints, so the fewer hosts send, the more of the connections are used again: of a
hall's 80 requests a second 0.31 open one where all of 35 hosts send, 0.17 where 20 do, 0.12 with 12
and 0.10 with 10 (played in virtual time, connections kept for 8 s). The loss of every third of so
many leaves enough, and a spare."""

REQUESTS_A_HOST = 12.0
"""Requests a second that are expected of one host before callers are told of more. One takes 4 ms
of processor time (a played day of 17,323 requests, starts taken off), so that a host is at a
twentieth of a core, and a burst may treble it. Each further host opens its own connections."""


@attrs.frozen
class ReadyHost:
    """A host that takes callers' requests.

    Attributes:
        requests_per_s: what callers ask of it now.
        is_cut_off: it serves, but reaches the disks only through other hosts.
        is_told: callers of its own hall are told of it, so it has connections to endpoints.
    """

    address: str
    hall: str
    region: str
    requests_per_s: int = 0
    is_cut_off: bool = False
    is_told: bool = False


def addresses_for(
    hosts: Iterable[ReadyHost], hall: str, region: str, generator: random.Random
) -> list[str]:
    """Returns the addresses for a caller in ``hall``, those near it first."""
    ordered = sorted(
        _well(list(hosts)),
        key=lambda host: (host.hall != hall, host.region != region, host.address),
    )
    near = [host for host in ordered if host.hall == hall]
    if len(near) < ENOUGH_NEAR:
        return [host.address for host in ordered]
    others = [host for host in ordered if host.hall != hall]
    return sending(near, hall) + _spares(others, region, generator)


def _spares(others: Sequence[ReadyHost], region: str, generator: random.Random) -> list[str]:
    """Returns hosts of other halls, if there are any of the region and with work already."""
    pool = [host for host in others if host.region == region] or others
    # Others would open connections to endpoints for a few requests each.
    pool = [host for host in pool if host.is_told] or pool
    return [host.address for host in generator.sample(pool, min(SPARES, len(pool)))]


def _well(hosts: Sequence[ReadyHost]) -> Sequence[ReadyHost]:
    """Leaves out hosts that are cut off, unless that is most of them: then the disks are gone."""
    well = [host for host in hosts if not host.is_cut_off]
    return well if 2 * len(well) >= len(hosts) else hosts


def sending(near: Sequence[ReadyHost], hall: str) -> list[str]:
    """Returns as many of a hall's ready hosts as its load needs, the same ones whoever is asked."""
    rate = sum(host.requests_per_s for host in near)
    count = max(TOLD_NEAR, math.ceil(rate / REQUESTS_A_HOST))
    if count >= len(near):
        return [host.address for host in near]
    return rank(f"callers of {hall}", [host.address for host in near])[:count]
