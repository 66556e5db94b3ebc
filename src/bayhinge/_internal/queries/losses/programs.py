"""Computes the losses of one program from its requests, by phase."""

from collections.abc import Iterable, Mapping

import attrs

from bayhinge._internal.queries.losses.first_pass import RequestDelays
from bayhinge._internal.queries.losses.models import (
    Cause,
    Downtime,
    Kind,
    Phase,
    ProgramLoss,
)

_RANK_BY_KIND = {Kind.FAILED: 0, Kind.REFUSED: 1, Kind.LATE: 1, Kind.DECLINED: 2}


@attrs.frozen
class RequestEnd:
    """The end of one request of a program, with the delays logged before it."""

    ended_s: float
    host: str
    message_type: str
    took_s: float | None
    usual_s: float | None
    cause: Cause | None
    is_declined: bool
    delays: RequestDelays | None

    @property
    def is_served(self) -> bool:
        """Whether the request was answered, late or not."""
        return self.message_type == "request.served"

    @property
    def is_lost(self) -> bool:
        """Whether the request got no answer, for a reason other than its caller."""
        return not self.is_served and not self.is_declined

    @property
    def began_s(self) -> float | None:
        """When the request began, or None where its duration is unknown."""
        return None if self.took_s is None else self.ended_s - self.took_s


@attrs.define
class ProgramRequests:
    """The requests of one program with losses."""

    requests: list[RequestEnd] = attrs.field(factory=list)

    def sum_up(self, name: str, downtimes_by_host: Mapping[str, list[Downtime]]) -> ProgramLoss:
        """Returns the losses of the program."""
        requests = sorted(self.requests, key=lambda request: request.ended_s)
        first = next(request for request in requests if request.cause is not None)
        loss = ProgramLoss(name, _kind_of(requests), first.ended_s)
        before: RequestEnd | None = None
        for request in requests:
            if before is not None and before.is_lost:
                _add_gap(loss, before, request, downtimes_by_host.get(before.host, []))
            _add_request(loss, request, follows_loss=before is not None and before.is_lost)
            before = request
        return loss


def worst_first(programs: Iterable[ProgramLoss]) -> list[ProgramLoss]:
    """Sorts programs by outcome, then by lost time, worst first."""
    return sorted(programs, key=lambda loss: (_RANK_BY_KIND[loss.kind], -loss.lost_s, loss.name))


def _kind_of(requests: list[RequestEnd]) -> Kind:
    if requests[-1].is_lost:
        return Kind.FAILED
    if any(request.is_lost for request in requests):
        return Kind.REFUSED
    return (
        Kind.LATE
        if any(request.is_served and request.cause for request in requests)
        else Kind.DECLINED
    )


def _add_gap(
    loss: ProgramLoss, before: RequestEnd, after: RequestEnd, downtimes: list[Downtime]
) -> None:
    """Adds the time from an unanswered request to the next one."""
    began_s = after.began_s
    gap_s = (after.ended_s if began_s is None else began_s) - before.ended_s
    if gap_s <= 0:
        # The requests ran concurrently.
        return
    loss.lost_s += gap_s
    if began_s is None:
        loss.spend(Phase.NOT_SPLIT, gap_s)
        return
    down_s = sum(downtime.overlap_s(before.ended_s, began_s) for downtime in downtimes)
    loss.spend(Phase.HOST_DOWN, down_s)
    loss.spend(Phase.BETWEEN_REQUESTS, gap_s - down_s)


def _add_request(loss: ProgramLoss, request: RequestEnd, follows_loss: bool) -> None:
    if request.cause is not None:
        loss.causes[request.cause] += 1
    if request.is_declined:
        return
    if request.took_s is None:
        loss.untimed += 1
        _add_untimed(loss, request)
        return
    if request.is_lost:
        loss.lost_s += request.took_s
    elif request.cause is not None:
        loss.lost_s += request.took_s - (request.usual_s or 0.0)
    elif not follows_loss:
        # Served without delay, and not a retry.
        return
    loss.usual_s += request.usual_s or 0.0
    _split(loss, request, request.took_s)


def _add_untimed(loss: ProgramLoss, request: RequestEnd) -> None:
    """Adds the minimum duration of a refused request: from its first failed send to its end."""
    if request.delays is None or request.delays.first_failure_s is None:
        return
    min_s = request.ended_s - request.delays.first_failure_s
    loss.lost_s += min_s
    loss.spend(Phase.FAILED_SENDS, min_s)


def _split(loss: ProgramLoss, request: RequestEnd, took_s: float) -> None:
    """Splits the duration of a request by phase, as far as its lines allow."""
    delays = request.delays or RequestDelays()
    began_s = request.ended_s - took_s
    sync_wait_s = min(took_s, delays.sync_wait_s)
    failed_s = durable_wait_s = 0.0
    if delays.last_failure_s is not None:
        failed_s = min(
            max(0.0, delays.last_failure_s - began_s - sync_wait_s), took_s - sync_wait_s
        )
    if delays.durable_wait_since_s is not None:
        durable_wait_s = min(
            max(0.0, request.ended_s - delays.durable_wait_since_s), took_s - sync_wait_s - failed_s
        )
    loss.spend(Phase.INITIAL_SYNC, sync_wait_s)
    loss.spend(Phase.FAILED_SENDS, failed_s)
    loss.spend(Phase.DISKS, durable_wait_s)
    loss.spend(Phase.NOT_SPLIT, took_s - sync_wait_s - failed_s - durable_wait_s)
