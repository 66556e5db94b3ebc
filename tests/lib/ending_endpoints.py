"""A site whose endpoints end, like crashed processes, when they get certain requests."""

import asyncio
import copy
import functools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
from aiohttp import web

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_engine import PlatformEngine, Run
from tests.lib.platform_site import PlatformSite, Reply

FATAL = b"fatal"
"""A request whose body holds this ends the endpoint that gets it."""

NO_ANSWER = b"no answer at all\r\n\r\n"

ENTRY_REMOVED_S = 0.05
"""After this time the entry of an ended endpoint goes."""

SILENT_ENTRY_S = 0.4
"""The same for one that falls silent."""

THREE_HEARTBEATS_S = 3.5
"""The same on the users' platform: an entry goes after three heartbeats of silence."""

CALLER_PAUSE_S = 0.2


class EndingEndpoint(PlatformEngine):
    """Ends under fatal requests, at most ``may_end`` times in its group of endpoints.

    Attributes:
        odd_answers: requests still to be answered with bytes that are no answer.
    """

    def __init__(self, instance: str, service: str, group: "EndingGroup") -> None:
        super().__init__(instance, service)
        self._group = group
        self._is_frozen = False
        self.odd_answers = 0

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self._is_frozen:
            await asyncio.sleep(3600)
        return await super()._serve(request)

    async def begin_run(self, request: web.Request, run: Run) -> None:
        """See :class:`PlatformEngine`."""
        if self.odd_answers > 0:
            self.odd_answers -= 1
            assert request.transport is not None
            request.transport.write(NO_ANSWER)
            await asyncio.sleep(3600)
        if FATAL in run.body and self._group.takes_end():
            await asyncio.sleep(self._group.delay_s)
            if self.instance in self._group.ended:
                # Another request has ended it meanwhile.
                raise ConnectionResetError
            if self._group.freezes:
                await self._freeze()
            if self._group.falls_silent:
                await self._fall_silent()
            await self.crash()
            raise ConnectionResetError

    async def _fall_silent(self) -> None:
        """Keeps its connections, but neither answers nor takes new ones; its entry goes later."""
        self._group.ended.append(self.instance)
        assert self._runner is not None
        for site in list(self._runner.sites):
            await site.stop()
        asyncio.get_running_loop().call_later(SILENT_ENTRY_S, self._group.remove_entry, self)
        await asyncio.sleep(3600)

    async def _freeze(self) -> None:
        """Its kernel goes on and takes connections, but it never answers; its entry goes later."""
        self._group.ended.append(self.instance)
        self._is_frozen = True
        loop = asyncio.get_running_loop()
        loop.call_later(self._group.frozen_entry_s, self._group.remove_entry, self)
        if self._group.closes_with_entry:
            loop.call_later(self._group.frozen_entry_s, self._close_port)
        await asyncio.sleep(3600)

    def _close_port(self) -> None:
        assert self._runner is not None
        self._closing = [asyncio.ensure_future(site.stop()) for site in list(self._runner.sites)]

    def thaw(self) -> None:
        """Goes on after a freeze; requests of that time are never answered."""
        self._is_frozen = False

    async def crash(self, removes_entry: bool = True) -> None:
        """Ends at once: all connections are reset, the port is closed, the entry goes later."""
        self._group.ended.append(self.instance)
        assert self._runner is not None and self._runner.server is not None
        if self._group.entry_goes_first:
            self._group.remove_entry(self)
            await asyncio.sleep(ENTRY_REMOVED_S)
        for site in list(self._runner.sites):
            await site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        if removes_entry and not self._group.entry_goes_first:
            asyncio.get_running_loop().call_later(ENTRY_REMOVED_S, self._group.remove_entry, self)


@attrs.define
class EndingGroup:
    """Endpoints that end under the same requests.

    Attributes:
        ended: the endpoints that have ended, in order.
        ends_left: how many may still end.
        entry_goes_first: hosts hear of it before their connections are reset.
        delay_s: how long they run a fatal request before they end.
        falls_silent: they fall silent in place of being reset, and take no new connections.
        freezes: they fall silent, and their kernels still take connections.
        frozen_entry_s: when the entry of a frozen one goes.
        closes_with_entry: the port of a frozen one closes as its entry goes.
    """

    remove_entry: Callable[[PlatformEngine], None]
    ended: list[str] = attrs.field(factory=list)
    ends_left: int = 1000
    falls_silent: bool = False
    delay_s: float = 0.0
    entry_goes_first: bool = False
    freezes: bool = False
    frozen_entry_s: float = THREE_HEARTBEATS_S
    closes_with_entry: bool = False

    def takes_end(self) -> bool:
        """Returns whether one more endpoint may end, and counts it."""
        self.ends_left -= 1
        return self.ends_left >= 0


class EndingSite(PlatformSite):
    """A site with many endpoints that may end."""

    def __init__(self, folder: Path, entries: int, endpoints: int) -> None:
        super().__init__(folder, entries)
        self.group = EndingGroup(lambda ended: self.store.remove("servers", ended.instance))
        self.engines: list[EndingEndpoint] = [
            EndingEndpoint(f"i-llm-{number}", "llm", self.group) for number in range(endpoints)
        ]
        self.services: list[EndingEndpoint] = [
            EndingEndpoint(f"i-app-{number}", "app", self.group) for number in range(endpoints)
        ]

    def change_route(self, name: str, **fields: object) -> None:
        """Puts a configuration in which a route has other values."""
        configuration = copy.deepcopy(CONFIGURATION)
        configuration["version"] += 1
        for route in configuration["routes"]:
            if route["name"] == name:
                route.update(fields)
        self.store.put("config", "main", configuration)

    async def pause(self, for_s: float) -> None:
        """Waits."""
        await asyncio.sleep(for_s)

    async def at_once(self, ask: Callable[[str], Awaitable[Reply]], count: int) -> list[int]:
        """Sends a request several times at once, at all hosts in turn; returns the statuses."""
        hosts = sorted(self.entry_by_name)
        asked = [ask(hosts[number % len(hosts)]) for number in range(count)]
        return [reply.status for reply in await asyncio.gather(*asked)]

    def lose_news(self, *names: str) -> Callable[[], None]:
        """Loses all datagrams between some hosts and all others; returns what ends that."""
        is_losing = [True]
        cut_off = {self.ip(name) for name in names}
        for name, entry in self.entry_by_name.items():
            gateway = entry._gateway
            for sender in (gateway.exchange, gateway.gossip):
                transport = sender._transport
                assert transport is not None
                send = transport.sendto

                def send_or_lose(
                    data: bytes,
                    address: tuple[str, int],
                    send: Callable[..., None] = send,
                    is_cut: bool = name in names,
                ) -> None:
                    if not is_losing[0] or not (is_cut or address[0] in cut_off):
                        send(data, address)

                transport.sendto = send_or_lose  # type: ignore[method-assign,assignment]

        def end() -> None:
            is_losing[0] = False

        return end

    def delay_news(self, delay_s: float) -> None:
        """Delays all datagrams between hosts."""
        loop = asyncio.get_running_loop()
        for entry in self.entry_by_name.values():
            for sender in (entry._gateway.exchange, entry._gateway.gossip):
                transport = sender._transport
                assert transport is not None
                send = functools.partial(loop.call_later, delay_s, transport.sendto)  # type: ignore[arg-type]
                transport.sendto = send  # type: ignore[method-assign,assignment]

    async def repeat(self, ask: Callable[[str], Awaitable[Reply]], tries: int) -> list[int]:
        """Sends a request again and again, at all hosts in turn; returns the statuses."""
        hosts = sorted(self.entry_by_name)
        statuses: list[int] = []
        for number in range(tries):
            reply = await ask(hosts[number % len(hosts)])
            statuses.append(reply.status if reply.is_whole else 0)
            await asyncio.sleep(CALLER_PAUSE_S)
        return statuses

    def runs_with(self, text: bytes) -> int:
        """Returns how many runs of all endpoints had this text in their bodies."""
        endpoints = (*self.engines, *self.services)
        return sum(text in run.body for endpoint in endpoints for run in endpoint.runs)


def run_ending_site(
    folder: Path,
    scenario: Callable[[EndingSite], Awaitable[Any]],
    entries: int = 2,
    endpoints: int = 24,
) -> None:
    """Starts a site with endpoints that may end, runs a scenario on it and stops the site."""

    async def main() -> None:
        site = EndingSite(folder, entries, endpoints)
        try:
            async with asyncio.timeout(40):
                await site.start()
                await scenario(site)
        finally:
            await site.stop()

    asyncio.run(main())
