"""What is told of lost time: by program, by moment, by cause."""

from collections import Counter
from enum import StrEnum

import attrs

LATE_FACTOR = 3.0
"""Times the usual beyond which a turn counts as late: endpoints take up to twice as long when
their batch is full, so that alone stays below."""


class Phase(StrEnum):
    """Where time goes, as far as lines tell."""

    FAILED_SENDS = "failed tries"
    DISKS = "disks"
    INITIAL_SYNC = "first news of its host"
    BETWEEN_REQUESTS = "between tries"
    HOST_DOWN = "host away"
    NOT_SPLIT = "not split"


class Kind(StrEnum):
    """What became of a program, worst first.

    ``DECLINED`` programs were answered as their callers deserve, such as one whose budget is spent.
    """

    FAILED = "failed"
    REFUSED = "refused"
    LATE = "late"
    DECLINED = "declined"


LIMITATIONS = (
    "Phases hold the whole of a try, the usual time included.",
    "A served request has one time, took_ms: what it spent on disks (before its end), choosing, "
    "connecting, waiting for the first event and pauses between events stands as 'not split'.",
    "A refused request has no time: only what its other lines span is counted, and the time from "
    "its program's try before to its refusal stands as 'not split'.",
    "'failed tries' runs from a request's beginning to its last failed send, disks and choosing "
    "before that send included; where the request was refused, from its first failed send.",
    "A request whose host was killed leaves no end; of callers that found no host no line speaks.",
    "Ordinary successes may be thinned above 100 a second a host: served counts are lower bounds, "
    "and a time between tries may hold a try that was served.",
    "A host is away from its last line to its next start; one that stood still is not seen.",
    "Times between tries at two hosts hold the difference of these hosts' clocks.",
)
"""What the logs can't tell; each sentence names what would have to be logged."""


@attrs.frozen
class Cause:
    """Why requests got no answer, or a late one."""

    kind: str
    detail: str

    def __str__(self) -> str:
        """Returns the cause for a person."""
        return f"{self.kind}: {self.detail}" if self.detail else self.kind


@attrs.define
class Window:
    """What ended in one span of time.

    Attributes:
        lost_s: seconds that served requests took beyond the usual of their service.
        unanswered: requests that were refused or ended without their answer.
        declined: requests that got the refusal that they deserve.
        programs: those that lost time or an answer.
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
    """A host between its last line and its next start."""

    host: str
    from_s: float
    to_s: float

    def overlap_s(self, from_s: float, to_s: float) -> float:
        """Returns how much of a span it covers."""
        return max(0.0, min(to_s, self.to_s) - max(from_s, self.from_s))


@attrs.frozen
class Mark:
    """Something went, in one window, as one or many hosts' lines say."""

    at_s: float
    message_type: str
    subject: str
    count: int


@attrs.define
class ProgramLoss:
    """What one program lost; a request without a program stands for itself.

    Attributes:
        kind: what became of it in the end.
        at_s: when its first trouble ended.
        lost_s: what its turns took beyond the usual, its failed tries, and the time between these.
        usual_s: what its served tries that are counted here would usually have taken.
        s_by_phase: where the time of its late, failed and following tries went, the usual included.
        untimed: tries of which no line says how long they took.
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
    """Windows in order, programs worst first, and the sums; usual times in seconds."""

    window_s: float
    windows: list[Window]
    programs: list[ProgramLoss]
    downtimes: list[Downtime]
    marks: list[Mark]
    count_by_cause: Counter[Cause]
    usual_s_by_service: dict[str, float]

    @property
    def count_by_kind(self) -> Counter[Kind]:
        """Programs by what became of them."""
        return Counter(program.kind for program in self.programs)

    @property
    def s_by_phase(self) -> dict[Phase, float]:
        """Seconds by phase, over all programs that lost any."""
        return {
            phase: sum(program.s_by_phase[phase] for program in self.programs) for phase in Phase
        }
