"""Random workloads of programs, reproducible from a seed.

The defaults follow a deployment with 630 engines, 38,000 running programs, 4,200 requests and
1.3 million tokens a second: 310 tokens an answer, and a pause of 4.4 s after 4.6 s of answer.
"""

import random
from collections.abc import Iterator

import attrs

UNLOADED_TOKEN_S = 0.0148
"""Seconds between tokens at load 1 if all prompts are cached."""
MIN_DEADLINE_S = 120.0
MAX_TURNS = 71
MAX_HISTORY = 660_000
REQUESTS_PER_ENGINE_S = 4200 / 630
"""Requests a second on one engine at load 1."""


@attrs.frozen
class Turn:
    """One model call: its new prompt tokens, its answer, and the pause after it."""

    new_tokens: int
    answer_tokens: int
    pause_s: float


@attrs.frozen
class ProgramPlan:
    """A program to simulate; the scheduler sees only its calls as they come.

    Its agent gives it up ``deadline_s`` after its arrival.
    """

    name: str
    account: str
    priority: int
    arrives_at: float
    shared: str
    shared_tokens: int
    patience_s: float
    turns: tuple[Turn, ...]
    deadline_s: float | None = None


@attrs.frozen
class WorkloadShape:
    """Distributions of a workload.

    Attributes:
        mean_turns: turns of a program; geometric, at most ``MAX_TURNS``.
        mean_new_tokens: new prompt tokens a turn; log-normal.
        mean_answer_tokens: answer tokens a turn; log-normal.
        program_sigma: sigma of the programs' mean new tokens; the largest programs reach
            ``MAX_HISTORY``.
        mean_pause_s: pause after a turn; log-normal.
        pause_sigma: sigma of the pauses.
        shared_tokens: length of a template's prefix.
        templates: number of templates.
        accounts: number of client accounts.
        burst_at: when a burst of programs arrives, or None.
        burst_programs: number of programs in the burst.
        patience_s: patience of a call.
        deadline_factor: a program's deadline, relative to its unloaded duration.
    """

    mean_turns: float = 10.0
    mean_new_tokens: float = 1500.0
    mean_answer_tokens: float = 310.0
    program_sigma: float = 0.7
    mean_pause_s: float = 4.4
    pause_sigma: float = 1.0
    shared_tokens: int = 3000
    templates: int = 4
    accounts: int = 20
    burst_at: float | None = None
    burst_programs: int = 0
    patience_s: float = 30.0
    deadline_factor: float | None = None


NAVDESK = WorkloadShape(burst_at=100.0, burst_programs=200, patience_s=120.0)
"""Many sessions start at once before a publication deadline."""
BOOKING = WorkloadShape(
    mean_turns=8.0,
    mean_new_tokens=1200.0,
    shared_tokens=6000,
    templates=2,
    accounts=8,
    burst_at=100.0,
    burst_programs=200,
    patience_s=120.0,
)
"""Many sessions start at once; few templates with long shared prefixes."""


def make_programs(
    shape: WorkloadShape, engines: int, load: float, seconds: float, seed: int
) -> list[ProgramPlan]:
    """Draws the programs that arrive within ``seconds`` at a load (1: the target rate)."""
    rng = random.Random(f"workload/{seed}")
    rate = REQUESTS_PER_ENGINE_S * engines * load / shape.mean_turns
    arrivals = list(_arrivals(rng, rate, seconds))
    if shape.burst_at is not None:
        # The burst arrives within one second.
        arrivals.extend(shape.burst_at + rng.random() for _ in range(shape.burst_programs))
    return [
        _make_program(shape, rng, number, arrives_at)
        for number, arrives_at in enumerate(sorted(arrivals))
    ]


def _arrivals(rng: random.Random, rate: float, seconds: float) -> Iterator[float]:
    now = rng.expovariate(rate)
    while now < seconds:
        yield now
        now += rng.expovariate(rate)


def _make_program(
    shape: WorkloadShape, rng: random.Random, number: int, arrives_at: float
) -> ProgramPlan:
    template = rng.randrange(shape.templates)
    turns = tuple(_turns(shape, rng))
    factor = shape.deadline_factor
    unloaded_s = sum(turn.pause_s + turn.answer_tokens * UNLOADED_TOKEN_S for turn in turns)
    return ProgramPlan(
        name=f"p{number}",
        account=f"a{int(rng.paretovariate(1.2)) % shape.accounts}",
        priority=5,
        arrives_at=arrives_at,
        shared=f"t{template}",
        shared_tokens=shape.shared_tokens,
        patience_s=shape.patience_s,
        turns=turns,
        deadline_s=None if factor is None else max(MIN_DEADLINE_S, factor * unloaded_s),
    )


def _turns(shape: WorkloadShape, rng: random.Random) -> Iterator[Turn]:
    count = 1
    while count < MAX_TURNS and rng.random() > 1 / shape.mean_turns:
        count += 1
    history = shape.shared_tokens
    mean_new = _log_normal(rng, shape.mean_new_tokens, shape.program_sigma)
    for _ in range(count):
        new = int(_log_normal(rng, mean_new, 1.0)) + 1
        answer = int(_log_normal(rng, shape.mean_answer_tokens, 0.7)) + 1
        if history + new + answer > MAX_HISTORY:
            return
        history += new + answer
        yield Turn(new, answer, _log_normal(rng, shape.mean_pause_s, shape.pause_sigma))


def _log_normal(rng: random.Random, mean: float, sigma: float) -> float:
    """Draws from a log-normal distribution of a given mean."""
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
