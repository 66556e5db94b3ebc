"""Buffers a running answer that any number of callers may follow, from any offset."""

import asyncio
from collections.abc import AsyncIterator

from bayhinge._internal.models.calls import AnswerEnd, AnswerItem, AnswerPart
from bayhinge._internal.models.refusals import Refusal, RefusedError


class LiveAnswer:
    """Buffers an answer and wakes its followers."""

    def __init__(self) -> None:
        self._pieces: list[str] = []
        self._length = 0
        self._end: AnswerEnd | None = None
        self._refusal: Refusal | None = None
        self._changed = asyncio.Event()

    @property
    def text(self) -> str:
        """The text so far."""
        return "".join(self._pieces)

    @property
    def length(self) -> int:
        """Characters of text so far."""
        return self._length

    @property
    def is_done(self) -> bool:
        """True once the answer has its end or was refused."""
        return self._end is not None or self._refusal is not None

    def add(self, text: str) -> None:
        """Adds a piece of text."""
        if text:
            self._pieces.append(text)
            self._length += len(text)
            self._wake()

    def finish(self, end: AnswerEnd) -> None:
        """Ends the answer."""
        self._end = end
        self._wake()

    def refuse(self, refusal: Refusal) -> None:
        """Ends the answer with a refusal."""
        self._refusal = refusal
        self._wake()

    async def follow(self, offset: int) -> AsyncIterator[AnswerItem]:
        """Yields the text from an offset in characters on, and then the end.

        Raises:
            RefusedError: the call was refused.
        """
        position, skipped = 0, 0
        while True:
            changed = self._changed
            while position < len(self._pieces):
                piece = self._pieces[position]
                position += 1
                if skipped + len(piece) > offset:
                    start = max(0, offset - skipped)
                    yield AnswerPart(skipped + start, piece[start:])
                skipped += len(piece)
            if self._refusal is not None:
                raise RefusedError(self._refusal)
            if self._end is not None:
                yield self._end
                return
            await changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def replay(text: str, end: AnswerEnd, offset: int) -> AsyncIterator[AnswerItem]:
    """Yields a recorded answer, from an offset in characters on, and then the end."""
    if offset < len(text):
        yield AnswerPart(offset, text[offset:])
    yield end
