"""The soak detects every byte of a stream that differs from what its runs sent."""

import pytest

from tests.lib.platform_engine import Run
from tests.soak.stream_check import event_id, event_text, split_events, stream_problems


def run_of(mark: str, *numbers: int, cut: bytes = b"") -> Run:
    made = [f"id: {number}\ndata: {mark}{number}\n\n".encode() for number in numbers]
    return Run("a", "POST", "/draft/x", b"", [], made=made, cut=cut)


FIRST = run_of("a", 1, 2, cut=b"id: 3\ndat")
SECOND = run_of("b", 3, 4)
RUNS = (FIRST, SECOND)
WHOLE = b"".join(FIRST.made + SECOND.made)


def test_an_answer_of_two_runs_is_whole() -> None:
    assert stream_problems(WHOLE, True, RUNS, 0) == []
    assert stream_problems(b"".join(SECOND.made), True, (SECOND,), 2) == []
    assert stream_problems(b"", True, RUNS, 0) == []


def test_an_answer_may_break_off_in_an_event_that_a_run_began() -> None:
    assert stream_problems(b"".join(FIRST.made) + b"id: 3\nda", False, RUNS, 0) == []
    assert stream_problems(FIRST.made[0] + b"id: 2\ndata: a", False, RUNS, 0) == []


@pytest.mark.parametrize(
    ("answer", "is_whole", "problem_text"),
    [
        (b"id: " + WHOLE, True, "no run of it made"),
        (b"id: 1\ndata: " + WHOLE, True, "no run of it made"),
        (WHOLE.replace(b"b3", b"b4"), True, "no run of it made"),
        (b"".join(FIRST.made) + SECOND.made[1], True, "another event than 3"),
        (FIRST.made[1], True, "another event than 1"),
        (FIRST.made[0] * 2, True, "out of its order"),
        (SECOND.made[0] + FIRST.made[0], True, "out of its order"),
        (WHOLE + b"id: 5", True, "ended as whole within an event"),
        (WHOLE + b"id: 5", False, "the beginning of an event that no run of it made"),
    ],
)
def test_what_no_run_made_is_reported(answer: bytes, is_whole: bool, problem_text: str) -> None:
    problems = stream_problems(answer, is_whole, RUNS, 0)
    assert any(problem_text in problem for problem in problems), problems


def test_events_are_split_and_parsed() -> None:
    assert split_events(b"id: 1\n\nid") == ([b"id: 1\n\n"], b"id")
    assert event_text(FIRST.made) == b"a1\na2\n"
    assert [event_id(event) for event in FIRST.made] == [1, 2]
    assert event_id(b"id: 1id: 1\ndata: x\n\n") is None
    assert event_id(b"data: x\n\n") is None
