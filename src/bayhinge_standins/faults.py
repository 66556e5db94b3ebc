"""Faults that a test or the demo can switch on."""

import attrs


@attrs.define
class StoreFaults:
    """Current faults of the object API.

    Attributes:
        down: every call fails and has no effect.
        delay_s: seconds added to every call.
        lose_answers: number of next writes that take effect and whose answer is lost.
        lose_writes: number of next writes that have no effect and whose answer is lost.
        mute_watches: watches stay open and deliver nothing.
        stale_reads: listings lag by this many changes.
        writes_per_second: rate limit for writes; None for no limit.
        reads_per_second: rate limit for reads; opening a watch counts as one read.
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
    """Current faults of an endpoint.

    Attributes:
        down: connections are refused.
        hang: requests are accepted and never answered.
        die_after_acting: the side effect happens, then the connection breaks without an answer.
        die_before_acting: the connection breaks before the side effect.
        slow_factor: factor on every duration.
        break_stream_after: the next stream breaks after this many tokens; None for no break.
        breaks_every_stream: applies ``break_stream_after`` to all later streams too.
        drop_cache_events: share of cache events that are lost, 0 to 1.
        ignore_fencing: orders are accepted whatever their fencing number.
        draining: new work is refused with 503; running work continues.
        ends: the next request ends it; from then on connections are refused.
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
    ends: bool = False
