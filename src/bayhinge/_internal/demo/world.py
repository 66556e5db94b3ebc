"""Hosts and stand-ins on free loopback ports, in one process and one event loop."""

import asyncio
import logging
from collections.abc import Iterable

import attrs
from mode import Service

from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.settings import (
    ConfigSettings,
    EndpointListSettings,
    HostSettings,
    LimitSettings,
    MembershipSettings,
    OperatorSettings,
    PoolSettings,
    ServiceSettings,
    Settings,
    StoreSettings,
)
from bayhinge._internal.services.host import Host
from bayhinge_standins.endpoint_list import EndpointListServer, ListedEndpoint, ListedState
from bayhinge_standins.engine import EngineServer, EngineSpeed
from bayhinge_standins.object_api import ObjectApiServer
from bayhinge_standins.tool_service import ToolRecord, ToolServer

logger = logging.getLogger(__name__)

OPERATOR_KEY = "operator-key-of-the-demo"
MODEL = "agent-llm"
POOL = "agent-llm"
POLL_S = 0.02
ANY_PORT = "127.0.0.1:0"


@attrs.frozen
class WorldShape:
    """Numbers of hosts and endpoints, and their speed and timeouts."""

    halls: tuple[str, ...]
    hosts: int = 3
    engines: int = 2
    services: tuple[str, ...] = ("prices", "submissions")
    speed: EngineSpeed = EngineSpeed(step_base_s=0.004, step_per_sequence_s=0.0002)
    membership: MembershipSettings = MembershipSettings(
        beat_seconds=0.25,
        dead_after_seconds=1.0,
        address_keep_seconds=0.5,
        drain_seconds=20.0,
    )
    config: ConfigSettings = ConfigSettings(poll_seconds=0.5, stale_after_seconds=20.0)
    writes_per_second: float = 40.0
    seed: int = 1


class World(Service):
    """Stand-ins and hosts as mode services."""

    def __init__(self, shape: WorldShape) -> None:
        super().__init__()
        self.shape = shape
        self.store = ObjectApiServer()
        self.endpoint_list = EndpointListServer(lag_s=0.2)
        self.engines = [
            EngineServer(f"engine-{number}", MODEL, shape.speed, seed=shape.seed + number)
            for number in range(shape.engines)
        ]
        self.tools_by_service = {
            name: [ToolServer(f"{name}-{number}", record) for number in range(2)]
            for name, record in ((name, ToolRecord()) for name in shape.services)
        }
        self.hosts: list[Host] = []
        self.retired: list[Host] = []

    async def on_start(self) -> None:
        """Starts the stand-ins, then the hosts."""
        for standin in self._standins():
            await standin.start()
        self.publish_endpoints()
        for number in range(self.shape.hosts):
            await self.add_host(f"entry-{number + 1}")
        await self._wait_for_hosts()

    async def on_stop(self) -> None:
        """Stops the remaining hosts and the stand-ins."""
        for host in list(self.hosts):
            await host.crash()
        for standin in self._standins():
            await standin.stop()

    def publish_endpoints(self, leaving: Iterable[str] = ()) -> None:
        """Publishes the endpoint list, with the given endpoints marked as leaving."""
        halls = self.shape.halls
        leaving_names = set(leaving)
        listed = [
            ListedEndpoint(
                server.name,
                pool,
                halls[number % len(halls)],
                server.base_url,
                ListedState.LEAVING if server.name in leaving_names else ListedState.LIVE,
            )
            for pool, servers in self._pools()
            for number, server in enumerate(servers)
        ]
        self.endpoint_list.publish(listed)

    async def add_host(self, name: str) -> Host:
        """Starts a host."""
        host = Host(self.settings(name, len(self.hosts)))
        await host.start()
        self.hosts.append(host)
        return host

    async def kill_host(self, host: Host) -> None:
        """Kills a host without warning."""
        self.hosts.remove(host)
        self.retired.append(host)
        await host.crash()

    async def stop_host(self, host: Host) -> None:
        """Stops a host as planned."""
        await host.stop()
        self.hosts.remove(host)
        self.retired.append(host)

    def settings(self, name: str, number: int = 0) -> Settings:
        """Returns the settings of a host."""
        shape = self.shape
        return Settings(
            host=HostSettings(
                name=name,
                hall=shape.halls[number % len(shape.halls)],
                public_address=ANY_PORT,
                peer_address=ANY_PORT,
            ),
            store=StoreSettings(url=self.store.base_url, writes_per_second=shape.writes_per_second),
            endpoints=EndpointListSettings(self.endpoint_list.base_url, poll_seconds=0.2),
            operators=OperatorSettings((hash_key(OPERATOR_KEY),)),
            membership=shape.membership,
            config=shape.config,
            limits=LimitSettings(
                default_max_tokens=256, first_byte_seconds=5.0, between_bytes_seconds=5.0
            ),
            pools_by_name={POOL: PoolSettings(POOL, (MODEL,))},
            services_by_name={
                service: ServiceSettings(service, timeout_seconds=3.0) for service in shape.services
            },
        )

    def _standins(self) -> list[Service]:
        tools = [tool for group in self.tools_by_service.values() for tool in group]
        return [self.store, self.endpoint_list, *self.engines, *tools]

    def _pools(self) -> list[tuple[str, list[EngineServer] | list[ToolServer]]]:
        pools: list[tuple[str, list[EngineServer] | list[ToolServer]]] = [(POOL, self.engines)]
        pools.extend(self.tools_by_service.items())
        return pools

    async def _wait_for_hosts(self) -> None:
        """Waits until every host has discovered all others."""
        expected = len(self.hosts)
        while any(len(host.parts.membership.alive()) < expected for host in self.hosts):
            await asyncio.sleep(POLL_S)
