"""Renders the metrics page in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

from bayhinge._internal.services.latencies import Latencies


class _HostCollector(Collector):
    """Collects one host's metrics."""

    def __init__(self, latencies: Latencies, gauges: Mapping[str, float]) -> None:
        self._latencies = latencies
        self._gauges = gauges

    def collect(self) -> list[Metric]:
        gauges = [
            GaugeMetricFamily(f"bayhinge_{name}", name.replace("_", " "), value=value)
            for name, value in sorted(self._gauges.items())
        ]
        return [*gauges, *_families(self._latencies)]


def _families(latencies: Latencies) -> Iterator[Metric]:
    for summary in latencies.summaries():
        name = summary.name
        family = SummaryMetricFamily(f"bayhinge_{name}_seconds", f"Latency: {name}")
        family.add_metric([], summary.count, summary.sum_s)
        yield family
        quantiles = GaugeMetricFamily(
            f"bayhinge_{name}_quantile_seconds", f"Quantiles: {name}", labels=["quantile"]
        )
        for percentile, seconds in summary.seconds_by_percentile.items():
            quantiles.add_metric([f"{percentile / 100:g}"], seconds)
        yield quantiles


def metrics_page(latencies: Latencies, gauges: Mapping[str, float]) -> bytes:
    """Returns the metrics in the Prometheus text format."""
    # Not the global registry: several hosts may run in one process.
    registry = CollectorRegistry()
    registry.register(_HostCollector(latencies, gauges))
    return generate_latest(registry)
