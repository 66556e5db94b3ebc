"""No way in which an endpoint fails or ends under a request leaves the end uncounted."""

from pathlib import Path

import pytest

from tests.lib.drawn_endings import findings, play
from tests.lib.end_cases import Between, EndCase, Route

pytestmark = pytest.mark.functional


def check(folder: Path, case: EndCase) -> None:
    outcome = play(folder, case)
    assert not findings(case, outcome), outcome


@pytest.mark.parametrize("route", [Route.REPEATABLE, Route.ONCE, Route.TURN])
def test_a_failure_that_another_endpoint_answers_clears_no_end(
    tmp_path: Path, route: Route
) -> None:
    check(tmp_path, EndCase(between=Between.FAILURE, route=route, tries=12))
