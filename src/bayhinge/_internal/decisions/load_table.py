"""Loads and speeds of one hall's endpoints as all hosts report them to its coordinator. Pure.

Each report is complete, so a lost message has no lasting effect. A request that the coordinator
granted counts at once, until a report of the host includes it.
"""

from collections import Counter
from collections.abc import Mapping

import attrs

from bayhinge._internal.decisions.endpoint_speeds import bounded_thousandths

REPORT_TIMEOUT_S = 2.0
"""A host's report expires after this time; busy hosts report twice a second."""

LOST_GRANT_S = 0.2
"""A grant that a report of its host does not include this long after it was made was lost, or its
caller had left. Five times the timeout of a coordinator's answer."""


@attrs.frozen(eq=False, repr=False)
class HostLoadReport:
    """One host's load report.

    Attributes:
        incarnation: random number drawn at the host's start.
        sequence: sequence number of the report within the incarnation.
        last_grant: the newest grant that ``running_by_endpoint`` includes.
        ejected: endpoints that this host has ejected.
        relative_duration_by_endpoint: learned by this host, in thousandths; None if the report
            omits them, in which case those of an earlier report still apply.
    """

    host: str
    incarnation: int
    sequence: int
    last_grant: int
    running_by_endpoint: Mapping[str, int]
    ejected: frozenset[str] = frozenset()
    relative_duration_by_endpoint: Mapping[str, int] | None = None


@attrs.define(eq=False, repr=False)
class _HostLoads:
    """The newest report of one host, and the grants that no report has included yet.

    Attributes:
        received_s: when the report arrived, on the coordinator's monotonic clock.
        granted_s_by_grant: when each grant of ``endpoint_by_grant`` was made.
    """

    incarnation: int
    sequence: int = 0
    newest_grant: int = 0
    received_s: float = 0.0
    running_by_endpoint: Mapping[str, int] = attrs.field(factory=dict)
    endpoint_by_grant: dict[int, str] = attrs.field(factory=dict)
    granted_s_by_grant: dict[int, float] = attrs.field(factory=dict)
    ejected: frozenset[str] = frozenset()
    relative_duration_by_endpoint: Mapping[str, int] | None = None


class LoadTable:
    """Sums of requests in flight and of relative durations, by endpoint."""

    def __init__(self) -> None:
        self._loads_by_host: dict[str, _HostLoads] = {}
        self._running_by_endpoint: Counter[str] = Counter()
        self._failure_reports_by_endpoint: Counter[str] = Counter()

    def record_report(self, report: HostLoadReport, now_s: float) -> bool:
        """Applies a report, unless a newer one of the same incarnation is known.

        Returns whether it has changed any count.
        """
        loads = self._loads_by_host.get(report.host)
        is_restarted = loads is not None and loads.incarnation != report.incarnation
        if is_restarted:
            self._forget(report.host)
            loads = None
        if loads is None:
            loads = self._loads_by_host[report.host] = _HostLoads(report.incarnation)
        if report.sequence <= loads.sequence:
            return False
        is_changed = (
            is_restarted
            or loads.running_by_endpoint != report.running_by_endpoint
            or loads.ejected != report.ejected
        )
        self._running_by_endpoint.subtract(loads.running_by_endpoint)
        self._running_by_endpoint.update(report.running_by_endpoint)
        loads.running_by_endpoint = report.running_by_endpoint
        self._failure_reports_by_endpoint.subtract(loads.ejected)
        self._failure_reports_by_endpoint.update(report.ejected)
        loads.ejected = report.ejected
        if report.relative_duration_by_endpoint is not None:
            loads.relative_duration_by_endpoint = {
                endpoint: bounded_thousandths(thousandths)
                for endpoint, thousandths in report.relative_duration_by_endpoint.items()
            }
        loads.sequence, loads.received_s = report.sequence, now_s
        for grant in list(loads.endpoint_by_grant):
            is_lost = loads.granted_s_by_grant[grant] <= now_s - LOST_GRANT_S
            if grant <= report.last_grant or is_lost:
                self.revoke_grant(report.host, grant)
                is_changed = True
        # A new coordinator continues the grant numbers of the previous one.
        loads.newest_grant = max(loads.newest_grant, report.last_grant)
        return is_changed

    def has_report(self, host: str) -> bool:
        """Returns whether a report of a host is known, so that it may get a grant."""
        return host in self._loads_by_host

    def grant(self, host: str, endpoint: str, now_s: float) -> int:
        """Counts a request that ``host`` (which has reported) will send; returns its number."""
        loads = self._loads_by_host[host]
        loads.newest_grant += 1
        loads.endpoint_by_grant[loads.newest_grant] = endpoint
        loads.granted_s_by_grant[loads.newest_grant] = now_s
        self._running_by_endpoint[endpoint] += 1
        return loads.newest_grant

    def revoke_grant(self, host: str, grant: int) -> None:
        """Stops counting a grant; one that is not counted any more is ignored."""
        loads = self._loads_by_host.get(host)
        endpoint = None if loads is None else loads.endpoint_by_grant.pop(grant, None)
        if loads is not None and endpoint is not None:
            del loads.granted_s_by_grant[grant]
            self._running_by_endpoint[endpoint] -= 1

    def clear_loads(self, host: str) -> None:
        """Counts no requests of a host until its next report; it still counts as heard of."""
        loads = self._loads_by_host.get(host)
        if loads is not None:
            self._subtract_requests(loads)
            loads.running_by_endpoint = {}
            loads.endpoint_by_grant.clear()
            loads.granted_s_by_grant.clear()

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops the reports and grants of an endpoint that has restarted."""
        for loads in self._loads_by_host.values():
            running = dict(loads.running_by_endpoint)
            running.pop(endpoint, None)
            loads.running_by_endpoint = running
            loads.ejected -= {endpoint}
            if loads.relative_duration_by_endpoint is not None:
                relative_duration = dict(loads.relative_duration_by_endpoint)
                relative_duration.pop(endpoint, None)
                loads.relative_duration_by_endpoint = relative_duration
            loads.endpoint_by_grant = {
                grant: granted
                for grant, granted in loads.endpoint_by_grant.items()
                if granted != endpoint
            }
            loads.granted_s_by_grant = {
                grant: loads.granted_s_by_grant[grant] for grant in loads.endpoint_by_grant
            }
        self._running_by_endpoint.pop(endpoint, None)
        self._failure_reports_by_endpoint.pop(endpoint, None)

    def forget_silent(self, now_s: float) -> None:
        """Drops hosts whose last report is older than ``REPORT_TIMEOUT_S``."""
        for host, loads in list(self._loads_by_host.items()):
            if loads.received_s < now_s - REPORT_TIMEOUT_S:
                self._forget(host)

    def running_by_endpoint(self) -> Mapping[str, int]:
        """Returns the number of requests in flight by endpoint."""
        return self._running_by_endpoint

    def failure_reports_by_endpoint(self) -> Mapping[str, int]:
        """Returns the number of hosts that have ejected an endpoint."""
        return self._failure_reports_by_endpoint

    def relative_duration_by_endpoint(
        self, own: Mapping[str, int], own_running: Mapping[str, int]
    ) -> dict[str, float]:
        """Returns the mean of the hosts' relative durations, with those of this host.

        Each host has the same weight. A host that has requests running at an endpoint and reports
        no figure counts as 1: it has measured nearly the usual duration, or too few answers to
        tell. So one host with a bad network path does not take the work of the others away.
        """
        hosts = [(own, own_running)]
        for loads in self._loads_by_host.values():
            # Hosts of an earlier release measure nothing.
            if loads.relative_duration_by_endpoint is not None:
                hosts.append((loads.relative_duration_by_endpoint, loads.running_by_endpoint))
        total, count = Counter[str](), Counter[str]()
        for relative_duration, _ in hosts:
            count.update(relative_duration.keys())
            for endpoint, thousandths in relative_duration.items():
                total[endpoint] += thousandths
        for relative_duration, running in hosts:
            for endpoint, requests in running.items():
                if requests and endpoint in count and endpoint not in relative_duration:
                    total[endpoint] += 1000
                    count[endpoint] += 1
        return {endpoint: total[endpoint] / count[endpoint] / 1000 for endpoint in count}

    def _forget(self, host: str) -> None:
        loads = self._loads_by_host.pop(host)
        self._subtract_requests(loads)
        self._failure_reports_by_endpoint.subtract(loads.ejected)

    def _subtract_requests(self, loads: _HostLoads) -> None:
        self._running_by_endpoint.subtract(loads.running_by_endpoint)
        self._running_by_endpoint.subtract(loads.endpoint_by_grant.values())
