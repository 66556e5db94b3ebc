"""Availability of the store, from the outcomes of all calls of one process."""

import asyncio
import math
from collections.abc import Callable

import attrs

MIN_OUTAGE_S = 0.2
"""Failures that are followed by an answer sooner than this are no outage, only one broken
connection, such as an interrupted watch. A timed-out call always counts as an outage."""


@attrs.define(eq=False, repr=False)
class StoreAvailability:
    """Outcomes of the calls of all clients of one store.

    A call in flight when the store stops responding may never be answered, and a hanging watch
    looks like one without changes. So the first answer to any call after an outage is reported
    to all clients, which then resend their older calls.

    Attributes:
        on_recovery: called after an answer that follows failures.
        on_watch_answer: called when a watch was answered, with whether it returned changes.
        revision: the newest revision of the store that any watch has returned.
        recovered_s: when the last outage ended, on the loop's clock in seconds.
    """

    on_recovery: list[Callable[[], None]] = attrs.field(factory=list)
    on_watch_answer: list[Callable[[bool], None]] = attrs.field(factory=list)
    recovered_s: float = -math.inf
    revision: int = 0
    _failing_since_s: float | None = None
    _has_timed_out: bool = False
    _prober: object = None
    _has_recovered: asyncio.Event = attrs.field(factory=asyncio.Event)

    def record_failure(self, timed_out: bool) -> None:
        """Records a failed call; ``timed_out``: it timed out without an answer."""
        self._has_timed_out = self._has_timed_out or timed_out
        if self._failing_since_s is None:
            self._failing_since_s = asyncio.get_running_loop().time()

    def may_probe(self, prober: object) -> bool:
        """Returns whether ``prober`` may call the store.

        During an outage only the first client that asks may, until the store answers: calls
        cost money, and the answer to one is reported to all clients.
        """
        if self._failing_since_s is None:
            return True
        if self._prober is None:
            self._prober = prober
        return self._prober is prober

    async def wait_for_recovery(self, max_wait_s: float) -> None:
        """Waits until the store answers any client, for at most ``max_wait_s``."""
        try:
            async with asyncio.timeout(max_wait_s):
                await self._has_recovered.wait()
        except TimeoutError:
            return

    def record_answer(self) -> None:
        """Records that the store answered a call, also where the answer is an error."""
        if self._failing_since_s is None:
            return
        now = asyncio.get_running_loop().time()
        if self._has_timed_out or now - self._failing_since_s >= MIN_OUTAGE_S:
            self.recovered_s = now
        self._failing_since_s = None
        self._has_timed_out = False
        self._prober = None
        self._has_recovered.set()
        self._has_recovered = asyncio.Event()
        for listener in self.on_recovery:
            listener()

    def record_watch_answer(self, revision: int, has_changes: bool) -> None:
        """Records a watch's answer; ``revision`` is store-wide, over all prefixes.

        Other watches sent before this revision was known may hang, since they may predate an
        outage.
        """
        self.revision = max(self.revision, revision)
        for listener in self.on_watch_answer:
            listener(has_changes)
