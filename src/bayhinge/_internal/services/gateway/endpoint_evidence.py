"""Finds out whether endpoints have outlived the sends that they got."""

from collections.abc import Iterable

import eliot

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.known_sends import KnownSend, SendStage
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer, Examination
from bayhinge._internal.services.gateway.endpoint_prober import ProbeResult

ALIVE_AFTER_S = 6.0
"""Where no answer is to be had, a connection that is made so long after the run shows that the
endpoint goes on: its entry would have gone by then."""

ENDED_RESULTS = {ProbeResult.REFUSED, ProbeResult.REPLACED}
"""Results of a probe that show an end by themselves."""


class EndpointEvidence:
    """Examines the endpoints of sends that count."""

    def __init__(self, endpoint_table: EndpointTable, examiner: EndpointExaminer) -> None:
        self._endpoint_table = endpoint_table
        self._examiner = examiner

    async def examine(self, request: str, sends: Iterable[KnownSend]) -> dict[int, SendStage]:
        """Returns what has become known of sends, by number; nothing where that is unchanged.

        ``request`` is their request's fingerprint, for the log.
        """
        sends = [send for send in sends if send.endpoint.endpoint]
        entry_by_number = {send.number: self._entry_of(send.endpoint) for send in sends}
        entries = [entry for entry in entry_by_number.values() if entry is not None]
        shown = await self._examiner.examine_all(entries)
        found: dict[int, SendStage] = {}
        for send in sends:
            entry = entry_by_number[send.number]
            examination = None if entry is None else shown.get(entry.incarnation)
            stage = self._stage_of(send, entry, examination)
            if stage > send.stage:
                found[send.number] = stage
                _log(request, send, stage, examination)
        return found

    def restarted(self, sends: Iterable[KnownSend]) -> dict[int, SendStage]:
        """Returns the sends whose endpoints have started anew: the former ones have ended.

        What had been taken for a sign of life may have been that of the later incarnation.
        """
        return {
            send.number: SendStage.ENDED
            for send in sends
            if send.stage is SendStage.OUTLIVED and self._has_later_incarnation(send.endpoint)
        }

    def _has_later_incarnation(self, incarnation: EndpointIncarnation) -> bool:
        entry = self._endpoint_table.last_entry(incarnation.endpoint)
        return entry is not None and entry.incarnation.is_later_than(incarnation)

    def _stage_of(
        self, send: KnownSend, entry: EndpointEntry | None, examination: Examination | None
    ) -> SendStage:
        if entry is None:
            # It has been gone for so long that it is forgotten, or a later incarnation has started.
            return SendStage.ENDED
        if examination is not None and examination.result in ENDED_RESULTS:
            return SendStage.ENDED
        if examination is not None and _shows_life(send, examination, self._is_listed(send)):
            is_back = send.stage is SendStage.ENDED
            return SendStage.CLEARED if is_back else SendStage.OUTLIVED
        has_answered = examination is not None and examination.result is ProbeResult.ANSWERED
        return send.stage if has_answered or self._is_listed(send) else SendStage.ENDED

    def _entry_of(self, incarnation: EndpointIncarnation) -> EndpointEntry | None:
        """Returns the entry of an endpoint, also of one that was removed a short time ago."""
        entry = self._endpoint_table.last_entry(incarnation.endpoint)
        if entry is None or not incarnation.may_be_same_as(entry.incarnation):
            return None
        return entry

    def _is_listed(self, send: KnownSend) -> bool:
        state = self._endpoint_table.find_incarnation(send.endpoint)
        return state is not None and not state.is_suspected


def _shows_life(send: KnownSend, examination: Examination, is_listed: bool) -> bool:
    """Whether an endpoint has answered what was sent after the run was over."""
    if examination.result is ProbeResult.ANSWERED:
        return examination.began_s >= send.over_s
    is_connected = examination.result is ProbeResult.CONNECTED and is_listed
    return is_connected and examination.began_s >= send.over_s + ALIVE_AFTER_S


def _log(request: str, send: KnownSend, stage: SendStage, examination: Examination | None) -> None:
    eliot.log_message(
        "endpoint.ended_under" if stage is SendStage.ENDED else "send.settled",
        request=request,
        number=send.number,
        endpoint=send.endpoint.endpoint,
        before=send.stage.name.lower(),
        probe=None if examination is None else examination.result.value,
    )
