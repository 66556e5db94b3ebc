"""A host that stalled reads the heartbeats that arrived before it decides which hosts are alive."""

import asyncio
import os
import threading
import time
from typing import cast

import attrs

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.services.gossip import MIN_SILENCE_S, STARTUP_S, Gossip
from bayhinge._internal.wire.hosts import ttypes as wire

OTHERS = 7
GOSSIP_PORT = 7399
LOOPBACK_NET = f"127.88.{os.getpid() % 250 + 1}"
"""Differs by process: test runs at the same time must not exchange heartbeats."""


@attrs.define
class HeartbeatSettings:
    """The settings that a host needs to exchange heartbeats on loopback."""

    host: str
    ip: str
    hall: str = "north"
    seeds: tuple[str, ...] = (f"{LOOPBACK_NET}.1",)
    gossip_port: int = GOSSIP_PORT
    peer_address: str = "127.0.0.1:1"
    front_address: str = "127.0.0.1:2"

    @property
    def gossip_address(self) -> str:
        return f"{self.ip}:{self.gossip_port}"


def make_gossip(number: int) -> Gossip:
    settings = cast(SiteSettings, HeartbeatSettings(f"h{number}", f"{LOOPBACK_NET}.{number + 1}"))
    gossip = Gossip(settings, wire.HostRole.ENTRY)
    gossip.own_heartbeat.phase = wire.HostPhase.READY
    return gossip


async def run_others(is_stopped: threading.Event) -> None:
    others = [make_gossip(number) for number in range(1, OTHERS + 1)]
    for gossip in others:
        await gossip.start()
    while not is_stopped.is_set():  # noqa: ASYNC110 - it is set in another thread
        await asyncio.sleep(0.05)
    for gossip in others:
        await gossip.stop()


def test_a_host_that_stalled_reads_pending_heartbeats_before_it_decides_who_is_alive() -> None:
    """Coordinators are chosen in each round of heartbeats, and stay until the next one."""

    async def scenario() -> list[int]:
        gossip = make_gossip(0)
        await gossip.start()
        async with asyncio.timeout(10):
            while len(gossip.recent_heartbeats(wire.HostRole.ENTRY)) < OTHERS:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        await asyncio.sleep(STARTUP_S)
        fresh_counts: list[int] = []
        gossip.on_round = lambda: fresh_counts.append(
            len(gossip.recent_heartbeats(wire.HostRole.ENTRY))
        )
        time.sleep(MIN_SILENCE_S + 0.5)  # noqa: ASYNC251 - simulates a stalled process
        await asyncio.sleep(0.5)
        await gossip.stop()
        return fresh_counts

    is_stopped = threading.Event()
    others = threading.Thread(target=lambda: asyncio.run(run_others(is_stopped)), daemon=True)
    others.start()
    try:
        fresh_counts = asyncio.run(scenario())
    finally:
        is_stopped.set()
        others.join(5)
    assert fresh_counts
    assert set(fresh_counts) == {OTHERS}
