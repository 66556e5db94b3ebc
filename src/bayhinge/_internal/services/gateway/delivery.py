"""How one answer gets to the caller."""

from abc import ABC, abstractmethod

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.answer_bounds import AnswerBounds
from bayhinge._internal.models.endpoint_entries import EndpointStart
from bayhinge._internal.models.routed_requests import AnswerMarks
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.services.gateway.active_runs import ActiveRun


class Delivery(ABC):
    """How one answer gets to the caller."""

    def __init__(self) -> None:
        """Starts with nothing delivered."""
        self.outcome = ""
        self.run: ActiveRun | None = None
        self.tokens_handed_out = 0
        self.is_recorded = False

    @property
    def endpoint(self) -> str:
        """The endpoint that gave the answer, or empty."""
        return "" if self.run is None else self.run.endpoint

    @property
    def incarnation(self) -> EndpointStart:
        """The start of the endpoint that gave the answer, as far as is known."""
        return EndpointStart() if self.run is None else self.run.state.entry.start

    @property
    def resume_after(self) -> int | None:
        """The event behind which the next run goes on, or None where it begins anew."""
        return None

    @property
    def may_continue(self) -> bool:
        """Whether another endpoint may be asked for what this one has not given."""
        return True

    @abstractmethod
    async def deliver(
        self, answer: Answer, marks: AnswerMarks, may_repeat: bool, bounds: AnswerBounds
    ) -> None:
        """Passes an answer on.

        Raises:
            BrokenAnswerError: it broke off; a part of it may have been passed on.
        """


def is_success(status: int) -> bool:
    """Tells whether a status says that the request was served."""
    return status_codes.HTTP_OK <= status < status_codes.HTTP_MULTIPLE_CHOICES
