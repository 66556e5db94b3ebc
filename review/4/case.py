"""Two store machines lose their disks, one long after the other, while long turns are kept."""

import asyncio
import os
from pathlib import Path

from case_site import Answer, CaseSite, has_trouble, run_case

LONG_TURNS = 36
LONG_BYTES = int(os.environ.get("LONG_BYTES", "2400000"))
CATCH_UP_S = 5.0
RECOVER_S = 12.0
DOWN_S, FINAL_DOWN_S = 2.0, 1.0
BETWEEN_LOSSES_S = 20.0
LATE_S = 10.0
TRIES = 6


async def scenario(folder: Path, record_path: Path) -> str | None:
    """See the module."""
    site = CaseSite(folder, record_path, disks=3, entries=2, halls=("north", "south", "north"))
    try:
        await site.start()
        return await _play(site)
    finally:
        await site.stop()


async def _play(site: CaseSite) -> str | None:
    entries = site.entries
    kept: list[tuple[str, Answer]] = []
    for number in range(LONG_TURNS):
        text = os.urandom(LONG_BYTES // 2).hex().encode()
        answer = await site.turn(entries[number % 2], f"a{number:04x}", text)
        if answer.is_served:
            kept.append((f"a{number:04x}", answer))
    if len(kept) < LONG_TURNS * 3 // 4:
        raise RuntimeError(f"only {len(kept)} of the long turns were served at the start")
    served_before = len(kept)
    asked_before = LONG_TURNS
    if has_trouble():
        await site.wipe("disk-0", DOWN_S)
    back_s = site.now_s
    number = 0
    while site.now_s < back_s + BETWEEN_LOSSES_S:
        number += 1
        program = f"b{number:04x}"
        answer = await site.turn(entries[number % 2], program, b"how is slot 12?\n")
        asked_before += 1
        served_before += answer.is_served
        if answer.is_served:
            kept.append((program, answer))
        await asyncio.sleep(0.5)
    # The final fault, right after a turn was answered.
    await site.turn(entries[0], "b0000", b"and slot 13?\n")
    if has_trouble():
        await site.wipe("disk-1", FINAL_DOWN_S)
    back_s = site.now_s
    await asyncio.sleep(RECOVER_S)
    late = asyncio.gather(*(_continue(site, kept[-1 - n], n) for n in range(4)))
    served = asked = 0
    while site.now_s < back_s + RECOVER_S + LATE_S:
        asked += 1
        answer = await site.turn(entries[asked % 2], f"c{asked:04x}", b"is slot 14 free?\n")
        served += answer.is_served
        await asyncio.sleep(0.5)
    tries, reached = map(sum, zip(*await late, strict=True))
    site.record(
        "counts",
        before_served=served_before,
        before_asked=asked_before,
        after_served=served,
        after_asked=asked,
        continued_tries=tries,
        continued_reached=reached,
        joined={disk: len(site.log(disk, "disk.joined")) for disk in site.disks},
        too_long={disk: site.count_lines(disk, "exceeds 64000000 bytes") for disk in site.disks},
        copies_missed={disk: len(site.log(disk, "disk.peer_missed")) for disk in site.disks},
        peak_mb={disk: site.peak_mb(disk) for disk in site.disks},
    )
    findings = []
    if served_before * 4 >= asked_before and (served + reached) * 4 < asked + tries:
        findings.append(
            f"RECOVER: {served + reached} of {asked + tries} requests sent later than "
            f"{RECOVER_S:.0f} s after the machines were back were served, "
            f"{served_before} of {asked_before} before the final fault"
        )
    if reached == 0:
        findings.append(f"LOST: 4 kept turns reached no engine in {tries} tries")
    return "; ".join(findings) or None


async def _continue(site: CaseSite, kept: tuple[str, Answer], number: int) -> tuple[int, int]:
    """A new program goes on from a kept turn until it reaches an engine.

    Returns the tries, and whether so.
    """
    _, answer = kept
    began_s = site.now_s
    for tries in range(1, TRIES + 1):
        entry = site.entries[(number + tries) % 2]
        again = await site.turn(
            entry,
            f"d{number:04x}",
            b"and then?\n",
            previous=answer.attempt,
            program_s=30.0 - (site.now_s - began_s),
        )
        if site.has_run(again.attempt):
            return tries, 1
        await asyncio.sleep(1.0)
    return TRIES, 0


if __name__ == "__main__":
    run_case("4", scenario)
