"""Formats the losses as text."""

from collections.abc import Iterator

from bayhinge._internal.queries.losses.models import LIMITATIONS, Kind, Losses, ProgramLoss

MAX_CAUSES = 12
"""Maximum causes listed; the rest are summed."""

MAX_PROGRAMS = 20
"""Default number of programs listed, worst first; the page lists more."""


def report(losses: Losses, max_programs: int = MAX_PROGRAMS) -> Iterator[str]:
    """Yields the report line by line."""
    yield from _windows(losses)
    yield ""
    yield from _causes(losses)
    yield ""
    yield from _sums(losses)
    yield ""
    yield from _programs(losses, max_programs)
    yield ""
    for service, usual_s in losses.usual_s_by_service.items():
        yield f"usual of {service}: {usual_s * 1000:.0f} ms (median of requests without delay)"
    yield ""
    yield "Limitations:"
    for sentence in LIMITATIONS:
        yield f"- {sentence}"


def _windows(losses: Losses) -> Iterator[str]:
    yield (
        f"{'from':>10} {'served':>7} {'late':>6} {'lost s':>8} {'no answer':>9} {'declined':>8}"
        f" {'programs':>8}"
    )
    for window in losses.windows:
        marks = ", ".join(
            f"{message_type} {count}"
            for message_type, count in sorted(window.count_by_mark.items())
        )
        yield (
            f"{window.from_s:10.1f} {window.served:7} {window.late:6} {window.lost_s:8.2f}"
            f" {window.unanswered:9} {window.declined:8} {len(window.programs):8}  {marks}"
        )


def _causes(losses: Losses) -> Iterator[str]:
    ranked = sorted(losses.count_by_cause.items(), key=lambda item: (-item[1], str(item[0])))
    yield f"{'requests':>8}  cause"
    for cause, count in ranked[:MAX_CAUSES]:
        yield f"{count:8}  {cause}"
    rest = sum(count for _, count in ranked[MAX_CAUSES:])
    if rest:
        yield f"{rest:8}  other causes"


def _sums(losses: Losses) -> Iterator[str]:
    yield f"{'programs':>8}  kind"
    for kind in Kind:
        yield f"{losses.count_by_kind[kind]:8}  {kind}"
    yield ""
    yield f"{'seconds':>8}  phase, over these programs"
    for phase, seconds in losses.s_by_phase.items():
        yield f"{seconds:8.2f}  {phase}"


def _programs(losses: Losses, max_programs: int) -> Iterator[str]:
    yield f"{'at':>10} {'lost s':>8}  {'kind':8} program: where its time went; causes"
    for program in losses.programs[:max_programs]:
        yield (
            f"{program.at_s:10.1f} {program.lost_s:8.2f}  {program.kind:8} {program.name}:"
            f" {phases_text(program)}; {causes_text(program)}"
        )
    if len(losses.programs) > max_programs:
        yield f"{'':10} {'':8}  and {len(losses.programs) - max_programs} more"


def phases_text(program: ProgramLoss) -> str:
    """Returns the time of a program by phase."""
    parts = [f"{phase} {seconds:.2f} s" for phase, seconds in program.s_by_phase.most_common()]
    if program.untimed:
        noun = "request" if program.untimed == 1 else "requests"
        parts.append(f"{program.untimed} {noun} of unknown duration")
    phases = ", ".join(parts) or "no duration known"
    return f"{phases}, against {program.usual_s:.2f} s usual" if program.usual_s else phases


def causes_text(program: ProgramLoss) -> str:
    """Returns the causes, the most frequent first."""
    return ", ".join(
        f"{cause} ({count} times)" if count > 1 else str(cause)
        for cause, count in program.causes.most_common()
    )
