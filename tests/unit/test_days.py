"""Days in ``deploy/days`` can be read, and name nothing that belongs to one site."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = Path(__file__).parents[2] / "deploy/days"
FILES = sorted(DAYS.glob("*.toml"))
STAND_FOR_ANY = {"service": "@s0", "class": "@c0", "zone": "@z0", "to_zone": "@z0"}
"""What a day may name of a site: its first service, kind of request and hall."""


def day_in(file: Path) -> dict[str, Any]:
    (day,) = tomllib.loads(file.read_text())["day"]
    return dict(day)


def test_there_are_days() -> None:
    assert len(FILES) >= 14
    assert not [path for path in DAYS.iterdir() if path not in FILES]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_day_fits_any_site(file: Path) -> None:
    day = day_in(file)
    assert day["name"] == file.stem
    assert day["seed"]
    assert file.read_text().startswith("# "), "a day says what it is for"
    for entry in (*day["plan"], *day["faults"]):
        for field, name in STAND_FOR_ANY.items():
            assert entry.get(field, name) == name, f"{field} belongs to one site: use {name}"


def test_darkened_is_the_day_as_it_was_given() -> None:
    day = day_in(DAYS / "darkened.toml")
    assert day["faults"] == [{"at": 6.0, "kind": "platform_down", "how": "silent", "for_s": 3.3}]
    assert day["plan"] == [
        {"at": 13.0, "kind": "config_change", "how": "route"},
        {"at": 15.0, "kind": "release", "share": 0.15},
        {"at": 17.0, "kind": "config_change", "how": "route"},
    ]
