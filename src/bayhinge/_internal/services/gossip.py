"""Hellos between hosts over UDP: who is there, in what phase, with which versions and loads.

A hello decides nothing alone: versions heard lead to a fetch, loads to better placement,
silence to a host being left out of what callers are told.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import attrs
from mode import Service

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peer_link import split_address
from bayhinge._internal.wire.hosts.ttypes import Hello, HostPhase, HostRole

PERIOD_S = 0.25
"""Between two hellos: news crosses a small site well within the two seconds it may take."""

FANOUT = 12
"""Hosts that one hello goes to; all others hear the news from these."""

FRESH_S = 1.5
"""A host that was silent for six hellos is not counted on."""

HEARD_S = 0.8
"""A host that was silent for three hellos may be cut off: another way is taken at once."""

FORGET_S = 60.0
"""An address that was silent for so long is not greeted any more."""

MOST_KNOWN = 16
"""Addresses that a hello names; a datagram must fit into one packet."""


@attrs.define
class HeardHost:
    """The newest hello of another host and when it came, on this host's clock."""

    hello: Hello
    heard_s: float


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._take(data)


class Gossip(Service):
    """Greets other hosts and remembers what they said."""

    def __init__(self, settings: SiteSettings, role: HostRole) -> None:
        """Takes this host's settings and what it is there for."""
        super().__init__()
        self._settings = settings
        self.me = Hello(
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
            [],
        )
        self._heard_by_host: dict[str, HeardHost] = {}
        self._last_heard_by_address: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.on_hello: Callable[[Hello], None] = lambda hello: None
        self.describe: Callable[[Hello], None] = lambda hello: None

    async def on_start(self) -> None:
        """Opens the socket and begins to greet."""
        loop = asyncio.get_running_loop()
        host, port = split_address(self._settings.gossip_address)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._take), local_addr=(host, port)
        )
        self.learn(f"{seed}:{self._settings.gossip_port}" for seed in self._settings.seeds)
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def learn(self, addresses: Iterable[str]) -> None:
        """Takes addresses of hosts that may be up."""
        now = asyncio.get_running_loop().time()
        fresh = [
            address
            for address in addresses
            if address != self._settings.gossip_address
            and address not in self._last_heard_by_address
        ]
        for address in fresh:
            self._last_heard_by_address[address] = now
        if fresh:
            # A host that has just started should know the others before its callers do.
            self._send_to(fresh)

    def fresh(self, role: HostRole) -> list[Hello]:
        """Returns the newest hellos of hosts heard lately."""
        oldest = asyncio.get_running_loop().time() - FRESH_S
        return [
            heard.hello
            for heard in self._heard_by_host.values()
            if heard.heard_s >= oldest and heard.hello.role == role
        ]

    def hears(self, host: str) -> bool:
        """Tells whether a host was heard of in the last moment."""
        heard = self._heard_by_host.get(host)
        now = asyncio.get_running_loop().time()
        return heard is not None and now - heard.heard_s <= HEARD_S

    def say_now(self) -> None:
        """Sends one hello out of turn, where news should not wait."""
        self._send_round()

    async def _run(self) -> None:
        while not self.should_stop:
            self._send_round()
            await asyncio.sleep(PERIOD_S * random.uniform(0.8, 1.2))

    def _send_round(self) -> None:
        self._forget_silent()
        addresses = list(self._last_heard_by_address)
        self._send_to(random.sample(addresses, min(FANOUT, len(addresses))))

    def _send_to(self, addresses: Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.me.beat += 1
        self.describe(self.me)
        known = list(self._last_heard_by_address)
        self.me.known_addresses = random.sample(known, min(MOST_KNOWN, len(known)))
        data = encode_message(self.me)
        for address in addresses:
            self._transport.sendto(data, split_address(address))

    def _forget_silent(self) -> None:
        oldest = asyncio.get_running_loop().time() - FORGET_S
        for address, heard_s in list(self._last_heard_by_address.items()):
            if heard_s < oldest:
                del self._last_heard_by_address[address]

    def _take(self, data: bytes) -> None:
        try:
            hello = decode_message(Hello(), data)
        except FrameError as error:
            self.log.warning("a datagram is no hello: %s", error)
            return
        if hello.host == self._settings.host:
            return
        now = asyncio.get_running_loop().time()
        heard = self._heard_by_host.get(hello.host)
        is_same_start = heard is not None and heard.hello.incarnation == hello.incarnation
        if heard is not None and is_same_start and hello.beat <= heard.hello.beat:
            return
        self._heard_by_host[hello.host] = HeardHost(hello, now)
        self._last_heard_by_address[hello.gossip_address] = now
        self.learn(hello.known_addresses)
        if not is_same_start:
            self._send_to([hello.gossip_address])
        self.on_hello(hello)
