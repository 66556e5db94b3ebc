"""Formats events as sentences for operators."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

from bayhinge._internal.models.events import Event
from bayhinge.coordination.clock import stamp_to_ms


def clock_text(event: Event) -> str:
    """Returns the event's time of day, in UTC with milliseconds."""
    moment = datetime.fromtimestamp(stamp_to_ms(event.stamp) / 1000, UTC)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def describe(event: Event) -> str:
    """Returns an event as one sentence."""
    subject = f"call {event.index}" if event.index >= 0 else event.mechanism.value
    place = f" at {event.endpoint}" if event.endpoint else ""
    figures = ", ".join(f"{figure.name} {figure.value:g}" for figure in event.figures)
    measured = f" ({figures})" if figures else ""
    return f"{subject} {event.what}{place}: {event.why}{measured}"


def timeline_lines(events: Iterable[Event]) -> Iterator[str]:
    """Yields one line for each event, with its program."""
    for event in events:
        program = f" {event.program}" if event.program else ""
        yield f"{clock_text(event)} {event.host:10} {describe(event)}{program}"


def explanation_lines(program: str, events: list[Event]) -> Iterator[str]:
    """Yields the history of one program."""
    if not events:
        yield f"No host has recorded an event of program {program}."
        return
    yield f"Program {program} of client account {events[0].account or 'unknown'}:"
    for event in events:
        yield f"  {clock_text(event)} on {event.host}: {describe(event)}."
