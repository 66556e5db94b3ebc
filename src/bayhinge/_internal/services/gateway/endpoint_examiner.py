"""Examines endpoints by health checks, one at a time for each."""

import asyncio
from collections.abc import Iterable

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.services.gateway.endpoint_prober import EndpointProber, ProbeResult

PROBE_WAIT_S = 0.1
"""How long a request waits until the endpoints that failed it were probed; some ten round trips
between halls."""


@attrs.frozen
class Examination:
    """What a probe of an endpoint has shown.

    Attributes:
        began_s: when it began; an answer shows nothing of the time before.
    """

    result: ProbeResult
    began_s: float


class EndpointExaminer:
    """Probes endpoints.

    Attributes:
        count: probes since the start of the process.
    """

    def __init__(self, prober: EndpointProber) -> None:
        self._prober = prober
        self._task_by_incarnation: dict[EndpointIncarnation, asyncio.Task[Examination]] = {}
        self.count = 0

    def begin(self, entry: EndpointEntry) -> asyncio.Task[Examination]:
        """Returns the probe of an endpoint that is under way, or begins one."""
        task = self._task_by_incarnation.get(entry.incarnation)
        if task is None:
            self.count += 1
            task = asyncio.get_running_loop().create_task(self._examine(entry))
            self._task_by_incarnation[entry.incarnation] = task
        return task

    async def examine_all(
        self, entries: Iterable[EndpointEntry]
    ) -> dict[EndpointIncarnation, Examination]:
        """Probes endpoints, waits a moment, and returns what has been shown by then."""
        task_by_incarnation = {entry.incarnation: self.begin(entry) for entry in entries}
        if not task_by_incarnation:
            return {}
        # A probe goes on for others that wait for it.
        await asyncio.wait(set(task_by_incarnation.values()), timeout=PROBE_WAIT_S)
        return {
            incarnation: task.result()
            for incarnation, task in task_by_incarnation.items()
            if task.done() and not task.cancelled() and task.exception() is None
        }

    async def _examine(self, entry: EndpointEntry) -> Examination:
        began_s = asyncio.get_running_loop().time()
        try:
            return Examination(await self._prober.probe(entry), began_s)
        finally:
            del self._task_by_incarnation[entry.incarnation]
