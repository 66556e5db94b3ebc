"""Figures that hosts report by endpoint, without those of endpoints that have restarted since."""

from collections.abc import Collection, Iterable, Mapping

from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
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
