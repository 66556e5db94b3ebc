"""The interface between the HTTP API and the daemon."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Mapping

import attrs
from expression import Result

from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import AnswerItem, IncomingCall
from bayhinge._internal.models.refusals import Refusal
from bayhinge._internal.models.settings import ServiceSettings
from bayhinge._internal.models.views import AddressView


@attrs.frozen
class ConfigEdit:
    """An operator's edit of a template or account; ``text`` None deletes it."""

    kind: str
    name: str
    text: str | None
    base_revision: int
    author: str


@attrs.frozen
class ConfigAnswer:
    """The answer to an edit: an HTTP status and a JSON document."""

    status: int
    body: bytes


class FrontHandler(ABC):
    """Implemented by the daemon to serve requests of the HTTP API."""

    @abstractmethod
    def find_account(self, key: str) -> ClientAccount | None:
        """Returns the client account of a key, or None."""

    @abstractmethod
    def is_operator(self, key: str) -> bool:
        """Returns whether a key is an operator's."""

    @abstractmethod
    def find_service(self, name: str) -> ServiceSettings | None:
        """Returns a plain service's settings, or None."""

    @abstractmethod
    def models(self) -> list[str]:
        """Returns the names of the models that pools serve."""

    @abstractmethod
    async def open_single_call_program(self, account: ClientAccount) -> Result[str, Refusal]:
        """Opens a program for a single call, for requests without a program."""

    @abstractmethod
    async def end_single_call_program(
        self, account: ClientAccount, program: str, reason: str
    ) -> None:
        """Ends a program opened by :meth:`open_single_call_program`."""

    @abstractmethod
    async def open_program(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[bytes, Refusal]:
        """Opens a program and returns its view as JSON."""

    @abstractmethod
    async def program_command(
        self, verb: str, account: str, program: str
    ) -> Result[bytes, Refusal]:
        """Shows, ends or cancels a program, and returns its view as JSON.

        Args:
            verb: ``show``, ``end`` or ``cancel``.
            account: the caller's account; empty for an operator.
            program: the program's identifier.
        """

    @abstractmethod
    def call(self, incoming: IncomingCall) -> AsyncIterator[AnswerItem]:
        """Yields the answer to a call.

        Raises:
            RefusedError: the call was refused.
        """

    @abstractmethod
    def read_answer(
        self, account: str, program: str, index: int, offset: int
    ) -> AsyncIterator[AnswerItem]:
        """Yields the answer to an earlier call, from an offset in characters.

        Raises:
            RefusedError: the answer is not available.
        """

    @abstractmethod
    async def addresses(self, program: str | None) -> AddressView:
        """Returns the addresses that callers should use."""

    @abstractmethod
    async def operator_query(
        self, name: str, parameters: Mapping[str, str]
    ) -> Result[bytes, Refusal]:
        """Answers an operator's query over all hosts, as JSON."""

    @abstractmethod
    def follow_events(self, parameters: Mapping[str, str]) -> AsyncIterator[bytes]:
        """Yields this host's events as they occur, each as a line of JSON."""

    @abstractmethod
    async def edit_config(self, edit: ConfigEdit) -> ConfigAnswer:
        """Validates an edit and applies it, or returns the findings."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    @abstractmethod
    def record_latency(self, what: str, seconds: float) -> None:
        """Adds a latency to its histogram."""
