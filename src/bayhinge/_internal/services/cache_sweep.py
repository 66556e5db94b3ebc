"""Frees engine memory that is held for ended programs.

A release may never be sent, because the owner died or an engine did not answer. So each
queue dispatcher asks its engines which programs they hold memory for, and asks the programs'
owners whether they have ended.
"""

import asyncio
import logging

import orjson

from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.network.endpoint_client import EndpointClient
from bayhinge._internal.services.queue_dispatcher import QueueDispatcher
from bayhinge._internal.services.router import CallRouter
from bayhinge._internal.services.timeline import Timeline

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 5.0


class CacheSweep:
    """Sweeps the engines of this host's cells."""

    def __init__(
        self,
        dispatcher: QueueDispatcher,
        router: CallRouter,
        endpoints: EndpointClient,
        timeline: Timeline,
    ) -> None:
        self._dispatcher = dispatcher
        self._router = router
        self._endpoints = endpoints
        self._timeline = timeline

    async def run(self) -> None:
        """Sweeps until it is cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Checks every engine once."""
        for view in self._dispatcher.engines():
            held = await self._endpoints.held(view.address)
            for program in held or []:
                if view.resident(program) is None and await self._has_ended(program):
                    await self._endpoints.release(view.address, program)
                    self._timeline.record(
                        Mechanism.CACHE,
                        "swept",
                        "the engine held memory for a program that has ended",
                        program=program,
                        endpoint=view.name,
                    )

    async def _has_ended(self, program: str) -> bool:
        """Asks the program's owner; a program whose owner can't be reached counts as live."""
        if parse_program_id(program) is None:
            # Not a program of this scheduler: others may use the engine too.
            return False
        shown = await self._router.command("show", "", program)
        if shown.is_ok():
            return orjson.loads(shown.ok)["ended"] is not None
        return shown.error.code is RefusalCode.UNKNOWN_PROGRAM
