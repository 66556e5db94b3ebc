"""One program's tries, and where its time went by phase."""

from collections.abc import Iterable, Mapping

import attrs

from bayhinge._internal.queries.losses.facts import Troubles
from bayhinge._internal.queries.losses.models import (
    Absence,
    Cause,
    Kind,
    Phase,
    ProgramLoss,
)

_RANK_BY_KIND = {Kind.FAILED: 0, Kind.REFUSED: 1, Kind.LATE: 1, Kind.DECLINED: 2}


@attrs.frozen
class Try:
    """One request of a program, as its end line and the lines before it tell."""

    ended_s: float
    host: str
    what: str
    took_s: float | None
    usual_s: float | None
    cause: Cause | None
    is_declined: bool
    troubles: Troubles | None

    @property
    def is_served(self) -> bool:
        """Whether it got its answer, late or not."""
        return self.what == "request.served"

    @property
    def is_lost(self) -> bool:
        """Whether it got none, and not by its caller's doing."""
        return not self.is_served and not self.is_declined

    @property
    def began_s(self) -> float | None:
        """When it began, where its line says how long it took."""
        return None if self.took_s is None else self.ended_s - self.took_s


@attrs.define
class Tries:
    """The tries of one program that lost something."""

    tries: list[Try] = attrs.field(factory=list)

    def sum_up(self, name: str, absences_by_host: Mapping[str, list[Absence]]) -> ProgramLoss:
        """Returns what the program lost."""
        tries = sorted(self.tries, key=lambda each: each.ended_s)
        first = next(each for each in tries if each.cause is not None)
        loss = ProgramLoss(name, _kind_of(tries), first.ended_s)
        before: Try | None = None
        for each in tries:
            if before is not None and before.is_lost:
                _add_gap(loss, before, each, absences_by_host.get(before.host, []))
            _add_try(loss, each, follows_loss=before is not None and before.is_lost)
            before = each
        return loss


def worst_first(programs: Iterable[ProgramLoss]) -> list[ProgramLoss]:
    """Orders programs: those that got no answer, then by what they lost."""
    return sorted(programs, key=lambda loss: (_RANK_BY_KIND[loss.kind], -loss.lost_s, loss.name))


def _kind_of(tries: list[Try]) -> Kind:
    if tries[-1].is_lost:
        return Kind.FAILED
    if any(each.is_lost for each in tries):
        return Kind.REFUSED
    return Kind.LATE if any(each.is_served and each.cause for each in tries) else Kind.DECLINED


def _add_gap(loss: ProgramLoss, before: Try, after: Try, absences: list[Absence]) -> None:
    """Adds the time from a lost try to the next one, without which nothing would have waited."""
    began_s = after.began_s
    gap_s = (after.ended_s if began_s is None else began_s) - before.ended_s
    if gap_s <= 0:
        # They ran beside each other.
        return
    loss.lost_s += gap_s
    if began_s is None:
        loss.spend(Phase.NOT_SPLIT, gap_s)
        return
    away_s = sum(absence.overlap_s(before.ended_s, began_s) for absence in absences)
    loss.spend(Phase.HOST_AWAY, away_s)
    loss.spend(Phase.BETWEEN_TRIES, gap_s - away_s)


def _add_try(loss: ProgramLoss, each: Try, follows_loss: bool) -> None:
    if each.cause is not None:
        loss.causes[each.cause] += 1
    if each.is_declined:
        return
    if each.took_s is None:
        loss.untimed += 1
        _add_untimed(loss, each)
        return
    if each.is_lost:
        loss.lost_s += each.took_s
    elif each.cause is not None:
        loss.lost_s += each.took_s - (each.usual_s or 0.0)
    elif not follows_loss:
        # An ordinary turn, before any trouble.
        return
    loss.usual_s += each.usual_s or 0.0
    _split(loss, each, each.took_s)


def _add_untimed(loss: ProgramLoss, each: Try) -> None:
    """Adds the least that a refused try took: from its first failed send to its refusal."""
    if each.troubles is None or each.troubles.first_failure_s is None:
        return
    least_s = each.ended_s - each.troubles.first_failure_s
    loss.lost_s += least_s
    loss.spend(Phase.FAILED_TRIES, least_s)


def _split(loss: ProgramLoss, each: Try, took_s: float) -> None:
    """Splits a try's time as far as its lines tell."""
    troubles = each.troubles or Troubles()
    began_s = each.ended_s - took_s
    news_s = min(took_s, troubles.news_s)
    failed_s = held_s = 0.0
    if troubles.last_failure_s is not None:
        failed_s = min(max(0.0, troubles.last_failure_s - began_s - news_s), took_s - news_s)
    if troubles.held_since_s is not None:
        held_s = min(max(0.0, each.ended_s - troubles.held_since_s), took_s - news_s - failed_s)
    loss.spend(Phase.FIRST_NEWS, news_s)
    loss.spend(Phase.FAILED_TRIES, failed_s)
    loss.spend(Phase.DISKS, held_s)
    loss.spend(Phase.NOT_SPLIT, took_s - news_s - failed_s - held_s)
