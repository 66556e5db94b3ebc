"""Faults that a test or the demo can switch on, and the errors they cause."""

import attrs


@attrs.define
class StoreFaults:
    """What is wrong with the object API just now.

    Attributes:
        down: every call fails and has no effect.
        delay_s: seconds added to every call.
        lose_answers: so many of the next writes take effect, and their answer is lost.
        lose_writes: so many of the next writes have no effect, and their answer is lost.
        mute_watches: watches stay open and deliver nothing.
        stale_reads: reads and listings answer from before this many changes.
        writes_per_second: the rate limit for writes; None for no limit.
        reads_per_second: the rate limit for reads, a waiting watch counted as one.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    mute_watches: bool = False
    stale_reads: int = 0
    writes_per_second: float | None = None
    reads_per_second: float | None = None


@attrs.define
class EndpointFaults:
    """What is wrong with an endpoint just now.

    Attributes:
        down: connections are refused.
        hang: requests are taken and never answered.
        die_after_acting: the side effect happens, and the connection breaks before the answer.
        die_before_acting: the connection breaks before anything happens.
        slow_factor: every duration is multiplied by this.
        break_stream_after: so many tokens into the next stream, its connection breaks.
        breaks_every_stream: and into each stream after that one.
        drop_cache_events: the share of cache events that are lost, 0 to 1.
        ignore_fencing: orders are obeyed whatever their fencing number.
        draining: new work is refused with 503, running work goes on.
    """

    down: bool = False
    hang: bool = False
    die_after_acting: bool = False
    die_before_acting: bool = False
    slow_factor: float = 1.0
    break_stream_after: int | None = None
    breaks_every_stream: bool = False
    drop_cache_events: float = 0.0
    ignore_fencing: bool = False
    draining: bool = False
