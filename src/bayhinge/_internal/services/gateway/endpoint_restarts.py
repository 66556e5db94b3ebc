"""Ends the runs and connections of an endpoint's earlier incarnations.

The store reports a restart up to seconds late, so requests sent in between already run at the new
incarnation and continue. They are told apart by their connection: its address, when it was opened
and when it last received data.
"""

import asyncio
from collections.abc import Callable

import eliot

from bayhinge._internal.decisions.endpoint_incarnations import NewIncarnation, began_s
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.active_runs import ActiveRuns


class EndpointRestarts:
    """Ends the runs and connections of ended incarnations."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        connection_pool: EndpointConnectionPool,
        runs: ActiveRuns,
        wall_ms: Callable[[], int],
    ) -> None:
        self._endpoint_table = endpoint_table
        self._connection_pool = connection_pool
        self._runs = runs
        self._wall_ms = wall_ms
        self.known_revision: Callable[[], int] = lambda: 0
        self.forget_loads: Callable[[str], None] = lambda endpoint: None

    def handle_restart(self, newest: EndpointState, former: EndpointEntry) -> None:
        """Handles a later incarnation of a known endpoint."""
        entry = newest.entry
        self._endpoint_table.incarnation_revisions.record(entry.instance, self.known_revision())
        self.forget_loads(entry.instance)
        incarnation = self._new_incarnation(entry)
        closed = self._connection_pool.close_previous_incarnations(entry.instance, incarnation)
        ended, continued = self._runs.handle_restart(newest, incarnation)
        eliot.log_message(
            "endpoint.restarted",
            endpoint=entry.instance,
            born_ms=entry.born_ms,
            former_born_ms=former.born_ms,
            address=entry.address,
            former_address=former.address,
            since_s=_since_s(incarnation),
            runs_over=ended,
            runs_kept=continued,
            connections_closed=closed,
        )

    def handle_return(self, newest: EndpointState) -> None:
        """Handles the return of a removed endpoint, whose earlier runs may still be active."""
        if newest.entry.born_ms is None:
            return
        ended, continued = self._runs.handle_restart(newest, self._new_incarnation(newest.entry))
        if ended or continued:
            eliot.log_message(
                "endpoint.came_back",
                endpoint=newest.entry.instance,
                born_ms=newest.entry.born_ms,
                runs_over=ended,
                runs_kept=continued,
            )

    def handle_replacement(self, newest: EndpointState) -> None:
        """Ends the runs of endpoints whose address this one has taken over."""
        entry = newest.entry
        for state in self._endpoint_table.replaced_at(entry.address):
            instance = state.entry.instance
            ended = self._runs.handle_replacement(instance, self._new_incarnation(entry))
            self._connection_pool.drop_idle(instance)
            eliot.log_message(
                "endpoint.displaced",
                endpoint=instance,
                by=entry.instance,
                address=entry.address,
                runs_over=ended,
            )

    def _new_incarnation(self, entry: EndpointEntry) -> NewIncarnation:
        now_s = asyncio.get_running_loop().time()
        return NewIncarnation(entry.address, began_s(entry.born_ms, self._wall_ms(), now_s))


def _since_s(incarnation: NewIncarnation) -> float | None:
    if incarnation.began_s is None:
        return None
    return round(asyncio.get_running_loop().time() - incarnation.began_s, 3)
