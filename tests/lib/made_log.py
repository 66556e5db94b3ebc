"""Generates logs of any length: ``python -m tests.lib.made_log 200000 FOLDER``."""

import random
import sys
from collections.abc import Iterator
from pathlib import Path

import orjson

HOSTS = 60
ENDPOINTS = 30
TURNS_OF_A_PROGRAM = 8
LINES_PER_S = 900
"""Rate of all hosts together: about 10 MB a minute, as on a large site."""


def made_lines(
    count: int, troubled: float, endpoints: int = ENDPOINTS, seed: int = 1
) -> Iterator[tuple[str, bytes]]:
    """Yields hosts and lines in time order; ``troubled`` is the share of failing requests."""
    source = random.Random(seed)
    made = 0
    for number in range(endpoints):
        made += 1
        known = {"endpoint": f"i-{number}", "service": f"llm-{number % 3}", "is_leaving": False}
        yield "edge-0", _line("edge-0", made, "endpoint.known", known)
    request = 0
    while made < count:
        request += 1
        host = f"edge-{source.randrange(HOSTS)}"
        for what, fields in _request(source, request, source.random() < troubled, endpoints):
            made += 1
            yield host, _line(host, made, what, fields)


def _request(
    source: random.Random, number: int, is_troubled: bool, endpoints: int
) -> Iterator[tuple[str, dict[str, object]]]:
    attempt = f"{number:016x}"
    program = f"{number // TURNS_OF_A_PROGRAM:014x}"
    endpoint = f"i-{source.randrange(endpoints)}"
    why = "the endpoint closed the connection"
    if is_troubled:
        failed = {"attempt": attempt, "endpoint": endpoint, "why": why, "sends_ran": 1}
        yield "send.failed", failed | {"load": 0.3, "sends_untaken": 0, "cut_bytes": 0}
        if source.random() < 0.5:
            refused = {"attempt": attempt, "program": program, "status": 502, "why": why}
            yield "request.refused", refused | {"code": "outcome_unknown", "figures": {}}
            return
    took_ms = round(source.lognormvariate(5.5, 0.3), 1) * (4 if is_troubled else 1)
    served = {"attempt": attempt, "program": program, "outcome": "served", "endpoint": endpoint}
    yield "request.served", served | {"why": None, "took_ms": took_ms, "configuration": 7}


def _line(host: str, number: int, what: str, fields: dict[str, object]) -> bytes:
    at_s = 1_790_000_000 + number / LINES_PER_S
    told = {"host": host, **fields, "timestamp": at_s, "message_type": what}
    return orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE)


def write_log(folder: Path, count: int, troubled: float, endpoints: int = ENDPOINTS) -> list[Path]:
    """Writes one file for each host and returns the paths."""
    lines_by_host: dict[str, list[bytes]] = {}
    for host, line in made_lines(count, troubled, endpoints):
        lines_by_host.setdefault(host, []).append(line)
    for host, lines in lines_by_host.items():
        (folder / f"{host}.log").write_bytes(b"".join(lines))
    return sorted(folder.glob("*.log"))


if __name__ == "__main__":
    write_log(Path(sys.argv[2]), int(sys.argv[1]), troubled=0.05)
