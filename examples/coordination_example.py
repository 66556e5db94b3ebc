"""Uses journals, a budget escrow and a configuration feed without the daemon.

Run it with ``python examples/coordination_example.py``.
"""

import asyncio
import random

from bayhinge.coordination import (
    ConfigFeed,
    Escrow,
    FencedError,
    Journal,
    JournalReader,
    SystemClock,
)
from bayhinge.coordination.config_feed import FeedTimes
from bayhinge.coordination.journal_seal import seal_journal
from bayhinge.coordination.pacing import WritePacer
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore


async def main() -> None:
    """Seals and reads a journal, spends from a budget and proposes a configuration change."""
    store = MemoryObjectStore(MemoryObjects())
    rng = random.SystemRandom()

    journal = Journal(store, "example/journal", "one~1", WritePacer(20, 4), rng.random)
    writer = asyncio.create_task(journal.run())
    position = await journal.append(b"something that must last")
    print(f"durable at {position}")

    seal = await seal_journal(store, "example/journal", "one~1", ["two~1"], "two~1", "silence")
    print(f"sealed by {seal.sealed_by}; continued by {', '.join(seal.successors)}")
    try:
        await journal.append(b"too late")
    except FencedError as error:
        print(f"the old writer learns of it: {error}")
    writer.cancel()
    contents = await JournalReader(store, "example/journal").read_all("one~1")
    print(f"the successor reads {[record.data for record in contents.records]}")

    escrow = Escrow(store, "example/ledgers", "two~1", rng.random)
    reservation = await escrow.reserve("desk", units=300, budget=1000)
    escrow.settle(reservation, used=120)
    await escrow.write_back(keep_units=0)
    print(f"the ledger: {await escrow.view('desk')}")

    feed = ConfigFeed(store, "example/config", SystemClock(), rng.random, FeedTimes())
    changed = await feed.propose("template", "standard", "[template]\n", "me", base_revision=0)
    print(f"accepted as revision {changed.revision}")


if __name__ == "__main__":
    asyncio.run(main())
