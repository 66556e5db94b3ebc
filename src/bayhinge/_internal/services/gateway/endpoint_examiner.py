"""Examines endpoints that failed a request, one health check at a time for each."""

import asyncio
from collections.abc import Callable, Iterable

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

    entry: EndpointEntry
    result: ProbeResult
    began_s: float


class EndpointExaminer:
    """Probes endpoints, and tells what that has shown.

    Attributes:
        on_result: called with the result of each probe.
        count: probes since the start of the process.
    """

    def __init__(self, prober: EndpointProber) -> None:
        self._prober = prober
        self._task_by_incarnation: dict[EndpointIncarnation, asyncio.Task[Examination]] = {}
        self.on_result: Callable[[Examination], None] = lambda examination: None
        self.count = 0

    def begin(self, entry: EndpointEntry) -> asyncio.Task[Examination]:
        """Returns the probe of an endpoint that is under way, or begins one."""
        task = self._task_by_incarnation.get(entry.incarnation)
        if task is None:
            self.count += 1
            task = asyncio.get_running_loop().create_task(self._examine(entry))
            self._task_by_incarnation[entry.incarnation] = task
        return task

    async def examine_all(self, entries: Iterable[EndpointEntry]) -> None:
        """Probes endpoints, and waits a moment for the results."""
        tasks = {self.begin(entry) for entry in entries}
        if tasks:
            # A probe goes on for others that wait for it.
            await asyncio.wait(tasks, timeout=PROBE_WAIT_S)

    async def _examine(self, entry: EndpointEntry) -> Examination:
        began_s = asyncio.get_running_loop().time()
        try:
            result = await self._prober.probe(entry)
        finally:
            del self._task_by_incarnation[entry.incarnation]
        examination = Examination(entry, result, began_s)
        self.on_result(examination)
        return examination
