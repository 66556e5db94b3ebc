"""Writes entries to as many disks as must sync them, and repeats until they have."""

import asyncio
from collections.abc import Iterable

import attrs
import eliot

from bayhinge._internal.decisions.disk_quorum import copies_needed
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_client import DiskClient
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.wire.hosts import ttypes as wire

APPEND_RETRY_S = 0.1
"""Pause between attempts to append entries."""


@attrs.frozen(eq=False, repr=False)
class EncodedEntries:
    """Entries of programs that are stored on the same disks, as one message.

    Attributes:
        program: any of the programs.
        attempt: the turn on whose behalf they are written.
    """

    program: str
    attempt: str
    message: bytes


class EntryWriter:
    """Writes entries for one entry host.

    ``tolerated`` is the number of disks that may be lost at once.
    """

    def __init__(self, disk_client: DiskClient, directory: DiskDirectory, tolerated: int) -> None:
        self._disk_client = disk_client
        self._directory = directory
        self._tolerated = tolerated

    def encode(self, attempt: str, entries: Iterable[wire.TurnEntry]) -> list[EncodedEntries]:
        """Returns one message for each set of disks that store some of the entries' programs."""
        entries_by_hosts: dict[frozenset[str], list[wire.TurnEntry]] = {}
        for entry in entries:
            replicas = self._directory.replicas(entry.program)
            hosts = frozenset(disk.host for disk in replicas)
            entries_by_hosts.setdefault(hosts, []).append(entry)
        return [
            EncodedEntries(group[0].program, attempt, encode_message(wire.AppendEntries(group)))
            for group in entries_by_hosts.values()
        ]

    async def write(self, encoded: list[EncodedEntries]) -> None:
        """Returns once enough disks have synced each message."""
        if len(encoded) == 1:
            await self._write_one(encoded[0])
            return
        await asyncio.gather(*(self._write_one(one) for one in encoded))

    async def _write_one(self, encoded: EncodedEntries) -> None:
        generation_by_host: dict[str, int] = {}
        tries = 0
        while True:
            # If the program's own disks are not enough, use any others.
            disks = (
                self._directory.writable() if tries else self._directory.replicas(encoded.program)
            )
            disks = [disk for disk in disks if disk.host not in generation_by_host]
            async for disk, reply in self._disk_client.call_all(
                disks, methods.APPEND, encoded.message, wire.AppendReply
            ):
                generation_by_host[disk.host] = reply.generation
                if len(set(generation_by_host.values())) >= copies_needed(self._tolerated):
                    return
            if tries == 0:
                eliot.log_message(
                    "turn.not_durable_yet",
                    attempt=encoded.attempt,
                    copies_on=list(generation_by_host),
                    asked=[disk.host for disk in disks],
                    disk_set_version=self._directory.disk_set.version,
                )
            tries += 1
            await asyncio.sleep(APPEND_RETRY_S)
