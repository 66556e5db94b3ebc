"""Exchanges load over UDP: hosts report to coordinators, coordinators to each other.

Each datagram carries complete counts, so the next one makes up for a lost one.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from mode import Service

from bayhinge._internal.decisions.endpoint_speeds import from_thousandths, to_thousandths
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.load_table import (
    LOST_GRANT_S,
    HostLoadReport,
    LoadTable,
)
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator, HallCoordinators
from bayhinge._internal.services.gateway.hall_tables import HallTables
from bayhinge._internal.services.gateway.load_sums import HeartbeatLoads, excluding_endpoints
from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.speed_tracker import SpeedTracker
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.wire.hosts import ttypes as wire

REPORT_DELAY_S = 0.01
"""Delay of a report after a change, so that one report covers several changes."""

REPORT_PERIOD_S = 0.5
"""Interval between reports of a host with running requests, even without changes."""

HALL_PERIOD_S = 0.15
"""Interval between the tables that a coordinator sends to the others."""

REFRESH_PERIOD_S = 0.05
"""Interval after which reports and tables are checked for their age although no new one came."""


class LoadExchange(SendPort, Service):
    """Sends and receives the loads of endpoints for one host.

    Attributes:
        hall_tables: the loads of other halls' endpoints.
        last_grant_by_hall: the newest grant of each hall's coordinator that this host has accepted.
        endpoints_known_to: returns the revision up to which this host knows the endpoints.
        waiting_by_service: returns how many requests wait at this host, as a coordinator.
        on_loads: called when loads were received that may have freed a place.
    """

    def __init__(
        self,
        own_heartbeat: wire.Hello,
        endpoint_table: EndpointTable,
        coordinators: HallCoordinators,
        speeds: SpeedTracker | None = None,
    ) -> None:
        Service.__init__(self)
        SendPort.__init__(self)
        self._own_heartbeat = own_heartbeat
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._load_table = LoadTable()
        self._speeds = speeds or SpeedTracker(endpoint_table)
        self._speeds.ratios_from_hosts = self._ratios_from_hosts
        self._speeds.coordinated_hall = lambda: coordinators.coordinated_hall
        self.hall_tables = HallTables()
        self._heartbeat_loads = HeartbeatLoads()
        self.last_grant_by_hall: dict[str, int] = {}
        self._changed_halls: set[str] = set()
        self._busy_halls: set[str] = set()
        self._sequence = 0
        self._is_changed = True
        self._refreshed_s = 0.0
        self.endpoints_known_to: Callable[[], int | None] = lambda: None
        self.waiting_by_service: Callable[[], Mapping[str, int]] = dict
        self.on_loads: Callable[[], None] = lambda: None

    async def on_start(self) -> None:
        """Opens a UDP socket on the peer address and starts reporting."""
        await self.open_port(self._own_heartbeat.peer_address)
        self.add_future(keep_running("load reports", self._report_periodically))
        self.add_future(keep_running("hall loads", self._send_hall_tables))

    async def on_stop(self) -> None:
        """Closes the socket."""
        self.close_port()

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
                if state.running_here and self._reporting_hall(state) == hall
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
        self._changed_halls.add(self._reporting_hall(state))

    def mark_abandoned(self, coordinator: HallCoordinator) -> None:
        """Schedules a report after a place call that was given up.

        Its reply may have held a grant, which that coordinator counts until this report.
        """
        asyncio.get_running_loop().call_later(
            LOST_GRANT_S + REPORT_DELAY_S, self._report_to, coordinator
        )

    def _report_changed(self) -> None:
        halls, self._changed_halls = self._changed_halls, set()
        for hall in halls:
            self._report(hall)

    async def _report_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPORT_PERIOD_S)
            busy = {
                self._reporting_hall(state)
                for state in self._endpoint_table.all()
                if state.running_here
            }
            # Report once more after the last request ends: the final report may be lost.
            for hall in busy | self._busy_halls:
                self._report(hall)
            self._busy_halls = busy

    def _reporting_hall(self, state: EndpointState) -> str:
        """Returns the hall to whose coordinator the load of an endpoint is reported.

        It is the own one for endpoints of a hall without hosts.
        """
        hall, own_hall = state.entry.hall, self._own_heartbeat.hall
        if hall == own_hall or self.hall_tables.find_fresh(hall) is not None:
            return hall
        return own_hall if self._coordinators.coordinator_of(hall) is None else hall

    def _is_counted_here(self, state: EndpointState) -> bool:
        """Whether the hosts of the own hall report the load of an endpoint to its coordinator."""
        return self._reporting_hall(state) == self._own_heartbeat.hall

    def _report(self, hall: str) -> None:
        coordinator = self._coordinators.coordinator_of(hall)
        if coordinator is not None:
            self._report_to(coordinator)

    def _report_to(self, coordinator: HallCoordinator) -> None:
        if coordinator.host != self._own_heartbeat.host:
            loads = self.own_loads(coordinator.hall)
            self.send(wire.LoadNews(host=loads), coordinator.address)

    # ---- as a coordinator ----

    def receive_loads(self, loads: wire.HostLoads) -> bool:
        """Applies a host's load report, except for endpoints whose restart it has not seen.

        Returns whether it has changed anything, unlike most reports of hosts that wait.
        """
        stale = self._endpoint_table.incarnation_revisions.not_known_by(loads.endpoints_known_to)
        is_changed = self._load_table.record_report(
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
        self._is_changed = self._is_changed or is_changed
        return is_changed

    def grant(self, host: str, state: EndpointState) -> int:
        """Counts a request that a host will send; returns 0 if another hall counts it."""
        if self._is_counted_here(state):
            now = asyncio.get_running_loop().time()
            state.running_at_peers += 1
            return self._load_table.grant(host, state.entry.instance, now)
        self.record_remote_grant(state)
        return 0

    def clear_loads(self, host: str) -> None:
        """Counts no requests of a host until its next report."""
        self._load_table.clear_loads(host)
        self._is_changed = True

    def may_grant(self, host: str) -> bool:
        """Returns whether a host's report is known, without which it can't get a grant."""
        return self._load_table.has_report(host)

    def revoke_grant(self, host: str, grant: int, state: EndpointState) -> None:
        """Stops counting a grant whose caller left before it was sent to the host."""
        if grant:
            self._load_table.revoke_grant(host, grant)
        else:
            self.hall_tables.revoke_grant(state.entry.instance)
        self.refresh_endpoint_table()

    def record_remote_grant(self, state: EndpointState) -> None:
        """Counts a request for another hall until that hall's next table includes it."""
        self.hall_tables.record_grant(state.entry.instance)
        if self.hall_tables.find_fresh(state.entry.hall) is not None:
            state.running_at_peers += 1

    def remote_limit(self, state: EndpointState) -> int:
        """Returns how many requests may be in flight at an endpoint of another hall.

        See :meth:`HallTables.limit`; a hall without hosts has no table and no requests of its own.
        """
        if self._is_counted_here(state):
            return state.entry.slots
        return self.hall_tables.limit(state)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops all counts of an endpoint that has restarted."""
        self._is_changed = True
        self._load_table.forget_endpoint(endpoint)
        self._heartbeat_loads.forget_endpoint(endpoint)
        self.hall_tables.forget_endpoint(endpoint)
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
        for table in self.hall_tables.all_fresh():
            thousandths = table.relative_duration_by_endpoint
            if table.hall == own_hall or thousandths is None:
                continue
            # The other coordinator omits endpoints of the usual speed.
            ratios |= dict.fromkeys(table.running_by_endpoint, 1.0)
            ratios |= {key: from_thousandths(value) for key, value in thousandths.items()}
        return ratios

    def handle_heartbeats(self, heartbeats: Iterable[wire.Hello]) -> None:
        """Keeps the loads of the heartbeats, for hosts that report to another coordinator."""
        revisions = self._endpoint_table.incarnation_revisions
        self._heartbeat_loads.apply(heartbeats, revisions, asyncio.get_running_loop().time())

    def refresh_if_changed(self) -> None:
        """Refreshes the endpoint table if a report came since, or some may have expired."""
        now = asyncio.get_running_loop().time()
        if self._is_changed or now - self._refreshed_s >= REFRESH_PERIOD_S:
            self.refresh_endpoint_table()

    def refresh_endpoint_table(self) -> None:
        """Copies the counts of other hosts' requests to the endpoint table."""
        now = self._refreshed_s = asyncio.get_running_loop().time()
        self._is_changed = False
        self._load_table.forget_silent(now)
        running = dict(self._load_table.running_by_endpoint())
        for host, running_by_endpoint in self._heartbeat_loads.recent(now):
            # A host that has not reported to this coordinator yet, or takes another one for it.
            if not self._load_table.has_report(host):
                for instance, count in running_by_endpoint.items():
                    running[instance] = running.get(instance, 0) + count
        failure_reports = self._load_table.failure_reports_by_endpoint()
        fresh_halls = {self._own_heartbeat.hall}
        for table in self.hall_tables.all_fresh():
            fresh_halls.add(table.hall)
            for instance, count in table.running_by_endpoint.items():
                running[instance] = count + self.hall_tables.granted(instance)
        for state in self._endpoint_table.all():
            instance = state.entry.instance
            if state.entry.hall == self._own_heartbeat.hall:
                state.running_at_peers = running.get(instance, 0)
                state.failure_reports = failure_reports.get(instance, 0)
            elif self._is_counted_here(state):
                state.running_at_peers = running.get(instance, 0)
            elif state.entry.hall in fresh_halls:
                # The other coordinator's total includes this host's own requests.
                total = running.get(instance, self.hall_tables.granted(instance))
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
            dict(self.waiting_by_service()),
            {
                state.entry.instance: to_thousandths(state.relative_duration)
                for state in self._endpoint_table.all()
                if state.entry.hall == self._own_heartbeat.hall and state.relative_duration != 1.0
            },
        )
        for coordinator in self._coordinators.other_coordinators():
            self.send(wire.LoadNews(hall=table), coordinator.address)

    # ---- datagrams ----

    def receive(self, message: wire.LoadNews, sender: str) -> None:
        """See :class:`SendPort`."""
        super().receive(message, sender)
        is_changed = message.host is not None and self.receive_loads(message.host)
        if message.hall is not None:
            self._receive_hall_table(message.hall)
        if is_changed or message.hall is not None:
            self.on_loads()

    def _receive_hall_table(self, table: wire.HallLoads) -> None:
        stale = self._endpoint_table.incarnation_revisions.not_known_by(table.endpoints_known_to)
        if self.hall_tables.receive(table, stale):
            self._is_changed = True
