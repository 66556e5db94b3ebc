"""Attempts of one request that are under way at several hosts at once, while endpoints end."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.lib.ending_endpoints import EndingSite, run_ending_site
from tests.lib.platform_site import Reply

pytestmark = pytest.mark.functional

MAX_ENDED = 3
"""The users' bound."""

PROGRAM = {"Bayhinge_Program_Id": "p", "Bayhinge_Session_Id": "s"}


STAGGER_S = 0.05

NEWS_DELAY_S = 0.008
"""As long as messages between halls take."""


def bound(at_once: int) -> int:
    """Returns how many endpoints may end: those that got it before any of them had ended."""
    return max(MAX_ENDED, at_once)


@pytest.mark.parametrize("at_once", [3, 4, 8])
@pytest.mark.parametrize("delay_s", [0.0, 0.4])
@pytest.mark.parametrize("path", ["/look/a", "/chat/x"])
def test_attempts_at_once_are_not_sent_on_once_endpoints_ended(
    tmp_path: Path, at_once: int, delay_s: float, path: str
) -> None:
    async def scenario(site: EndingSite) -> None:
        site.group.delay_s = delay_s

        async def ask(host: str) -> Reply:
            if delay_s:
                # Hosts tell each other their loads meanwhile, so each sends to another endpoint.
                await site.pause(STAGGER_S * sorted(site.entry_by_name).index(host))
            if path == "/chat/x":
                return await site.turn(b"fatal", at=host)
            return await site.ask(path, b"fatal", at=host, **PROGRAM)

        statuses = await site.at_once(ask, at_once)
        statuses += await site.at_once(ask, at_once)
        assert len(site.group.ended) <= bound(at_once), statuses

    run_ending_site(tmp_path, scenario, entries=min(at_once, 4))


def test_attempts_that_begin_one_after_the_other_leave_no_room_for_second_sends(
    tmp_path: Path,
) -> None:
    async def scenario(site: EndingSite) -> None:
        site.group.delay_s = 0.4

        async def ask_later(host: str) -> Reply:
            # All three are sent before the first one's endpoint ends.
            await site.pause(0.1 * sorted(site.entry_by_name).index(host))
            return await site.ask("/look/a", b"fatal", at=host, **PROGRAM)

        statuses = await site.at_once(ask_later, 3)
        assert len(site.group.ended) <= MAX_ENDED, statuses

    run_ending_site(tmp_path, scenario, entries=3)


@pytest.mark.parametrize("at_once", [3, 4])
def test_repeats_at_several_hosts_at_once_end_no_more_than_are_left(
    tmp_path: Path, at_once: int
) -> None:
    """Guards against hosts that send a failed request again without hearing of each other."""

    async def scenario(site: EndingSite) -> None:
        def ask(host: str) -> Awaitable[Reply]:
            return site.ask("/act/a", b"fatal", at=host, **PROGRAM)

        await ask("entry-0")
        assert len(site.group.ended) == 1
        await site.pause(NEWS_DELAY_S)
        site.delay_news(NEWS_DELAY_S)
        statuses = await site.at_once(ask, at_once)
        assert len(site.group.ended) <= MAX_ENDED, statuses

    run_ending_site(tmp_path, scenario, entries=at_once)


def test_equal_requests_without_a_program_are_sent_on_one_at_a_time(tmp_path: Path) -> None:
    async def scenario(site: EndingSite) -> None:
        ask: Callable[[str], object] = lambda host: site.ask("/look/a", b"fatal", at=host)  # noqa: E731
        statuses = await site.at_once(ask, 4)  # type: ignore[arg-type]
        statuses += await site.at_once(ask, 4)  # type: ignore[arg-type]
        # Four before any has ended, and two more rounds of one.
        assert len(site.group.ended) <= 4 + 2, statuses

    run_ending_site(tmp_path, scenario, entries=4)
