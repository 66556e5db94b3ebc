"""Latency histograms."""

from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


@attrs.frozen(eq=False, repr=False)
class LatencySummary:
    """Summary of one histogram: count, sum in seconds, and seconds by percentile."""

    name: str
    count: int
    sum_s: float
    seconds_by_percentile: dict[float, float]


class Latencies:
    """Latency histograms by name, in microseconds."""

    def __init__(self) -> None:
        self._histograms_by_name: dict[str, HdrHistogram] = {}
        self._sums_by_name: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Records a latency."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
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

    def summaries(self) -> Iterator[LatencySummary]:
        """Yields every histogram, by name."""
        for name, histogram in sorted(self._histograms_by_name.items()):
            yield LatencySummary(
                name,
                histogram.total_count,
                self._sums_by_name[name],
                {
                    percentile: histogram.get_value_at_percentile(percentile) / 1e6
                    for percentile in PERCENTILES
                },
            )
