"""A stream of several runs: no event is missing, repeated or torn, wherever runs are cut."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bayhinge._internal.network.stream_splice import StreamSplice

EVENTS = 6


BEAT = b": beat\n\n"


def event(number: int, run: int) -> bytes:
    """Runs give the same event in other words, so that a joined one can be told."""
    lines = b"id: %d\r\ndata: r%de%d\r\n\r\n" if number % 2 else b"id: %d\ndata: r%de%d\n\n"
    return lines % (number, run, number)


def run_from(first: int, run: int) -> bytes:
    numbers = range(first, EVENTS + 1)
    return b"".join(BEAT * (number % 3 == 0) + event(number, run) for number in numbers)


def blocks(text: bytes) -> list[bytes]:
    """Cuts what went on at the ends of events, apart from the product's own reader."""
    ends = text.replace(b"\r\n\r\n", b"\r\n\r\n\0").replace(b"\n\n", b"\n\n\0").split(b"\0")
    return [block for block in ends if block]


class Splicing(RuleBasedStateMachine):
    """Runs that begin anywhere, are cut anywhere, and come in pieces of any size."""

    def __init__(self) -> None:
        super().__init__()
        self.splice = StreamSplice()
        self.run = self.splice.begin_run()
        self.runs = 1
        self.rest = b""
        self.passed: list[int] = []
        self.text = b""
        self.first = 1
        self.is_over = False

    @initialize(resumes=st.none() | st.integers(0, EVENTS))
    def begin(self, resumes: int | None) -> None:
        self.splice = StreamSplice(resumes)
        self.first = 1 if resumes is None else resumes + 1
        self.run = self.splice.begin_run()
        self.rest = run_from(self.first, self.runs)

    @precondition(lambda self: not self.is_over)
    @rule(size=st.integers(1, 40))
    def piece_comes(self, size: int) -> None:
        piece, self.rest = self.rest[:size], self.rest[size:]
        spliced = self.run.feed(piece)
        self.passed += [found.number or 0 for found in spliced.events]
        self.text += spliced.text

    @precondition(lambda self: not self.is_over)
    @rule(off_by=st.sampled_from([-2, -1, 0, 0, 0, 1, 2]))
    def run_breaks_off_and_another_goes_on(self, off_by: int) -> None:
        self.run = self.splice.begin_run()
        self.runs += 1
        last = self.splice.last
        # Before the first event there is nothing to go on behind: the run begins anew.
        start = 1 if last is None else max(1, last + 1 + off_by)
        self.rest = run_from(start, self.runs)
        if last is not None and last + 1 < start <= EVENTS:
            spliced = self.run.feed(self.rest)
            assert spliced.text.replace(BEAT, b"") == b""
            assert spliced.gap or self.run.end().gap, "events were left out unseen"
            self.is_over = True

    @precondition(lambda self: self.is_over)
    @rule()
    def nothing_more_goes_on(self) -> None:
        """A run that left events out ends the stream."""

    @invariant()
    def every_event_went_on_once_and_whole(self) -> None:
        assert self.passed == list(range(self.first, self.first + len(self.passed)))
        found = [block for block in blocks(self.text) if block != BEAT]
        assert len(found) == len(self.passed)
        for number, block in zip(self.passed, found, strict=True):
            assert block in {event(number, run) for run in range(1, self.runs + 1)}


TestSplicing = Splicing.TestCase
