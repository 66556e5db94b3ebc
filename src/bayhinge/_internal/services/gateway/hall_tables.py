"""What one host knows of the load at other halls' endpoints: tables of their coordinators.

A table is complete, so the next one makes up for a lost one. Grants of this host for other halls
are added until a table of the hall includes them.
"""

import asyncio
from collections.abc import Collection, Iterator

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S
from bayhinge._internal.services.gateway.load_sums import excluding_endpoints
from bayhinge._internal.wire.hosts import ttypes as wire

HALL_TABLE_KEEP_S = 1.0
"""Age above which another hall's table is ignored."""


class HallTables:
    """The newest table of each other hall, and this host's grants that it does not include."""

    def __init__(self) -> None:
        self._table_by_hall: dict[str, tuple[wire.HallLoads, float]] = {}
        self._grants_by_endpoint: dict[str, int] = {}
        self._last_grant_s_by_endpoint: dict[str, float] = {}

    def receive(self, table: wire.HallLoads, stale: Collection[str]) -> bool:
        """Keeps a table; returns False if a newer one of the same incarnation is known.

        ``stale`` are endpoints whose restart the sender has not seen; they are left out.
        """
        known, _ = self._table_by_hall.get(table.hall, (None, 0.0))
        is_same_incarnation = known is not None and known.incarnation == table.incarnation
        if known is not None and is_same_incarnation and table.beat <= known.beat:
            return False
        table.running_by_endpoint = excluding_endpoints(table.running_by_endpoint, stale)
        if table.relative_duration_by_endpoint is not None:
            table.relative_duration_by_endpoint = excluding_endpoints(
                table.relative_duration_by_endpoint, stale
            )
        self._table_by_hall[table.hall] = table, asyncio.get_running_loop().time()
        for instance in table.running_by_endpoint:
            self._grants_by_endpoint.pop(instance, None)
        return True

    def find_fresh(self, hall: str) -> wire.HallLoads | None:
        """Returns a hall's table, or None if it is missing or too old."""
        table, received_s = self._table_by_hall.get(hall, (None, 0.0))
        is_fresh = received_s >= asyncio.get_running_loop().time() - HALL_TABLE_KEEP_S
        return table if is_fresh else None

    def all_fresh(self) -> Iterator[wire.HallLoads]:
        """Yields the tables that are not too old."""
        oldest_s = asyncio.get_running_loop().time() - HALL_TABLE_KEEP_S
        for table, received_s in self._table_by_hall.values():
            if received_s >= oldest_s:
                yield table

    def granted(self, endpoint: str) -> int:
        """Returns this host's grants for an endpoint that no table includes."""
        return self._grants_by_endpoint.get(endpoint, 0)

    def record_grant(self, endpoint: str) -> None:
        """Counts a request for another hall until that hall's next table includes it."""
        self._grants_by_endpoint[endpoint] = self.granted(endpoint) + 1
        self._last_grant_s_by_endpoint[endpoint] = asyncio.get_running_loop().time()

    def revoke_grant(self, endpoint: str) -> None:
        """Stops counting a grant; ignored if none is counted any more."""
        if self.granted(endpoint):
            self._grants_by_endpoint[endpoint] -= 1

    def limit(self, state: EndpointState) -> int:
        """Returns how many requests may be in flight at an endpoint of another hall.

        Up to its slots, and none while that hall reports that its own requests wait. If no table
        of that hall is fresh, heartbeats tell the load, without the newest grants of this host.
        """
        table = self.find_fresh(state.entry.hall)
        if table is not None:
            waiting = (table.waiting_by_service or {}).get(state.entry.service, 0)
            return 0 if waiting else state.entry.slots
        instance = state.entry.instance
        since_s = asyncio.get_running_loop().time() - REPORT_TIMEOUT_S
        if self._last_grant_s_by_endpoint.get(instance, since_s) <= since_s:
            self._grants_by_endpoint.pop(instance, None)
        return state.entry.slots - self.granted(instance)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops all counts of an endpoint that has restarted."""
        self._grants_by_endpoint.pop(endpoint, None)
        for table, _ in self._table_by_hall.values():
            table.running_by_endpoint.pop(endpoint, None)
            if table.relative_duration_by_endpoint is not None:
                table.relative_duration_by_endpoint.pop(endpoint, None)
