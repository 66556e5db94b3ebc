"""Guards against decisions that read the wall clock, which may jump on a single host."""
# Reads the source, to find also a reading whose effect no simulation shows.

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import bayhinge

SOURCES = Path(bayhinge.__file__).parent

WALL_CLOCK_CALLS = frozenset(
    {
        "time.time",
        "time.time_ns",
        "time.localtime",
        "time.gmtime",
        "time.ctime",
        "time.strftime",
        "time.clock_gettime",
        "time.clock_gettime_ns",
        "datetime.now",
        "datetime.utcnow",
        "datetime.today",
        "date.today",
    }
)

ALLOWED_BY_FILE = {
    "coordination/clock.py": {"time.time_ns", "wall_ms"},
    # Timestamps of accepted changes and of adopted programs, shown to operators.
    "coordination/config_feed.py": {"wall_ms"},
    "_internal/services/program_registry.py": {"wall_ms"},
    # When a watch of the store ends: a wrong clock shifts only that host's own watches.
    "_internal/services/gateway/store_watching.py": {"wall_ms"},
    # Passes the clock on to what compares the reported start of an endpoint with connections.
    "_internal/services/gateway/gateway.py": {"wall_ms"},
}
"""The files that read the wall clock, and the calls by which they do."""

BENCHES = ("_internal/bench/", "_internal/demo/")
"""These make no decisions for callers."""


def wall_clock_readings(text: str) -> Iterator[str]:
    """Yields each call by which a module reads the wall clock, also under another name."""
    tree = ast.parse(text)
    names: dict[str, str] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {one.asname or one.name: one.name for one in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {one.asname or one.name: f"{node.module}.{one.name}" for one in node.names}
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and node.attr == "wall_ms":
            yield "wall_ms"
        if isinstance(node, ast.Attribute | ast.Name):
            known = _dotted(node, names)
            parts = known.split(".")
            # "datetime.datetime.now" and "datetime.now" are the same.
            if ".".join(parts[-2:]) in WALL_CLOCK_CALLS:
                yield ".".join(parts[-2:])


def _dotted(node: ast.expr, names: dict[str, str]) -> str:
    if isinstance(node, ast.Name):
        return names.get(node.id, node.id)
    if isinstance(node, ast.Attribute):
        return f"{_dotted(node.value, names)}.{node.attr}"
    if isinstance(node, ast.Call) and node.args and isinstance(node.args[0], ast.Constant):
        # __import__("time").time, importlib.import_module("time").time
        return str(node.args[0].value)
    return "?"


def test_the_wall_clock_is_read_only_where_no_decision_depends_on_it() -> None:
    found: dict[str, set[str]] = {}
    for path in sorted(SOURCES.rglob("*.py")):
        name = path.relative_to(SOURCES).as_posix()
        if not name.startswith(BENCHES) and (read := set(wall_clock_readings(path.read_text()))):
            found[name] = read
    assert found == ALLOWED_BY_FILE


@pytest.mark.parametrize(
    "text",
    [
        "import time\nnow = time.time()",
        "import time as t\nnow = t.time_ns()",
        "from time import time\nnow = time()",
        "from time import time as clock\nnow = clock()",
        "now = __import__('time').time()",
        "from datetime import datetime\nnow = datetime.now()",
        "import datetime\nnow = datetime.datetime.now(tz=None)",
        "import datetime as d\nnow = d.date.today()",
        "def f(clock):\n    return clock.wall_ms()",
        "import time\nclock = time.time",
    ],
)
def test_a_reading_of_the_wall_clock_is_found_under_any_name(text: str) -> None:
    assert list(wall_clock_readings(text))


@pytest.mark.parametrize(
    "text",
    [
        "import time\nnow = time.monotonic()",
        "import asyncio\nnow = asyncio.get_running_loop().time()",
        "loop = None\nnow = loop.time()",
        "from datetime import datetime, UTC\ndatetime.fromtimestamp(5, UTC)",
        "import time\ntime.process_time()",
    ],
)
def test_other_clocks_are_not_reported(text: str) -> None:
    assert not list(wall_clock_readings(text))
