"""Compares a stream that a caller received, byte by byte, with the runs that produced it."""

from collections.abc import Sequence

from tests.lib.platform_engine import Run

END_OF_EVENT = b"\n\n"


def split_events(answer: bytes) -> tuple[list[bytes], bytes]:
    """Returns the complete events of an answer, with their terminators, and the rest."""
    *events, rest = answer.split(END_OF_EVENT)
    return [event + END_OF_EVENT for event in events], rest


def event_text(events: Sequence[bytes]) -> bytes:
    """Returns the data lines of events, each followed by a line feed: the text of a turn."""
    lines = b"".join(events).split(b"\n")
    return b"".join(line[6:] + b"\n" for line in lines if line.startswith(b"data: "))


def event_id(event: bytes) -> int | None:
    """Returns an event's number; None if its first line is not a valid ``id``."""
    first, _, _ = event.partition(b"\n")
    number = first.removeprefix(b"id: ")
    return int(number) if first.startswith(b"id: ") and number.isdigit() else None


def stream_problems(answer: bytes, is_whole: bool, runs: Sequence[Run], after: int) -> list[str]:
    """Returns the parts of an answer that no run of the attempt produced, or not in this order.

    Events of one run must be contiguous, and events of an earlier run must not follow those of a
    later one.

    Args:
        answer: the bytes that the caller received.
        is_whole: whether the answer ended without an error.
        runs: the runs of the attempt, in the order in which they began.
        after: number of the last event that the caller had before.
    """
    events, rest = split_events(answer)
    position_by_event = {
        event: (number, position)
        for number, run in enumerate(runs)
        for position, event in enumerate(run.made)
    }
    problems: list[str] = []
    before: tuple[int, int] | None = None
    for number, event in enumerate(events, after + 1):
        position = position_by_event.get(event)
        if position is None:
            problems.append(f"an event that no run of it made: {event!r}")
        elif before is not None and not _follows(before, position):
            problems.append(f"an event out of its order: {event!r}")
        elif event_id(event) != number:
            problems.append(f"another event than {number}, which is due: {event!r}")
        before = position or before
    if rest and is_whole:
        problems.append(f"ended as whole within an event: {rest!r}")
    elif rest and not _is_event_prefix(rest, runs):
        problems.append(f"the beginning of an event that no run of it made: {rest!r}")
    return problems


def _follows(before: tuple[int, int], position: tuple[int, int]) -> bool:
    return position[0] > before[0] or position == (before[0], before[1] + 1)


def _is_event_prefix(rest: bytes, runs: Sequence[Run]) -> bool:
    return any(piece.startswith(rest) for run in runs for piece in (*run.made, run.cut))
