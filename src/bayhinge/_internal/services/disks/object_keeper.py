"""Keeps what entry hosts know of the platform's objects, on the disk.

When every host has lost power while the platform's store is down, this is where the
configuration and the list of endpoints come from. It is never newer than the store, so
whoever can read the store does not use it.
"""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.wire.hosts.ttypes import Hello, KnownObjects, ObjectsQuery

FETCH_S = 1.0
"""Time for an entry host's answer."""

FETCH_PAUSE_S = 1.0
"""Between two fetches of one prefix: engines that come one by one make one copy, not many."""

SUFFIX = ".objects"


class ObjectKeeper:
    """The newest known objects by prefix, in one file each."""

    def __init__(self, folder: Path, peers: Peers) -> None:
        """Takes the disk's folder and the way to entry hosts; reads what is there."""
        self._folder = folder
        self._peers = peers
        self._busy: set[str] = set()
        self._known_by_prefix: dict[str, KnownObjects] = {}
        for path in folder.glob(f"*{SUFFIX}"):
            known = _read(path)
            if known is not None:
                self._known_by_prefix[f"{path.name.removesuffix(SUFFIX)}/"] = known

    @property
    def revision_by_prefix(self) -> dict[str, int]:
        """What this disk has, for its hellos."""
        return {prefix: known.revision for prefix, known in self._known_by_prefix.items()}

    def known(self, prefix: str) -> KnownObjects:
        """Returns the objects under a prefix; none where nothing is known of it."""
        return self._known_by_prefix.get(prefix, KnownObjects(0, {}, 0))

    def news(self, hello: Hello) -> list[Coroutine[Any, Any, None]]:
        """Returns the fetches that a hello calls for."""
        wanted = [
            prefix
            for prefix, revision in hello.revision_by_prefix.items()
            if prefix not in self._busy and revision > self.known(prefix).revision
        ]
        self._busy.update(wanted)
        return [self._fetch(prefix, hello.peer_address) for prefix in wanted]

    async def _fetch(self, prefix: str, address: str) -> None:
        try:
            await asyncio.sleep(FETCH_PAUSE_S)
            query = encode_message(ObjectsQuery(prefix))
            async with asyncio.timeout(FETCH_S):
                answer = await self._peers.call(address, methods.OBJECTS, query)
            known = decode_message(KnownObjects(), answer)
            if known.complete_to > self.known(prefix).complete_to:
                replace_synced(self._folder / f"{prefix.rstrip('/')}{SUFFIX}", answer)
                self._known_by_prefix[prefix] = known
        except (
            TimeoutError,
            PeerUnreachableError,
            PeerFailureError,
            FrameError,
            OSError,
        ) as error:
            eliot.log_message("objects.not_kept", prefix=prefix, why=str(error) or "time-out")
        finally:
            self._busy.discard(prefix)


def _read(path: Path) -> KnownObjects | None:
    try:
        return decode_message(KnownObjects(), path.read_bytes())
    except (FrameError, OSError) as error:
        eliot.log_message("objects.unreadable", file=path.name, why=str(error))
        return None
