"""A stream of several runs: no event is missing, repeated or torn, wherever runs are cut."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bayhinge._internal.network.stream_splice import StreamSplice

EVENTS = 6


HEARTBEAT = b": beat\n\n"


def event(number: int, run: int) -> bytes:
    """Returns an event whose text differs between runs, so that a mix of two runs is detected."""
    lines = b"id: %d\r\ndata: r%de%d\r\n\r\n" if number % 2 else b"id: %d\ndata: r%de%d\n\n"
    return lines % (number, run, number)


def run_from(first: int, run: int) -> bytes:
    numbers = range(first, EVENTS + 1)
    return b"".join(HEARTBEAT * (number % 3 == 0) + event(number, run) for number in numbers)


def blocks(text: bytes) -> list[bytes]:
    """Splits a delivered text at the ends of events, independently of the product's own parser."""
    ends = text.replace(b"\r\n\r\n", b"\r\n\r\n\0").replace(b"\n\n", b"\n\n\0").split(b"\0")
    return [block for block in ends if block]


class SpliceMachine(RuleBasedStateMachine):
    """Runs that begin anywhere, are cut anywhere, and arrive in pieces of any size."""

    def __init__(self) -> None:
        super().__init__()
        self.splice = StreamSplice()
        self.run = self.splice.begin_run()
        self.runs = 1
        self.rest = b""
        self.delivered: list[int] = []
        self.text = b""
        self.first = 1
        self.has_gap = False

    @initialize(resumes=st.none() | st.integers(0, EVENTS))
    def begin(self, resumes: int | None) -> None:
        self.splice = StreamSplice(resumes)
        self.first = 1 if resumes is None else resumes + 1
        self.run = self.splice.begin_run()
        self.rest = run_from(self.first, self.runs)

    @precondition(lambda self: not self.has_gap)
    @rule(size=st.integers(1, 40))
    def piece_arrives(self, size: int) -> None:
        piece, self.rest = self.rest[:size], self.rest[size:]
        spliced = self.run.feed(piece)
        self.delivered += [found.number or 0 for found in spliced.events]
        self.text += spliced.text

    @precondition(lambda self: not self.has_gap)
    @rule(off_by=st.sampled_from([-2, -1, 0, 0, 0, 1, 2]))
    def run_breaks_off_and_another_resumes(self, off_by: int) -> None:
        self.run = self.splice.begin_run()
        self.runs += 1
        last = self.splice.last
        # Before the first event there is nothing to resume from: the run starts over.
        start = 1 if last is None else max(1, last + 1 + off_by)
        self.rest = run_from(start, self.runs)
        if last is not None and last + 1 < start <= EVENTS:
            spliced = self.run.feed(self.rest)
            assert spliced.text.replace(HEARTBEAT, b"") == b""
            assert spliced.gap or self.run.end().gap, "a gap was not reported"
            self.has_gap = True

    @precondition(lambda self: self.has_gap)
    @rule()
    def nothing_more_is_delivered(self) -> None:
        """A run that skipped events ends the stream."""

    @invariant()
    def every_event_is_delivered_once_and_whole(self) -> None:
        assert self.delivered == list(range(self.first, self.first + len(self.delivered)))
        found = [block for block in blocks(self.text) if block != HEARTBEAT]
        assert len(found) == len(self.delivered)
        for number, block in zip(self.delivered, found, strict=True):
            assert block in {event(number, run) for run in range(1, self.runs + 1)}


TestSplicing = SpliceMachine.TestCase
