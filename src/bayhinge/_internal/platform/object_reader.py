"""Decodes the platform's objects: the configuration and the endpoint entries."""

import re
from typing import Any

import orjson

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.account_keys import (
    AccountTable,
    InvalidAccount,
    Quota,
    RoutedAccount,
    hash_key,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routing import (
    EngineSpec,
    InvalidRoute,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from bayhinge._internal.platform import object_forms as forms
from bayhinge._internal.platform.objects_api import CONFIGURATION_KEY
from bayhinge._internal.services.gateway.platform_interface import ObjectReader
from bayhinge._internal.utils.checked_fields import MAX_SHOWN_CHARS, InvalidTableError, parse_form

KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAMING,
}

DEFAULT_ATTEMPTS_BY_KIND = {
    RouteKind.IDEMPOTENT: 2,
    RouteKind.AT_MOST_ONCE: 1,
    RouteKind.STREAMING: 1,
}
"""Default number of endpoints that a request may be sent to."""

_PATH = re.compile(r"/[!-~]*")

DEFAULT_URGENCY = 5
"""Default urgency of a route: the middle of the engines' range of 0 to 9."""

_ID = re.compile(r"[\x21-\x7e]{1,256}")
"""An endpoint's id: printable ASCII without spaces, since it is sent in a header."""


class PlatformObjectReader(ObjectReader):
    """See :class:`ObjectReader`."""

    def read_configuration(self, value: bytes) -> RoutingTable:
        """See :class:`ObjectReader`."""
        key = CONFIGURATION_KEY
        try:
            whole = parse_form(forms.ConfigurationForm, orjson.loads(value))
            return _ConfigurationReader(whole).table()
        except ValueError as error:
            raise UnreadableObjectError(key, (f"{key}: {error}",)) from error

    def read_endpoint(self, key: str, value: bytes) -> EndpointEntry:
        """See :class:`ObjectReader`."""
        instance = key.partition("/")[2]
        if _ID.fullmatch(instance) is None:
            raise UnreadableObjectError(key, ("its name is not a valid endpoint id",))
        try:
            form = parse_form(forms.EntryForm, orjson.loads(value))
        except ValueError as error:
            raise UnreadableObjectError(key, (str(error),)) from error
        return EndpointEntry(
            instance=instance,
            service=form.service,
            address=form.address,
            hall=form.zone,
            slots=form.slots,
            is_leaving=form.state == forms.DRAINING,
            born_ms=form.born or None,
        )


class _ConfigurationReader:
    """Decodes one configuration; invalid parts become findings."""

    def __init__(self, whole: forms.ConfigurationForm) -> None:
        self._whole = whole
        self._findings: list[str] = []
        self._services_by_name: dict[str, ServiceSpec] = {}
        self._invalid_services: set[str] = set()

    def table(self) -> RoutingTable:
        """Returns the routing table.

        Raises:
            InvalidTableError: a route's host or prefix is invalid, so its coverage is unknown.
        """
        for item in self._whole.services:
            self._add_service(item)
        routes = tuple(self._decode_route(item) for item in self._whole.routes)
        accounts = self._decode_accounts()
        return RoutingTable(
            self._whole.version,
            routes,
            self._services_by_name,
            self._decode_limits(),
            tuple(self._findings),
            accounts,
        )

    def _decode_accounts(self) -> AccountTable | None:
        """Returns the client accounts, or None if the configuration defines none."""
        if self._whole.tenants is None:
            return None
        return AccountTable(tuple(self._decode_account(item) for item in self._whole.tenants))

    def _decode_account(self, item: Any) -> RoutedAccount | InvalidAccount:
        """Decodes an account; requests with the keys of an invalid one are refused.

        An invalid urgency alone is ignored, and the route's urgency applies.
        """
        table = item if isinstance(item, dict) else {}
        name = str(table.get("name", "?"))[:MAX_SHOWN_CHARS]
        digests = self._decode_digests(name, table.get("api_keys"))
        try:
            form = parse_form(forms.AccountForm, item)
        except InvalidTableError as error:
            self._findings.append(f"account '{name}': {error}")
            return InvalidAccount(name, digests, str(error))
        quota = Quota(float(form.rate_per_s), float(form.burst or 0)) if form.rate_per_s else None
        return RoutedAccount(
            form.name, digests, self._decode_account_urgency(name, table.get("priority")), quota
        )

    def _decode_digests(self, name: str, keys: Any) -> tuple[str, ...]:
        known = keys if isinstance(keys, list) else []
        texts = [key for key in known if isinstance(key, str) and key]
        invalid = len(known) - len(texts) if isinstance(keys, list) else keys is not None
        if invalid:
            # The value is not shown because it may contain a key.
            self._findings.append(f"account '{name}': 'api_keys' must be a list of strings")
        return tuple(hash_key(key) for key in texts)

    def _decode_account_urgency(self, name: str, priority: Any) -> int | None:
        is_whole = isinstance(priority, int) and not isinstance(priority, bool)
        if priority is not None and not (is_whole and priority >= 0):
            why = "'priority' must be a whole number of at least 0; the routes' priorities apply"
            self._findings.append(f"account '{name}': {why}")
            return None
        return priority

    def _add_service(self, item: Any) -> None:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            self._findings.append("a service without a name")
            return
        try:
            self._services_by_name[name] = _decode_service(name, item)
        except InvalidTableError as error:
            self._findings.append(f"service '{name[:MAX_SHOWN_CHARS]}': {error}")
            self._invalid_services.add(name)

    def _decode_route(self, item: Any) -> Route | InvalidRoute:
        name = str(item.get("name", "?"))[:MAX_SHOWN_CHARS] if isinstance(item, dict) else "?"
        try:
            place = parse_form(forms.RouteKeyForm, item)
        except InvalidTableError as error:
            raise InvalidTableError(f"route '{name}': {error}") from error
        host = place.host.lower()
        try:
            route = self._decode_checked_route(name, host, place.path_prefix, item)
        except InvalidTableError as error:
            self._findings.append(f"route '{name}': {error}")
            return InvalidRoute(name, host, place.path_prefix, str(error))
        return route

    def _decode_checked_route(self, name: str, host: str, path_prefix: str, item: Any) -> Route:
        form = parse_form(forms.RouteForm, item)
        kind = KIND_BY_NAME.get(form.route_kind)
        if kind is None:
            # Running at most once is safe for every kind.
            kind = RouteKind.AT_MOST_ONCE
            self._findings.append(
                f"route '{name}': unknown kind '{form.route_kind[:MAX_SHOWN_CHARS]}', using {kind}"
            )
        slo_ms = form.timeout_ms if form.slo_ms is None else form.slo_ms
        return Route(
            name=name,
            host=host,
            path_prefix=path_prefix,
            kind=kind,
            shares=self._decode_shares(form),
            timeout_s=form.timeout_ms / 1000,
            latency_objective_s=slo_ms / 1000,
            urgency=DEFAULT_URGENCY if form.priority is None else form.priority,
            max_endpoints=form.attempts or DEFAULT_ATTEMPTS_BY_KIND[kind],
            retains_turns=bool(form.retained),
            turn_retention_s=float(form.retention_s or 0.0),
            is_resumable=kind is RouteKind.STREAMING and bool(form.resumable),
            max_event_gap_s=None if form.gap_slo_ms is None else form.gap_slo_ms / 1000,
            is_public=bool(form.public),
        )

    def _decode_shares(self, form: forms.RouteForm) -> tuple[ServiceShare, ...]:
        split = form.split or [{"service": form.service, "weight": 1}]
        read = [parse_form(forms.ShareForm, share) for share in split]
        if not any(share.weight for share in read):
            raise InvalidTableError("all weights of 'split' are zero")
        invalid = sorted(self._invalid_services.intersection(share.service for share in read))
        if invalid:
            raise InvalidTableError(f"its service '{invalid[0]}' is invalid")
        return tuple(ServiceShare(share.service, float(share.weight)) for share in read)

    def _decode_limits(self) -> RequestLimits:
        if self._whole.limits is None:
            return RequestLimits()
        try:
            form = parse_form(forms.LimitsForm, self._whole.limits)
        except InvalidTableError as error:
            self._findings.append(f"limits: {error}")
            return RequestLimits()
        defaults = RequestLimits()
        return RequestLimits(
            form.max_header_bytes or defaults.head_bytes,
            _in_seconds(form.header_timeout_ms) or defaults.head_s,
            _in_seconds(form.idle_timeout_ms) or defaults.idle_s,
            defaults.body_bytes if form.max_body_bytes is None else form.max_body_bytes,
        )


def _in_seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _decode_service(name: str, item: Any) -> ServiceSpec:
    form = parse_form(forms.ServiceForm, item)
    traits = None
    if form.engine_kind:
        engine = parse_form(forms.EngineForm, form.engine_kind)
        traits = EngineSpec(engine.slots, int(engine.kv_capacity), engine.chunk_tokens)
    return ServiceSpec(name, form.max_conns or 0, traits, _health_path(form.health_path))


def _health_path(value: Any) -> str | None:
    """Returns the path, or None for one that can't stand in a request line."""
    is_path = isinstance(value, str) and _PATH.fullmatch(value) is not None
    return value if is_path else None
