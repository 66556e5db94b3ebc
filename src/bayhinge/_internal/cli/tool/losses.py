"""``bayhinge losses FILE...``: where requests and programs lost time."""

import sys
from pathlib import Path

from bayhinge._internal import status_codes
from bayhinge._internal.queries.log_files import LogFiles
from bayhinge._internal.queries.losses import loss_chart, loss_page, losses_of, report

WRITER_BY_SUFFIX = {".html": loss_page, ".svg": loss_chart}


def losses(*files: Path, window: float = 2.0, most: int = 20, page: Path | None = None) -> None:
    """Prints the requests served, late and unanswered over time, totals, and the worst programs.

    Args:
        files: the logs of one or many hosts, in any order.
        window: the time window of each row of the table, in seconds.
        most: how many programs to print.
        page: write a page (.html), or only its chart (.svg), to this file.
    """
    if page is not None and page.suffix not in WRITER_BY_SUFFIX:
        print(f"{page}: the file name must end with .html or .svg", file=sys.stderr)
        raise SystemExit(status_codes.EXIT_USAGE)
    found = losses_of(LogFiles(files), max(0.001, window))
    if not found.windows:
        print("these files contain no log lines of hosts")
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in report(found, most):
        print(line)
    if page is not None:
        page.write_text(WRITER_BY_SUFFIX[page.suffix](found), encoding="utf-8")
        print(f"written: {page}")
