"""The programs as processes: what they say of settings that can't be used."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from bayhinge._internal import status_codes

pytestmark = pytest.mark.functional


def start(*arguments: str, settings: Path | None = None) -> subprocess.CompletedProcess[str]:
    environment = {
        name: value for name, value in os.environ.items() if name != "BAYHINGE_NODE_FILE"
    }
    if settings is not None:
        environment["BAYHINGE_NODE_FILE"] = str(settings)
    command = [sys.executable, "-m", "bayhinge._internal.platform", *arguments]
    return subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=30, check=False
    )


def test_without_settings_or_with_an_unknown_program_the_usage_is_told(tmp_path: Path) -> None:
    assert start("entry").returncode == status_codes.EXIT_USAGE
    path = tmp_path / "local.toml"
    path.write_text("")
    ended = start("sideways", settings=path)
    assert ended.returncode == status_codes.EXIT_USAGE
    assert "entry|disk" in ended.stderr


def test_all_findings_are_told_at_once(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text('node_name = "e"\nport_range = [1]\n')
    ended = start("entry", settings=path)
    assert ended.returncode == status_codes.EXIT_INVALID_INPUT
    assert "local.toml port_range" in ended.stderr
    assert "local.toml [platform] address: the field is missing" in ended.stderr
    assert "Traceback" not in ended.stderr
