"""The state of one request's sends, and the counts of all requests of a host."""

import attrs

from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.decisions.known_sends import RequestKey
from bayhinge._internal.decisions.send_permission import Tally
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    RunState,
    SendRecord,
)
from bayhinge._internal.models.request_fingerprint import fingerprint_of
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.models.routing import Route
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.place_demand import NoPlaceError, PlaceDemand
from bayhinge._internal.services.gateway.send_witnesses import Claim

DOUBT_RETRY_S = 1.0
"""Retry delay for a request whose endpoints answer nothing. What settles it, an answer of one of
them or the end of its entry, takes a few seconds at most."""

MIN_DOUBT_RETRY_S = 0.1
"""Retry delay where an endpoint in doubt may show at once that it goes on."""

BUSY_RETRY_S = 0.3
"""Retry delay for a request of which another attempt is under way."""


@attrs.define
class SendState:
    """The sends of one request.

    Attributes:
        tried: runs so far; a later incarnation of the same endpoint counts as untried.
        ran: number of sends that may have run.
        rejected: number of sends that certainly did not run.
        claim: the current send as other hosts were told of it, or None.
        tally: the earlier sends of the request that count, as of that claim.
        is_alone: its endpoint should get no other request that may end it.
        reservation: the claim of that endpoint, or None.
        lone_pauses: pauses in which an endpoint for it alone was waited for.
    """

    service: str
    route: Route
    request: RoutedRequest
    body: bytes
    preference: PlacementPreference
    demand: PlaceDemand
    send_record: SendRecord
    deadline_s: float
    delivery: Delivery
    tried: list[ActiveRun] = attrs.field(factory=list)
    ran: int = 0
    rejected: int = 0
    claim: Claim | None = None
    tally: Tally = Tally(has_program=True)
    is_alone: bool = False
    reservation: Claim | None = None
    lone_pauses: int = 0
    _fingerprint: str | None = None

    @property
    def fingerprint(self) -> str:
        """See :func:`fingerprint_of`."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.request)
        return self._fingerprint

    @property
    def key(self) -> RequestKey:
        """The request over all its attempts."""
        return RequestKey(self.fingerprint, self.request.turn is not None)

    def ends_endpoints_refusal(self, ended: int) -> Refusal:
        """Returns the refusal of a request under which too many endpoints have ended.

        Earlier attempts of it may have run, so it says so even if this one was not sent.
        """
        return Refusal(
            RefusalCode.ENDS_ENDPOINTS,
            RunState.MAY_HAVE_RUN,
            f"{ended} endpoints ended while they ran this request; it is sent to no other one",
            (Figure("endpoints_ended", ended),),
        )

    def doubt_refusal(self, in_doubt: int, settled_in_s: float) -> Refusal:
        """Returns the refusal of a request whose endpoints may all have ended under it.

        Args:
            in_doubt: how many did not serve it, and may have ended.
            settled_in_s: when the first of them can show that it goes on; negative if it could.
        """
        code = RefusalCode.OUTCOME_UNKNOWN if self.ran else RefusalCode.NO_ENDPOINT
        why = f"{in_doubt} endpoints did not serve this request, and may have ended under it"
        is_settled_later = settled_in_s > 0
        retry_after_s = max(MIN_DOUBT_RETRY_S, settled_in_s) if is_settled_later else DOUBT_RETRY_S
        return self.send_record.refusal(
            code, why, Figure("endpoints_in_doubt", in_doubt), retry_after_s=retry_after_s
        )

    def busy_refusal(self) -> Refusal:
        """Returns the refusal of a request of which other attempts are under way."""
        code = RefusalCode.OUTCOME_UNKNOWN if self.ran else RefusalCode.NO_ENDPOINT
        why = "endpoints ended under this request, and other attempts of it are under way"
        return self.send_record.refusal(code, why, retry_after_s=BUSY_RETRY_S)

    def no_endpoint_refusal(self, retry_after_s: float) -> Refusal:
        """Returns the refusal of a request for which no endpoint is left."""
        code = RefusalCode.OUTCOME_UNKNOWN if self.ran else RefusalCode.NO_ENDPOINT
        why = f"none of {len(self.tried)} endpoint(s) of the service accepted the request"
        return self.send_record.refusal(code, why, retry_after_s=retry_after_s)

    def no_place_refusal(self, error: NoPlaceError) -> Refusal:
        """Returns the refusal of a request that got no place in time."""
        return self.send_record.refusal(
            RefusalCode.OUTCOME_UNKNOWN if self.ran else RefusalCode.NO_PLACE,
            str(error),
            Figure("waited_s", round(error.waited_s, 3)),
            Figure("expected_wait_s", round(error.expected_wait_s, 3)),
            Figure("waiting_ahead", error.waiting_ahead),
            retry_after_s=error.retry_after_s,
        )


@attrs.define
class SendCounts:
    """Counts of failures and retries after a request's first send.

    Attributes:
        suspected: endpoints that were silent for too long while a request waited.
        retried: requests sent again after an endpoint that may have run them.
        resumed: retried requests that resumed a stream after an event.
        cut_in_event: runs that broke off within an event.
    """

    suspected: int = 0
    retried: int = 0
    resumed: int = 0
    cut_in_event: int = 0
