"""Which hosts a caller is told of. Pure.

A caller draws one of the addresses for each connection. Where its own hall has hosts enough,
it is told of these: its requests then stay in the hall with their endpoints and their turns,
and fewer bytes and fewer connections go between halls.
"""

import random
from collections.abc import Iterable

import attrs

ENOUGH_NEAR = 8
"""Ready hosts of a hall that serve its callers by themselves; several of them may be lost
before the others feel it."""

SPARES = 2
"""Hosts of other halls that are told as well, for the case that a whole hall is lost."""


@attrs.frozen
class ReadyHost:
    """A host that takes callers' requests."""

    address: str
    hall: str
    region: str


def addresses_for(
    hosts: Iterable[ReadyHost], hall: str, region: str, generator: random.Random
) -> list[str]:
    """Returns the addresses for a caller in ``hall``, those near it first."""
    ordered = sorted(
        hosts, key=lambda host: (host.hall != hall, host.region != region, host.address)
    )
    near = [host.address for host in ordered if host.hall == hall]
    if len(near) < ENOUGH_NEAR:
        return [host.address for host in ordered]
    same_region = [host.address for host in ordered if host.hall != hall and host.region == region]
    others = same_region or [host.address for host in ordered if host.hall != hall]
    return near + generator.sample(others, min(SPARES, len(others)))
