"""Caches message histories in memory; the journals hold all of them.

Least recently used programs are evicted down to a cap and rebuilt from their records on
demand, as in the partially stateful design of Noria (Gjengset et al., OSDI 2018).
"""

import asyncio
from collections import OrderedDict

import attrs

from bayhinge._internal.models.messages import assistant_message
from bayhinge._internal.models.programs import CallEntry, ProgramState
from bayhinge._internal.services.record_codec import decode_record
from bayhinge.coordination.errors import CorruptObjectError
from bayhinge.coordination.journal_reader import JournalReader

REBUILD_READS = 8
"""Concurrent reads of records while one program is rebuilt."""


@attrs.define
class HistoryStatistics:
    """Counters of the cache."""

    hits: int = 0
    rebuilds: int = 0
    rebuilt_bytes: int = 0
    evictions: int = 0


@attrs.define
class _History:
    messages: list[bytes]
    size: int


class HistoryCache:
    """An LRU cache of programs' encoded messages."""

    def __init__(self, reader: JournalReader, capacity_bytes: int) -> None:
        self._reader = reader
        self._capacity_bytes = capacity_bytes
        self._history_by_program: OrderedDict[str, _History] = OrderedDict()
        self._locks_by_program: dict[str, asyncio.Lock] = {}
        self.size = 0
        self.statistics = HistoryStatistics()

    async def get(self, state: ProgramState) -> tuple[bytes, ...]:
        """Returns a program's encoded messages, and rebuilds them if they were evicted.

        Raises:
            StoreError: they must be rebuilt and the store did not answer.
            CorruptObjectError: a record can't be decoded, or disagrees with the state.
        """
        program = str(state.program_id)
        found = self._history_by_program.get(program)
        if found is None:
            lock = self._locks_by_program.setdefault(program, asyncio.Lock())
            async with lock:
                found = self._history_by_program.get(program)
                if found is None:
                    found = await self._rebuild(state)
            self._locks_by_program.pop(program, None)
        else:
            self.statistics.hits += 1
            self._history_by_program.move_to_end(program)
        return tuple(found.messages)

    def append(self, state: ProgramState, messages: tuple[bytes, ...], rewrite: bool) -> None:
        """Adds a call's messages, unless earlier messages exist and were evicted."""
        program = str(state.program_id)
        history = self._history_by_program.get(program)
        if history is None and (rewrite or state.message_count == len(messages)):
            history = _History([], 0)
            self._history_by_program[program] = history
        if history is None:
            return
        if rewrite:
            self.size -= history.size
            history.messages.clear()
            history.size = 0
        added = sum(len(message) for message in messages)
        history.messages.extend(messages)
        history.size += added
        self.size += added
        self._history_by_program.move_to_end(program)
        self._shrink()

    def drop(self, program: str) -> None:
        """Removes a program's messages from the cache."""
        history = self._history_by_program.pop(program, None)
        if history is not None:
            self.size -= history.size

    async def _rebuild(self, state: ProgramState) -> _History:
        calls = [call for call in state.calls[state.history_base :] if call.has_messages]
        gate = asyncio.Semaphore(REBUILD_READS)

        async def read(call: CallEntry) -> list[bytes]:
            async with gate:
                return await self._read_messages(state, call)

        pieces = await asyncio.gather(*(read(call) for call in calls))
        messages = [message for piece in pieces for message in piece]
        if len(messages) != state.message_count:
            program = str(state.program_id)
            why = f"{len(messages)} messages were rebuilt, {state.message_count} are recorded"
            raise CorruptObjectError(program, why)
        history = _History(messages, sum(len(message) for message in messages))
        self._history_by_program[str(state.program_id)] = history
        self.size += history.size
        self.statistics.rebuilds += 1
        self.statistics.rebuilt_bytes += history.size
        self._shrink()
        return history

    async def _read_messages(self, state: ProgramState, call: CallEntry) -> list[bytes]:
        record = decode_record(await self._reader.read_record(call.position))
        finished = record.finished
        if finished is None or finished.program != str(state.program_id):
            raise CorruptObjectError(str(call.position), "not a finished call of this program")
        answer = assistant_message(finished.text, finished.answer.tool_calls)
        return [*finished.messages, answer]

    def _shrink(self) -> None:
        # The most recently used program stays even if it exceeds the cap, so it can be served.
        while self.size > self._capacity_bytes and len(self._history_by_program) > 1:
            _, history = self._history_by_program.popitem(last=False)
            self.size -= history.size
            self.statistics.evictions += 1
