"""The soak's ledger reports each broken guarantee, and nothing else."""

import random
from typing import Any

import attrs
import pytest

from tests.lib.platform_engine import PlatformEngine, Run
from tests.soak.ledger import Ledger, Sent
from tests.soak.odd_entries import FORMS, odd_entry

EVENTS = 3


def events_of(mark: str) -> list[bytes]:
    return [f"id: {number}\ndata: {mark}{number}\n\n".encode() for number in range(1, EVENTS + 1)]


def run_of(sent: Sent, mark: str = "a") -> Run:
    body = sent.body if sent.expected_body is None else sent.expected_body
    return Run(sent.attempt, "POST", "/", body, [], made=events_of(mark))


def turn(attempt: str = "s1", **fields: Any) -> Sent:
    sent = Sent(attempt, "turn", "entry-0", b"hello\n", expected_body=b"hello\n", status=200)
    whole = attrs.evolve(sent, answer=b"".join(events_of("a")), is_whole=True, is_ended=True)
    return attrs.evolve(whole, **fields)


def problems_of(*sent: Sent, runs: list[Run] | None = None) -> list[str]:
    engine = PlatformEngine("i-llm-1", "llm", EVENTS)
    engine.runs = [run_of(one) for one in sent] if runs is None else runs
    ledger = Ledger()
    for one in sent:
        ledger.sent_by_attempt[one.attempt] = one
    return ledger.check([engine])


def test_a_correct_chain_of_two_turns_has_no_problems() -> None:
    history = b"hello\n" + b"a1\na2\na3\n" + b"more\n"
    second = turn("s2", body=b"more\n", expected_body=history, previous="s1")
    assert problems_of(turn(), second) == []


@pytest.mark.parametrize(
    ("sent", "problem_text"),
    [
        (turn(answer=b"id: " + b"".join(events_of("a"))), "an event that no run of it made"),
        (turn(answer=b"".join(events_of("a")[:2])), "ended as whole after 2 events"),
        (turn(answer=b"".join(events_of("b"))), "an event that no run of it made"),
        (turn(status=0, answer=b"", is_whole=False), "no answer from a host that was well"),
        (turn(status=0, answer=b"", is_whole=False, was_leaving=True), "a planned stop cut it"),
        (turn(status=503, answer=b"", is_whole=False), "told that it did not run, and it ran"),
    ],
)
def test_a_broken_guarantee_is_reported(sent: Sent, problem_text: str) -> None:
    problems = problems_of(sent)
    assert any(problem_text in problem for problem in problems), problems


def test_a_stopping_host_may_close_a_request_that_it_has_not_read() -> None:
    sent = turn(status=0, answer=b"", is_whole=False, was_leaving=True)
    assert problems_of(sent, runs=[]) == []


def test_a_turn_that_continues_another_text_is_reported() -> None:
    second = turn("s2", body=b"more\n", expected_body=b"hello\na1\na2\nmore\n", previous="s1")
    assert any("another text than s1 said" in problem for problem in problems_of(turn(), second))


@pytest.mark.parametrize("seed", range(20))
def test_each_form_makes_an_entry_odd(seed: int) -> None:
    good = PlatformEngine("i-app-1", "app").entry()
    for form in FORMS:
        assert form(good, random.Random(seed)) != good
    assert odd_entry(good, random.Random(seed)) == odd_entry(good, random.Random(seed))
