"""The queue dispatcher: admits, orders and places the calls of the cells hashed to this host.

A pool is split into cells of a few endpoints each; the host that dispatches a cell is chosen
among the serving hosts by rendezvous hashing. While two hosts dispatch the same cell, calls may
run out of order, with fewer cache hits, and exceed an endpoint's slots.
"""

import asyncio
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.cell import CellScheduler, CellSettings
from bayhinge._internal.decisions.cells import cell_count, cell_of, endpoints_of, pool_of
from bayhinge._internal.decisions.endpoint_view import EndpointView
from bayhinge._internal.decisions.offers import (
    Action,
    CallCompletion,
    Grant,
    Offer,
    Outcome,
    Reject,
    Release,
    Transition,
)
from bayhinge._internal.models.endpoints import Endpoint
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.refusals import Figure, RefusedError, not_run_refusal
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.network.endpoint_client import EndpointClient
from bayhinge._internal.services.timeline import Timeline

TICK_S = 0.2


@attrs.frozen
class DispatcherGrant:
    """The grant of an endpoint, as a dispatcher replies it."""

    grant: str
    endpoint: str
    address: str
    waited_s: float
    reason: str


class QueueDispatcher:
    """The schedulers of the cells that this host dispatches, created on first use."""

    def __init__(self, settings: Settings, endpoints: EndpointClient, timeline: Timeline) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._timeline = timeline
        self._schedulers_by_cell: dict[str, CellScheduler] = {}
        self._futures_by_grant: dict[str, asyncio.Future[DispatcherGrant]] = {}
        self._listed_by_pool: dict[str, list[Endpoint]] = {}
        self._background: set[asyncio.Task[None]] = set()
        self.granted = 0
        self.rejected = 0

    def schedulers(self) -> dict[str, CellScheduler]:
        """Returns the schedulers by cell."""
        return self._schedulers_by_cell

    def set_endpoints(self, listed: Iterable[Endpoint]) -> None:
        """Replaces the list of endpoints."""
        by_pool: dict[str, list[Endpoint]] = {}
        for endpoint in listed:
            by_pool.setdefault(endpoint.pool, []).append(endpoint)
        self._listed_by_pool = by_pool
        now = _now()
        for cell, scheduler in self._schedulers_by_cell.items():
            self._execute(scheduler.set_endpoints(self._listed(cell), now))

    def cell_of(self, pool: str, program: str) -> str:
        """Returns the cell that a program's calls to a pool go to."""
        listed = self._listed_by_pool.get(pool, [])
        return cell_of(pool, program, cell_count(len(listed)))

    def _listed(self, cell: str) -> list[Endpoint]:
        return endpoints_of(cell, self._listed_by_pool.get(pool_of(cell), []))

    async def request(self, cell: str, offer: Offer) -> DispatcherGrant:
        """Waits until the call may start.

        Raises:
            RefusedError: the call is refused.
        """
        scheduler = self._scheduler(cell)
        future: asyncio.Future[DispatcherGrant] = asyncio.get_running_loop().create_future()
        self._futures_by_grant[offer.grant] = future
        self._execute(scheduler.offer(offer, _now()))
        try:
            return await future
        except asyncio.CancelledError:
            # The owner disconnected or cancelled the request: release a slot already granted.
            self._execute(scheduler.done(CallCompletion(offer.grant, Outcome.CANCELLED), _now()))
            raise
        finally:
            self._futures_by_grant.pop(offer.grant, None)

    def done(self, cell: str, done: CallCompletion) -> None:
        """Releases a grant."""
        scheduler = self._schedulers_by_cell.get(cell)
        if scheduler is not None:
            self._execute(scheduler.done(done, _now()))

    def program_ended(self, cell: str, program: str) -> None:
        """Releases the cache that endpoints hold for a program."""
        scheduler = self._schedulers_by_cell.get(cell)
        if scheduler is not None:
            self._execute(scheduler.program_ended(program, _now()))

    def owner_died(self, incarnation: str) -> None:
        """Releases the grants of a dead owner."""
        for scheduler in self._schedulers_by_cell.values():
            self._execute(scheduler.owner_died(incarnation, _now()))

    async def run(self) -> None:
        """Ticks the schedulers until it is cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for scheduler in self._schedulers_by_cell.values():
                self._execute(scheduler.tick(_now()))

    def engines(self) -> list[EndpointView]:
        """Returns the engines of the cells that this host dispatches."""
        return [
            view
            for cell, scheduler in self._schedulers_by_cell.items()
            if pool_of(cell) in self._settings.pools_by_name
            for view in scheduler.endpoints_by_name.values()
        ]

    async def poll_loads(self) -> None:
        """Reads the load reports of the engines of this host's cells once."""
        for cell, scheduler in list(self._schedulers_by_cell.items()):
            if pool_of(cell) not in self._settings.pools_by_name:
                continue
            for view in list(scheduler.endpoints_by_name.values()):
                load = await self._endpoints.load(view.address)
                if load is not None:
                    self._execute(scheduler.apply_load_report(view.name, load, _now()))

    def _scheduler(self, cell: str) -> CellScheduler:
        scheduler = self._schedulers_by_cell.get(cell)
        if scheduler is None:
            scheduler = CellScheduler(self._cell_settings(cell))
            self._schedulers_by_cell[cell] = scheduler
            self._execute(scheduler.set_endpoints(self._listed(cell), _now()))
            self._timeline.record(
                Mechanism.QUEUE, "became queue home", f"cell {cell} hashes to this host"
            )
        return scheduler

    def _cell_settings(self, cell: str) -> CellSettings:
        pool = self._settings.pools_by_name.get(pool_of(cell))
        if pool is not None:
            return CellSettings(
                pool.max_running,
                pool.cache_tokens,
                pool.prefill_tokens_per_second,
                pool.token_seconds,
                pool.order,
                pool.placement,
                recomputed_share=pool.read_again_share,
                token_target_s=pool.token_target_seconds,
            )
        service = self._settings.services_by_name.get(pool_of(cell))
        limit = 32 if service is None else service.max_running
        return CellSettings(limit, order="first-come", placement="least-loaded")

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._grant(action)
            elif isinstance(action, Reject):
                self._reject(action)
            elif isinstance(action, Release):
                self._release(action)
            elif isinstance(action, Transition):
                self._timeline.record(
                    Mechanism.ENDPOINT,
                    action.what,
                    action.reason.text,
                    *action.reason.figures,
                    endpoint=action.endpoint,
                )

    def _grant(self, grant: Grant) -> None:
        self.granted += 1
        offer = grant.offer
        self._timeline.record(
            Mechanism.QUEUE,
            "placed",
            grant.reason.text,
            *grant.reason.figures,
            Figure("waited_s", round(grant.waited_s, 4)),
            program=offer.program,
            account=offer.account,
            endpoint=grant.endpoint,
            index=offer.index,
        )
        future = self._futures_by_grant.get(offer.grant)
        if future is not None and not future.done():
            address = self._address(grant.endpoint)
            future.set_result(
                DispatcherGrant(
                    offer.grant, grant.endpoint, address, grant.waited_s, grant.reason.text
                )
            )

    def _reject(self, reject: Reject) -> None:
        self.rejected += 1
        refusal = not_run_refusal(
            reject.code,
            reject.reason.text,
            *reject.reason.figures,
            retry_after_s=round(reject.retry_after_s, 3),
        )
        future = self._futures_by_grant.get(reject.offer.grant)
        if future is not None and not future.done():
            future.set_exception(RefusedError(refusal))

    def _release(self, release: Release) -> None:
        address = self._address(release.endpoint)
        if not address:
            return
        self._timeline.record(
            Mechanism.CACHE,
            "released",
            release.reason.text,
            program=release.program,
            endpoint=release.endpoint,
        )
        task = asyncio.create_task(self._endpoints.release(address, release.program))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _address(self, endpoint: str) -> str:
        for scheduler in self._schedulers_by_cell.values():
            view = scheduler.endpoints_by_name.get(endpoint)
            if view is not None:
                return view.address
        return ""


def _now() -> float:
    return asyncio.get_running_loop().time()
