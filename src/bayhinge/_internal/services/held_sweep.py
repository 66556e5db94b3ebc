"""Frees engine memory that is held for programs which are gone.

A release that was never sent, because its owner died or an engine did not answer,
would hold memory for ever. So each queue home compares what its engines say they
hold with the programs' owners, who alone know which programs are gone.
"""

import asyncio
import logging

import orjson

from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.network.endpoint_client import EndpointClient
from bayhinge._internal.services.queue_home import QueueHome
from bayhinge._internal.services.router import CallRouter
from bayhinge._internal.services.timeline import Timeline

logger = logging.getLogger(__name__)

SWEEP_S = 5.0


class HeldSweep:
    """The sweep over the engines of this host's cells."""

    def __init__(
        self,
        home: QueueHome,
        router: CallRouter,
        endpoints: EndpointClient,
        timeline: Timeline,
    ) -> None:
        """Takes the cells, the way to owners, and the way to engines."""
        self._home = home
        self._router = router
        self._endpoints = endpoints
        self._timeline = timeline

    async def run(self) -> None:
        """Sweeps until it is cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Looks at every engine once."""
        for view in self._home.engines():
            held = await self._endpoints.held(view.address)
            for program in held or []:
                if view.resident(program) is None and await self._is_gone(program):
                    await self._endpoints.release(view.address, program)
                    self._timeline.record(
                        Mechanism.CACHE,
                        "swept",
                        "the engine held memory for a program that is gone",
                        program=program,
                        endpoint=view.name,
                    )

    async def _is_gone(self, program: str) -> bool:
        """Asks the program's owner; where nobody can tell, the program counts as living."""
        if parse_program_id(program) is None:
            # Not one of ours: somebody else may use the engine too.
            return False
        shown = await self._router.command("show", "", program)
        if shown.is_ok():
            return orjson.loads(shown.ok)["ended"] is not None
        return shown.error.code is RefusalCode.UNKNOWN_PROGRAM
