"""Sealing: ends a journal and names its successors."""

import attrs

from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import AlreadyExistsError
from bayhinge.coordination.journal_objects import SealInfo, object_key, seal_info, sequence_of
from bayhinge.coordination.store import ObjectStore, list_all
from bayhinge.coordination.wire.ttypes import Batch, Seal


async def seal_journal(
    store: ObjectStore,
    prefix: str,
    incarnation: str,
    successors: list[str],
    sealed_by: str,
    reason: str,
) -> SealInfo:
    """Seals a journal and names the successors that continue its work.

    Where two processes seal concurrently, the first seal stands and both return it.
    Successors that the writer announced take precedence over ``successors``.

    Raises:
        StoreError: the store did not answer; the call is idempotent and may be repeated.
        CorruptObjectError: the journal holds an object that can't be read.
    """
    nonce = f"seal-by-{sealed_by}"
    while True:
        tail = await read_tail(store, prefix, incarnation)
        if tail.seal is not None:
            return tail.seal
        named = tail.announced or tuple(successors)
        seal = Seal(list(named), sealed_by, reason)
        value = encode(Batch(FORMAT, sealed_by, nonce, [], seal))
        try:
            await store.create(object_key(prefix, incarnation, tail.next_sequence), value)
        except AlreadyExistsError:
            # The writer appended, or another process sealed: read the tail again.
            continue
        return SealInfo(named, sealed_by, reason)


@attrs.frozen
class JournalTail:
    """The end of a journal, without its records."""

    seal: SealInfo | None
    next_sequence: int
    announced: tuple[str, ...] = ()


async def read_tail(store: ObjectStore, prefix: str, incarnation: str) -> JournalTail:
    """Returns the end of a journal; ``next_sequence`` is 0 where nothing was written."""
    listing = await list_all(store, f"{prefix}/{incarnation}/")
    if not listing.objects:
        return JournalTail(None, 0)
    announced: tuple[str, ...] = ()
    for stored in listing.objects:
        batch = decode(Batch(), stored.value, stored.key)
        if batch.announced:
            announced = tuple(batch.announced)
    last = listing.objects[-1]
    return JournalTail(seal_info(batch.seal), sequence_of(last.key) + 1, announced)


async def find_seal(store: ObjectStore, prefix: str, incarnation: str) -> SealInfo | None:
    """Returns the seal of a journal, or None where it has none."""
    return (await read_tail(store, prefix, incarnation)).seal
