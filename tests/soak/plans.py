"""Plans of soaks: the size of the site and the faults that are injected concurrently."""

import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import attrs

from tests.soak.crowds import Crowds
from tests.soak.endpoint_faults import EndpointFaults
from tests.soak.faults import Faults

Fault = Callable[[], Awaitable[None]]

SIZES = ((3, 3), (3, 3), (3, 3), (3, 3), (7, 3), (4, 5))
"""Numbers of entry and disk hosts, of which one pair is drawn; a process uses about 35 MB."""

MANY_WATCHERS = (7, 3)
"""Numbers of entry and disk hosts with which two halls have several watchers each."""


class Plan(ABC):
    """One kind of soak."""

    has_accounts = False
    """Whether callers send API keys of client accounts."""

    endpoints_per_service = 2

    has_fatal_requests = False
    """Whether callers send requests under which endpoints end."""

    goes_on_from_others = False
    """Whether programs begin with other programs' turns, and some turns are long."""

    @abstractmethod
    def size(self, seed: int) -> tuple[int, int]:
        """Returns the numbers of entry and disk hosts for a seed."""

    @abstractmethod
    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        """Returns the faults; each of them is repeated."""


class Overlapping(Plan):
    """Draws some of all kinds of faults."""

    def size(self, seed: int) -> tuple[int, int]:
        return random.Random(f"size {seed}").choice(SIZES)

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        kinds = rng.sample(faults.series(), k=rng.randint(1, 3))
        return kinds + rng.sample(endpoint_faults.series(), k=rng.randint(2, 4))


@attrs.frozen
class ShortSilences(Plan):
    """Short silences of the store while entries change, so that only some watches hang.

    A draw from all kinds seldom combines these.
    """

    disrupts_entries: bool

    def size(self, seed: int) -> tuple[int, int]:
        return MANY_WATCHERS

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        kinds: list[Fault] = [faults.change_behind_short_silence]
        if self.disrupts_entries:
            kinds.append(faults.hurt_entry)
        return [*kinds, *[endpoint_faults.write_odd_entry] * 3, endpoint_faults.start_again]


class KeysAndLimits(Overlapping):
    """Revokes keys and changes limits during faults of hosts and of the store."""

    has_accounts = True

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        host_faults: list[Fault] = [faults.trouble_store, faults.hurt_entry, faults.stop_entry]
        account_faults: list[Fault] = [faults.take_key_away, faults.change_limit]
        others = [fault for fault in faults.series() if fault not in host_faults]
        return account_faults + rng.sample(host_faults, k=2) + rng.sample(others, k=1)


class EndingEndpoints(Plan):
    """Endpoints end under certain requests while hosts, the store and links are hurt."""

    endpoints_per_service = 8
    has_fatal_requests = True

    def size(self, seed: int) -> tuple[int, int]:
        return random.Random(f"size {seed}").choice(SIZES)

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        host_faults: list[Fault] = [faults.hurt_entry, faults.stop_entry, faults.trouble_store]
        # Not those whose proxies stay up for an endpoint that has ended.
        others: list[Fault] = [faults.change_behind_outage, endpoint_faults.break_streams]
        return rng.sample(host_faults, k=2) + rng.sample(others, k=1)


class CrowdsBesideFaults(Plan):
    """Crowds of clients beyond the limits, while hosts are killed, stopped and reloaded."""

    def size(self, seed: int) -> tuple[int, int]:
        return (3, 3)

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        crowds = Crowds(rng, faults.entries, faults.report)
        host_faults: list[Fault] = [faults.hurt_entry, faults.stop_entry, faults.trouble_store]
        return [crowds.send, crowds.send, faults.reload_settings, rng.choice(host_faults)]


class KeptChains(Plan):
    """Programs go on from others' long turns, while disks are lost and all of them are killed."""

    goes_on_from_others = True

    def size(self, seed: int) -> tuple[int, int]:
        return (3, 6)

    def series(
        self, rng: random.Random, faults: Faults, endpoint_faults: EndpointFaults
    ) -> list[Fault]:
        others: list[Fault] = [faults.hurt_entry, faults.stop_entry, faults.trouble_store]
        return [faults.hurt_disk, faults.restart_all_disks, rng.choice(others)]


PLAN_BY_KIND: dict[str, Plan] = {
    "overlapping": Overlapping(),
    "accounts": KeysAndLimits(),
    "crowds": CrowdsBesideFaults(),
    "ending-endpoints": EndingEndpoints(),
    "kept-chains": KeptChains(),
    "short-silences": ShortSilences(disrupts_entries=False),
    "short-silences-hurt": ShortSilences(disrupts_entries=True),
}
