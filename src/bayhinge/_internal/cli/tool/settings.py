"""``bayhinge settings``: checks a settings file, or prints the reference."""

import sys
from pathlib import Path

import cyclopts

from bayhinge._internal import status_codes
from bayhinge._internal.models.settings import read_settings_file
from bayhinge._internal.queries.settings_reference import reference_page

app = cyclopts.App(name="settings", help="Check settings and print their reference.")


@app.command
def check(file: Path) -> None:
    """Checks a daemon's settings file and reports every finding.

    Args:
        file: the INI file.
    """
    read = read_settings_file(file)
    if read.is_ok():
        print(f"{file}: no findings")
        return
    for finding in read.error:
        print(finding, file=sys.stderr)
    raise SystemExit(status_codes.EXIT_INVALID_INPUT)


@app.command
def reference() -> None:
    """Prints the reference of all settings, as in docs/settings.md."""
    print(reference_page(), end="")
