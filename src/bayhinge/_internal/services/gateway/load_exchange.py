"""Exchanges load over UDP: hosts report to coordinators, coordinators to each other.

Each datagram carries complete counts, so the next one makes up for a lost one.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from mode import Service

from bayhinge._internal.decisions.endpoint_speeds import from_thousandths, to_thousandths
from bayhinge._internal.decisions.endpoint_table import EndpointState, EndpointTable
from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
from bayhinge._internal.decisions.load_table import HostLoadReport, LoadTable
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.datagrams import DatagramReceiver
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.speed_tracker import SpeedTracker
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.wire.hosts import ttypes as wire

REPORT_DELAY_S = 0.01
"""Delay of a report after a change, so that one report covers several changes."""

REPORT_PERIOD_S = 0.5
"""Interval between reports of a host with running requests, even without changes."""

HALL_PERIOD_S = 0.15
"""Interval between the tables that a coordinator sends to the others."""

HALL_TABLE_KEEP_S = 1.0
"""Age above which another hall's table is ignored."""


class LoadExchange(Service):
    """Sends and receives the loads of endpoints for one host."""

    def __init__(
        self,
        own_heartbeat: wire.Hello,
        endpoint_table: EndpointTable,
        coordinators: HallCoordinators,
        speeds: SpeedTracker | None = None,
    ) -> None:
        super().__init__()
        self._own_heartbeat = own_heartbeat
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._load_table = LoadTable()
        self._speeds = speeds or SpeedTracker(endpoint_table)
        self._speeds.ratios_from_hosts = self._ratios_from_hosts
        self._speeds.coordinated_hall = lambda: coordinators.coordinated_hall
        self._tables_by_hall: dict[str, tuple[wire.HallLoads, float]] = {}
        self._remote_grants: dict[str, int] = {}
        self.last_grant_by_hall: dict[str, int] = {}
        self._changed_halls: set[str] = set()
        self._busy_halls: set[str] = set()
        self._sequence = 0
        self.endpoints_known_to: Callable[[], int | None] = lambda: None
        self._transport: asyncio.DatagramTransport | None = None

    async def on_start(self) -> None:
        """Opens a UDP socket on the peer address and starts reporting."""
        host, port = split_address(self._own_heartbeat.peer_address)
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive), local_addr=(host, port)
        )
        self.add_future(keep_running("load reports", self._report_periodically))
        self.add_future(keep_running("hall loads", self._send_hall_tables))

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    # ---- this host's own load ----

    def own_loads(self, hall: str) -> wire.HostLoads:
        """Returns this host's running requests and ejected endpoints of a hall."""
        self._sequence += 1
        now = asyncio.get_running_loop().time()
        return wire.HostLoads(
            self._own_heartbeat.host,
            self._own_heartbeat.incarnation,
            self._sequence,
            self.last_grant_by_hall.get(hall, 0),
            {
                state.entry.instance: state.running_here
                for state in self._endpoint_table.all()
                if state.running_here and state.entry.hall == hall
            },
            [
                state.entry.instance
                for state in self._endpoint_table.all()
                if state.ejected_until_s > now and state.entry.hall == hall
            ],
            self.endpoints_known_to(),
            self._speeds.due_ratios(hall),
        )

    def mark_changed(self, state: EndpointState) -> None:
        """Schedules a report, as the coordinator does not know this host's load at an endpoint."""
        if not self._changed_halls:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._report_changed)
        self._changed_halls.add(state.entry.hall)

    def _report_changed(self) -> None:
        halls, self._changed_halls = self._changed_halls, set()
        for hall in halls:
            self._report(hall)

    async def _report_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPORT_PERIOD_S)
            busy = {state.entry.hall for state in self._endpoint_table.all() if state.running_here}
            # Report once more after the last request ends: the final report may be lost.
            for hall in busy | self._busy_halls:
                self._report(hall)
            self._busy_halls = busy

    def _report(self, hall: str) -> None:
        coordinator = self._coordinators.coordinator_of(hall)
        if coordinator is not None and coordinator.host != self._own_heartbeat.host:
            self._send(wire.LoadNews(host=self.own_loads(hall)), coordinator.address)

    # ---- as a coordinator ----

    def receive_loads(self, loads: wire.HostLoads) -> None:
        """Applies a host's load report, except for endpoints whose restart it has not seen."""
        stale = self._endpoint_table.incarnation_revisions.not_known_by(loads.endpoints_known_to)
        self._load_table.record_report(
            HostLoadReport(
                loads.host,
                loads.incarnation,
                loads.beat,
                loads.last_grant,
                excluding_endpoints(loads.running_by_endpoint, stale),
                frozenset(loads.resting).difference(stale),
                None
                if loads.relative_duration_by_endpoint is None
                else excluding_endpoints(loads.relative_duration_by_endpoint, stale),
            ),
            asyncio.get_running_loop().time(),
        )

    def grant(self, host: str, state: EndpointState) -> int:
        """Counts a request that a host will send; returns 0 for an endpoint of another hall."""
        if state.entry.hall == self._own_heartbeat.hall:
            return self._load_table.grant(host, state.entry.instance)
        self.record_remote_grant(state)
        return 0

    def record_remote_grant(self, state: EndpointState) -> None:
        """Counts a request for another hall until that hall's next table includes it."""
        instance = state.entry.instance
        self._remote_grants[instance] = self._remote_grants.get(instance, 0) + 1

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops all counts of an endpoint that has restarted."""
        self._load_table.forget_endpoint(endpoint)
        self._remote_grants.pop(endpoint, None)
        for table, _ in self._tables_by_hall.values():
            table.running_by_endpoint.pop(endpoint, None)
            if table.relative_duration_by_endpoint is not None:
                table.relative_duration_by_endpoint.pop(endpoint, None)
        self._speeds.forget_endpoint(endpoint)

    def _ratios_from_hosts(self) -> dict[str, float]:
        """Returns the relative durations that other hosts have reported.

        Hosts report to their hall's coordinator only; at the others, all this is empty.
        """
        now = asyncio.get_running_loop().time()
        self._load_table.forget_silent(now)
        own_hall = self._own_heartbeat.hall
        ratios = self._load_table.relative_duration_by_endpoint(
            self._speeds.own_ratios(own_hall), self._endpoint_table.running_here()
        )
        oldest_s = now - HALL_TABLE_KEEP_S
        for hall, (table, received_s) in self._tables_by_hall.items():
            thousandths = table.relative_duration_by_endpoint
            if hall == own_hall or thousandths is None or received_s < oldest_s:
                continue
            # The other coordinator omits endpoints of the usual speed.
            ratios |= dict.fromkeys(table.running_by_endpoint, 1.0)
            ratios |= {key: from_thousandths(value) for key, value in thousandths.items()}
        return ratios

    def refresh_endpoint_table(self) -> None:
        """Copies the counts of other hosts' requests to the endpoint table."""
        now = asyncio.get_running_loop().time()
        self._load_table.forget_silent(now)
        running = dict(self._load_table.running_by_endpoint())
        failure_reports = self._load_table.failure_reports_by_endpoint()
        fresh_halls = {self._own_heartbeat.hall}
        for hall, (table, received_s) in self._tables_by_hall.items():
            if received_s < now - HALL_TABLE_KEEP_S:
                continue
            fresh_halls.add(hall)
            for instance, count in table.running_by_endpoint.items():
                running[instance] = count + self._remote_grants.get(instance, 0)
        for state in self._endpoint_table.all():
            instance = state.entry.instance
            if state.entry.hall == self._own_heartbeat.hall:
                state.running_at_peers = running.get(instance, 0)
                state.failure_reports = failure_reports.get(instance, 0)
            elif state.entry.hall in fresh_halls:
                # The other coordinator's total includes this host's own requests.
                total = running.get(instance, self._remote_grants.get(instance, 0))
                state.running_at_peers = max(0, total - state.running_here)
        self._speeds.refresh()

    async def _send_hall_tables(self) -> None:
        while not self.should_stop:
            if self._coordinators.coordinated_hall:
                self._send_hall_table()
            self._speeds.refresh()
            await asyncio.sleep(
                HALL_PERIOD_S if self._coordinators.coordinated_hall else REPORT_PERIOD_S
            )

    def _send_hall_table(self) -> None:
        self.refresh_endpoint_table()
        self._sequence += 1
        table = wire.HallLoads(
            self._own_heartbeat.hall,
            self._own_heartbeat.host,
            self._own_heartbeat.incarnation,
            self._sequence,
            {
                state.entry.instance: state.running_here + state.running_at_peers
                for state in self._endpoint_table.all()
                if state.entry.hall == self._own_heartbeat.hall
            },
            self.endpoints_known_to(),
            relative_duration_by_endpoint={
                state.entry.instance: to_thousandths(state.relative_duration)
                for state in self._endpoint_table.all()
                if state.entry.hall == self._own_heartbeat.hall and state.relative_duration != 1.0
            },
        )
        for coordinator in self._coordinators.other_coordinators():
            self._send(wire.LoadNews(hall=table), coordinator.address)

    # ---- datagrams ----

    def _send(self, message: wire.LoadNews, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(encode_message(message), split_address(address))

    def _receive(self, data: bytes) -> None:
        try:
            message = decode_message(wire.LoadNews(), data)
        except FrameError as error:
            self.log.warning("ignoring malformed load datagram: %s", error)
            return
        if message.host is not None:
            self.receive_loads(message.host)
        if message.hall is not None:
            self._receive_hall_table(message.hall)

    def _receive_hall_table(self, table: wire.HallLoads) -> None:
        known, _ = self._tables_by_hall.get(table.hall, (None, 0.0))
        is_same_incarnation = known is not None and known.incarnation == table.incarnation
        if known is not None and is_same_incarnation and table.beat <= known.beat:
            return
        stale = self._endpoint_table.incarnation_revisions.not_known_by(table.endpoints_known_to)
        table.running_by_endpoint = excluding_endpoints(table.running_by_endpoint, stale)
        if table.relative_duration_by_endpoint is not None:
            table.relative_duration_by_endpoint = excluding_endpoints(
                table.relative_duration_by_endpoint, stale
            )
        self._tables_by_hall[table.hall] = table, asyncio.get_running_loop().time()
        for instance in table.running_by_endpoint:
            self._remote_grants.pop(instance, None)


def excluding_endpoints(
    figure_by_endpoint: dict[str, int], excluded: Collection[str]
) -> dict[str, int]:
    """Returns the figures of all endpoints except the excluded ones."""
    if not excluded:
        return figure_by_endpoint
    return {
        endpoint: figure
        for endpoint, figure in figure_by_endpoint.items()
        if endpoint not in excluded
    }


def sum_loads(heartbeats: Iterable[wire.Hello], revisions: IncarnationRevisions) -> dict[str, int]:
    """Sums the running requests in heartbeats, except where a host has not seen a restart."""
    total: dict[str, int] = {}
    for heartbeat in heartbeats:
        stale = revisions.not_known_by(heartbeat.endpoints_known_to)
        for endpoint, running in excluding_endpoints(heartbeat.running_by_endpoint, stale).items():
            total[endpoint] = total.get(endpoint, 0) + running
    return total
