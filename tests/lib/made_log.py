"""Generates logs of any length: ``python -m tests.lib.made_log 200000 FOLDER``."""

import random
import sys
from collections.abc import Iterator
from pathlib import Path

import orjson

HOSTS = 60
ENDPOINTS = 30
TURNS_PER_PROGRAM = 8
LINES_PER_S = 900
"""Rate of all hosts together: about 10 MB a minute, as on a large site."""


def made_lines(
    count: int, failure_share: float, endpoints: int = ENDPOINTS, seed: int = 1
) -> Iterator[tuple[str, bytes]]:
    """Yields hosts and lines in time order; ``failure_share`` is the share of failing requests."""
    rng = random.Random(seed)
    count_so_far = 0
    for number in range(endpoints):
        count_so_far += 1
        known = {"endpoint": f"i-{number}", "service": f"llm-{number % 3}", "is_leaving": False}
        yield "edge-0", _line("edge-0", count_so_far, "endpoint.known", known)
    request = 0
    while count_so_far < count:
        request += 1
        host = f"edge-{rng.randrange(HOSTS)}"
        for message_type, fields in _request(rng, request, rng.random() < failure_share, endpoints):
            count_so_far += 1
            yield host, _line(host, count_so_far, message_type, fields)


def _request(
    rng: random.Random, number: int, is_troubled: bool, endpoints: int
) -> Iterator[tuple[str, dict[str, object]]]:
    attempt = f"{number:016x}"
    program = f"{number // TURNS_PER_PROGRAM:014x}"
    endpoint = f"i-{rng.randrange(endpoints)}"
    why = "the endpoint closed the connection"
    if is_troubled:
        failed = {"attempt": attempt, "endpoint": endpoint, "why": why, "sends_ran": 1}
        yield "send.failed", failed | {"load": 0.3, "sends_untaken": 0, "cut_bytes": 0}
        if rng.random() < 0.5:
            refused = {"attempt": attempt, "program": program, "status": 502, "why": why}
            yield "request.refused", refused | {"code": "outcome_unknown", "figures": {}}
            return
    took_ms = round(rng.lognormvariate(5.5, 0.3), 1) * (4 if is_troubled else 1)
    served = {"attempt": attempt, "program": program, "outcome": "served", "endpoint": endpoint}
    yield "request.served", served | {"why": None, "took_ms": took_ms, "configuration": 7}


def _line(host: str, number: int, message_type: str, fields: dict[str, object]) -> bytes:
    at_s = 1_790_000_000 + number / LINES_PER_S
    message = {"host": host, **fields, "timestamp": at_s, "message_type": message_type}
    return orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)


def write_log(
    folder: Path, count: int, failure_share: float, endpoints: int = ENDPOINTS
) -> list[Path]:
    """Writes one file for each host and returns the paths."""
    lines_by_host: dict[str, list[bytes]] = {}
    for host, line in made_lines(count, failure_share, endpoints):
        lines_by_host.setdefault(host, []).append(line)
    for host, lines in lines_by_host.items():
        (folder / f"{host}.log").write_bytes(b"".join(lines))
    return sorted(folder.glob("*.log"))


if __name__ == "__main__":
    write_log(Path(sys.argv[2]), int(sys.argv[1]), failure_share=0.05)
