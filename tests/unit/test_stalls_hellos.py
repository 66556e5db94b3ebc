"""A host that stalled reads the queued heartbeats before it treats hosts as silent."""

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
GREETING_NET = f"127.88.{os.getpid() % 250 + 1}"
"""Suites that run side by side must not meet."""


@attrs.define
class GreetingSettings:
    """What a host needs to greet others on loopback."""

    host: str
    ip: str
    hall: str = "north"
    seeds: tuple[str, ...] = (f"{GREETING_NET}.1",)
    gossip_port: int = GOSSIP_PORT
    peer_address: str = "127.0.0.1:1"
    front_address: str = "127.0.0.1:2"

    @property
    def gossip_address(self) -> str:
        return f"{self.ip}:{self.gossip_port}"


def greeting_host(number: int) -> Gossip:
    settings = cast(SiteSettings, GreetingSettings(f"h{number}", f"{GREETING_NET}.{number + 1}"))
    gossip = Gossip(settings, wire.HostRole.ENTRY)
    gossip.own_heartbeat.phase = wire.HostPhase.READY
    return gossip


async def run_others(is_over: threading.Event) -> None:
    others = [greeting_host(number) for number in range(1, OTHERS + 1)]
    for gossip in others:
        await gossip.start()
    while not is_over.is_set():  # noqa: ASYNC110 - it is set in another thread
        await asyncio.sleep(0.05)
    for gossip in others:
        await gossip.stop()


def test_a_host_that_stood_still_reads_what_it_was_told_before_it_judges_who_is_there() -> None:
    """Coordinators are chosen in each gossip round, and hold until the next one."""

    async def scenario() -> list[int]:
        gossip = greeting_host(0)
        await gossip.start()
        async with asyncio.timeout(10):
            while len(gossip.recent_heartbeats(wire.HostRole.ENTRY)) < OTHERS:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        await asyncio.sleep(STARTUP_S)
        heard: list[int] = []
        gossip.on_round = lambda: heard.append(len(gossip.recent_heartbeats(wire.HostRole.ENTRY)))
        time.sleep(MIN_SILENCE_S + 0.5)  # noqa: ASYNC251 - it plays a process that gets no time
        await asyncio.sleep(0.5)
        await gossip.stop()
        return heard

    is_over = threading.Event()
    others = threading.Thread(target=lambda: asyncio.run(run_others(is_over)), daemon=True)
    others.start()
    try:
        heard = asyncio.run(scenario())
    finally:
        is_over.set()
        others.join(5)
    assert heard
    assert set(heard) == {OTHERS}
