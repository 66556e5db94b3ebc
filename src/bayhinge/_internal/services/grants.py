"""How an owner gets an endpoint for a call: from the queue home, here or at another host."""

from abc import ABC, abstractmethod

import attrs

from bayhinge._internal.decisions.offers import Done, Offer


@attrs.frozen
class GrantedEndpoint:
    """An endpoint that a call may use now."""

    grant: str
    cell: str
    endpoint: str
    address: str
    waited_s: float
    home: str


class GrantSource(ABC):
    """Where owners ask for endpoints."""

    @abstractmethod
    async def request(self, pool: str, offer: Offer) -> GrantedEndpoint:
        """Waits for a grant.

        Raises:
            RefusedError: the call is refused; it was sent nowhere.
        """

    @abstractmethod
    def done(self, granted: GrantedEndpoint, done: Done) -> None:
        """Gives a grant back."""

    @abstractmethod
    def program_ended(self, program: str, pools: frozenset[str]) -> None:
        """Says that a program is gone, so that its cache can be freed."""
