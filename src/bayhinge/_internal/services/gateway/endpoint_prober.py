"""Asks endpoints for a sign of life.

That a connection can be made is none: the kernel of a process that stands still accepts it. Only an
answer shows that the endpoint goes on.
"""

from collections.abc import Callable
from enum import StrEnum

from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.network.endpoint_answer import (
    EndpointUnreachableError,
    IncompleteAnswerError,
)
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.platform_interface import CallFormat
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout

ANSWER_TIMEOUT_S = 1.0
"""How long a health check may take. It may wait for a slot of the endpoint; one that comes later
still counts as any answer does."""


class ProbeResult(StrEnum):
    """What an endpoint has shown.

    Attributes:
        ANSWERED: it has answered.
        REPLACED: another endpoint has answered at its address.
        REFUSED: nothing listens at its address.
        SILENT: it has not answered in time.
        CONNECTED: a connection was made, and the service has no health check.
    """

    ANSWERED = "answered"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"
    CONNECTED = "connected"


class EndpointProber:
    """Probes endpoints by the health check of their service.

    Args:
        pool: of the connections to endpoints; a connection that was opened may be used again.
        calls: encodes the health check.
        health_path_of: returns the path of a service's health check, or None.
    """

    def __init__(
        self,
        pool: EndpointConnectionPool,
        calls: CallFormat | None = None,
        health_path_of: Callable[[str], str | None] = lambda service: None,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._health_path_of = health_path_of

    async def probe(self, entry: EndpointEntry) -> ProbeResult:
        """Returns what an endpoint shows on a new connection."""
        path = self._health_path_of(entry.service)
        try:
            connection = await self._pool.open(entry.instance, entry.address)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            return ProbeResult.SILENT
        if self._calls is None or path is None:
            self._pool.release(connection, None)
            return ProbeResult.CONNECTED
        try:
            connection.send(self._calls.health_check_head(path, entry.address), b"")
            async with stall_tolerant_timeout(ANSWER_TIMEOUT_S):
                answer = await connection.next_answer()
        except (TimeoutError, IncompleteAnswerError, EndpointUnreachableError):
            return ProbeResult.SILENT
        finally:
            connection.abort("a health check")
        instance = self._calls.read_health_check(answer.headers)
        is_other = instance is not None and instance != entry.instance
        return ProbeResult.REPLACED if is_other else ProbeResult.ANSWERED
