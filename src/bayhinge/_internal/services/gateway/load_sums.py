"""Figures that hosts report by endpoint, without those of endpoints that have restarted since."""

from collections.abc import Collection, Iterable, Iterator, Mapping

from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S
from bayhinge._internal.wire.hosts import ttypes as wire


def excluding_endpoints(
    figure_by_endpoint: Mapping[str, int], excluded: Collection[str]
) -> Mapping[str, int]:
    """Returns the figures of all endpoints except the excluded ones."""
    if not excluded:
        return figure_by_endpoint
    return {
        endpoint: figure
        for endpoint, figure in figure_by_endpoint.items()
        if endpoint not in excluded
    }


def sum_loads(heartbeats: Iterable[wire.Hello], revisions: IncarnationRevisions) -> dict[str, int]:
    """Sums the running requests in heartbeats, except where a host has not seen a restart."""
    total: dict[str, int] = {}
    for heartbeat in heartbeats:
        stale = revisions.not_known_by(heartbeat.endpoints_known_to)
        for endpoint, running in excluding_endpoints(heartbeat.running_by_endpoint, stale).items():
            total[endpoint] = total.get(endpoint, 0) + running
    return total


class HeartbeatLoads:
    """The running requests in the other hosts' newest heartbeats.

    They expire like reports. In a site of 79 hosts, heartbeats between halls are 11 s apart and a
    silent host stays listed for 32 s: the load of a host that has died or become idle would keep
    places in use for as long.
    """

    def __init__(self) -> None:
        self._heard_by_host: dict[str, tuple[wire.Hello, float]] = {}
        self._running_by_host: dict[str, Mapping[str, int]] = {}

    def apply(
        self, heartbeats: Iterable[wire.Hello], revisions: IncarnationRevisions, now_s: float
    ) -> None:
        """Replaces the heartbeats by the newest ones of all hosts that are not silent."""
        heard_before, self._heard_by_host, self._running_by_host = self._heard_by_host, {}, {}
        for heartbeat in heartbeats:
            heard = heard_before.get(heartbeat.host)
            if heard is None or heard[0] is not heartbeat:
                heard = heartbeat, now_s
            self._heard_by_host[heartbeat.host] = heard
            if heartbeat.running_by_endpoint:
                self._running_by_host[heartbeat.host] = excluding_endpoints(
                    heartbeat.running_by_endpoint,
                    revisions.not_known_by(heartbeat.endpoints_known_to),
                )

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops the counts of an endpoint that has restarted."""
        self._running_by_host = {
            host: excluding_endpoints(running_by_endpoint, {endpoint})
            for host, running_by_endpoint in self._running_by_host.items()
        }

    def recent(self, now_s: float) -> Iterator[tuple[str, Mapping[str, int]]]:
        """Yields hosts and their running requests, of heartbeats that have not expired."""
        for host, running_by_endpoint in self._running_by_host.items():
            if self._heard_by_host[host][1] >= now_s - REPORT_TIMEOUT_S:
                yield host, running_by_endpoint
