"""Scenario files in ``deploy/days`` are valid, and name nothing specific to one site."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = Path(__file__).parents[2] / "deploy/days"
FILES = sorted(DAYS.glob("*.toml"))
PLACEHOLDERS = {"service": "@s0", "class": "@c0", "zone": "@z0", "to_zone": "@z0"}
"""The placeholders that a day may use: a site's first service, request class and hall."""


def read_day(file: Path) -> dict[str, Any]:
    (day,) = tomllib.loads(file.read_text())["day"]
    return dict(day)


def test_the_folder_holds_only_day_files() -> None:
    assert len(FILES) >= 14
    assert not [path for path in DAYS.iterdir() if path not in FILES]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_day_is_valid_for_any_site(file: Path) -> None:
    day = read_day(file)
    assert day["name"] == file.stem
    assert day["seed"]
    assert file.read_text().startswith("# "), "a day begins with a comment on its purpose"
    for entry in (*day["plan"], *day["faults"]):
        for field, name in PLACEHOLDERS.items():
            assert entry.get(field, name) == name, f"{field} is specific to one site: use {name}"


def test_darkened_matches_the_original_scenario() -> None:
    day = read_day(DAYS / "darkened.toml")
    assert day["faults"] == [{"at": 6.0, "kind": "platform_down", "how": "silent", "for_s": 3.3}]
    assert day["plan"] == [
        {"at": 13.0, "kind": "config_change", "how": "route"},
        {"at": 15.0, "kind": "release", "share": 0.15},
        {"at": 17.0, "kind": "config_change", "how": "route"},
    ]
