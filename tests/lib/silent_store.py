"""A fake store that can stop answering; calls in progress then time out."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import attrs

from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store import (
    Change,
    ChangePage,
    Listing,
    PollingStore,
    StoredObject,
)
from bayhinge.coordination.store_availability import StoreAvailability
from tests.lib.read_only_store import ReadOnlyStore

Answer = TypeVar("Answer")

ANSWER_S = 0.004
CALL_S = 1.0
WAIT_MARGIN_S = 0.7


@attrs.define
class StoreState:
    """The objects of the store, and whether it answers.

    One revision counter covers all objects, as in the platform's store.
    """

    key: str
    revision: int = 1
    is_away: bool = False
    outages: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    revision_by_key: dict[str, int] = attrs.field(
        default=attrs.Factory(lambda self: {self.key: self.revision}, takes_self=True)
    )

    def put(self, key: str | None = None) -> None:
        """Writes a new revision of an object, by default that of ``self.key``."""
        self.revision += 1
        self.revision_by_key[key or self.key] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def stop_answering(self) -> None:
        self.is_away = True
        self.outages += 1

    def resume_answering(self) -> None:
        self.is_away = False

    def objects_under(self, prefix: str, after_revision: int = 0) -> tuple[StoredObject, ...]:
        """Returns the objects under a prefix that were written after a revision."""
        return tuple(
            StoredObject(key, str(revision).encode(), revision)
            for key, revision in self.revision_by_key.items()
            if key.startswith(prefix) and revision > after_revision
        )


class SilentStore(ReadOnlyStore, PollingStore):
    """A read-only client of the store, one for each host."""

    def __init__(self, state: StoreState) -> None:
        self._truth = state
        self._availability = StoreAvailability()
        self.calls = 0

    @property
    def availability(self) -> StoreAvailability:
        return self._availability

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        return await self._bounded(self._read(prefix), CALL_S)

    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        return await self._bounded(
            self._wait(prefix, after_revision, wait_s), wait_s + WAIT_MARGIN_S
        )

    async def _read(self, prefix: str) -> Listing:
        return Listing(self._truth.objects_under(prefix), self._truth.revision, more=False)

    async def _wait(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        state = self._truth
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while not (found := state.objects_under(prefix, after_revision)):
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return ChangePage((), state.revision)
            try:
                async with asyncio.timeout(remaining_s):
                    await state.changed.wait()
            except TimeoutError:
                continue
        changes = tuple(Change(one.key, one.value, one.version, one.version) for one in found)
        return ChangePage(changes, state.revision)

    async def _bounded(self, call: Awaitable[Answer], bound_s: float) -> Answer:
        self.calls += 1
        outages = self._truth.outages
        try:
            async with asyncio.timeout(bound_s):
                is_lost = self._truth.is_away
                answer = await call
                if is_lost or self._truth.outages != outages:
                    await asyncio.Event().wait()
                await asyncio.sleep(ANSWER_S)
        except TimeoutError as error:
            self._availability.record_failure(timed_out=True)
            raise StoreUnavailableError("a call", "TimeoutError") from error
        self._availability.record_answer()
        return answer
