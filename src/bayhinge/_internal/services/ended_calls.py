"""Bounds how many endpoints one call of a program may end, over all tries of its caller.

A program's owner sends all its calls, so nothing has to be told to other hosts. The endpoints that
were lost stand in the program's journal for a host that takes it over.
"""

import asyncio
import itertools
from collections.abc import Iterable

from bayhinge._internal.decisions.known_sends import (
    ENDING_S,
    KnownSend,
    RequestKey,
    SendChange,
    SendStage,
)
from bayhinge._internal.decisions.send_permission import (
    Permission,
    Tally,
    permission_of,
    tally_of,
)
from bayhinge._internal.decisions.send_register import SendRegister
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

DOUBT_RETRY_S = 1.0
"""Retry delay for a call whose endpoints may all have ended under it; an examination takes less."""

STAGE_BY_SIGN = {
    SignOfLife.ANSWERED: SendStage.OUTLIVED,
    SignOfLife.REFUSED: SendStage.ENDED,
}
"""What an examination shows, if that begins when the call can no longer be running there."""


class EndedCalls:
    """The calls of one owner under which endpoints ended or fell silent."""

    def __init__(self, endpoints: EndpointClient) -> None:
        self._endpoints = endpoints
        self._register = SendRegister()
        self._numbers = itertools.count()
        self._address_by_number: dict[int, str] = {}

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
        if not self._register.sends(key):
            for lost in recorded:
                self._add(key, lost)
        tally = self._tally(key)
        if permission_of(tally) is Permission.IN_DOUBT:
            settled_from_s = min(send.over_s for send in tally.in_doubt)
            if settled_from_s < deadline_s:
                await asyncio.sleep(settled_from_s - _now())
            await self._examine(tally)
            tally = self._tally(key)
        permission = permission_of(tally)
        if permission is Permission.WITHHELD:
            raise RefusedError(_ends_endpoints(tally.ended_count))
        if permission is Permission.IN_DOUBT:
            raise RefusedError(_in_doubt(tally.ended_count, len(tally.in_doubt)))

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

    def _add(self, key: RequestKey, lost: LostEndpoint) -> None:
        number = next(self._numbers)
        send = KnownSend(
            number,
            SendStage.ENDED if lost.has_ended else SendStage.UNSERVED,
            lost.lost_s,
            lost.lost_s + ENDING_S,
            endpoint=EndpointIncarnation(lost.endpoint, number),
            broken_s=lost.lost_s,
        )
        self._register.learn(key, [send])
        self._address_by_number[number] = lost.address

    def _tally(self, key: RequestKey) -> Tally:
        return tally_of(key, self._register.sends(key))

    def lost_count(self, key: RequestKey) -> int:
        """Returns how many endpoints have ended under a call, or are silent since."""
        return self._tally(key).lost_count

    def record_answer(self, key: RequestKey) -> None:
        """Forgets a call that was answered."""
        self._register.forget(key)

    async def _examine(self, tally: Tally) -> None:
        """Examines the endpoints that fell silent under a call, all at once."""
        began_s = _now()
        addresses = [self._address_by_number[send.number] for send in tally.in_doubt]
        signs = await asyncio.gather(*map(self._endpoints.examine, addresses))
        for send, sign in zip(tally.in_doubt, signs, strict=True):
            stage = STAGE_BY_SIGN.get(sign)
            if stage is SendStage.ENDED or (stage is not None and began_s >= send.over_s):
                self._register.change(SendChange(send.number, stage))

    def _forget_old(self) -> None:
        self._register.forget_old(_now())
        self._address_by_number = {
            number: address
            for number, address in self._address_by_number.items()
            if self._register.key_of(number) is not None
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
