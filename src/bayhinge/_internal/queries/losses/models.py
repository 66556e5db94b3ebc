"""Results of the analysis: lost time by program, by time window and by cause."""

from collections import Counter
from enum import StrEnum

import attrs

LATE_FACTOR = 3.0
"""A request is late beyond this multiple of its service's median. Endpoints with a full batch take
up to twice as long, which alone must not count."""


class Phase(StrEnum):
    """Where the time of a program went, as far as the logs show."""

    FAILED_SENDS = "failed sends"
    DISKS = "disks"
    INITIAL_SYNC = "initial sync of the host"
    BETWEEN_REQUESTS = "between requests"
    HOST_DOWN = "host down"
    NOT_SPLIT = "not split"


class Kind(StrEnum):
    """The outcome of a program, worst first.

    ``DECLINED`` programs were refused because of their callers, such as for a spent budget.
    """

    FAILED = "failed"
    REFUSED = "refused"
    LATE = "late"
    DECLINED = "declined"


LIMITATIONS = (
    "Phases cover the whole duration of a request, including its usual duration.",
    "A served request has one duration, took_ms: time spent on disks (before its end), choosing, "
    "connecting, waiting for the first event and pauses between events counts as 'not split'.",
    "A refused request has no duration: only the span of its other lines is counted, and the time "
    "from its program's previous request to the refusal counts as 'not split'.",
    "'failed sends' lasts from the start of a request to its last failed send, including disks and "
    "choosing before that send; where the request was refused, from its first failed send.",
    "A request whose host was killed logs no end, and a caller that reached no host is not logged.",
    "Successes above 100 per second and host may be suppressed: served counts are lower bounds, "
    "and the time between requests may include a request that was served.",
    "A host is down from its last line to its next start; a host that stalled is not detected.",
    "The time between requests to two hosts includes the skew of these hosts' clocks.",
)
"""Limitations of the analysis, printed with each report."""


@attrs.frozen
class Cause:
    """Why a request got no answer, or a late one."""

    kind: str
    detail: str

    def __str__(self) -> str:
        """Returns the cause in readable form."""
        return f"{self.kind}: {self.detail}" if self.detail else self.kind


@attrs.define
class Window:
    """The requests that ended in one time window.

    Attributes:
        lost_s: seconds that served requests took beyond the median of their service.
        unanswered: requests that were refused or ended without a complete answer.
        declined: requests that were refused because of their callers.
        programs: programs that lost time or an answer.
    """

    from_s: float
    served: int = 0
    late: int = 0
    lost_s: float = 0.0
    unanswered: int = 0
    declined: int = 0
    programs: set[str] = attrs.field(factory=set)
    count_by_mark: Counter[str] = attrs.field(factory=Counter)


@attrs.frozen
class Downtime:
    """The time between the last line of a host and its next start."""

    host: str
    from_s: float
    to_s: float

    def overlap_s(self, from_s: float, to_s: float) -> float:
        """Returns how many seconds of a span it covers."""
        return max(0.0, min(to_s, self.to_s) - max(from_s, self.from_s))


@attrs.frozen
class Mark:
    """A failure or change of one subject, logged in one window by one or more hosts.

    Attributes:
        count: the lines that report it.
    """

    at_s: float
    message_type: str
    subject: str
    count: int


@attrs.define
class ProgramLoss:
    """The losses of one program, or of one request without a program.

    Attributes:
        kind: its final outcome.
        at_s: when its first late or unanswered request ended.
        lost_s: the time beyond the usual of late requests, the time of unanswered ones, and the
            time until the request that followed those.
        usual_s: the median time of its served requests that are counted here.
        s_by_phase: the time of late, unanswered and following requests, including the usual time.
        untimed: requests without a known duration.
    """

    name: str
    kind: Kind
    at_s: float
    lost_s: float = 0.0
    usual_s: float = 0.0
    s_by_phase: Counter[Phase] = attrs.field(factory=Counter)
    untimed: int = 0
    causes: Counter[Cause] = attrs.field(factory=Counter)

    def spend(self, phase: Phase, seconds: float) -> None:
        """Adds time to a phase."""
        if seconds > 0:
            self.s_by_phase[phase] += seconds  # type: ignore[assignment]


@attrs.define
class Losses:
    """The result of the analysis: windows in order, programs worst first, and the totals.

    Attributes:
        usual_s_by_service: the median duration of undelayed requests, in seconds.
    """

    window_s: float
    windows: list[Window]
    programs: list[ProgramLoss]
    downtimes: list[Downtime]
    marks: list[Mark]
    count_by_cause: Counter[Cause]
    usual_s_by_service: dict[str, float]

    @property
    def count_by_kind(self) -> Counter[Kind]:
        """The number of programs by outcome."""
        return Counter(program.kind for program in self.programs)

    @property
    def s_by_phase(self) -> dict[Phase, float]:
        """Seconds by phase, over all programs with losses."""
        return {
            phase: sum(program.s_by_phase[phase] for program in self.programs) for phase in Phase
        }
