"""Routes, services and limits of the operator's routing configuration."""

import random
from enum import StrEnum

import attrs

from bayhinge._internal.models.account_keys import AccountTable, RoutedAccount


class RouteKind(StrEnum):
    """How a route's requests may be executed and answered."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAMING = "streaming"


@attrs.frozen
class ServiceShare:
    """A service of a route and its weight in traffic splitting."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route.

    Attributes:
        timeout_s: the longest time that a request may be held, in seconds.
        latency_objective_s: the latency objective, in seconds.
        urgency: 0 is the most urgent.
        max_endpoints: the number of endpoints that one request may be sent to.
        retains_turns: conversation history is retained; requests carry only new input.
        turn_retention_s: how long a turn is retained, in seconds.
        is_resumable: an interrupted stream may be resumed after any of its events.
        max_event_gap_s: the objective for the gap between events, in seconds, or None.
        is_public: requests need no client account key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    latency_objective_s: float
    urgency: int
    max_endpoints: int
    retains_turns: bool = False
    turn_retention_s: float = 0.0
    is_resumable: bool = False
    max_event_gap_s: float | None = None
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def time_for(self, patience_s: float | None) -> float:
        """Returns how long a request may be held, in seconds, by the route and its caller."""
        return min(patience_s or self.timeout_s, self.timeout_s)

    def urgency_of(self, account: RoutedAccount | None) -> int:
        """Returns a request's urgency; the account's setting overrides the route's."""
        return self.urgency if account is None or account.urgency is None else account.urgency

    def choose_service(self, generator: random.Random) -> str:
        """Picks one of the route's services at random, by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return generator.choices([share.service for share in self.shares], weights)[0]


@attrs.frozen
class InvalidRoute:
    """A route whose host and prefix are valid but whose other fields are not.

    Its requests are refused as not run, with a retry time. Without this entry they would get a 404
    or match the route of a shorter prefix.
    """

    name: str
    host: str
    path_prefix: str
    why: str


@attrs.frozen
class EngineSpec:
    """Properties shared by all engines of a service.

    Attributes:
        slots: maximum number of concurrent requests of one engine.
        kv_cache_tokens: KV cache capacity of one engine, in tokens.
        tokens_per_event: number of tokens that one stream event stands for.
    """

    slots: int
    kv_cache_tokens: int
    tokens_per_event: int


@attrs.frozen
class ServiceSpec:
    """A service; ``engine`` is None for plain services.

    Attributes:
        health_path: the path of its endpoints' health check, or None.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_path: str | None = None


@attrs.frozen
class RequestLimits:
    """Limits on callers' requests.

    Attributes:
        head_bytes: the longest head of a request.
        head_s: the longest time from a head's first byte to its last, in seconds.
        idle_s: how long a connection may rest between requests, in seconds.
        body_bytes: the longest body of a request.
    """

    head_bytes: int = 65_536
    head_s: float = 75.0
    idle_s: float = 75.0
    body_bytes: int = 4_194_304


@attrs.frozen
class RoutingTable:
    """One version of the whole routing configuration.

    Attributes:
        findings: the parts of the configuration that are invalid.
        accounts: None if the configuration defines no accounts; then no request needs a key.
    """

    version: int
    routes: tuple[Route | InvalidRoute, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: RequestLimits
    findings: tuple[str, ...] = ()
    accounts: AccountTable | None = None
    _route_by_host_and_prefix: dict[tuple[str, str], Route | InvalidRoute] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_route_by_host_and_prefix.default
    def _index_routes(self) -> dict[tuple[str, str], Route | InvalidRoute]:
        # Reversed, so that the first of two routes with the same host and prefix wins.
        return {(route.host, route.path_prefix): route for route in reversed(self.routes)}

    def find(self, host: str, path: str) -> Route | InvalidRoute | None:
        """Returns the route of ``host`` with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so one lookup per slash in the path suffices, however many routes
        there are.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._route_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
