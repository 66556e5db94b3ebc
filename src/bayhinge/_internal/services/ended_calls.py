"""Bounds how many endpoints one call of a program may end, over all tries of its caller.

A program's owner sends all its calls, so nothing has to be told to other hosts. The endpoints that
were lost stand in the program's journal for a host that takes it over.
"""

import asyncio
from collections.abc import Iterable

from bayhinge._internal.decisions.ended_send_history import BrokenSend, RequestKey
from bayhinge._internal.decisions.ended_sends import EndedSends
from bayhinge._internal.decisions.send_permission import Permission
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.programs import LostEndpoint
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from bayhinge._internal.network.endpoint_client import EndpointClient, SignOfLife
from bayhinge._internal.services.grants import GrantedEndpoint

MICROSECONDS = 1_000_000
"""Microseconds in a second."""

DOUBT_RETRY_S = 1.0
"""Retry delay for a call whose endpoints may all have ended under it; an examination takes less."""


class EndedCalls:
    """The calls of one owner under which endpoints ended or fell silent."""

    def __init__(self, endpoints: EndpointClient) -> None:
        self._endpoints = endpoints
        self._sends = EndedSends()
        self._address_by_incarnation: dict[EndpointIncarnation, str] = {}

    async def check(
        self, key: RequestKey, recorded: Iterable[LostEndpoint], deadline_s: float
    ) -> None:
        """Refuses a call under which too many endpoints have ended, or may have.

        Args:
            key: the call over all its tries.
            recorded: what its program's journal tells of it; a former owner may have written it.
            deadline_s: until when it may wait for an endpoint to show that it goes on.

        Raises:
            RefusedError: as may have run, for it was sent to those endpoints.
        """
        if not self._sends.failures(key):
            for number, lost in enumerate(recorded):
                self._add(key, lost, number)
        permission = self._sends.permission(key, _now())
        if permission is Permission.EXAMINE:
            settled_from_s = self._sends.settled_from_s(key)
            if settled_from_s < deadline_s:
                await asyncio.sleep(settled_from_s - _now())
            await self._examine_undecided(key)
            permission = self._sends.permission(key, _now())
        ended = len(self._sends.ended(key))
        if permission is Permission.WITHHELD:
            raise RefusedError(_ends_endpoints(ended))
        if permission is Permission.EXAMINE:
            in_doubt = len(self._sends.undecided(key))
            raise RefusedError(_in_doubt(ended, in_doubt))

    async def record_failure(
        self, key: RequestKey, digest: str, granted: GrantedEndpoint
    ) -> LostEndpoint:
        """Counts an endpoint that failed a call: one that still answers may be about to end."""
        failed_s = _now()
        has_ended = await self._endpoints.examine(granted.address) is SignOfLife.REFUSED
        lost = LostEndpoint(digest, granted.endpoint, granted.address, has_ended, failed_s)
        self._forget_old()
        self._add(key, lost)
        return lost

    def _add(self, key: RequestKey, lost: LostEndpoint, number: int = 0) -> None:
        # Endpoints restart under their ids, so each loss is told apart by its time and number.
        incarnation = EndpointIncarnation(lost.endpoint, round(lost.lost_s * MICROSECONDS) + number)
        send = BrokenSend(lost.lost_s, lost.lost_s)
        if lost.has_ended:
            self._sends.record_ended(key, incarnation, send, _now())
        else:
            self._sends.record_broken(key, incarnation, send)
            self._address_by_incarnation[incarnation] = lost.address

    def lost_count(self, key: RequestKey) -> int:
        """Returns how many endpoints have ended under a call, or are silent since."""
        return len(self._sends.counting(key))

    def record_answer(self, key: RequestKey) -> None:
        """Forgets a call that was answered."""
        self._sends.forget(key)

    async def _examine_undecided(self, key: RequestKey) -> None:
        """Examines the endpoints that fell silent under a call, all at once."""
        undecided = [
            (incarnation, self._address_by_incarnation[incarnation])
            for incarnation in self._sends.undecided(key)
        ]
        began_s = _now()
        signs = await asyncio.gather(*(self._endpoints.examine(each) for _, each in undecided))
        for (incarnation, _), sign in zip(undecided, signs, strict=True):
            if sign is SignOfLife.ANSWERED:
                self._sends.record_endpoint_answered(incarnation, began_s)
            elif sign is SignOfLife.REFUSED:
                self._sends.record_endpoint_ended(incarnation, _now())

    def _forget_old(self) -> None:
        now = _now()
        self._sends.forget_old(now)
        self._address_by_incarnation = {
            incarnation: address
            for incarnation, address in self._address_by_incarnation.items()
            if self._sends.has_undecided(incarnation, now)
        }


def _ends_endpoints(ended: int) -> Refusal:
    why = f"{ended} endpoints ended while they ran this call; it is sent to no other one"
    figure = Figure("endpoints_ended", ended)
    return Refusal(RefusalCode.ENDS_ENDPOINTS, RunState.MAY_HAVE_RUN, why, (figure,))


def _in_doubt(ended: int, in_doubt: int) -> Refusal:
    why = f"{ended} endpoints ended while they ran this call, and {in_doubt} have been silent since"
    figures = (Figure("endpoints_ended", ended), Figure("endpoints_in_doubt", in_doubt))
    return Refusal(RefusalCode.ENDPOINT_FAILED, RunState.MAY_HAVE_RUN, why, figures, DOUBT_RETRY_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
