"""What an entry host needs from the platform's side, as abstract parts."""

from abc import ABC, abstractmethod

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routed_requests import AnswerMarks, RawHeaders, RoutedRequest
from bayhinge._internal.models.routing import RoutingTable
from bayhinge.coordination.store import PollingStore


class CallFormat(ABC):
    """How calls look on the wire."""

    @abstractmethod
    def read_request(self, method: str, target: str, headers: RawHeaders) -> RoutedRequest | None:
        """Decodes a request's head; None where it bears no attempt id."""

    @abstractmethod
    def request_head(
        self,
        request: RoutedRequest,
        body_bytes: int,
        instance: str,
        time_left_s: float,
        urgency: int,
        resume_after: int | None = None,
    ) -> bytes:
        """Encodes the head of a request to an endpoint.

        ``resume_after`` is the event behind which a stream goes on.
        """

    @abstractmethod
    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMarks:
        """Decodes what the headers of an endpoint's answer say."""

    @abstractmethod
    def answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """Returns those headers of an endpoint's answer that go to the caller."""

    @abstractmethod
    def refusal_headers(self, attempt: str | None, retry_after_s: float | None) -> RawHeaders:
        """Returns the headers of an answer of our own."""


class ObjectReader(ABC):
    """How the platform's objects are decoded."""

    @abstractmethod
    def read_configuration(self, value: bytes) -> RoutingTable:
        """Decodes a configuration; what of it can't be read is closed, and told in its findings.

        Raises:
            UnreadableObjectError: it can't be used at all; the findings say where and why.
        """

    @abstractmethod
    def read_endpoint(self, key: str, value: bytes) -> EndpointEntry:
        """Decodes an endpoint's entry.

        Raises:
            UnreadableObjectError: as above.
        """


@attrs.frozen
class Platform:
    """The platform as the product sees it.

    Attributes:
        configuration_prefix: where configurations stand in the store.
        configuration_key: the one of them that counts.
        endpoints_prefix: where endpoints enter themselves.
    """

    store: PollingStore
    calls: CallFormat
    objects: ObjectReader
    configuration_prefix: str
    configuration_key: str
    endpoints_prefix: str
