"""Online estimates of endpoint speed and of the durations of calls and pauses."""

import math

import attrs

SMOOTHING = 0.05
"""Weight of one new sample; some twenty samples make an estimate."""
HOLD_PERIOD_S = 5.0
HOLD_STEP = 1.15
MIN_HOLD_PAUSES = 0.25
MAX_HOLD_PAUSES = 8.0
"""Bounds of the hold time, as multiples of the average pause."""
INITIAL_BATCH = 16.0
"""Batch size at which the token time from the settings is assumed to hold."""


@attrs.define
class Average:
    """An exponentially weighted moving average with an initial value."""

    value: float
    smoothing: float = SMOOTHING

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.value += self.smoothing * (sample - self.value)


@attrs.define
class Deviation:
    """A moving average with its mean absolute deviation, like TCP's round-trip estimate."""

    value: float
    spread: float
    smoothing: float = SMOOTHING

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.spread += self.smoothing * (abs(sample - self.value) - self.spread)
        self.value += self.smoothing * (sample - self.value)

    def high(self, deviations: float = 2.0) -> float:
        """Returns a value that few samples exceed."""
        return self.value + deviations * self.spread


@attrs.define
class AdmissionRate:
    """Rate at which programs are admitted while others wait.

    An exponentially decayed count rather than an average of the gaps: a single long gap, as when a
    large program blocks the head of the queue, must not cause rejections.
    """

    per_second: float = 1.0
    updated_at: float | None = None
    memory_s: float = 30.0

    def record(self, now: float, others_wait: bool) -> None:
        """Records an admission; time in which no program waited does not count."""
        self._decay(now)
        self.per_second += 1 / self.memory_s
        self.updated_at = now if others_wait else None

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the expected wait behind ``ahead`` other programs."""
        self._decay(now)
        return (ahead + 1) / max(self.per_second, 1e-3)

    def _decay(self, now: float) -> None:
        if self.updated_at is not None:
            self.per_second *= math.exp((self.updated_at - now) / self.memory_s)
            self.updated_at = now


@attrs.define
class HoldTime:
    """How long a paused program's memory is reserved, controlled by the recomputation share.

    A long hold admits few programs; a short one makes engines recompute evicted prompts. While
    calls wait, the hold time shrinks as long as recomputation takes less than a target share of
    the engines' time, and it grows above that share.
    """

    target_share: float
    pauses: float = 3.0
    recompute_s: float = 0.0
    since: float | None = None

    def record(self, seconds: float) -> None:
        """Records the engine time that a call spent on recomputed tokens."""
        self.recompute_s += seconds

    def adjust(self, now: float, engines: int, calls_wait: bool) -> None:
        """Adjusts the hold time by one step at the end of a period."""
        if self.since is None:
            self.since = now
        elapsed = now - self.since
        if elapsed < HOLD_PERIOD_S:
            return
        share = self.recompute_s / (elapsed * max(1, engines))
        if share > self.target_share:
            self.pauses = min(MAX_HOLD_PAUSES, self.pauses * HOLD_STEP)
        elif calls_wait:
            self.pauses = max(MIN_HOLD_PAUSES, self.pauses / HOLD_STEP)
        self.recompute_s, self.since = 0.0, now


@attrs.define
class RetryBudget:
    """Limits retries to a share of first attempts, to prevent retry storms.

    ``balance`` and ``maximum`` count first attempts; a retry spends
    ``first_attempts_per_retry`` of them.
    """

    first_attempts_per_retry: int = 5
    maximum: int = 100
    balance: int = 100

    def record_first_attempt(self) -> None:
        """Records a first attempt."""
        self.balance = min(self.maximum, self.balance + 1)

    def try_spend(self) -> bool:
        """Spends the budget of one retry; returns False if it is used up."""
        if self.balance < self.first_attempts_per_retry:
            return False
        self.balance -= self.first_attempts_per_retry
        return True


@attrs.define
class TokenLine:
    """Time between tokens by batch size: an exponentially weighted linear regression.

    Initially, half of the time at :data:`INITIAL_BATCH` is assumed to be due to the batch.
    """

    mean_batch: float
    mean_token_s: float
    variance: float
    covariance: float
    smoothing: float = SMOOTHING

    def add(self, batch: float, token_s: float) -> None:
        """Adds a sample."""
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
    """A cell's estimates of its endpoints and calls.

    Attributes:
        prefill_tokens_per_s: prefill rate of uncached tokens.
        token_s: seconds between tokens, by batch size.
        hold: how long a paused program's memory is held, in average pauses.
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
        """Returns the prefill time of uncached tokens in seconds."""
        return tokens / self.prefill_tokens_per_s.value

    def expected_call_s(self, uncached_tokens: float) -> float:
        """Returns the expected duration of a call from its start, in seconds."""
        return (
            self.prefill_s(uncached_tokens) + self.answer_tokens.value * self.token_s.mean_token_s
        )

    def learn_token(self, batch: int, token_s: float) -> None:
        """Records a call's time between tokens."""
        self.token_s.add(batch, token_s)

    def learn_prefill(self, uncached_tokens: int, first_token_s: float) -> None:
        """Records a call's time to first token, unless queueing in the engine dominated it."""
        rate = uncached_tokens / first_token_s
        if rate > self.prefill_tokens_per_s.value / 4:
            self.prefill_tokens_per_s.add(rate)


def initial_estimates(
    prefill_tokens_per_s: float, token_s: float, recomputed_share: float
) -> CellEstimates:
    """Returns the estimates that the settings give before any sample."""
    line = TokenLine(INITIAL_BATCH, token_s, INITIAL_BATCH**2, INITIAL_BATCH * token_s / 2)
    return CellEstimates(Average(prefill_tokens_per_s), line, HoldTime(recomputed_share))
