"""``bayhinge learn``: watch one mechanism act against the stand-ins."""

import logging

from bayhinge._internal import status_codes
from bayhinge._internal.bench.world.lessons import LESSONS_BY_NAME, run_lesson


def learn(lesson: str = "") -> None:
    """Plays a lesson in virtual time, and shows the time line that it leaves.

    Args:
        lesson: which one; without it, the lessons are listed.
    """
    logging.disable(logging.CRITICAL)
    if not lesson:
        for name, item in LESSONS_BY_NAME.items():
            print(f"{name:15} {item.title}")
        return
    if lesson not in LESSONS_BY_NAME:
        print(f"no lesson is called '{lesson}'; known: {', '.join(LESSONS_BY_NAME)}")
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in run_lesson(lesson):
        print(line)
