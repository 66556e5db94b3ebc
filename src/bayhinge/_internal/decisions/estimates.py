"""Learned estimates: how fast endpoints are, and how long calls and pauses take."""

import math

import attrs

SMOOTHING = 0.05
"""Weight of one new sample; some twenty samples make an estimate."""
HOLD_PERIOD_S = 5.0
HOLD_STEP = 1.15
SHORTEST_HOLD = 0.25
LONGEST_HOLD = 8.0
"""In usual pauses."""
GUESSED_BATCH = 16.0
"""Batch at which the settings' first guess of the token time is taken to hold."""


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
class AdmissionRate:
    """How many programs are admitted a second while others wait to begin.

    A decayed count: single long gaps, as when a large program blocks the queue's head,
    move it little. An average of the gaps themselves refused programs needlessly and
    left memory idle until they came back.
    """

    per_second: float = 1.0
    updated_at: float | None = None
    memory_s: float = 30.0

    def note(self, now: float, others_wait: bool) -> None:
        """Takes an admission in; time in which nobody waited does not count."""
        self._decay(now)
        self.per_second += 1 / self.memory_s
        self.updated_at = now if others_wait else None

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the expected wait behind so many others."""
        self._decay(now)
        return (ahead + 1) / max(self.per_second, 1e-3)

    def _decay(self, now: float) -> None:
        if self.updated_at is not None:
            self.per_second *= math.exp((self.updated_at - now) / self.memory_s)
            self.updated_at = now


@attrs.define
class HoldTime:
    """How long a paused program's memory is held, steered by what is read again.

    Holding long lets few programs in and reads nothing again; holding briefly lets
    many in, and engines spend their time on prompts they had read before. While calls
    wait, the hold time shrinks as long as reading again takes less than a target share
    of the engines' time, and grows above it.
    """

    target_share: float
    shares: float = 3.0
    read_again_s: float = 0.0
    since: float | None = None

    def note(self, seconds: float) -> None:
        """Takes in the engine time that a call spent on reading again."""
        self.read_again_s += seconds

    def adjust(self, now: float, engines: int, calls_wait: bool) -> None:
        """Looks at the last period, and moves a step."""
        if self.since is None:
            self.since = now
        elapsed = now - self.since
        if elapsed < HOLD_PERIOD_S:
            return
        share = self.read_again_s / (elapsed * max(1, engines))
        if share > self.target_share:
            self.shares = min(LONGEST_HOLD, self.shares * HOLD_STEP)
        elif calls_wait:
            self.shares = max(SHORTEST_HOLD, self.shares / HOLD_STEP)
        self.read_again_s, self.since = 0.0, now


@attrs.define
class RetryBudget:
    """Lets retries be a share of fresh calls, so that a failing pool meets no storm of them."""

    fresh_per_retry: int = 5
    most: int = 100
    earned: int = 100

    def note_fresh(self) -> None:
        """Takes a first attempt in."""
        self.earned = min(self.most, self.earned + 1)

    def take(self) -> bool:
        """Takes a retry, or returns False where none is left."""
        if self.earned < self.fresh_per_retry:
            return False
        self.earned -= self.fresh_per_retry
        return True


@attrs.define
class TokenLine:
    """How the time between tokens grows with the batch: a line, fitted with forgetting.

    It starts as a guess that half of the time at a full batch is the batch's share.
    """

    mean_batch: float
    mean_token_s: float
    variance: float
    covariance: float
    smoothing: float = SMOOTHING

    def add(self, batch: float, token_s: float) -> None:
        """Takes a sample in."""
        off_batch = batch - self.mean_batch
        off_token = token_s - self.mean_token_s
        self.mean_batch += self.smoothing * off_batch
        self.mean_token_s += self.smoothing * off_token
        self.variance += self.smoothing * (off_batch * off_batch - self.variance)
        self.covariance += self.smoothing * (off_batch * off_token - self.covariance)

    @property
    def slope_s(self) -> float:
        """Seconds that one more call in the batch adds to each token."""
        return max(0.0, self.covariance / max(self.variance, 1e-9))

    def at(self, batch: float) -> float:
        """Returns the expected time between tokens at a batch size."""
        fitted = self.mean_token_s + self.slope_s * (batch - self.mean_batch)
        return max(fitted, self.mean_token_s / 4)


@attrs.define
class CellEstimates:
    """What a cell has learned of its endpoints and its calls.

    Attributes:
        prefill_tokens_per_s: how fast a prompt is read that isn't cached.
        token_s: seconds between tokens, by batch.
        hold: how long a paused program's memory is held, in usual pauses.
        answer_tokens: tokens of one answer.
        call_s: seconds of one call at its endpoint.
        pause_s: seconds between two calls of one program.
        beginning_tokens: tokens of a program's first prompt.
    """

    prefill_tokens_per_s: Average
    token_s: TokenLine
    hold: HoldTime
    answer_tokens: Average = attrs.field(factory=lambda: Average(256.0))
    call_s: Average = attrs.field(factory=lambda: Average(5.0))
    pause_s: Deviation = attrs.field(factory=lambda: Deviation(2.0, 2.0))
    beginning_tokens: Average = attrs.field(factory=lambda: Average(4000.0))

    def prefill_s(self, tokens: float) -> float:
        """Returns the seconds to read uncached tokens."""
        return tokens / self.prefill_tokens_per_s.value

    def expected_call_s(self, uncached_tokens: float) -> float:
        """Returns the seconds that a call is expected to take once it starts."""
        return (
            self.prefill_s(uncached_tokens) + self.answer_tokens.value * self.token_s.mean_token_s
        )

    def learn_token(self, batch: int, token_s: float) -> None:
        """Takes a call's time between tokens in."""
        self.token_s.add(batch, token_s)

    def learn_prefill(self, uncached_tokens: int, first_token_s: float) -> None:
        """Takes a call's time to its first token in; waiting in the engine only lowers it."""
        rate = uncached_tokens / first_token_s
        if rate > self.prefill_tokens_per_s.value / 4:
            self.prefill_tokens_per_s.add(rate)


def first_estimates(
    prefill_tokens_per_s: float, token_s: float, read_again_share: float
) -> CellEstimates:
    """Returns the estimates that settings give before anything is learned."""
    line = TokenLine(GUESSED_BATCH, token_s, GUESSED_BATCH**2, GUESSED_BATCH * token_s / 2)
    return CellEstimates(Average(prefill_tokens_per_s), line, HoldTime(read_again_share))
