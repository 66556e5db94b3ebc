"""The interface by which a sender gets endpoints, and the simplest implementation."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.services.gateway.place_demand import PlaceDemand


class Placer(ABC):
    """Chooses the endpoint for a request."""

    @abstractmethod
    async def place(
        self,
        service: str,
        preference: PlacementPreference,
        tried: Iterable[str],
        demand: PlaceDemand,
    ) -> EndpointState | None:
        """Returns the endpoint to send to, or None if none is left. May wait for a place.

        The caller must count the request as running before it next yields to the event loop.

        Raises:
            NoPlaceError: all endpoints are full, and none has a place in time.
        """

    @abstractmethod
    def record_end(self, state: EndpointState, demand: PlaceDemand, ran_s: float | None) -> None:
        """Records that a request is no longer running at an endpoint.

        Args:
            state: the endpoint.
            demand: that of the :meth:`place` call.
            ran_s: how long it had its place, in seconds, or None if it did not run to its end.
        """


class LocalPlacer(Placer):
    """Places requests with only this host's own view of endpoints, and without a wait."""

    def __init__(self, endpoint_table: EndpointTable) -> None:
        self._endpoint_table = endpoint_table

    async def place(
        self,
        service: str,
        preference: PlacementPreference,
        tried: Iterable[str],
        demand: PlaceDemand,
    ) -> EndpointState | None:
        """See :class:`Placer`."""
        return self._endpoint_table.choose(
            service, preference, tried, asyncio.get_running_loop().time()
        )

    def record_end(self, state: EndpointState, demand: PlaceDemand, ran_s: float | None) -> None:
        """See :class:`Placer`."""
