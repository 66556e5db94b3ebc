"""No way in which an endpoint fails or ends under a request leaves the end uncounted."""

from pathlib import Path

import pytest

from tests.lib.drawn_endings import findings, play
from tests.lib.end_cases import Between, End, EndCase, Entry, Repeat, Route

pytestmark = pytest.mark.functional


def check(folder: Path, case: EndCase) -> None:
    outcome = play(folder, case)
    assert not findings(case, outcome), outcome


@pytest.mark.parametrize("route", [Route.REPEATABLE, Route.ONCE, Route.TURN])
def test_a_failure_that_another_endpoint_answers_clears_no_end(
    tmp_path: Path, route: Route
) -> None:
    check(tmp_path, EndCase(between=Between.FAILURE, route=route, tries=12))


@pytest.mark.parametrize("route", [Route.REPEATABLE, Route.ONCE, Route.TURN])
def test_an_end_counts_that_comes_after_bytes_that_are_no_answer(
    tmp_path: Path, route: Route
) -> None:
    check(tmp_path, EndCase(end=End.JUNK, ends_after_s=0.1, route=route))


@pytest.mark.parametrize(
    "end", [End.OTHER_ANSWER, End.MANY_ANSWERS, End.INTERIM, End.LARGE_HEAD, End.UNSIGNED]
)
def test_an_end_counts_that_comes_after_the_host_has_closed_the_connection(
    tmp_path: Path, end: End
) -> None:
    check(tmp_path, EndCase(end=end, ends_after_s=0.4, route=Route.REPEATABLE))


def test_an_end_counts_that_comes_after_the_caller_has_left(tmp_path: Path) -> None:
    check(tmp_path, EndCase(after_s=1.2, leaves_s=0.3, route=Route.ONCE))


def test_an_end_counts_whose_entry_went_at_the_send_of_a_request(tmp_path: Path) -> None:
    check(tmp_path, EndCase(entry=Entry.GOES_AT_SEND, after_s=1.2, route=Route.REPEATABLE))


@pytest.mark.parametrize("route", [Route.ONCE, Route.TURN])
def test_an_end_counts_that_comes_sooner_than_was_announced(tmp_path: Path, route: Route) -> None:
    check(tmp_path, EndCase(entry=Entry.DRAINING, route=route))


def test_an_end_counts_of_an_endpoint_whose_entry_lapsed_in_an_outage(tmp_path: Path) -> None:
    check(tmp_path, EndCase(entry=Entry.LAPSED, after_s=1.2, route=Route.ONCE))


def test_equal_requests_of_no_program_are_not_sent_beside_one_that_may_end_its_endpoint(
    tmp_path: Path,
) -> None:
    case = EndCase(
        after_s=0.4, has_program=False, repeat=Repeat.AT_ONCE, route=Route.REPEATABLE, tries=2
    )
    check(tmp_path, case)
