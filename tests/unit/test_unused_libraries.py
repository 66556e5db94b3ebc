"""Libraries that no host uses are replaced by stubs, which raise an error when used."""

import subprocess
import sys

import pytest

from bayhinge._internal.platform.unused_libraries import UNUSED, _StubModule

SCRIPT = """
import sys
from bayhinge._internal.platform.unused_libraries import stub_unused_libraries
stub_unused_libraries()
import bayhinge._internal.platform.{program}
dates = {{"dateutil", "pytz", "croniter"}}
print(sorted(name for name in sys.modules if name.split(".")[0] in dates))
"""


@pytest.mark.parametrize("program", ["entry_program", "disk_program"])
def test_a_host_loads_no_date_libraries(program: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(program=program)],
        capture_output=True,
        text=True,
        check=True,
    )
    stubs = [name for name in sorted(UNUSED) if name.split(".")[0] == "croniter"]
    assert len(stubs) == 2
    assert completed.stdout.strip() == str(stubs)


def test_a_stub_raises_an_error_when_it_is_used() -> None:
    with pytest.raises(AttributeError, match="is a stub in hosts"):
        _StubModule("croniter").croniter("* * * * *")
