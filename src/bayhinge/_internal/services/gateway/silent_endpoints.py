"""Ejects endpoints that failed a request and then answer no health check."""

import asyncio
from functools import partial

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer, Examination
from bayhinge._internal.services.gateway.endpoint_prober import ProbeResult

EJECTED_AFTER_S = 2.0
"""An endpoint that answers nothing for so long gets no other requests either. Where all are busy, a
health check waits for a slot."""

WATCHED_S = 30.0
"""How long an endpoint is asked; its entry goes within seconds if it has ended."""


class SilentEndpoints:
    """The endpoints that failed a request and have sent nothing since."""

    def __init__(self, pool: EndpointConnectionPool, examiner: EndpointExaminer) -> None:
        self._pool = pool
        self._examiner = examiner
        self._since_s_by_state: dict[EndpointState, float] = {}

    def watch(self, state: EndpointState) -> None:
        """Asks an endpoint for a sign of life until it sends anything."""
        self._since_s_by_state.setdefault(state, asyncio.get_running_loop().time())

    def sweep(self) -> None:
        """Asks the endpoints that are still silent."""
        oldest_s = asyncio.get_running_loop().time() - WATCHED_S
        self._since_s_by_state = {
            state: since_s
            for state, since_s in self._since_s_by_state.items()
            if since_s > oldest_s
            and not state.is_suspected
            and not self._pool.has_received_since(state.entry.instance, since_s)
        }
        for state in self._since_s_by_state:
            probe = self._examiner.begin(state.entry)
            probe.add_done_callback(partial(self._handle_probed, state))

    def _handle_probed(self, state: EndpointState, probe: asyncio.Task[Examination]) -> None:
        if probe.cancelled() or probe.exception() is not None:
            return
        now = asyncio.get_running_loop().time()
        is_silent = probe.result().result is ProbeResult.SILENT
        if is_silent and self._since_s_by_state.get(state, now) <= now - EJECTED_AFTER_S:
            state.record_silence(now)
