"""Some of the combinations that ``tests.soak.endings`` searches by hand; those that failed once."""

from pathlib import Path

import attrs
import pytest

from tests.lib.drawn_endings import findings, play
from tests.lib.end_cases import Between, End, EndCase, Entry, Hosts, Repeat, Route, draw

pytestmark = pytest.mark.functional

FOUND = (
    # Equal requests of no program were sent beside the one whose outcome they awaited.
    EndCase(
        end=End.INTERIM,
        after_s=0.7,
        ends_after_s=0.1,
        entry=Entry.GOES_AT_SEND,
        between=Between.WRONG_INSTANCE,
        route=Route.REPEATABLE,
        has_program=False,
        repeat=Repeat.AT_ONCE,
    ),
    # An endpoint that had fallen silent while it left was given up when its end was due.
    EndCase(
        end=End.SILENCE,
        after_s=0.1,
        ends_after_s=0.1,
        entry=Entry.DRAINING,
        between=Between.CUT,
        route=Route.RESUMABLE,
        attempts=1,
        repeat=Repeat.AT_ONCE,
    ),
    EndCase(
        end=End.CLOSE,
        after_s=1.2,
        ends_after_s=0.4,
        entry=Entry.COMES_BACK,
        between=Between.REJECTED,
        has_program=False,
        repeat=Repeat.AT_ONCE,
        hosts=Hosts.RESTARTED,
    ),
)
SEEDS = range(1, 9)


@pytest.mark.parametrize("case", [*FOUND, *(attrs.evolve(draw(seed), tries=6) for seed in SEEDS)])
def test_a_drawn_way_of_ending_keeps_to_the_bound(tmp_path: Path, case: EndCase) -> None:
    outcome = play(tmp_path, case)
    assert not findings(case, outcome), (case, outcome)
