"""Hosts learn of ends that they could not hear of, and that came faster than they are told."""

import asyncio
from pathlib import Path

import pytest

from bayhinge._internal.decisions.ended_send_history import BrokenSend, Fate, RequestKey
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.gateway.ended_send_memory import FateChange
from tests.lib.ending_endpoints import EndingSite, run_ending_site

pytestmark = pytest.mark.functional

MAX_ENDED = 3
"""The users' bound."""

OUT_OF_TOUCH_S = 6.0
"""Longer than a change is repeated."""

REPEATED_S = 3.3
"""How long a change is repeated."""

FURTHER_CHANGES = 1200
"""Changes of other requests in one moment; more than a host tells in some seconds."""


@pytest.mark.parametrize("path", ["/look/a", "/act/a"])
def test_a_host_that_was_out_of_touch_learns_which_requests_end_endpoints(
    tmp_path: Path, path: str
) -> None:
    async def scenario(site: EndingSite) -> None:
        end_cut = site.lose_news("entry-1")
        statuses = [
            (await site.ask(path, b"fatal", at="entry-0")).status for _ in range(MAX_ENDED + 1)
        ]
        await asyncio.sleep(OUT_OF_TOUCH_S)
        end_cut()
        await asyncio.sleep(3.0)
        statuses += [(await site.ask(path, b"fatal", at="entry-1")).status for _ in range(4)]
        assert len(site.group.ended) <= MAX_ENDED, statuses

    run_ending_site(tmp_path, scenario, entries=3)


def test_a_host_that_missed_the_doubt_in_an_endpoint_learns_of_it(tmp_path: Path) -> None:
    async def scenario(site: EndingSite) -> None:
        site.group.freezes = True
        site.group.frozen_entry_s = 1000.0
        end_cut = site.lose_news("entry-1")
        for _ in range(MAX_ENDED):
            await site.ask("/act/a", b"fatal", at="entry-0", Bayhinge_Deadline_Ms="300")
        # Doubts are also told again while they last, which must not be needed.
        for entry in site.entry_by_name.values():
            entry._gateway.ended_sends.tell = lambda changes: None
        await asyncio.sleep(REPEATED_S)
        end_cut()
        await asyncio.sleep(1.5)
        reply = await site.ask("/act/a", b"fatal", at="entry-1", Bayhinge_Deadline_Ms="300")
        assert reply.status == 503
        assert len(site.group.ended) == MAX_ENDED

    run_ending_site(tmp_path, scenario, entries=3)


def test_ends_under_a_repeated_request_are_told_beside_very_many_others(tmp_path: Path) -> None:
    async def scenario(site: EndingSite) -> None:
        exchange = site.entry_by_name["entry-0"]._gateway.ended_send_exchange
        statuses: list[int] = []
        for number in range(MAX_ENDED):
            now = asyncio.get_running_loop().time()
            exchange.tell(
                FateChange(
                    RequestKey(f"{number}-{other:020x}", has_program=True),
                    EndpointIncarnation(f"i-other-{number}"),
                    BrokenSend(now, now),
                    Fate.ENDED,
                )
                for other in range(FURTHER_CHANGES)
            )
            statuses.append((await site.ask("/act/a", b"fatal", at="entry-0")).status)
        # Before any heartbeat.
        await asyncio.sleep(0.02)
        statuses += [(await site.ask("/act/a", b"fatal", at="entry-1")).status for _ in range(4)]
        assert len(site.group.ended) <= MAX_ENDED, statuses

    run_ending_site(tmp_path, scenario)
