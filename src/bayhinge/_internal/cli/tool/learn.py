"""``bayhinge learn``: demonstrates one mechanism with stand-ins."""

import logging

from bayhinge._internal import status_codes
from bayhinge._internal.bench.world.lessons import LESSONS_BY_NAME, run_lesson


def learn(lesson: str = "") -> None:
    """Runs a lesson in virtual time, and prints its timeline.

    Args:
        lesson: the lesson's name; by default the lessons are listed.
    """
    logging.disable(logging.CRITICAL)
    if not lesson:
        for name, item in LESSONS_BY_NAME.items():
            print(f"{name:15} {item.title}")
        return
    if lesson not in LESSONS_BY_NAME:
        print(f"unknown lesson '{lesson}'; choose one of: {', '.join(LESSONS_BY_NAME)}")
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in run_lesson(lesson):
        print(line)
