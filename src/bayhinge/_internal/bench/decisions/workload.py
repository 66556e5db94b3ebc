"""Programs as the users describe them, drawn from a seed.

Calibrated on the letter: 4,200 requests a second on 630 engines and 1.3 million tokens
a second make 6.67 requests a second and 310 tokens an answer; 38,000 programs under
way and 10 turns a program leave some 4.4 s of pause for 4.6 s of answer. What it
leaves open (pauses' spread, new tokens a turn, cache size) is a parameter.
"""

import random
from collections.abc import Iterator

import attrs

UNLOADED_TOKEN_S = 0.0148
"""Seconds between tokens at load 1 with everything cached."""
SHORTEST_CUT_OFF_S = 120.0
MAX_TURNS = 71
MAX_HISTORY = 660_000
REQUESTS_PER_ENGINE_S = 4200 / 630
"""Requests a second on one engine at load 1."""


@attrs.frozen
class Turn:
    """One model call: what is new in the prompt, the answer, and the pause behind it."""

    new_tokens: int
    answer_tokens: int
    pause_s: float


@attrs.frozen
class ProgramPlan:
    """A program, known to nobody in advance.

    After ``cut_off_s`` its result is worth nothing, and its agent gives it up.
    """

    name: str
    account: str
    priority: int
    arrives_at: float
    shared: str
    shared_tokens: int
    patience_s: float
    turns: tuple[Turn, ...]
    cut_off_s: float | None = None


@attrs.frozen
class WorkloadShape:
    """What programs look like.

    Attributes:
        mean_turns: turns of a program, geometric, at most 71.
        mean_new_tokens: new prompt tokens a turn, log-normal.
        mean_answer_tokens: answer tokens a turn, log-normal.
        program_sigma: how much programs differ in their new tokens; the largest ones
            reach the letter's 660,000 tokens.
        mean_pause_s: pause behind a turn, log-normal with a heavy tail.
        pause_sigma: the spread of pauses.
        shared_tokens: length of a template's prefix.
        templates: how many templates there are.
        accounts: how many client accounts there are.
        dawn_at: when a burst comes, or None.
        dawn_programs: programs in the burst.
        patience_s: patience of a call.
        cut_off_factor: a program is given up after so many times its unloaded time.
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
    dawn_at: float | None = None
    dawn_programs: int = 0
    patience_s: float = 30.0
    cut_off_factor: float | None = None


NAVDESK = WorkloadShape(dawn_at=100.0, dawn_programs=200, patience_s=120.0)
"""Member desks start their sessions together before the publication cut-off."""
BOOKING = WorkloadShape(
    mean_turns=8.0,
    mean_new_tokens=1200.0,
    shared_tokens=6000,
    templates=2,
    accounts=8,
    dawn_at=100.0,
    dawn_programs=200,
    patience_s=120.0,
)
"""Slots are released at dawn; few templates, and long prefixes in common."""


def make_programs(
    shape: WorkloadShape, engines: int, load: float, seconds: float, seed: int
) -> list[ProgramPlan]:
    """Draws the programs that arrive within some seconds at a load."""
    source = random.Random(f"workload/{seed}")
    rate = REQUESTS_PER_ENGINE_S * engines * load / shape.mean_turns
    arrivals = list(_arrivals(source, rate, seconds))
    if shape.dawn_at is not None:
        # Hundreds of programs within a second, as when slots are released.
        arrivals.extend(shape.dawn_at + source.random() for _ in range(shape.dawn_programs))
    return [
        _make_program(shape, source, number, arrives_at)
        for number, arrives_at in enumerate(sorted(arrivals))
    ]


def _arrivals(source: random.Random, rate: float, seconds: float) -> Iterator[float]:
    now = source.expovariate(rate)
    while now < seconds:
        yield now
        now += source.expovariate(rate)


def _make_program(
    shape: WorkloadShape, source: random.Random, number: int, arrives_at: float
) -> ProgramPlan:
    template = source.randrange(shape.templates)
    turns = tuple(_turns(shape, source))
    factor = shape.cut_off_factor
    unloaded_s = sum(turn.pause_s + turn.answer_tokens * UNLOADED_TOKEN_S for turn in turns)
    return ProgramPlan(
        name=f"p{number}",
        account=f"a{int(source.paretovariate(1.2)) % shape.accounts}",
        priority=5,
        arrives_at=arrives_at,
        shared=f"t{template}",
        shared_tokens=shape.shared_tokens,
        patience_s=shape.patience_s,
        turns=turns,
        cut_off_s=None if factor is None else max(SHORTEST_CUT_OFF_S, factor * unloaded_s),
    )


def _turns(shape: WorkloadShape, source: random.Random) -> Iterator[Turn]:
    count = 1
    while count < MAX_TURNS and source.random() > 1 / shape.mean_turns:
        count += 1
    history = shape.shared_tokens
    mean_new = _log_normal(source, shape.mean_new_tokens, shape.program_sigma)
    for _ in range(count):
        new = int(_log_normal(source, mean_new, 1.0)) + 1
        answer = int(_log_normal(source, shape.mean_answer_tokens, 0.7)) + 1
        if history + new + answer > MAX_HISTORY:
            return
        history += new + answer
        yield Turn(new, answer, _log_normal(source, shape.mean_pause_s, shape.pause_sigma))


def _log_normal(source: random.Random, mean: float, sigma: float) -> float:
    """Draws from a log-normal distribution of a given mean."""
    return mean * source.lognormvariate(-sigma * sigma / 2, sigma)
