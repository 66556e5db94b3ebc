"""Routes, services and limits: what the operator's configuration says of requests."""

import random
from enum import StrEnum

import attrs

from bayhinge._internal.models.account_keys import AccountTable, RoutedAccount


class RouteKind(StrEnum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAMING = "streaming"


@attrs.frozen
class ServiceShare:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route.

    Attributes:
        timeout_s: the longest that a request may be held, in seconds.
        objective_s: an answer within this time earns its full credit.
        urgency: 0 is the most urgent.
        max_endpoints: the number of endpoints that one request may be sent to.
        keeps_turns: the system keeps what was said; requests bring only new input.
        keep_turns_s: how long a turn may be asked for again, in seconds.
        is_resumable: a stream that broke off may go on behind any of its events.
        pause_s: the longest pause between events that still counts as in time, in seconds, or
            None where the route names none.
        is_public: requests need no key of a client account.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    urgency: int
    max_endpoints: int
    keeps_turns: bool = False
    keep_turns_s: float = 0.0
    is_resumable: bool = False
    pause_s: float | None = None
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def urgency_of(self, account: RoutedAccount | None) -> int:
        """Returns how urgent a request is: its account's word goes before the route's."""
        return self.urgency if account is None or account.urgency is None else account.urgency

    def choose_service(self, generator: random.Random) -> str:
        """Draws one of the route's services by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return generator.choices([share.service for share in self.shares], weights)[0]


@attrs.frozen
class ClosedRoute:
    """The place of a route that the operator wrote and that can't be read otherwise.

    Its requests are refused as not run, with a time to come back: without it they would get the
    404 of a place that was never there, or the service of a shorter prefix.
    """

    name: str
    host: str
    path_prefix: str
    why: str


@attrs.frozen
class EngineSpec:
    """What the engines of a service have in common.

    Attributes:
        tokens_per_event: tokens that one event of a stream counts for.
        kv_cache_tokens: tokens that an engine's memory holds.
    """

    slots: int
    kv_cache_tokens: int
    tokens_per_event: int


@attrs.frozen
class ServiceSpec:
    """A service; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class RequestLimits:
    """What callers may send."""

    body_bytes: int = 4_194_304


@attrs.frozen
class RoutingTable:
    """One version of the whole configuration; ``findings`` say what of it can't be read.

    ``accounts`` is None where the configuration knows of none: then no request needs a key.
    """

    version: int
    routes: tuple[Route | ClosedRoute, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: RequestLimits
    findings: tuple[str, ...] = ()
    accounts: AccountTable | None = None
    _route_by_host_and_prefix: dict[tuple[str, str], Route | ClosedRoute] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_route_by_host_and_prefix.default
    def _index_routes(self) -> dict[tuple[str, str], Route | ClosedRoute]:
        # Backwards, so that of two routes in one place the first one stays.
        return {(route.host, route.path_prefix): route for route in reversed(self.routes)}

    def find(self, host: str, path: str) -> Route | ClosedRoute | None:
        """Returns the route of ``host`` with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so only the path's own slashes are tried: the time does not
        grow with the number of routes.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._route_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
