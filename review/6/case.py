"""Entry hosts are stopped and started in turn while a plain service has too many calls."""

import asyncio
import random
import signal
from pathlib import Path

import attrs
from case_site import Answer, CaseSite, has_trouble, run_case

SLOTS, WORK_S, ENGINES = 6, 0.3, 2
CALLS_PER_S = 54.0
DEADLINE_S = 6.0
GRACE_S = 8.0
STOPS, BETWEEN_S = 4, 18.0
BACK_S = 9.0
LONGEST_S = 2.97
READ_AFTER_S = 1.0


@attrs.frozen
class Call:
    """One call of a client, and how it ended."""

    host: str
    sent_s: float
    ended_s: float
    answer: Answer


async def scenario(folder: Path, record_path: Path) -> str | None:
    """See the module."""
    site = CaseSite(
        folder,
        record_path,
        disks=3,
        entries=2,
        halls=("north", "north", "north"),
        plain_engines=ENGINES,
        plain_slots=SLOTS,
    )
    try:
        await site.start()
        return await _play(site)
    finally:
        await site.stop()


async def _stop_and_start(site: CaseSite, host: str) -> None:
    site.signal(host, signal.SIGTERM)
    await site.ended(host)
    await site.spawn(host)


async def _play(site: CaseSite) -> str | None:
    for engine in site.services:
        engine.faults.pause_s = WORK_S
    calls: list[Call] = []
    asked: list[asyncio.Task[None]] = []
    stops: list[tuple[float, str]] = []
    draw = random.Random(7)

    async def call(host: str) -> None:
        sent_s = site.now_s
        answer = await site.ask(host, "POST", "/act/x", b"fee\n", {}, DEADLINE_S)
        calls.append(Call(host, sent_s, site.now_s, answer))

    def choose() -> str:
        stop_s, stopping = stops[-1] if stops else (-BACK_S, "")
        since_s = site.now_s - stop_s
        if since_s >= BACK_S:
            return draw.choice(site.entries)
        # Clients hold on to the addresses for ttl_s (1 s), some for three times as long.
        other = next(host for host in site.entries if host != stopping)
        return stopping if since_s < LONGEST_S and draw.random() < 2 / 3 else other

    restarts: list[asyncio.Task[None]] = []
    began_s, number = site.now_s, 0
    while site.now_s < began_s + BETWEEN_S * (STOPS + 1) - BETWEEN_S / 2:
        if len(stops) < STOPS and site.now_s >= began_s + BETWEEN_S * (len(stops) + 1):
            host = site.entries[len(stops) % 2]
            stops.append((site.now_s, host))
            if has_trouble():
                restarts.append(asyncio.ensure_future(_stop_and_start(site, host)))
        asked.append(asyncio.ensure_future(call(choose())))
        number += 1
        await asyncio.sleep(max(0.0, began_s + number / CALLS_PER_S - site.now_s))
    await asyncio.gather(*asked, *restarts)
    return _judge(site, calls, stops)


def _judge(site: CaseSite, calls: list[Call], stops: list[tuple[float, str]]) -> str | None:
    cut = [
        call
        for call in calls
        for stop_s, host in stops
        if call.host == host
        and stop_s <= call.sent_s <= stop_s + 3.0
        and not call.answer.is_whole
        and READ_AFTER_S < call.ended_s - call.sent_s < DEADLINE_S - 0.2
        and call.ended_s < stop_s + GRACE_S + 1.0
    ]
    unsent = [call for call in cut if not site.has_run(call.answer.attempt)]
    early = [call for call in unsent if call.ended_s - call.sent_s < 0.7 * DEADLINE_S]
    site.record(
        "counts",
        calls=len(calls),
        served=sum(call.answer.is_served for call in calls),
        refused=sum(call.answer.status == 503 for call in calls),
        cut=len(cut),
        cut_unsent=len(unsent),
        cut_unsent_before_seven_tenths=len(early),
        waited_s=sorted(round(call.ended_s - call.sent_s, 2) for call in unsent),
    )
    if not unsent:
        return None
    return (
        f"LOST: {len(unsent)} calls that a stopping host had read, and passed on to no engine, "
        f"ended with a closed connection, {len(early)} of them before seven tenths of their time"
    )


if __name__ == "__main__":
    run_case("6", scenario)
