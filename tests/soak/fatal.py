"""Requests under which endpoints of the soak end, and how many of them one request may end."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs

from tests.soak.ledger import Sent

FATAL = b"fatal"
"""Begins the bodies of such requests; each is the same in all attempts of one request."""

MAX_ENDED = 3
"""The users' bound."""


@attrs.define
class FatalRequests:
    """Ends endpoints under certain requests, and counts the ends from outside.

    Attributes:
        end: crashes an endpoint, by id, and starts it again at another address.
    """

    end: Callable[[str], Awaitable[None]]
    _ended_by_body: dict[bytes, list[str]] = attrs.field(factory=dict)
    _ends_by_instance: Counter[str] = attrs.field(factory=Counter)
    _ending: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def take(self, instance: str, body: bytes) -> bool:
        """Ends an endpoint that has got a fatal request; returns whether it has."""
        start = body.rfind(FATAL)
        if start < 0:
            return False
        incarnation = f"{instance}.{self._ends_by_instance[instance]}"
        ended = self._ended_by_body.setdefault(body[start:], [])
        if incarnation not in ended:
            # Attempts of one request that come together may meet at one endpoint.
            ended.append(incarnation)
        if instance not in self._ending:
            self._ending.add(instance)
            task = asyncio.ensure_future(self._end(instance))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return True

    async def _end(self, instance: str) -> None:
        await self.end(instance)
        self._ends_by_instance[instance] += 1
        self._ending.discard(instance)

    @property
    def ended(self) -> int:
        """How many endpoints have ended under all requests."""
        return sum(len(ended) for ended in self._ended_by_body.values())

    async def wait(self) -> None:
        """Waits until all endpoints have started again."""
        await asyncio.gather(*self._tasks)

    def check(self, sent: list[Sent]) -> list[str]:
        """Returns the requests under which too many endpoints ended.

        A host that was killed, frozen or cut in an attempt can't have told what it saw: each such
        attempt allows one more.
        """
        problems: list[str] = []
        for body, ended in self._ended_by_body.items():
            untold = sum(one.body == body and one.may_lack_answer for one in sent)
            if len(ended) > MAX_ENDED + untold:
                problems.append(
                    f"'{body.decode()}': {len(ended)} endpoints ended ({', '.join(ended)}), "
                    f"{untold} attempts at hosts in trouble"
                )
        return problems
