"""The places that a host may grant: all of its hall as its coordinator, or a share without one."""

import asyncio
from abc import ABC, abstractmethod

import attrs

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    FreeChoice,
    PlacementPreference,
)
from bayhinge._internal.decisions.local_share import ServiceView, local_limit
from bayhinge._internal.decisions.place_limits import PlaceLimits
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange


class PlaceView(ABC):
    """The places that may be granted."""

    def is_in_charge(self) -> bool:
        """Returns whether this host still grants these places."""
        return True

    @abstractmethod
    def refresh(self) -> None:
        """Applies the load reports that were received since."""

    @abstractmethod
    def choose(
        self, service: str, preference: PlacementPreference, excluded: frozenset[str]
    ) -> FreeChoice:
        """Returns the best endpoint with a free place, none of ``excluded``."""

    @abstractmethod
    def has_free(self, service: str) -> bool:
        """Returns whether any place may be free; cheaper than a choice."""

    @abstractmethod
    def places(self, service: str) -> int:
        """Returns the number of places that this view may grant, free or not."""


class HallPlaces(PlaceView):
    """The places that a coordinator grants."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        exchange: LoadExchange,
        coordinators: HallCoordinators,
        limits: PlaceLimits,
        hall: str,
    ) -> None:
        self._endpoint_table = endpoint_table
        self._exchange = exchange
        self._coordinators = coordinators
        self._limits = limits
        self._hall = hall

    def is_in_charge(self) -> bool:
        """See :class:`PlaceView`."""
        return bool(self._coordinators.coordinated_hall)

    def refresh(self) -> None:
        """See :class:`PlaceView`."""
        self._exchange.refresh_if_changed()

    def choose(
        self, service: str, preference: PlacementPreference, excluded: frozenset[str]
    ) -> FreeChoice:
        """See :class:`PlaceView`."""
        return self._endpoint_table.choose_free(
            service, preference, excluded, asyncio.get_running_loop().time(), self._limit
        )

    def has_free(self, service: str) -> bool:
        """See :class:`PlaceView`."""
        states = self._endpoint_table.of_service(service)
        # Without endpoints, a choice is needed to tell the waiting requests.
        return not states or any(state.in_flight < self._limit(state) for state in states)

    def places(self, service: str) -> int:
        """See :class:`PlaceView`."""
        return sum(map(self._limit, self._endpoint_table.of_service(service)))

    def _limit(self, state: EndpointState) -> int:
        if state.entry.hall == self._hall:
            return self._limits.limit(state)
        return self._exchange.remote_limit(state)


class LocalShare(PlaceView):
    """The places that a host without a coordinator may use; see :func:`local_limit`."""

    def __init__(self, endpoint_table: EndpointTable, coordinators: HallCoordinators) -> None:
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._limit_by_service: dict[str, int] = {}

    def forget_views(self) -> None:
        """Drops the computed shares, because newer heartbeats of the other hosts were applied."""
        self._limit_by_service.clear()

    def refresh(self) -> None:
        """See :class:`PlaceView`."""

    def choose(
        self, service: str, preference: PlacementPreference, excluded: frozenset[str]
    ) -> FreeChoice:
        """See :class:`PlaceView`."""
        state = self._endpoint_table.choose(
            service, preference, excluded, asyncio.get_running_loop().time()
        )
        if state is None or self.has_free(service):
            return FreeChoice(state)
        return FreeChoice(None, is_full=True)

    def has_free(self, service: str) -> bool:
        """See :class:`PlaceView`."""
        states = self._endpoint_table.of_service(service)
        return not states or sum(state.running_here for state in states) < self.places(service)

    def places(self, service: str) -> int:
        """See :class:`PlaceView`."""
        limit = self._limit_by_service.get(service)
        if limit is None:
            limit = self._limit_by_service[service] = local_limit(self._view_of(service))
        return limit

    def _view_of(self, service: str) -> ServiceView:
        states = self._endpoint_table.of_service(service)
        return ServiceView(
            sum(state.running_here for state in states),
            sum(state.entry.slots for state in states),
            sum(max(0, state.entry.slots - state.in_flight) for state in states),
            self._coordinators.ready_hosts,
        )


@attrs.frozen
class ServiceLoad:
    """The load of a service as this host knows it."""

    running: int
    slots: int


def service_load(endpoint_table: EndpointTable, service: str) -> ServiceLoad:
    """Returns the requests in flight and the slots of a service."""
    states = endpoint_table.of_service(service)
    return ServiceLoad(
        sum(state.in_flight for state in states), sum(state.entry.slots for state in states)
    )
