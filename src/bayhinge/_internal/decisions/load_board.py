"""What all hosts have under way at the endpoints of one hall, as the hall's home hears it. Pure.

Hosts say what they have under way, each time anew and whole, so a lost message does no
lasting harm. What a home has granted counts at once, until the host's own figures hold it.
"""

from collections import Counter
from collections.abc import Mapping

import attrs

KEEP_S = 2.0
"""A host that said nothing for so long counts no more; busy ones speak twice a second."""


@attrs.frozen
class HostReport:
    """What one host says of itself.

    Attributes:
        incarnation: drawn at the host's start.
        beat: rises with each report of one start.
        last_grant: the newest grant that ``running_by_endpoint`` holds already.
        resting: endpoints that failed at this host a moment ago.
    """

    host: str
    incarnation: int
    beat: int
    last_grant: int
    running_by_endpoint: Mapping[str, int]
    resting: frozenset[str] = frozenset()


@attrs.define
class _HostLoads:
    incarnation: int
    beat: int = 0
    newest_grant: int = 0
    heard_s: float = 0.0
    running_by_endpoint: Mapping[str, int] = attrs.field(factory=dict)
    endpoint_by_grant: dict[int, str] = attrs.field(factory=dict)
    resting: frozenset[str] = frozenset()


class LoadBoard:
    """Sums of requests under way, by endpoint."""

    def __init__(self) -> None:
        """Starts with nothing heard."""
        self._loads_by_host: dict[str, _HostLoads] = {}
        self._running_by_endpoint: Counter[str] = Counter()
        self._complaints_by_endpoint: Counter[str] = Counter()

    def hear(self, report: HostReport, now_s: float) -> None:
        """Takes a report in, unless a newer one of the same start is known."""
        loads = self._loads_by_host.get(report.host)
        if loads is not None and loads.incarnation != report.incarnation:
            self._forget(report.host)
            loads = None
        if loads is None:
            loads = self._loads_by_host[report.host] = _HostLoads(report.incarnation)
        if report.beat <= loads.beat:
            return
        self._running_by_endpoint.subtract(loads.running_by_endpoint)
        self._running_by_endpoint.update(report.running_by_endpoint)
        loads.running_by_endpoint = report.running_by_endpoint
        self._complaints_by_endpoint.subtract(loads.resting)
        self._complaints_by_endpoint.update(report.resting)
        loads.resting = report.resting
        loads.beat, loads.heard_s = report.beat, now_s
        for grant in [grant for grant in loads.endpoint_by_grant if grant <= report.last_grant]:
            self._running_by_endpoint[loads.endpoint_by_grant.pop(grant)] -= 1
        # A home that is new to its duty goes on from the grants of the one before.
        loads.newest_grant = max(loads.newest_grant, report.last_grant)

    def grant(self, host: str, endpoint: str) -> int:
        """Counts a request that ``host``, which was heard, will send; returns its number."""
        loads = self._loads_by_host[host]
        loads.newest_grant += 1
        loads.endpoint_by_grant[loads.newest_grant] = endpoint
        self._running_by_endpoint[endpoint] += 1
        return loads.newest_grant

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops all that was said and granted of an endpoint: it has started again."""
        for loads in self._loads_by_host.values():
            running = dict(loads.running_by_endpoint)
            running.pop(endpoint, None)
            loads.running_by_endpoint = running
            loads.resting -= {endpoint}
            loads.endpoint_by_grant = {
                grant: granted
                for grant, granted in loads.endpoint_by_grant.items()
                if granted != endpoint
            }
        self._running_by_endpoint.pop(endpoint, None)
        self._complaints_by_endpoint.pop(endpoint, None)

    def forget_silent(self, now_s: float) -> None:
        """Drops hosts that were not heard for ``KEEP_S``."""
        for host, loads in list(self._loads_by_host.items()):
            if loads.heard_s < now_s - KEEP_S:
                self._forget(host)

    def running_by_endpoint(self) -> Mapping[str, int]:
        """Returns the sums."""
        return self._running_by_endpoint

    def complaints_by_endpoint(self) -> Mapping[str, int]:
        """Returns the number of hosts at which an endpoint failed a moment ago."""
        return self._complaints_by_endpoint

    def _forget(self, host: str) -> None:
        loads = self._loads_by_host.pop(host)
        self._running_by_endpoint.subtract(loads.running_by_endpoint)
        self._running_by_endpoint.subtract(loads.endpoint_by_grant.values())
        self._complaints_by_endpoint.subtract(loads.resting)
