"""``bayhinge demo``: a complete system with stand-ins, in one process."""

import asyncio
import logging
from pathlib import Path

from bayhinge._internal import status_codes
from bayhinge._internal.demo.run import run_demo, summary_lines
from bayhinge._internal.queries.html_report import html_report


def demo(*, json: bool = False, seed: int = 1, html: Path | None = None) -> None:
    """Runs both workloads, kills one host and stops another, and prints the result.

    Args:
        json: print one JSON object with the figures as the last line.
        seed: the random seed of the stand-ins.
        html: write the timeline as a page to this file.
    """
    logging.basicConfig(level=logging.ERROR)
    result = asyncio.run(run_demo(seed))
    if html is not None:
        html.write_text(html_report("bayhinge demo", list(result.event_list)), encoding="utf-8")
    if json:
        print(result.to_json().decode())
    else:
        for line in summary_lines(result):
            print(line)
    whole = result.finished == result.programs
    if not whole or result.run_twice or result.lost_turns:
        raise SystemExit(status_codes.EXIT_FAILURE)
