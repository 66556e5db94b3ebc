"""A program goes on from another program's turn, and a third one from its turn 45 s later."""

import asyncio
import itertools
from pathlib import Path

import attrs
from bayhinge._internal.decisions.disk_placement import replicas_of
from case_site import CaseSite, has_trouble, run_case

DISKS = 10
HALLS = ("accra-a", "accra-b", "tema", "kumasi", "takoradi")
TOLERATED = 2
DOWN_S = 0.5
CONTINUE_AFTER_S = 57.0
EXPIRES_AFTER_S = 90.0
MARGIN_S = 9.0
TRIES = 6
THIRD_PROGRAM, AIM_S = "9c41d0", 30.0


@attrs.frozen
class Place:
    """A disk host, as the placement sees it."""

    host: str
    hall: str


async def scenario(folder: Path, record_path: Path) -> str | None:
    """See the module."""
    site = CaseSite(
        folder,
        record_path,
        disks=DISKS,
        entries=2,
        halls=HALLS,
        tolerated=TOLERATED,
        bounds={
            "contact_ms": 4000,
            "ack_ms": 6000,
            "catch_up_s": 6,
            "drain_ms": 3000,
            "config_apply_ms": 3000,
            "max_stretch_ms": 6000,
            "recover_s": 15,
            "iteration_ms": 200,
        },
    )
    try:
        await site.start()
        return await _play(site)
    finally:
        await site.stop()


def _programs_apart(site: CaseSite) -> tuple[str, str]:
    """Returns two program ids whose turns are kept on different disks, as 1 in 32 pairs is."""
    places = [Place(disk, site.hall(disk)) for disk in site.disks]

    def disks_of(program: str) -> set[str]:
        return {one.host for one in replicas_of(program, places, TOLERATED)}

    first = "3fa81c"
    numbers = itertools.count(1)
    second = next(
        name
        for name in (f"51b{number:03x}" for number in numbers)
        if not disks_of(name) & disks_of(first)
    )
    return first, second


async def _play(site: CaseSite) -> str | None:
    first, second = _programs_apart(site)
    await asyncio.sleep(1.0)
    one = await site.turn(site.entries[0], first, b"my passport number is 4711\n")
    one_s = site.now_s
    if not one.is_served:
        raise RuntimeError("the first turn was not served")
    await asyncio.sleep(1.0)
    if has_trouble():
        await site.kill(*site.disks)
        await asyncio.sleep(DOWN_S)
        for disk in site.disks:
            await site.spawn(disk)
    back_s = site.now_s
    await asyncio.sleep(one_s + CONTINUE_AFTER_S - site.now_s)
    two = await site.turn(site.entries[1], second, b"and the form?\n", previous=one.attempt)
    two_s = site.now_s
    if not two.is_served:
        raise RuntimeError("the second turn was not served")
    await asyncio.sleep(back_s + EXPIRES_AFTER_S + MARGIN_S - site.now_s)
    reached = 0
    for number in range(TRIES):
        new = await site.turn(site.entries[number % 2], f"c{number}", b"another program\n")
        if not new.is_served:
            raise RuntimeError("a first turn was not served")
    tries, began_s = 0, site.now_s
    while tries < TRIES and not reached:
        entry = site.entries[tries % 2]
        three = await site.turn(
            entry,
            THIRD_PROGRAM,
            b"and the fee?\n",
            previous=two.attempt,
            program_s=AIM_S - (site.now_s - began_s),
        )
        tries += 1
        reached += site.has_run(three.attempt)
        await asyncio.sleep(0.7)
    site.record("counts", tries=tries, reached=reached, age_s=round(site.now_s - two_s, 1))
    if reached:
        return None
    return (
        f"LOST: a turn that goes on from one answered {site.now_s - two_s:.0f} s ago reached no "
        f"engine in {tries} tries, while first turns did"
    )


if __name__ == "__main__":
    run_case("5", scenario)
