"""Attempts of the same request have the same fingerprint, and other requests have others."""

import attrs
import pytest

from bayhinge._internal.models.request_fingerprint import fingerprint_of
from bayhinge._internal.models.routed_requests import RoutedRequest, TurnContext

TURN = TurnContext("p", 1000, 30, "turn-1")
REQUEST = RoutedRequest("POST", "/x?q=1", "h", ((b"Host", b"h"),), "a1", turn=TURN, body=b"b")


def test_another_attempt_has_the_same_fingerprint() -> None:
    again = attrs.evolve(REQUEST, attempt="a2", patience_s=0.5, program_left_s=1.0, resume_after=3)
    assert fingerprint_of(again) == fingerprint_of(REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"target": "/x?q=2"},
        {"host": "g"},
        {"body": b"c"},
        {"turn": attrs.evolve(TURN, program="q")},
        {"turn": attrs.evolve(TURN, previous="turn-2")},
        {"turn": None},
    ],
)
def test_another_request_has_another_fingerprint(change: dict[str, object]) -> None:
    assert fingerprint_of(attrs.evolve(REQUEST, **change)) != fingerprint_of(REQUEST)  # type: ignore[arg-type]


def test_names_that_give_the_same_text_together_are_told_apart() -> None:
    first = attrs.evolve(REQUEST, method="PO", target="ST/x")
    second = attrs.evolve(REQUEST, method="POST", target="/x")
    assert fingerprint_of(first) != fingerprint_of(second)
