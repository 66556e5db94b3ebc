"""How far the clocks of two hosts are apart, as far as lines tell.

No call is logged at both its ends, so there is no exact measure. Hosts hear of one piece of news
and each writes a line; what lies between these is the difference of the clocks and of the ways of
the news. One host that hears late, such as one that is cut off, shows as a wide spread.
"""

import math
from collections.abc import Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

FIELDS_BY_SHARED_TYPE = {
    "configuration.in_force": ("version",),
    "disk_set.changed": ("version",),
    "endpoint.restarted": ("endpoint", "born_ms"),
}
"""News that every host writes of, and the fields that tell which piece it is."""

STARTS = frozenset({"host.started", "disk.started"})

START_S = 3.0
"""A host that started within this time hears news that the others have had for long. It has heard
everything within 0.6 s; see ``START_WAIT_S`` of the hosts, which allows 1.5 s."""


@attrs.frozen
class ClockDifference:
    """What shared lines say: seconds by which a host is ahead of another one."""

    host: str
    reference: str
    ahead_s: tuple[float, ...]

    def __str__(self) -> str:
        """Returns it for a person."""
        if not self.ahead_s:
            return f"{self.host} against {self.reference}: unknown, no line is of both"
        least, most = min(self.ahead_s), max(self.ahead_s)
        seems = f"{self.host} seems {'ahead of' if least > 0 else 'behind'} {self.reference}"
        if least <= 0 <= most:
            seems = f"{self.host} against {self.reference}: no difference shows"
        return (
            f"{seems}, the same news stands {least:.3f} to {most:.3f} s later there"
            f" ({len(self.ahead_s)} lines of both; the ways of the news are in it)"
        )


class SharedNews:
    """When each host wrote of each piece of news for the first time."""

    def __init__(self) -> None:
        """Begins without any."""
        self._at_s_by_news_by_host: dict[str, dict[tuple[object, ...], float]] = {}
        self._started_s_by_host: dict[str, float] = {}

    def note(self, line: LogLine) -> None:
        """Takes a line; those of one host must come in the order of its writing."""
        if line.what in STARTS:
            self._started_s_by_host[line.host] = line.at_s
        fields = FIELDS_BY_SHARED_TYPE.get(line.what)
        if fields is None:
            return
        news = (line.what, *(line.fields.get(field) for field in fields))
        started_s = self._started_s_by_host.get(line.host)
        at_s = line.at_s
        if started_s is not None and at_s - started_s < START_S:
            # Kept as heard, so that a later line of the same news doesn't count either.
            at_s = float("nan")
        self._at_s_by_news_by_host.setdefault(line.host, {}).setdefault(news, at_s)

    def differences(self, hosts: set[str], reference: str) -> Iterator[ClockDifference]:
        """Yields how far each host's clock is from the reference's."""
        own = self._at_s_by_news_by_host.get(reference, {})
        for host in sorted(hosts - {reference}):
            others = self._at_s_by_news_by_host.get(host, {})
            ahead_s = (others[news] - own[news] for news in others.keys() & own.keys())
            yield ClockDifference(
                host, reference, tuple(sorted(each for each in ahead_s if not math.isnan(each)))
            )
