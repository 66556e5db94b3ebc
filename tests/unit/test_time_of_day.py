"""No decision reads the time of day: it may jump, on one host and not on another.

Durations, limits and ages are counted on the event loop's clock. This looks at the code itself, so
it also finds a reading whose effect no play shows.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import bayhinge

SOURCES = Path(bayhinge.__file__).parent

READINGS = frozenset(
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
    # Stamps of accepted changes and of adopted programs, for people to read.
    "coordination/config_feed.py": {"wall_ms"},
    "_internal/services/program_registry.py": {"wall_ms"},
    # When a watch of the store ends: a wrong clock moves that host's own ends, and nothing else.
    "_internal/services/gateway/gateway.py": {"wall_ms"},
}
"""Each file that reads the time of day, and by what."""

BENCHES = ("_internal/bench/", "_internal/demo/")
"""They measure, and decide nothing for callers."""


def readings(text: str) -> Iterator[str]:
    """Yields each way in which a module reads the time of day, also under another name."""
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
            if ".".join(parts[-2:]) in READINGS:
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


def test_the_time_of_day_is_read_in_few_places_that_decide_nothing() -> None:
    found: dict[str, set[str]] = {}
    for path in sorted(SOURCES.rglob("*.py")):
        name = path.relative_to(SOURCES).as_posix()
        if not name.startswith(BENCHES) and (read := set(readings(path.read_text()))):
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
def test_a_reading_is_found_whatever_it_is_called(text: str) -> None:
    assert list(readings(text))


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
def test_other_clocks_are_none(text: str) -> None:
    assert not list(readings(text))
