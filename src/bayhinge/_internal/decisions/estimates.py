"""Learned estimates: how fast endpoints are, and how long calls and pauses take."""

import attrs

SMOOTHING = 0.05
"""Weight of one new sample; some twenty samples make an estimate."""


@attrs.define
class Average:
    """An exponentially weighted average that starts from a first guess."""

    value: float
    smoothing: float = SMOOTHING

    def add(self, sample: float) -> None:
        """Takes a sample in."""
        self.value += self.smoothing * (sample - self.value)


@attrs.define
class Deviation:
    """An average with its mean absolute deviation, as TCP keeps of round trips."""

    value: float
    spread: float
    smoothing: float = SMOOTHING

    def add(self, sample: float) -> None:
        """Takes a sample in."""
        self.spread += self.smoothing * (abs(sample - self.value) - self.spread)
        self.value += self.smoothing * (sample - self.value)

    def high(self, deviations: float = 2.0) -> float:
        """Returns a value that few samples pass."""
        return self.value + deviations * self.spread


@attrs.define
class CellEstimates:
    """What a cell has learned of its endpoints and its calls.

    Attributes:
        prefill_tokens_per_s: how fast a prompt is read that isn't cached.
        token_s: seconds between tokens.
        answer_tokens: tokens of one answer.
        call_s: seconds of one call at its endpoint.
        pause_s: seconds between two calls of one program.
        calls_per_program: calls of programs that have ended.
    """

    prefill_tokens_per_s: Average
    token_s: Average
    answer_tokens: Average = attrs.field(factory=lambda: Average(256.0))
    call_s: Average = attrs.field(factory=lambda: Average(5.0))
    pause_s: Deviation = attrs.field(factory=lambda: Deviation(2.0, 2.0))
    calls_per_program: Average = attrs.field(factory=lambda: Average(8.0))

    def prefill_s(self, tokens: float) -> float:
        """Returns the seconds to read uncached tokens."""
        return tokens / self.prefill_tokens_per_s.value

    def expected_call_s(self, uncached_tokens: float) -> float:
        """Returns the seconds that a call is expected to take once it starts."""
        return self.prefill_s(uncached_tokens) + self.answer_tokens.value * self.token_s.value


def first_estimates(prefill_tokens_per_s: float, token_s: float) -> CellEstimates:
    """Returns the estimates that settings give before anything is learned."""
    return CellEstimates(Average(prefill_tokens_per_s), Average(token_s))
