"""An entry host stands still for half a second, twice, while a tenant sends far too much."""

import asyncio
import os
import signal
from pathlib import Path

from bayhinge.coordination.rendezvous import choose
from case_site import Answer, CaseSite, has_trouble, run_case

WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20
RATE_PER_S, BURST = 20, 20
MOST = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
TENANT, KEY = "acme", "key-of-acme"
SETTLE_S = 12.0
FREEZES = int(os.environ.get("FREEZES", "2"))
STILL_S, BETWEEN_S = 0.5, 1.0
ENTRIES = 13
PACE_S = 0.01
SENDING_S = 8.0


async def scenario(folder: Path, record_path: Path) -> str | None:
    """See the module."""
    site = CaseSite(
        folder,
        record_path,
        disks=3,
        entries=ENTRIES,
        halls=("north", "south"),
        bounds={
            "revoke_strict": True,
            "revoke_ms": 5000,
            "quota_window_s": WINDOW_S,
            "quota_overage": OVERAGE,
            "quota_slack": SLACK,
        },
        tenants=[
            {"name": TENANT, "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST},
            {"name": "other", "api_keys": ["key-of-other"]},
        ],
    )
    try:
        await site.start()
        return await _play(site)
    finally:
        await site.stop()


async def _confirm(site: CaseSite, host: str) -> Answer:
    headers = {"Authorization": f"Bearer {KEY}"}
    return await site.ask(host, "GET", "/confirm/x", b"", headers, 2.0)


async def _freeze(site: CaseSite, host: str) -> None:
    for _ in range(FREEZES):
        await asyncio.sleep(BETWEEN_S)
        if has_trouble():
            site.signal(host, signal.SIGSTOP)
        await asyncio.sleep(STILL_S)
        if has_trouble():
            site.signal(host, signal.SIGCONT)


async def _play(site: CaseSite) -> str | None:
    # The host that counts the tenant's requests, and any other one, which its clients use.
    home = choose(f"quota of {TENANT}", site.entries) or ""
    caller = next(host for host in site.entries if host != home)
    site.record("roles", home=home, caller=caller)
    await asyncio.sleep(SETTLE_S)
    await _confirm(site, caller)
    await asyncio.sleep(2.0)
    asked: list[asyncio.Future[Answer]] = []
    freezes = asyncio.ensure_future(_freeze(site, home))
    began_s = site.now_s
    while site.now_s < began_s + SENDING_S:
        asked.append(asyncio.ensure_future(_confirm(site, caller)))
        await asyncio.sleep(PACE_S)
    await freezes
    await asyncio.gather(*asked)
    return _judge(site)


def _judge(site: CaseSite) -> str | None:
    """Counts the requests of each window that were sent and that arrived at an engine in it."""
    runs = [(site.sent_s[attempt], at_s) for at_s, attempt in site.run_attempts]
    most, began_s = max(
        (sum(sent >= first and at_s <= first + WINDOW_S for sent, at_s in runs), first)
        for first, _ in runs
    )
    site.record("counts", most_runs=most, from_s=round(began_s, 3), bound=MOST)
    if most <= MOST:
        return None
    return f"QUOTA: {most} requests of a tenant ran within {WINDOW_S} s, {MOST:.1f} may"


if __name__ == "__main__":
    run_case("6", scenario)
