"""Latency histograms, and the metrics page in the usual text format."""

from collections.abc import Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


class Latencies:
    """One histogram for each thing that is timed, in microseconds."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histograms_by_name: dict[str, HdrHistogram] = {}
        self._sums_by_name: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Takes a latency in."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histograms_by_name[name] = histogram
        microseconds = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        histogram.record_value(microseconds)
        self._sums_by_name[name] = self._sums_by_name.get(name, 0.0) + seconds

    def percentiles_ms(self) -> dict[str, dict[str, float]]:
        """Returns percentiles in milliseconds, by name."""
        return {
            name: {
                "count": float(histogram.total_count),
                **{
                    f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
                    for percentile in PERCENTILES
                },
            }
            for name, histogram in sorted(self._histograms_by_name.items())
        }

    def families(self) -> list[Metric]:
        """Returns the histograms as metric families."""
        families: list[Metric] = []
        for name, histogram in sorted(self._histograms_by_name.items()):
            family = SummaryMetricFamily(f"bayhinge_{name}_seconds", f"Latency: {name}")
            family.add_metric([], histogram.total_count, self._sums_by_name[name])
            families.append(family)
            quantiles = GaugeMetricFamily(
                f"bayhinge_{name}_quantile_seconds", f"Quantiles: {name}", labels=["quantile"]
            )
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                quantiles.add_metric([f"{percentile / 100:g}"], value)
            families.append(quantiles)
        return families


class _Page(Collector):
    """Collects one host's figures for a metrics page."""

    def __init__(self, latencies: Latencies, gauges: Mapping[str, float]) -> None:
        self._latencies = latencies
        self._gauges = gauges

    def collect(self) -> list[Metric]:
        gauges = [
            GaugeMetricFamily(f"bayhinge_{name}", name.replace("_", " "), value=value)
            for name, value in sorted(self._gauges.items())
        ]
        return [*gauges, *self._latencies.families()]


def metrics_page(latencies: Latencies, gauges: Mapping[str, float]) -> bytes:
    """Returns the metrics in the text format that the usual collectors read."""
    # A registry of its own: several hosts of one process must not mix.
    registry = CollectorRegistry()
    registry.register(_Page(latencies, gauges))
    return generate_latest(registry)
