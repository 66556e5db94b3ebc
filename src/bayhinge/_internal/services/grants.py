"""How an owner gets an endpoint for a call from the cell's queue dispatcher."""

from abc import ABC, abstractmethod

import attrs

from bayhinge._internal.decisions.offers import CallCompletion, Offer


@attrs.frozen
class GrantedEndpoint:
    """An endpoint that a call may use now."""

    grant: str
    cell: str
    endpoint: str
    address: str
    waited_s: float
    dispatcher_address: str


class GrantSource(ABC):
    """Grants endpoints to owners."""

    @abstractmethod
    async def request(self, pool: str, offer: Offer) -> GrantedEndpoint:
        """Waits for a grant.

        Raises:
            RefusedError: the call is refused; it was not sent.
        """

    @abstractmethod
    def done(self, granted: GrantedEndpoint, done: CallCompletion) -> None:
        """Releases a grant."""

    @abstractmethod
    def program_ended(self, program: str, pools: frozenset[str]) -> None:
        """Reports that a program has ended, so that its cache can be freed."""
