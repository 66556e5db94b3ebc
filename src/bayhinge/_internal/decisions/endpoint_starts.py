"""Which runs and connections belong to a start of an endpoint that is over. Pure.

The moment of a start is the endpoint's own time of day, and that of machines differs a little. A
run that is taken for one of a former start ends, so where the clocks leave it open it goes on: the
bounds of silence end it if it is dead.
"""

import attrs

CLOCK_SKEW_S = 0.5
"""Seconds by which times of day of two machines may differ. Clocks that are kept by NTP differ by
milliseconds; with more than this, runs of a former start are left to the bounds of silence."""


@attrs.frozen
class Contact:
    """What a connection to an endpoint has seen, on this host's steady clock in seconds.

    Attributes:
        heard_s: when anything came, or the time of ``opened_s`` where nothing did.
    """

    address: str
    opened_s: float
    heard_s: float


@attrs.frozen
class NewStart:
    """A start that followed another one.

    Attributes:
        began_s: its moment on this host's steady clock, or None where that can't be told.
    """

    address: str
    began_s: float | None


def began_s(born_ms: int | None, wall_ms: int, now_s: float) -> float | None:
    """Returns the moment of a start on the steady clock that shows ``now_s``.

    None where the start is unknown, or lies ahead: then one of the two clocks is wrong, and
    nothing can be told from them.
    """
    if born_ms is None:
        return None
    ago_s = (wall_ms - born_ms) / 1000
    return now_s - ago_s if ago_s >= -CLOCK_SKEW_S else None


def is_over(contact: Contact, start: NewStart) -> bool:
    """Whether a connection surely leads to a start before this one."""
    if contact.address != start.address:
        return True
    if start.began_s is None:
        return False
    if contact.heard_s > start.began_s + CLOCK_SKEW_S:
        # Heard since, so it leads to the new start: the clocks differ by more than is usual.
        return False
    return contact.opened_s < start.began_s - CLOCK_SKEW_S


def is_surely_of(contact: Contact, start: NewStart) -> bool:
    """Whether a connection surely leads to this start."""
    return (
        contact.address == start.address
        and start.began_s is not None
        and contact.opened_s >= start.began_s + CLOCK_SKEW_S
    )
