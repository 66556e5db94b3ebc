"""Finds out which endpoints ended while they ran a request, and bounds how many one may end.

Evidence is gathered by each host for its own sends: a connection that was refused after one broke
off, an entry that vanished, a later incarnation. See :mod:`ended_sends` for the decisions, and
:mod:`ended_send_exchange` for what hosts tell each other.
"""

import asyncio
from collections.abc import Callable, Iterable
from enum import StrEnum

import attrs
import eliot

from bayhinge._internal.decisions.ended_sends import (
    BrokenSend,
    EndedSends,
    Fate,
    Knowledge,
    Permission,
    RequestKey,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool, ProbeResult
from bayhinge._internal.services.gateway.active_runs import ActiveRun

PROBE_WAIT_S = 0.1
"""How long a request waits until an endpoint that broke it off has been probed; some ten round
trips between halls."""

PLANNED_AFTER_S = 1.0
"""An endpoint that goes on for so long without its entry ends as planned. One that crashed may lose
its entry a moment before its connections are seen to end."""

MAX_LOGGED_REQUESTS = 8
"""Requests named in one line."""


class Evidence(StrEnum):
    """Why an endpoint is known to have ended."""

    REFUSED = "it refuses connections"
    VANISHED = "its entry is gone"
    RESTARTED = "a later incarnation has started"


@attrs.frozen
class FateChange:
    """What has become known of a send, to be told to other hosts."""

    key: RequestKey
    incarnation: EndpointIncarnation
    send: BrokenSend
    fate: Fate


@attrs.frozen
class TrialChange:
    """A trial that has begun or ended at this host."""

    key: RequestKey
    incarnation: EndpointIncarnation
    is_over: bool


@attrs.define
class EndedSendCounts:
    """Counts since the start of the process.

    Attributes:
        ended: pairs of a request and an endpoint that ended under it, as found by this host.
        cleared: such pairs that counted no longer, as the endpoint or the request was fine.
        withheld: attempts that were refused for the endpoints that had ended under the request.
        alone: sends to an endpoint without other requests of this kind.
        probes: connections that were opened to see whether an endpoint has ended.
    """

    ended: int = 0
    cleared: int = 0
    withheld: int = 0
    alone: int = 0
    probes: int = 0


class EndedSendTracker:
    """The sends of one host that broke off, and the ends of endpoints that are blamed on them."""

    def __init__(self, endpoint_table: EndpointTable, pool: EndpointConnectionPool) -> None:
        self._endpoint_table = endpoint_table
        self._pool = pool
        self.sends = EndedSends()
        self.counts = EndedSendCounts()
        self.tell: Callable[[Iterable[FateChange | TrialChange]], None] = lambda changes: None
        self._probe_by_incarnation: dict[EndpointIncarnation, asyncio.Task[ProbeResult]] = {}

    # ---- before a send ----

    async def permission(self, key: RequestKey) -> Permission:
        """Returns whether a request may be sent now, after a probe of the endpoints in doubt."""
        permission = self.sends.permission(key, _now())
        if permission is not Permission.EXAMINE:
            return permission
        await self._examine(self.sends.undecided(key, _now()))
        return self.sends.permission(key, _now(), is_examined=True)

    def permission_now(self, key: RequestKey) -> Permission:
        """Returns the same without a probe, for a request that was examined a moment ago."""
        return self.sends.permission(key, _now(), is_examined=True)

    def knowledge(self, key: RequestKey) -> Knowledge:
        """Returns what this host knows of a request, for its log."""
        return self.sends.knowledge(key, _now())

    def trial_endpoints(self, key: RequestKey) -> frozenset[str]:
        """Returns the endpoints at which other requests are on trial."""
        return self.sends.trial_endpoints(key, _now())

    def begin_send(self, key: RequestKey, run: ActiveRun, is_alone: bool) -> bool:
        """Counts a send; returns whether :meth:`end_send` must be called for it."""
        if is_alone:
            self.counts.alone += 1
            self.tell([TrialChange(key, run.state.entry.incarnation, is_over=False)])
        return self.sends.begin_send(key, run.endpoint, is_alone)

    def end_send(self, key: RequestKey, run: ActiveRun, is_alone: bool) -> None:
        """Ends the count of a send."""
        self.sends.end_send(key, run.endpoint)
        if is_alone:
            self.tell([TrialChange(key, run.state.entry.incarnation, is_over=True)])

    # ---- after a send ----

    async def record_broken(self, key: RequestKey, run: ActiveRun, sent_s: float) -> None:
        """Records a send that broke off, and waits a moment to learn whether its endpoint ended."""
        if self._ends_as_planned(run.state):
            return
        incarnation = run.state.entry.incarnation
        self._record_doubt(key, incarnation, BrokenSend(sent_s, _now()), "its connection broke off")
        if run.is_ended or not self._endpoint_table.is_current(run.state):
            self._record_ended(incarnation, Evidence.RESTARTED)
            return
        await self._examine([incarnation])

    def _ends_as_planned(self, state: EndpointState) -> bool:
        """Whether an endpoint that breaks connections off was going to end."""
        if state.entry.is_leaving:
            return True
        is_removed = self._endpoint_table.find(state.entry.instance) is None
        return is_removed or (
            state.is_suspected and _now() - state.missing_since_s >= PLANNED_AFTER_S
        )

    def record_silent(self, key: RequestKey, run: ActiveRun, sent_s: float) -> None:
        """Records a send that was given up, if its endpoint has sent nothing since it began."""
        if run.state.entry.is_leaving or self._pool.has_received_since(run.endpoint, sent_s):
            return
        incarnation = run.state.entry.incarnation
        self._record_doubt(key, incarnation, BrokenSend(sent_s, _now()), "it was silent")
        newest = self._endpoint_table.find(run.endpoint)
        if newest is not None and newest is not run.state:
            self._record_ended(incarnation, Evidence.RESTARTED)
        elif newest is None or run.state.is_suspected:
            self.handle_vanished(run.state)

    def _record_doubt(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend, why: str
    ) -> None:
        self.sends.record_broken(key, incarnation, send)
        eliot.log_message(
            "send.in_doubt",
            request=key.fingerprint,
            endpoint=incarnation.endpoint,
            why=why,
            took_s=round(send.broken_s - send.sent_s, 3),
        )

    def record_answer(self, key: RequestKey, run: ActiveRun, sent_s: float) -> None:
        """Records a whole answer, which clears its request and its endpoint."""
        incarnation = run.state.entry.incarnation
        cleared = [
            (each, incarnation) for each in self.sends.record_endpoint_alive(incarnation, sent_s)
        ]
        cleared += [(key, ended) for ended in self.sends.record_served(key)]
        self._tell_cleared(cleared, "a request was answered")

    # ---- news of endpoints ----

    def handle_vanished(self, state: EndpointState) -> None:
        """Handles that an endpoint's entry has gone.

        Some endpoints that end as planned remove their entry first and go on for a while.
        """
        entry = state.entry
        if not entry.is_leaving and self.sends.has_undecided(entry.incarnation, _now()):
            probe = self._probe(entry.incarnation, entry.address)
            probe.add_done_callback(
                lambda done: self._handle_probe_of_vanished(entry.incarnation, done)
            )

    def _handle_probe_of_vanished(
        self, incarnation: EndpointIncarnation, probe: asyncio.Task[ProbeResult]
    ) -> None:
        if not probe.cancelled() and probe.result() is not ProbeResult.OPEN:
            self._record_ended(incarnation, Evidence.VANISHED)

    def handle_restart(self, former: EndpointEntry) -> None:
        """Handles that a later incarnation has started."""
        if not former.is_leaving:
            self._record_ended(former.incarnation, Evidence.RESTARTED)

    def sweep(self) -> None:
        """Forgets what is too old to count."""
        self.sends.forget_old(_now())

    # ---- evidence ----

    async def _examine(self, incarnations: Iterable[EndpointIncarnation]) -> None:
        """Probes endpoints that broke a request off, and waits a moment for the results."""
        probes: set[asyncio.Task[ProbeResult]] = set()
        for incarnation in incarnations:
            state = self._endpoint_table.find_incarnation(incarnation)
            if state is not None:
                probes.add(self._probe(incarnation, state.entry.address))
        if probes:
            # A probe goes on for others that wait for it.
            await asyncio.wait(probes, timeout=PROBE_WAIT_S)

    def _probe(self, incarnation: EndpointIncarnation, address: str) -> asyncio.Task[ProbeResult]:
        probe = self._probe_by_incarnation.get(incarnation)
        if probe is None:
            self.counts.probes += 1
            probe = asyncio.get_running_loop().create_task(self._run_probe(incarnation, address))
            self._probe_by_incarnation[incarnation] = probe
        return probe

    async def _run_probe(self, incarnation: EndpointIncarnation, address: str) -> ProbeResult:
        try:
            result = await self._pool.probe(incarnation.endpoint, address)
            doubted = self.sends.doubted_at(incarnation, _now())
            eliot.log_message(
                "endpoint.probed",
                endpoint=incarnation.endpoint,
                result=result.value,
                requests=[key.fingerprint for key in doubted[:MAX_LOGGED_REQUESTS]],
                requests_there=len(doubted),
            )
            if result is ProbeResult.REFUSED:
                self._record_ended(incarnation, Evidence.REFUSED)
            return result
        finally:
            del self._probe_by_incarnation[incarnation]

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
        self.tell(self._changes([(key, incarnation) for key in ended], Fate.ENDED))

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
        return [
            FateChange(key, incarnation, send, fate)
            for key, incarnation in sends
            if (send := self.sends.send_of(key, incarnation)) is not None
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
