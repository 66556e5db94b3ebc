"""Finds out which endpoints ended while they ran a request, and bounds how many one may end.

Each send that did not serve its request puts its endpoint in doubt, which all hosts are told at
once. Evidence is gathered by each host. Of an end: a connection that is refused, an entry that
vanished while the endpoint answers nothing, a later incarnation. That the endpoint goes on: an
answer to what was sent after the run was over. See :mod:`ended_sends` for the decisions, and
:mod:`ended_send_exchange` for what hosts tell each other.
"""

import asyncio
import math
import random
from collections.abc import Iterable
from enum import StrEnum

import attrs
import eliot

from bayhinge._internal.decisions.ended_send_history import (
    UNDECIDED_S,
    BrokenSend,
    Fate,
    Knowledge,
    RequestKey,
    SendUnderWay,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.send_permission import Permission
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.ended_send_memory import (
    EndedSendMemory,
    FateChange,
    SendChange,
)
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer, Examination
from bayhinge._internal.services.gateway.endpoint_prober import EndpointProber, ProbeResult

NOTICE_S = 0.3
"""Changes of the store are usually seen within this time."""

EJECTED_AFTER_S = 2.0
"""An endpoint that answers nothing for so long gets no other requests either. Where all are busy, a
health check waits for a slot."""

NUMBER_BITS = 62
"""Of the random numbers that order sends of several hosts."""

HEARD_WITHIN_S = 1.0
"""An endpoint that sent anything so short a time ago was not silent."""

MAX_LOGGED_REQUESTS = 8
"""Requests named in one line."""


class Evidence(StrEnum):
    """Why an endpoint is known to have ended."""

    REFUSED = "it refuses connections"
    VANISHED = "its entry is gone"
    RESTARTED = "a later incarnation has started"
    REPLACED = "another endpoint answers at its address"


ENDED_BY_PROBE = {
    ProbeResult.REFUSED: Evidence.REFUSED,
    ProbeResult.REPLACED: Evidence.REPLACED,
}
"""Results of a probe that show an end by themselves."""


@attrs.define
class EndedSendCounts:
    """Counts since the start of the process.

    Attributes:
        ended: pairs of a request and an endpoint that ended under it, as found by this host.
        cleared: such pairs that counted no longer, as the endpoint or the request was fine.
        withheld: attempts that were refused for the endpoints that had ended under the request.
        alone: sends to an endpoint without other requests of this kind.
    """

    ended: int = 0
    cleared: int = 0
    withheld: int = 0
    alone: int = 0


class EndedSendTracker(EndedSendMemory):
    """The sends of one host that did not serve, and the ends of endpoints that are blamed on them.

    ``serves_on_s`` is for how long endpoints go on at least after they announce their ends.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        pool: EndpointConnectionPool,
        prober: EndpointProber | None = None,
        serves_on_s: float = 2.0,
    ) -> None:
        super().__init__()
        self._endpoint_table = endpoint_table
        self._pool = pool
        self._examiner = EndpointExaminer(prober or EndpointProber(pool))
        self._examiner.on_result = self._handle_examined
        self._serves_on_s = serves_on_s
        self.counts = EndedSendCounts()
        self._random = random.Random()
        # Of the endpoints in doubt after own sends; the store's list may drop them meanwhile.
        self._entry_by_incarnation: dict[EndpointIncarnation, EndpointEntry] = {}

    @property
    def probes(self) -> int:
        """Connections that were opened to see whether an endpoint has ended."""
        return self._examiner.count

    # ---- before a send ----

    async def permission(self, key: RequestKey) -> Permission:
        """Returns whether a request may be sent now, after a probe of the endpoints in doubt.

        It is still EXAMINE if too many of them have not shown that they go on.
        """
        permission = self.sends.permission(key, _now())
        if permission is not Permission.EXAMINE:
            return permission
        entries = map(self._entry_of, self.sends.undecided(key))
        await self._examiner.examine_all(filter(None, entries))
        return self.sends.permission(key, _now())

    def settled_in_s(self, key: RequestKey) -> float:
        """Returns after what time an endpoint in doubt can show that it goes on."""
        return self.sends.settled_from_s(key) - _now()

    def permission_now(self, key: RequestKey, claim: SendUnderWay | None = None) -> Permission:
        """Returns the same without a probe, for a request that was examined a moment ago.

        See :meth:`EndedSends.permission` for ``claim``.
        """
        return self.sends.permission(key, _now(), claim=claim)

    def has_failed(self, key: RequestKey) -> bool:
        """Whether endpoints ended under a request, or may have."""
        return self.sends.has_failed(key)

    def failed_endpoints(self, key: RequestKey) -> frozenset[str]:
        """Returns the endpoints that a request should avoid."""
        return self.sends.failed_endpoints(key)

    def knowledge(self, key: RequestKey) -> Knowledge:
        """Returns what this host knows of a request, for its log."""
        return self.sends.knowledge(key, _now())

    def trial_endpoints(self, key: RequestKey) -> frozenset[str]:
        """Returns the endpoints at which other requests are on trial."""
        return self.sends.trial_endpoints(key, _now())

    def begin_send(
        self, key: RequestKey, run: ActiveRun, is_alone: bool, is_under_way: bool = False
    ) -> SendUnderWay | None:
        """Counts a send and tells it; :meth:`end_send` must be called unless it returns None.

        ``is_under_way`` marks one that was sent before anything had failed.
        """
        number = 0 if is_under_way else self._random.getrandbits(NUMBER_BITS)
        began_s = -math.inf if is_under_way else _now()
        is_told = self.has_failed(key)
        send = self.sends.begin_send(key, run.endpoint, is_alone, number, began_s, is_told)
        if send is not None and is_told:
            self.counts.alone += is_alone
            self.tell([SendChange(key, run.state.entry.incarnation, send, is_over=False)])
        return send

    def end_send(self, key: RequestKey, run: ActiveRun, send: SendUnderWay) -> None:
        """Ends the count of a send."""
        self.sends.end_send(key, send.endpoint, send.number)
        if send.is_told:
            self.tell([SendChange(key, run.state.entry.incarnation, send, is_over=True)])

    # ---- after a send ----

    def record_unserved(
        self, key: RequestKey, run: ActiveRun, sent_s: float, over_s: float, why: str
    ) -> None:
        """Records a send that did not serve its request, and looks whether its endpoint ended.

        Args:
            key: the request.
            run: its run at the endpoint.
            sent_s: when its bytes may have left.
            over_s: from when the endpoint can no longer be at work on it, nor about to end.
            why: why it was not served, for the log.
        """
        state = run.state
        if self._ends_as_planned(run):
            eliot.log_message(
                "send.not_counted",
                request=key.fingerprint,
                endpoint=run.endpoint,
                why="its announced end was due",
            )
            return
        incarnation = state.entry.incarnation
        send = BrokenSend(sent_s, _now(), over_s=over_s, is_own=True)
        if self.sends.record_broken(key, incarnation, send) is not send:
            return
        self._entry_by_incarnation[incarnation] = state.entry
        eliot.log_message(
            "send.in_doubt",
            request=key.fingerprint,
            endpoint=incarnation.endpoint,
            why=why,
            took_s=round(send.broken_s - sent_s, 3),
            settled_in_s=round(over_s - send.broken_s, 3),
        )
        self.on_failure(key)
        # Callers repeat a request at once, at any host.
        self.tell(self._changes([(key, incarnation)], Fate.BROKEN))
        self._look_for_end(run)

    def _look_for_end(self, run: ActiveRun) -> None:
        """Looks whether the endpoint of a failed run has ended."""
        state = run.state
        newest = self._endpoint_table.find(run.endpoint)
        if run.is_ended or (newest is not None and newest is not state):
            self._record_ended(state.entry.incarnation, Evidence.RESTARTED)
        elif newest is None or state.is_suspected:
            self.handle_vanished(state)
        elif run.is_lost or not self._is_heard(run.endpoint, _now() - HEARD_WITHIN_S):
            self._examiner.begin(state.entry)

    def _is_heard(self, endpoint: str, since_s: float) -> bool:
        return self._pool.has_received_since(endpoint, since_s)

    def _ends_as_planned(self, run: ActiveRun) -> bool:
        """Whether an endpoint that closes a run had announced its end, and served on since.

        One that this host gave up may have ended at any time. An entry also goes where its endpoint
        is silent, so it must have been heard without one.
        """
        state = run.state
        is_due = state.was_end_due(_now(), self._serves_on_s - NOTICE_S)
        if not (is_due and run.is_closed_by_endpoint):
            return False
        if state.entry.is_leaving:
            return True
        since_s = state.missing_since_s
        return state.answered_s >= since_s or self._is_heard(state.entry.instance, since_s)

    def record_answer(
        self, key: RequestKey, run: ActiveRun, sent_s: float, is_served: bool
    ) -> None:
        """Records a whole answer, which clears its endpoint, and the request if that is served.

        A failure that another endpoint answers tells nothing of those that ended.
        """
        incarnation = run.state.entry.incarnation
        self._record_endpoint_answered(incarnation, sent_s)
        cleared = [
            (each, incarnation) for each in self.sends.record_endpoint_alive(incarnation, sent_s)
        ]
        self._tell_cleared(cleared, "the endpoint has answered a later request")
        if is_served:
            served = [(key, ended) for ended in self.sends.record_served(key)]
            self._tell_cleared(served, "the request was served")

    # ---- news of endpoints ----

    def handle_vanished(self, state: EndpointState) -> None:
        """Handles that an endpoint's entry has gone.

        Some endpoints that end as planned remove their entry first and go on for a while.
        """
        entry = state.entry
        is_doubted = self.sends.has_undecided(entry.incarnation, _now())
        if is_doubted or state.running_here:
            self._examiner.begin(entry).add_done_callback(
                lambda done: self._handle_probe_of_vanished(state, done)
            )

    def _handle_probe_of_vanished(
        self, state: EndpointState, probe: asyncio.Task[Examination]
    ) -> None:
        if probe.cancelled() or probe.exception() is not None:
            return
        if probe.result().result in {ProbeResult.ANSWERED, ProbeResult.CONNECTED}:
            state.answered_s = _now()
        else:
            self._record_ended(state.entry.incarnation, Evidence.VANISHED)

    def handle_restart(self, former: EndpointEntry) -> None:
        """Handles that a later incarnation has started."""
        self._record_ended(former.incarnation, Evidence.RESTARTED)

    def sweep(self) -> None:
        """Forgets what is too old to count, and probes the endpoints in doubt again."""
        self.sends.forget_old(_now())
        doubts = self.sends.own_doubts()
        self._entry_by_incarnation = {
            incarnation: entry
            for incarnation, entry in self._entry_by_incarnation.items()
            if incarnation in doubts
        }
        for incarnation, sends in doubts.items():
            entry = self._entry_of(incarnation)
            over_s = min(send.over_s for send in sends)
            if entry is not None and (
                over_s <= _now() or not self._is_heard(entry.instance, _now() - HEARD_WITHIN_S)
            ):
                self._examiner.begin(entry)

    def _entry_of(self, incarnation: EndpointIncarnation) -> EndpointEntry | None:
        """Returns the entry of an endpoint in doubt, also of one that is no longer listed."""
        state = self._endpoint_table.find_incarnation(incarnation)
        return self._entry_by_incarnation.get(incarnation) if state is None else state.entry

    # ---- evidence ----

    def _handle_examined(self, examination: Examination) -> None:
        """Draws the conclusions from a probe of an endpoint."""
        entry, result, began_s = examination.entry, examination.result, examination.began_s
        incarnation = entry.incarnation
        doubted = self.sends.doubted_at(incarnation, _now())
        eliot.log_message(
            "endpoint.probed",
            endpoint=entry.instance,
            result=result.value,
            requests=[key.fingerprint for key in doubted[:MAX_LOGGED_REQUESTS]],
            requests_there=len(doubted),
        )
        if result in ENDED_BY_PROBE:
            self._record_ended(incarnation, ENDED_BY_PROBE[result])
        elif result is ProbeResult.ANSWERED:
            self._record_endpoint_answered(incarnation, began_s)
        elif result is ProbeResult.CONNECTED and self._is_listed(incarnation):
            # No answer is to be had there. An entry goes after some heartbeats of silence.
            self._record_endpoint_answered(incarnation, began_s - UNDECIDED_S)
        elif result is ProbeResult.SILENT:
            self._record_silent_still(entry)

    def _is_listed(self, incarnation: EndpointIncarnation) -> bool:
        state = self._endpoint_table.find_incarnation(incarnation)
        return state is not None and not state.is_suspected

    def _record_silent_still(self, entry: EndpointEntry) -> None:
        """Ejects an endpoint that has answered no health check for some time."""
        state = self._endpoint_table.find_incarnation(entry.incarnation)
        sends = self.sends.own_doubts().get(entry.incarnation, [])
        since_s = min((send.broken_s for send in sends), default=math.inf)
        if state is not None and since_s <= _now() - EJECTED_AFTER_S:
            state.record_silence(_now())

    def _record_endpoint_answered(self, incarnation: EndpointIncarnation, sent_s: float) -> None:
        """Ends the doubt in an endpoint that has answered what was sent after a run was over."""
        doubted = self.sends.record_endpoint_answered(incarnation, sent_s)
        for key in doubted[:MAX_LOGGED_REQUESTS]:
            eliot.log_message(
                "send.settled",
                request=key.fingerprint,
                endpoint=incarnation.endpoint,
                sent_s_ago=round(_now() - sent_s, 3),
                settled=len(doubted),
            )
        self.tell(self._changes(((key, incarnation) for key in doubted), Fate.ANSWERED))

    def _record_ended(self, incarnation: EndpointIncarnation, evidence: Evidence) -> None:
        ended = self.sends.record_endpoint_ended(incarnation, _now())
        if not ended:
            return
        self.counts.ended += len(ended)
        for key in ended[:MAX_LOGGED_REQUESTS]:
            eliot.log_message(
                "endpoint.ended_under",
                request=key.fingerprint,
                endpoint=incarnation.endpoint,
                evidence=evidence.value,
                ended=len(self.sends.ended(key)),
                requests_there=len(ended),
            )
        self.tell(self._changes(((key, incarnation) for key in ended), Fate.ENDED))

    def _tell_cleared(
        self, cleared: list[tuple[RequestKey, EndpointIncarnation]], why: str
    ) -> None:
        if not cleared:
            return
        self.counts.cleared += len(cleared)
        for key, incarnation in cleared[:MAX_LOGGED_REQUESTS]:
            eliot.log_message(
                "send.cleared",
                request=key.fingerprint,
                endpoint=incarnation.endpoint,
                why=why,
                cleared=len(cleared),
            )
        self.tell(self._changes(cleared, Fate.CLEARED))

    def _changes(
        self, sends: Iterable[tuple[RequestKey, EndpointIncarnation]], fate: Fate
    ) -> list[FateChange]:
        """Returns what to tell the other hosts; they find out by themselves what they were told."""
        return [
            FateChange(key, incarnation, send, fate)
            for key, incarnation in sends
            if (send := self.sends.send_of(key, incarnation)) is not None
            and (send.is_own or fate is Fate.CLEARED)
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
