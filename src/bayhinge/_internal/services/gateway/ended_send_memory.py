"""What one host remembers of ended sends, and how it is told and heard."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import attrs

from bayhinge._internal.decisions.ended_send_history import (
    BrokenSend,
    Fate,
    RequestKey,
    SendUnderWay,
)
from bayhinge._internal.decisions.ended_sends import EndedSends
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.wire.hosts import ttypes as wire


@attrs.frozen
class FateChange:
    """What has become known of a send, to be told to other hosts."""

    key: RequestKey
    incarnation: EndpointIncarnation
    send: BrokenSend
    fate: Fate


@attrs.frozen
class SendChange:
    """A send of a request that failed before, which begins or has ended at this host."""

    key: RequestKey
    incarnation: EndpointIncarnation
    send: SendUnderWay
    is_over: bool


class EndedSendMemory:
    """The ended sends that a host remembers.

    Attributes:
        tell: tells the other hosts of changes.
        on_failure: called when endpoints ended under a request, or may have.
    """

    def __init__(self) -> None:
        self.sends = EndedSends()
        self.tell: Callable[[Iterable[FateChange | SendChange]], None] = lambda changes: None
        self.on_failure: Callable[[RequestKey], None] = lambda key: None


class SendNewsPort(ABC):
    """Sends and receives news of ended sends.

    Attributes:
        on_sends: called with what another host tells of sends.
        on_ends_wanted: called with the peer address of a host that asks for what this one knows.
    """

    on_sends: Callable[[Iterable[wire.SendNews]], None]
    on_ends_wanted: Callable[[str], None]

    @abstractmethod
    def send(self, message: wire.LoadNews, *addresses: str) -> None:
        """Sends a datagram to the peer addresses of hosts."""
