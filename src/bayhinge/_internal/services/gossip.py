"""Exchanges heartbeats between hosts over UDP: membership, phases, versions and loads.

Heartbeats are only hints: a newer version triggers a fetch, loads improve placement, and a
silent host is left out of the addresses that callers get.
"""

import asyncio
import copy
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import eliot
from mode import Service

from bayhinge._internal.decisions.last_seen import LastSeen, advertised_s, short_incarnation
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.datagrams import DatagramReceiver
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.utils.checked_fields import is_ipv4_with_port
from bayhinge._internal.utils.log_output import LineBudget
from bayhinge._internal.wire.hosts.ttypes import Hello, HostPhase, HostRole

PERIOD_S = 0.3
"""Time between two rounds of heartbeats, in a site of up to ``PERIOD_HOSTS`` hosts; it grows
in proportion in larger ones."""

PERIOD_HOSTS = 60

STARTUP_PERIOD_S = 0.05
STARTUP_S = 1.5
"""A host uses ``STARTUP_PERIOD_S`` for so long after its start, to discover others sooner."""

NEAR_TARGETS = 5
FAR_TARGETS = 2
"""Hosts of the own hall, and of other halls, that get a heartbeat in one round, round robin. If
there are fewer of one kind, the other gets the unused places."""

ALL_TARGETS = NEAR_TARGETS + FAR_TARGETS

UNSEEN_TARGETS = 1
"""Addresses that never sent a heartbeat, to which one round goes. They don't count as hosts: the
store's list may hold thousands of removed hosts, which would delay heartbeats to live ones."""

SILENCE_CYCLES = 3
"""A host is left out after a silence of so many full cycles through all targets, but at least
``MIN_SILENCE_S``."""

MIN_SILENCE_S = 1.5

STALL_S = 1.0
"""A round that is late by more than this shows that the process stalled."""

AFTER_STALL_S = 0.5
"""For so long after a stall, heartbeats are not passed on to the hall: they may have been queued
and would keep hosts listed that have gone silent meanwhile."""

CATCH_UP_S = 0.02
"""Time after a stall to read queued heartbeats before the next round, which would otherwise treat
their hosts as silent."""

FORGET_AFTER_S = 60.0
"""An address that was silent for so long is removed."""

INVALID_ADDRESS_LINES_PER_S = 1
"""Rate limit of log lines about invalid addresses."""

MAX_KNOWN_ADDRESSES = 4
"""Known addresses in one heartbeat, a random sample each time."""


@attrs.define(eq=False, repr=False)
class ObservedHost:
    """The newest heartbeat of another host and when it was received, on the loop's clock."""

    heartbeat: Hello
    received_s: float


class Gossip(Service):
    """Sends heartbeats to other hosts and keeps the newest one of each."""

    def __init__(self, settings: SiteSettings, role: HostRole) -> None:
        super().__init__()
        self._settings = settings
        self.own_heartbeat = Hello(
            settings.host,
            random.SystemRandom().getrandbits(62),
            0,
            role,
            HostPhase.STARTING,
            settings.hall,
            settings.gossip_address,
            settings.peer_address,
            settings.front_address,
            {},
            {},
            0,
            [],
            False,
        )
        self._observed_by_host: dict[str, ObservedHost] = {}
        self._last_seen_by_address: dict[str, float] = {}
        self._last_sent_sequence_by_address: dict[str, int] = {}
        self._invalid_address_lines = LineBudget(INVALID_ADDRESS_LINES_PER_S)
        self._near_silence_limit_s = self._far_silence_limit_s = MIN_SILENCE_S
        self._last_seen = LastSeen()
        self._stalled_until_s = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self.on_heartbeat: Callable[[Hello], None] = lambda heartbeat: None
        self.on_round: Callable[[], None] = lambda: None
        self.fill_heartbeat: Callable[[Hello], None] = lambda heartbeat: None

    async def on_start(self) -> None:
        """Opens the socket and starts the rounds of heartbeats."""
        loop = asyncio.get_running_loop()
        host, port = split_address(self._settings.gossip_address)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(lambda data, sender: self._receive(data)),
            local_addr=(host, port),
        )
        self.add_addresses(f"{seed}:{self._settings.gossip_port}" for seed in self._settings.seeds)
        self.add_future(keep_running("hellos", self._run))

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Adds addresses of hosts that may be up, and sends them a heartbeat."""
        now = asyncio.get_running_loop().time()
        new = [
            address
            for address in addresses
            if address != self._settings.gossip_address
            and address not in self._last_seen_by_address
        ]
        # An invalid address would make every round fail and would spread to other hosts.
        valid = [address for address in new if is_ipv4_with_port(address)]
        if len(valid) < len(new) and self._invalid_address_lines.try_acquire(now):
            invalid_count = len(new) - len(valid)
            eliot.log_message(
                "hosts.odd_addresses",
                count=invalid_count,
                untold=self._invalid_address_lines.suppressed,
            )
        for address in valid:
            self._last_seen_by_address[address] = now
        if valid:
            # At once, so that a host that has just started knows the others before it serves.
            self._send_to(valid)

    def recent_heartbeats(self, role: HostRole) -> list[Hello]:
        """Returns the newest heartbeats of hosts that are not silent."""
        now = asyncio.get_running_loop().time()
        own_hall = self._settings.hall
        near_since_s, far_since_s = (
            now - self._near_silence_limit_s,
            now - self._far_silence_limit_s,
        )
        return [
            observed.heartbeat
            for observed in self._observed_by_host.values()
            if observed.heartbeat.role == role
            and observed.received_s
            >= (near_since_s if observed.heartbeat.hall == own_hall else far_since_s)
        ]

    def ready_entry_hosts(self) -> list[Hello]:
        """Returns the heartbeats of entry hosts that were ready for callers a moment ago.

        Hosts of the own hall count if any host of the hall received their heartbeats.
        """
        since_s = asyncio.get_running_loop().time() - advertised_s(self._period_s())
        newest = [
            self._newest(observed)
            for observed in self._observed_by_host.values()
            if observed.heartbeat.role == HostRole.ENTRY
        ]
        return [
            observed.heartbeat
            for observed in newest
            if observed.heartbeat.phase == HostPhase.READY and observed.received_s >= since_s
        ]

    def _newest(self, observed: ObservedHost) -> ObservedHost:
        """Returns a host's state, updated by later heartbeats that other hosts received."""
        last_seen_s = self._last_seen.last_seen_s(short_incarnation(observed.heartbeat.incarnation))
        # LEAVING is final for an incarnation, whatever others received before.
        if last_seen_s <= observed.received_s or observed.heartbeat.phase == HostPhase.LEAVING:
            return observed
        if observed.heartbeat.phase == HostPhase.READY and not observed.heartbeat.is_cut_off:
            return ObservedHost(observed.heartbeat, last_seen_s)
        heartbeat = copy.copy(observed.heartbeat)
        heartbeat.phase, heartbeat.is_cut_off = HostPhase.READY, False
        return ObservedHost(heartbeat, last_seen_s)

    def last_seen_s(self, host: str) -> float:
        """Returns when a host was last seen, on the loop's clock; 0 if never."""
        observed = self._observed_by_host.get(host)
        return 0.0 if observed is None else observed.received_s

    def count_seen_within(self, role: HostRole, time_s: float) -> int:
        """Returns how many hosts, leaving ones included, were seen within ``time_s`` seconds."""
        since_s = asyncio.get_running_loop().time() - time_s
        return sum(
            observed.heartbeat.role == role and observed.received_s >= since_s
            for observed in self._observed_by_host.values()
        )

    def _update_silence_limits(self, near: int, far: int) -> None:
        """Computes after how much silence hosts are left out, from the counts of known hosts."""
        period_s = self._period_s()
        near_rounds = math.ceil(near / NEAR_TARGETS)
        far_rounds = math.ceil(far / max(FAR_TARGETS, ALL_TARGETS - near))
        self._near_silence_limit_s = max(MIN_SILENCE_S, SILENCE_CYCLES * near_rounds * period_s)
        self._far_silence_limit_s = max(MIN_SILENCE_S, SILENCE_CYCLES * far_rounds * period_s)

    def _period_s(self) -> float:
        return PERIOD_S * max(1.0, len(self._observed_addresses()) / PERIOD_HOSTS)

    def _observed_addresses(self) -> set[str]:
        """Returns the addresses of hosts that were seen and not removed since."""
        observed = {host.heartbeat.gossip_address for host in self._observed_by_host.values()}
        return observed & self._last_seen_by_address.keys()

    def send_now(self) -> None:
        """Sends a heartbeat out of turn to the whole hall and some other hosts."""
        near, far = self._split_by_hall()
        self._send_to(near + self._least_recently_sent(far, ALL_TARGETS))

    def knows_others(self) -> bool:
        """Returns whether any other host was seen."""
        return bool(self._observed_by_host)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        startup_until_s = loop.time() + STARTUP_S
        while not self.should_stop:
            self._send_round()
            self.on_round()
            period_s = STARTUP_PERIOD_S if loop.time() < startup_until_s else self._period_s()
            pause_s = period_s * random.uniform(0.8, 1.2)
            due_s = loop.time() + pause_s
            await asyncio.sleep(pause_s)
            late_s = loop.time() - due_s
            self._check_stall(late_s)
            if late_s > STALL_S:
                await asyncio.sleep(CATCH_UP_S)

    def _check_stall(self, late_s: float) -> None:
        if late_s > STALL_S:
            self._last_seen = LastSeen()
            self._stalled_until_s = asyncio.get_running_loop().time() + AFTER_STALL_S

    def _send_round(self) -> None:
        self._forget_silent()
        near, far = self._split_by_hall()
        self._update_silence_limits(len(near), len(far))
        near_count = min(len(near), max(NEAR_TARGETS, ALL_TARGETS - len(far)))
        ages = self._last_seen.ages(asyncio.get_running_loop().time())
        self._send_to(self._least_recently_sent(near, near_count), ages)
        self._send_to(
            self._least_recently_sent(far, ALL_TARGETS - near_count)
            + self._least_recently_sent(self._unseen_addresses(), UNSEEN_TARGETS)
        )

    def _unseen_addresses(self) -> list[str]:
        """Returns the addresses from which no heartbeat was received."""
        observed = self._observed_addresses()
        return [address for address in self._last_seen_by_address if address not in observed]

    def _split_by_hall(self) -> tuple[list[str], list[str]]:
        """Returns the addresses of seen hosts of the own hall, and of all others."""
        observed_addresses = self._observed_addresses()
        near_addresses = {
            observed.heartbeat.gossip_address
            for observed in self._observed_by_host.values()
            if observed.heartbeat.hall == self._settings.hall
        }
        near = [address for address in self._last_seen_by_address if address in near_addresses]
        return near, [
            address
            for address in self._last_seen_by_address
            if address in observed_addresses and address not in near_addresses
        ]

    def _least_recently_sent(self, addresses: list[str], count: int) -> list[str]:
        """Returns the addresses to which heartbeats were sent longest ago."""
        chosen = sorted(
            addresses, key=lambda address: self._last_sent_sequence_by_address.get(address, 0)
        )[:count]
        for address in chosen:
            self._last_sent_sequence_by_address[address] = self.own_heartbeat.beat
        return chosen

    def _send_to(
        self, addresses: Sequence[str], age_by_start: Mapping[int, int] | None = None
    ) -> None:
        if not addresses or self._transport is None or self._transport.is_closing():
            return
        self.own_heartbeat.beat += 1
        self.fill_heartbeat(self.own_heartbeat)
        known = list(self._last_seen_by_address)
        self.own_heartbeat.known_addresses = random.sample(
            known, min(MAX_KNOWN_ADDRESSES, len(known))
        )
        # Ages are only used within the hall, and traffic between halls is paid for.
        self.own_heartbeat.age_by_start = age_by_start
        data = encode_message(self.own_heartbeat)
        for address in addresses:
            self._transport.sendto(data, split_address(address))

    def _forget_silent(self) -> None:
        oldest = asyncio.get_running_loop().time() - FORGET_AFTER_S
        for address, seen_at_s in list(self._last_seen_by_address.items()):
            if seen_at_s < oldest:
                del self._last_seen_by_address[address]
                self._last_sent_sequence_by_address.pop(address, None)

    def _receive(self, data: bytes) -> None:
        try:
            heartbeat = decode_message(Hello(), data)
        except FrameError as error:
            self.log.warning("dropped a datagram that is not a heartbeat: %s", error)
            return
        if heartbeat.host == self._settings.host:
            return
        now = asyncio.get_running_loop().time()
        observed = self._observed_by_host.get(heartbeat.host)
        is_same_incarnation = (
            observed is not None and observed.heartbeat.incarnation == heartbeat.incarnation
        )
        if (
            observed is not None
            and is_same_incarnation
            and heartbeat.beat <= observed.heartbeat.beat
        ):
            return
        self._observed_by_host[heartbeat.host] = ObservedHost(heartbeat, now)
        self._last_seen_by_address[heartbeat.gossip_address] = now
        self._record_last_seen(heartbeat, now)
        self.add_addresses(heartbeat.known_addresses)
        if not is_same_incarnation:
            self._send_to([heartbeat.gossip_address])
        self.on_heartbeat(heartbeat)

    def _record_last_seen(self, heartbeat: Hello, now_s: float) -> None:
        """Records which entry hosts of this hall the sender saw, and whether it is ready itself."""
        if heartbeat.hall != self._settings.hall or now_s < self._stalled_until_s:
            return
        if heartbeat.age_by_start is not None:
            self._last_seen.merge_ages(heartbeat.age_by_start, now_s)
        if heartbeat.role != HostRole.ENTRY:
            return
        incarnation_id = short_incarnation(heartbeat.incarnation)
        if heartbeat.phase == HostPhase.READY and not heartbeat.is_cut_off:
            self._last_seen.mark_seen(incarnation_id, now_s)
        else:
            self._last_seen.forget(incarnation_id)
