"""The timeline: a host's events, kept in memory for queries and logged through eliot."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

import attrs
import eliot

from bayhinge._internal.models.events import Event, Mechanism
from bayhinge._internal.models.refusals import Figure
from bayhinge.coordination.clock import HybridClock

MAX_EVENTS_KEPT = 20_000
EVENT_MESSAGE = "bayhinge:event"


@attrs.frozen
class EventFilter:
    """Selects events; an empty field matches all."""

    program: str = ""
    account: str = ""
    endpoint: str = ""
    mechanism: str = ""
    after_stamp: int = 0

    def admits(self, event: Event) -> bool:
        """Returns whether an event matches."""
        wanted = (
            (self.program, event.program),
            (self.account, event.account),
            (self.endpoint, event.endpoint),
            (self.mechanism, event.mechanism.value),
        )
        if event.stamp <= self.after_stamp:
            return False
        return all(not expected or expected == found for expected, found in wanted)


class Timeline:
    """One host's events."""

    def __init__(self, host: str, clock: HybridClock) -> None:
        self._host = host
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS_KEPT)
        self._changed = asyncio.Event()
        self._is_closed = False
        self.count = 0
        self.listeners: list[Callable[[Event], None]] = []

    def record(
        self,
        mechanism: Mechanism,
        what: str,
        why: str,
        *figures: Figure,
        program: str = "",
        account: str = "",
        endpoint: str = "",
        index: int = -1,
    ) -> None:
        """Records a decision with its reason and the figures that led to it."""
        event = Event(
            self._clock.tick(),
            self._host,
            mechanism,
            what,
            why,
            program,
            account,
            endpoint,
            index,
            figures,
        )
        self._events.append(event)
        self.count += 1
        eliot.log_message(message_type=EVENT_MESSAGE, **event.to_fields())
        for listener in self.listeners:
            listener(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def select(self, wanted: EventFilter) -> list[Event]:
        """Returns the kept events that match, oldest first."""
        return [event for event in self._events if wanted.admits(event)]

    def all(self) -> list[Event]:
        """Returns every kept event, oldest first."""
        return list(self._events)

    def close(self) -> None:
        """Ends all iterations of :meth:`follow`."""
        self._is_closed = True
        self._changed.set()

    async def follow(self, wanted: EventFilter) -> AsyncIterator[Event]:
        """Yields the kept events that match, and then new ones as they are recorded."""
        stamp = wanted.after_stamp
        while not self._is_closed:
            changed = self._changed
            for event in self.select(attrs.evolve(wanted, after_stamp=stamp)):
                stamp = event.stamp
                yield event
            await changed.wait()
