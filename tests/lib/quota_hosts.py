"""Hosts that enforce a quota together, with faulty links between them, in virtual time.

Each host has the real quota coordinator and client; heartbeats and connections are replaced.
"""

import asyncio
import copy
from collections.abc import AsyncGenerator
from typing import cast

import attrs

from bayhinge._internal.decisions.quota_bucket import QuotaMargin
from bayhinge._internal.exceptions import PeerUnreachableError
from bayhinge._internal.models.account_keys import Quota, RoutedAccount
from bayhinge._internal.models.refusals import RefusalCode, RefusedError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.gateway.quotas import Quotas
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire

NETWORK_DELAY_S = 0.002
"""One-way delay of a message between hosts."""

ROUND_S = 0.3
"""Interval between the gossip rounds of a host."""

MARGIN = QuotaMargin(window_s=5.0, overage=0.1, slack=20.0)


class _FakeGossip:
    """The heartbeats that one host has received; one is as new as the link it came over."""

    def __init__(self, site: "QuotaSite", host: str) -> None:
        self._site = site
        self.own_heartbeat = wire.Hello(
            host, 1, 0, wire.HostRole.ENTRY, wire.HostPhase.READY, "north", "", f"{host}:1"
        )

    def recent_heartbeats(self, role: wire.HostRole) -> list[wire.Hello]:
        me = self.own_heartbeat.host
        return [
            heartbeat
            for name, heartbeat in self._site.heartbeat_by_host.items()
            if name != me and (name, me) not in self._site.unheard
        ]

    def last_seen_s(self, host: str) -> float:
        return self._site.heartbeat_s_by_link.get((host, self.own_heartbeat.host), 0.0)

    def count_seen_within(self, role: wire.HostRole, time_s: float) -> int:
        return len(self.recent_heartbeats(role))


class _FakePeers(Peers):
    """Calls of one host to the others."""

    def __init__(self, site: "QuotaSite", caller: str) -> None:
        self._site = site
        self._caller = caller

    def stream(self, address: str, method: str, payload: bytes) -> AsyncGenerator[bytes, None]:
        raise NotImplementedError

    async def close(self) -> None:
        return

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        return await self._site.carry(self._caller, address.partition(":")[0], payload)


@attrs.define(eq=False)
class QuotaHost:
    """One host.

    Attributes:
        granted_s: when it got tokens.
        refused: codes of the requests that it refused.
    """

    gossip: _FakeGossip
    quotas: Quotas
    granted_s: list[float] = attrs.field(factory=list)
    refused: list[RefusalCode] = attrs.field(factory=list)


class QuotaSite:
    """Hosts and the links between them.

    Attributes:
        silent: links, as source and target, on which calls get no answer.
        unanswered: links on which calls arrive, and their answers are lost.
        unheard: links on which no heartbeat has ever arrived.
        heartbeat_s_by_link: when the newest heartbeat arrived, if not at the start.
        heartbeat_by_host: the newest heartbeat of each host that the others have received.
        dead: hosts that don't run.
    """

    def __init__(self, names: list[str], rate_per_s: float = 200.0) -> None:
        self.account = RoutedAccount("desk", (), quota=Quota(rate_per_s, rate_per_s))
        self.host_by_name: dict[str, QuotaHost] = {}
        self.silent: set[tuple[str, str]] = set()
        self.unanswered: set[tuple[str, str]] = set()
        self.unheard: set[tuple[str, str]] = set()
        self.heartbeat_s_by_link: dict[tuple[str, str], float] = {}
        self.heartbeat_by_host: dict[str, wire.Hello] = {}
        self.dead: set[str] = set()
        for name in names:
            gossip = _FakeGossip(self, name)
            quotas = Quotas(cast(Gossip, gossip), _FakePeers(self, name), MARGIN)
            self.host_by_name[name] = QuotaHost(gossip, quotas)
            self.heartbeat_by_host[name] = copy.copy(gossip.own_heartbeat)

    async def run_rounds(self) -> None:
        """Runs the gossip rounds of all hosts."""
        while True:
            for name, host in self.host_by_name.items():
                if name not in self.dead:
                    host.quotas.refresh()
            await asyncio.sleep(ROUND_S)

    def coordinator(self) -> str:
        """Returns the account's coordinator, as most hosts see it."""
        names = [host.quotas.coordinators.find("desk") for host in self.host_by_name.values()]
        return max(names, key=names.count)

    async def carry(self, source: str, target: str, payload: bytes) -> bytes:
        """Carries a call and its reply."""
        await asyncio.sleep(NETWORK_DELAY_S)
        if target in self.dead:
            raise PeerUnreachableError(target, "refused", sent=False)
        if (source, target) in self.silent:
            await asyncio.sleep(1000)
        call = decode_message(wire.QuotaCall(), payload)
        reply = await self.host_by_name[target].quotas.answer(call)
        if (source, target) in self.unanswered:
            await asyncio.sleep(1000)
        await asyncio.sleep(NETWORK_DELAY_S)
        return encode_message(reply)

    async def ask(self, name: str) -> None:
        """Asks for one token at a host."""
        host = self.host_by_name[name]
        try:
            await host.quotas.acquire(self.account, False)
        except RefusedError as error:
            host.refused.append(error.refusal.code)
        else:
            host.granted_s.append(asyncio.get_running_loop().time())

    async def ask_at_rate(self, name: str, per_s: float, for_s: float) -> None:
        """Asks at a host at even intervals."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(round(per_s * for_s)):
                tasks.create_task(self.ask(name))
                await asyncio.sleep(1 / per_s)
