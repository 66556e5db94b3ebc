"""Calls several disks in parallel, and tolerates those that fail."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import decode_message
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskCallError, DiskLink
from bayhinge._internal.wire.hosts import ttypes as wire

Reply = TypeVar("Reply")


class DiskClient:
    """Calls disks for one entry host; tracks calls that their caller no longer waits for."""

    def __init__(self, directory: DiskDirectory, link: DiskLink) -> None:
        self._directory = directory
        self._link = link
        self._tasks: set[asyncio.Task[Any]] = set()

    async def drain(self, limit_s: float) -> None:
        """Waits for background tasks, for at most ``limit_s``."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    async def call_all(
        self,
        members: list[wire.DiskMember],
        method: str,
        message: bytes,
        kind: type[Reply],
    ) -> AsyncIterator[tuple[wire.DiskMember, Reply]]:
        """Calls several disks and yields their replies as they arrive, without failed calls.

        Calls still running when the caller stops iterating continue in the background.
        """
        member_by_task = {
            self.spawn(self.call(member, method, message, kind())): member for member in members
        }
        waiting = set(member_by_task)
        while waiting:
            finished, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in finished:
                reply = task.result()
                if reply is not None:
                    yield member_by_task[task], reply

    async def call(
        self, member: wire.DiskMember, method: str, message: bytes, empty: Reply
    ) -> Reply | None:
        """Returns one disk's reply, decoded into ``empty``.

        Returns None if the disk did not answer, refused, or sent a reply that can't be decoded.
        """
        try:
            return decode_message(empty, await self._link.call(member, method, message))
        except DiskCallError:
            # The link has recorded the failure.
            return None
        except FrameError as error:
            self._directory.record_failure(member, str(error))
            return None

    def spawn(self, work: Coroutine[Any, Any, Reply]) -> asyncio.Task[Reply]:
        """Runs a coroutine in the background; :meth:`drain` waits for it."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
