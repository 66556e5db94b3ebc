"""A request under which endpoints end is sent to three of them at most, whoever repeats it."""

from pathlib import Path

import pytest

from tests.lib.ending_endpoints import EndingSite, run_ending_site
from tests.lib.platform_site import Reply

pytestmark = pytest.mark.functional

MAX_ENDED = 3
"""The users' bound."""


def test_a_repeatable_request_ends_three_endpoints_over_attempts_and_hosts(tmp_path: Path) -> None:
    async def scenario(site: EndingSite) -> None:
        statuses = await site.repeat(lambda host: site.ask("/look/a", b"fatal", at=host), 6)
        assert len(site.group.ended) <= MAX_ENDED, statuses
        assert (await site.ask("/look/b", b"fine")).status == 200

    run_ending_site(tmp_path, scenario, entries=4)


def test_a_turn_that_its_program_repeats_ends_three_endpoints(tmp_path: Path) -> None:
    async def scenario(site: EndingSite) -> None:
        statuses = await site.repeat(lambda host: site.turn(b"fatal", at=host), 6)
        assert len(site.group.ended) <= MAX_ENDED, statuses
        assert (await site.turn(b"fine", program="q")).status == 200

    run_ending_site(tmp_path, scenario, entries=4)


def test_a_request_that_runs_once_a_try_ends_three_endpoints_over_its_tries(
    tmp_path: Path,
) -> None:
    async def scenario(site: EndingSite) -> None:
        statuses = await site.repeat(lambda host: site.ask("/act/a", b"fatal", at=host), 6)
        assert len(site.group.ended) <= MAX_ENDED, statuses
        assert (await site.ask("/act/b", b"fine")).status == 200

    run_ending_site(tmp_path, scenario, entries=4)


@pytest.mark.parametrize("path", ["/look/a", "/chat/x", "/act/a"])
def test_a_request_under_which_two_endpoints_ended_is_served_by_a_third(
    tmp_path: Path, path: str
) -> None:
    async def scenario(site: EndingSite) -> None:
        site.group.ends_left = 2

        async def ask(host: str) -> Reply:
            if path == "/chat/x":
                return await site.turn(b"fatal", at=host)
            return await site.ask(path, b"fatal", at=host)

        statuses = await site.repeat(ask, 3)
        assert statuses[-1] == 200, statuses
        assert len(site.group.ended) == 2

    run_ending_site(tmp_path, scenario)
