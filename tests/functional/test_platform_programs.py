"""The programs as processes: errors for missing and invalid settings."""

import os
import subprocess
import sys
from pathlib import Path

import mypy_extensions
import pytest

from bayhinge._internal import status_codes

pytestmark = pytest.mark.functional


def run_program(
    *arguments: str, settings: Path | None = None, libraries: Path | None = None
) -> subprocess.CompletedProcess[str]:
    environment = {
        name: value for name, value in os.environ.items() if name != "BAYHINGE_NODE_FILE"
    }
    if settings is not None:
        environment["BAYHINGE_NODE_FILE"] = str(settings)
    if libraries is not None:
        environment["PYTHONPATH"] = str(libraries)
    command = [sys.executable, "-m", "bayhinge._internal.platform", *arguments]
    return subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=30, check=False
    )


def test_missing_settings_and_unknown_programs_are_usage_errors(tmp_path: Path) -> None:
    assert run_program("entry").returncode == status_codes.EXIT_USAGE
    path = tmp_path / "local.toml"
    path.write_text("")
    result = run_program("sideways", settings=path)
    assert result.returncode == status_codes.EXIT_USAGE
    assert "entry|disk" in result.stderr


def test_all_settings_errors_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text('node_name = "e"\nport_range = [1]\n')
    result = run_program("entry", settings=path)
    assert result.returncode == status_codes.EXIT_INVALID_INPUT
    assert "local.toml port_range" in result.stderr
    assert "local.toml [platform] address: the field is missing" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("use", ["pprint.pformat(1)", "from pprint import missing; missing()"])
def test_a_library_that_uses_a_stub_at_import_only_makes_the_start_slower(
    tmp_path: Path, use: str
) -> None:
    """Guards against a later version of a library that keeps all hosts from starting."""
    source = Path(mypy_extensions.__file__).read_text()
    prefix = f"import pprint\nif type(pprint).__name__ != 'module':\n    {use}\n"
    (tmp_path / "mypy_extensions.py").write_text(prefix + source)
    path = tmp_path / "local.toml"
    path.write_text('node_name = "e"\n')
    result = run_program("entry", settings=path, libraries=tmp_path)
    assert "starting again with whole libraries:" in result.stderr
    assert result.returncode == status_codes.EXIT_INVALID_INPUT
    assert "local.toml port_range: the field is missing" in result.stderr
    assert "Traceback" not in result.stderr
