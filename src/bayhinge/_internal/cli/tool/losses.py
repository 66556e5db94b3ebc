"""``bayhinge losses FILE...``: where requests lost their time."""

from pathlib import Path

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.logs import texts_of
from bayhinge._internal.queries.log_trace import read_lines
from bayhinge._internal.queries.losses import losses_of, report


def losses(*files: Path, window: float = 2.0) -> None:
    """Prints what was served, slow and unanswered over time, and the sums by cause.

    Args:
        files: the logs of one or many hosts, in any order.
        window: the length of a row of the table, in seconds.
    """
    found = losses_of(read_lines(texts_of(files)), max(0.001, window))
    if not found.windows:
        print("no line of these files is a line of a host's log")
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in report(found):
        print(line)
