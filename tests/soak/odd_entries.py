"""Generates invalid endpoint entries, as other writers may leave them in the store."""

import random
from collections.abc import Callable
from typing import Any

Spec = dict[str, object]

FIELDS = ("service", "address", "slots", "state")
"""An entry is invalid if one of these fields is missing or has a wrong type."""

OTHER_TYPES: tuple[Any, ...] = (None, True, 7.5, -1, [], {"a": 1}, ["ready"])


def _missing(spec: Spec, rng: random.Random) -> Any:
    field = rng.choice(FIELDS)
    return {name: value for name, value in spec.items() if name != field}


def _of_another_type(spec: Spec, rng: random.Random) -> Any:
    return spec | {rng.choice(FIELDS): rng.choice(OTHER_TYPES)}


def _of_an_unknown_state(spec: Spec, rng: random.Random) -> Any:
    return spec | {"state": rng.choice(("resting", "READY", "", "drained"))}


def _of_an_unknown_service(spec: Spec, rng: random.Random) -> Any:
    return spec | {"service": rng.choice(("nobody", "", "llm2"))}


def _no_entry(spec: Spec, rng: random.Random) -> Any:
    return rng.choice(({}, [], None, 5, True, "ready", "\x00\ufffd{", [spec]))


FORMS: tuple[Callable[[Spec, random.Random], Any], ...] = (
    _missing,
    _of_another_type,
    _of_an_unknown_state,
    _of_an_unknown_service,
    _no_entry,
)


def odd_entry(good: Spec, rng: random.Random) -> Any:
    """Returns a valid entry made invalid in one way."""
    return rng.choice(FORMS)(good, rng)
