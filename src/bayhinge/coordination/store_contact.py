"""What all calls of one process together tell of the store: whether it answers."""

import asyncio
import math
from collections.abc import Callable

import attrs

OUTAGE_S = 0.2
"""Failures that an answer follows sooner are those of one connection, such as a watch that was cut:
the next call comes at once, and the store answers within some 10 ms. Calls that were given up
unanswered tell of an outage however soon the next one is answered."""


@attrs.define
class StoreContact:
    """Shared by all who call one store.

    A call that was under way when the store fell silent is never answered, also after its return,
    and a waiting watch looks the same then as one without news. What shows the return is the first
    answer to any other call: those who wait with an older call learn of it here, and send it anew.

    Attributes:
        on_return: called after an answer that follows failures.
        on_watched: called when a watch was answered, with whether it brought news.
        revision: the newest revision of the store that any watch has told of.
        returned_s: when the last outage ended, on the loop's clock in seconds.
    """

    on_return: list[Callable[[], None]] = attrs.field(factory=list)
    on_watched: list[Callable[[bool], None]] = attrs.field(factory=list)
    returned_s: float = -math.inf
    revision: int = 0
    _failing_since_s: float | None = None
    _was_silent: bool = False
    _asker: object = None
    _has_returned: asyncio.Event = attrs.field(factory=asyncio.Event)

    def note_failure(self, is_silent: bool) -> None:
        """A call was not served; ``is_silent``: it was given up without an answer."""
        self._was_silent = self._was_silent or is_silent
        if self._failing_since_s is None:
            self._failing_since_s = asyncio.get_running_loop().time()

    def may_ask(self, asker: object) -> bool:
        """Whether ``asker`` is the one that goes on asking a store that fails.

        The first that wants to is, until the store answers: each call is paid for, and its answer
        tells all others as well. Where the store has answered meanwhile, everybody may ask.
        """
        if self._failing_since_s is None:
            return True
        if self._asker is None:
            self._asker = asker
        return self._asker is asker

    async def wait_for_return(self, longest_s: float) -> None:
        """Waits until the store answers anybody, for ``longest_s`` at most."""
        try:
            async with asyncio.timeout(longest_s):
                await self._has_returned.wait()
        except TimeoutError:
            return

    def note_answer(self) -> None:
        """The store served a call, whatever it said."""
        if self._failing_since_s is None:
            return
        now = asyncio.get_running_loop().time()
        if self._was_silent or now - self._failing_since_s >= OUTAGE_S:
            self.returned_s = now
        self._failing_since_s = None
        self._was_silent = False
        self._asker = None
        self._has_returned.set()
        self._has_returned = asyncio.Event()
        for listener in self.on_return:
            listener()

    def note_watched(self, revision: int, has_news: bool) -> None:
        """A watch was answered; ``revision`` is the store's, over all prefixes.

        Others that were sent before this revision was known may hang, though this one is well: it
        may be younger than a silence.
        """
        self.revision = max(self.revision, revision)
        for listener in self.on_watched:
            listener(has_news)
