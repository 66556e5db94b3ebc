"""Delivers an endpoint's answer to the caller."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_speeds import EventPace
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.routed_requests import AnswerMetadata
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.services.gateway.active_runs import ActiveRun


class Delivery(ABC):
    """Delivers one answer to the caller, possibly from several runs.

    Attributes:
        on_read: called when the endpoint has sent its whole answer, so that its place is free; the
            caller may take much longer to read it.
        read_s: when the whole body of a plain answer had been read, on the event loop's clock.
        pace: of the events of the current run, or None for plain answers.
    """

    def __init__(self) -> None:
        self.outcome = ""
        self.run: ActiveRun | None = None
        self.tokens_delivered = 0
        self.is_recorded = False
        self.on_read: Callable[[], None] = lambda: None
        self.read_s: float | None = None
        self.pace: EventPace | None = None

    @property
    def is_served(self) -> bool:
        """Whether the caller got a whole successful answer."""
        return self.outcome == "served"

    @property
    def endpoint(self) -> str:
        """The id of the answering endpoint, or an empty string."""
        return "" if self.run is None else self.run.endpoint

    @property
    def incarnation(self) -> EndpointIncarnation:
        """The incarnation of the answering endpoint, as far as is known."""
        return EndpointIncarnation() if self.run is None else self.run.state.entry.incarnation

    @property
    def resume_after(self) -> int | None:
        """The event after which the next run resumes, or None to start from the beginning."""
        return None

    @property
    def may_continue(self) -> bool:
        """Whether another endpoint may continue an answer that broke off."""
        return True

    @abstractmethod
    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        """Delivers an answer.

        Raises:
            IncompleteAnswerError: it broke off; a part of it may have been delivered.
        """


def is_success(status: int) -> bool:
    """Returns whether a status code is 2xx."""
    return status_codes.HTTP_OK <= status < status_codes.HTTP_MULTIPLE_CHOICES
