"""Backup of the platform's objects on the disk, copied from entry hosts.

After a power failure of every host during an outage of the platform's store, hosts get the
configuration and the endpoint list from here. It is never newer than the store, so hosts that can
read the store do not use it.
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

FETCH_TIMEOUT_S = 1.0
"""Timeout of a call to an entry host."""

FETCH_DELAY_S = 1.0
"""Delay before a fetch, so that changes in quick succession are copied once."""

SUFFIX = ".objects"


class ObjectBackup:
    """The newest known objects, in one file per prefix."""

    def __init__(self, folder: Path, peers: Peers) -> None:
        """Reads the stored objects from the disk's folder."""
        self._folder = folder
        self._peers = peers
        self._fetching: set[str] = set()
        self._known_by_prefix: dict[str, KnownObjects] = {}
        for path in folder.glob(f"*{SUFFIX}"):
            known = _read(path)
            if known is not None:
                self._known_by_prefix[f"{path.name.removesuffix(SUFFIX)}/"] = known

    @property
    def revision_by_prefix(self) -> dict[str, int]:
        """The stored revision of each prefix, for this disk's heartbeats."""
        return {prefix: known.revision for prefix, known in self._known_by_prefix.items()}

    def snapshot(self, prefix: str) -> KnownObjects:
        """Returns the objects under a prefix; empty at revision 0 where it is unknown."""
        return self._known_by_prefix.get(prefix, KnownObjects(0, {}, 0))

    def fetches_for(self, heartbeat: Hello) -> list[Coroutine[Any, Any, None]]:
        """Returns fetches of the prefixes that are newer at the sender of a heartbeat."""
        wanted = [
            prefix
            for prefix, revision in heartbeat.revision_by_prefix.items()
            if prefix not in self._fetching and revision > self.snapshot(prefix).revision
        ]
        self._fetching.update(wanted)
        return [self._fetch(prefix, heartbeat.peer_address) for prefix in wanted]

    async def _fetch(self, prefix: str, address: str) -> None:
        try:
            await asyncio.sleep(FETCH_DELAY_S)
            query = encode_message(ObjectsQuery(prefix))
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                answer = await self._peers.call(address, methods.OBJECTS, query)
            known = decode_message(KnownObjects(), answer)
            if known.complete_to > self.snapshot(prefix).complete_to:
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
            self._fetching.discard(prefix)


def _read(path: Path) -> KnownObjects | None:
    try:
        return decode_message(KnownObjects(), path.read_bytes())
    except (FrameError, OSError) as error:
        eliot.log_message("objects.unreadable", file=path.name, why=str(error))
        return None
