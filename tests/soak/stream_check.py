"""Compares a stream that a caller got, byte by byte, with the runs that made it."""

from collections.abc import Sequence

from tests.lib.platform_engine import Run

END_OF_EVENT = b"\n\n"


def split_events(answer: bytes) -> tuple[list[bytes], bytes]:
    """Returns the whole events of an answer, ends included, and what is left behind the last."""
    *events, rest = answer.split(END_OF_EVENT)
    return [event + END_OF_EVENT for event in events], rest


def said_in(events: Sequence[bytes]) -> bytes:
    """Returns the data of events, each line with a line feed behind: what a turn said."""
    lines = b"".join(events).split(b"\n")
    return b"".join(line[6:] + b"\n" for line in lines if line.startswith(b"data: "))


def event_id(event: bytes) -> int | None:
    """Returns an event's number; None if its first line is no number's."""
    first, _, _ = event.partition(b"\n")
    number = first.removeprefix(b"id: ")
    return int(number) if first.startswith(b"id: ") and number.isdigit() else None


def stream_problems(answer: bytes, is_whole: bool, runs: Sequence[Run], after: int) -> list[str]:
    """Returns what in an answer none of the attempt's runs made, or made in another order.

    ``runs`` are those of the attempt, in the order in which they began; ``after`` is the event that
    the caller had. Within the events of one run none may be left out, and no earlier run may follow
    a later one.
    """
    events, rest = split_events(answer)
    place_by_event = {
        event: (number, place)
        for number, run in enumerate(runs)
        for place, event in enumerate(run.made)
    }
    problems: list[str] = []
    before: tuple[int, int] | None = None
    for number, event in enumerate(events, after + 1):
        place = place_by_event.get(event)
        if place is None:
            problems.append(f"an event that no run of it made: {event!r}")
        elif before is not None and not _follows(before, place):
            problems.append(f"an event out of its order: {event!r}")
        elif event_id(event) != number:
            problems.append(f"another event than {number}, which is due: {event!r}")
        before = place or before
    if rest and is_whole:
        problems.append(f"ended as whole within an event: {rest!r}")
    elif rest and not _begins_an_event(rest, runs):
        problems.append(f"the beginning of an event that no run of it made: {rest!r}")
    return problems


def _follows(before: tuple[int, int], place: tuple[int, int]) -> bool:
    return place[0] > before[0] or place == (before[0], before[1] + 1)


def _begins_an_event(rest: bytes, runs: Sequence[Run]) -> bool:
    return any(piece.startswith(rest) for run in runs for piece in (*run.made, run.cut))
