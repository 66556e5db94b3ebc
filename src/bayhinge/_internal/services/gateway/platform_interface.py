"""Interfaces that a platform implements for the gateway."""

from abc import ABC, abstractmethod

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routed_requests import AnswerMetadata, RawHeaders, RoutedRequest
from bayhinge._internal.models.routing import RoutingTable
from bayhinge.coordination.store import PollingStore


class CallFormat(ABC):
    """Encodes and decodes requests and answers."""

    @abstractmethod
    def read_request(self, method: str, target: str, headers: RawHeaders) -> RoutedRequest | None:
        """Decodes a request's head; returns None if it has no attempt id."""

    @abstractmethod
    def request_head(
        self,
        request: RoutedRequest,
        body_bytes: int,
        endpoint: str,
        time_left_s: float,
        urgency: int,
        resume_after: int | None = None,
    ) -> bytes:
        """Encodes the head of a request to an endpoint.

        Args:
            request: the caller's request, without the headers that are set here.
            body_bytes: length of the body.
            endpoint: the endpoint that the request is meant for; another one rejects it.
            time_left_s: time until the deadline, in seconds.
            urgency: 0 is the most urgent; sent only for turns of programs and for requests
                that name prompt parts.
            resume_after: number of the last event that the caller already has.
        """

    @abstractmethod
    def read_answer(self, status: int, reason: str, headers: RawHeaders) -> AnswerMetadata:
        """Decodes the head of an endpoint's answer; ``reason`` is the text behind its status."""

    @abstractmethod
    def health_check_head(self, path: str, address: str) -> bytes:
        """Encodes a health check of the endpoint at an address, which runs no request."""

    @abstractmethod
    def read_health_check(self, headers: RawHeaders) -> str | None:
        """Returns the endpoint that has answered a health check, or None if it does not say."""

    @abstractmethod
    def answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """Returns the headers of an endpoint's answer to forward to the caller."""

    @abstractmethod
    def refusal_headers(self, attempt: str | None, retry_after_s: float | None) -> RawHeaders:
        """Returns the headers of a refusal that the gateway itself sends."""


class ObjectReader(ABC):
    """Decodes the platform's stored objects."""

    @abstractmethod
    def read_configuration(self, value: bytes) -> RoutingTable:
        """Decodes a configuration; unreadable parts are closed and listed in its findings.

        Raises:
            UnreadableObjectError: the whole configuration is unusable; see the error's findings.
        """

    @abstractmethod
    def read_endpoint(self, key: str, value: bytes) -> EndpointEntry:
        """Decodes an endpoint's entry.

        Raises:
            UnreadableObjectError: the entry is unusable; see the error's findings.
        """


@attrs.frozen(eq=False, repr=False)
class Platform:
    """The platform that a gateway runs on.

    Attributes:
        configuration_prefix: key prefix of configurations in the store.
        configuration_key: key of the active configuration.
        endpoints_prefix: key prefix under which endpoints register.
    """

    store: PollingStore
    calls: CallFormat
    objects: ObjectReader
    configuration_prefix: str
    configuration_key: str
    endpoints_prefix: str
