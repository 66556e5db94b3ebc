"""What no host uses is not loaded, and says so if it is used after all."""

import subprocess
import sys

import pytest

from bayhinge._internal.platform.unused_libraries import UNUSED, _StubModule

LOADS = """
import sys
from bayhinge._internal.platform.unused_libraries import stub_unused_libraries
stub_unused_libraries()
import bayhinge._internal.platform.{program}
dates = {{"dateutil", "pytz", "croniter"}}
print(sorted(name for name in sys.modules if name.split(".")[0] in dates))
"""


@pytest.mark.parametrize("program", ["entry_program", "disk_program"])
def test_a_host_loads_no_tables_of_dates(program: str) -> None:
    done = subprocess.run(
        [sys.executable, "-c", LOADS.format(program=program)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == str(sorted(UNUSED))


def test_what_is_left_out_says_so_when_it_is_used() -> None:
    with pytest.raises(AttributeError, match="is a stub in hosts"):
        _StubModule("croniter").croniter("* * * * *")
