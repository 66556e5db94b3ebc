"""The daemon's settings, parsed from an INI file and validated."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.schema import (
    Address,
    Choice,
    Digests,
    Field,
    Flag,
    Integer,
    Name,
    Number,
    SectionSchema,
    Text,
    Url,
    Words,
    check_section,
    read_section,
)
from bayhinge._internal.utils.ini import IniDocument, parse_ini

ORDER_NAMES = ("first-come", "program-age", "least-attained")
PLACEMENT_NAMES = ("round-robin", "least-loaded", "session-sticky", "finish-time")

HOST = SectionSchema(
    "host",
    (
        Field("name", Name(), None, "this host's name; the same after a restart"),
        Field("hall", Name(), None, "the hall in which this host stands"),
        Field("public_address", Address(), None, "where callers and operators connect"),
        Field("peer_address", Address(), None, "where the other hosts connect"),
        Field("log_file", Text(), "-", "where eliot writes; - is standard output"),
    ),
)
STORE = SectionSchema(
    "store",
    (
        Field("url", Url(), None, "the platform's object API"),
        Field("prefix", Name(), "bayhinge", "first part of every key"),
        Field("timeout_seconds", Number(0.1, 60), "3", "time for one call"),
        Field("writes_per_second", Number(0.1, 200), "8", "journal writes of this host"),
        Field(
            "total_writes_per_second",
            Number(1, 100_000),
            "240",
            "journal writes of all hosts; a host takes its share, if that is less",
        ),
        Field("write_burst", Integer(1, 50), "4", "journal writes that may go back to back"),
        Field("spool_bytes", Integer(100_000, 10**9), "16000000", "records that may wait"),
    ),
)
MEMBERSHIP = SectionSchema(
    "membership",
    (
        Field("beat_seconds", Number(0.05, 60), "1.5", "time between heartbeats"),
        Field("dead_after_seconds", Number(0.1, 300), "5", "silence that means death"),
        Field("address_keep_seconds", Number(0.1, 600), "10", "how long callers keep an address"),
        Field("drain_seconds", Number(0.1, 3600), "60", "longest planned stop"),
    ),
)
CONFIG = SectionSchema(
    "config",
    (
        Field("poll_seconds", Number(0.05, 60), "3", "time between looks at the store"),
        Field(
            "stale_after_seconds", Number(0.1, 600), "30", "silence after which to stop vouching"
        ),
    ),
)
LIMITS = SectionSchema(
    "limits",
    (
        Field("body_bytes", Integer(1_000, 10**8), "16000000", "largest request body"),
        Field("connections", Integer(1, 100_000), "2000", "connections at once, of all ports"),
        Field("head_bytes", Integer(1_000, 10**7), "65536", "longest head of a request"),
        Field("head_seconds", Number(0.1, 3600), "75", "time from a head's first byte to its last"),
        Field("idle_seconds", Number(0.1, 86_400), "75", "rest of a connection between requests"),
        Field(
            "memory_bytes",
            Integer(0, 10**12),
            "0",
            "memory of the process; 0 stands for its control group's limit, or no limit",
        ),
        Field("history_bytes", Integer(0, 10**10), "64000000", "histories kept in memory"),
        Field("default_max_tokens", Integer(1, 10**6), "1024", "answer length where none is asked"),
        Field("connect_seconds", Number(0.05, 60), "1", "time to connect to an endpoint or host"),
        Field("first_byte_seconds", Number(0.05, 3600), "60", "time to an endpoint's first byte"),
        Field("between_bytes_seconds", Number(0.05, 3600), "20", "silence inside an answer"),
    ),
)
ENDPOINTS = SectionSchema(
    "endpoints",
    (
        Field("list_url", Url(), None, "the platform's list of endpoints"),
        Field("poll_seconds", Number(0.05, 60), "1", "time between looks at the list"),
    ),
)
OPERATORS = SectionSchema(
    "operators",
    (Field("key_sha256", Digests(), None, "digests of the operators' keys"),),
)
POOL = SectionSchema(
    "pool",
    (
        Field("models", Words(), None, "models that this pool of engines serves"),
        Field("cache_tokens", Integer(1_000, 10**9), "1500000", "prefix cache of one engine"),
        Field("max_running", Integer(1, 10_000), "96", "calls at once on one engine"),
        Field("prefill_tokens_per_second", Number(1, 10**9), "20000", "first guess, then learned"),
        Field("token_seconds", Number(1e-6, 10), "0.02", "time between tokens; first guess"),
        Field("token_target_seconds", Number(1e-6, 60), "0.048", "time between tokens to keep to"),
        Field("order", Choice(ORDER_NAMES), "program-age", "order policy of the queue"),
        Field("placement", Choice(PLACEMENT_NAMES), "finish-time", "placement policy"),
        Field(
            "read_again_share",
            Number(0.0, 1.0),
            "0.05",
            "engine time that may go into reading prompts again; less wastes less cache, "
            "more lets more programs in at once",
        ),
    ),
)
SERVICE = SectionSchema(
    "service",
    (
        Field("repeatable_methods", Words(), "GET, HEAD", "methods that may be run again"),
        Field("max_running", Integer(1, 10_000), "32", "calls at once on one endpoint"),
        Field("timeout_seconds", Number(0.05, 3600), "30", "time for one call"),
        Field("hall_local", Flag(), "yes", "prefer endpoints of this hall"),
    ),
)
FIXED_SECTIONS = (HOST, STORE, MEMBERSHIP, CONFIG, LIMITS, ENDPOINTS, OPERATORS)
NAMED_SECTIONS = (POOL, SERVICE)


@attrs.frozen
class HostSettings:
    """Section ``host``."""

    name: str
    hall: str
    public_address: str
    peer_address: str
    log_file: str = "-"


@attrs.frozen
class StoreSettings:
    """Section ``store``."""

    url: str
    prefix: str = "bayhinge"
    timeout_seconds: float = 3.0
    writes_per_second: float = 8.0
    total_writes_per_second: float = 240.0
    write_burst: int = 4
    spool_bytes: int = 16_000_000


@attrs.frozen
class MembershipSettings:
    """Section ``membership``, in seconds."""

    beat_seconds: float = 1.5
    dead_after_seconds: float = 5.0
    address_keep_seconds: float = 10.0
    drain_seconds: float = 60.0


@attrs.frozen
class ConfigSettings:
    """Section ``config``, in seconds.

    Attributes:
        poll_seconds: interval at which the store is listed for configuration changes.
        stale_after_seconds: the host stops confirming its configuration this long after the store
            or a peer last confirmed it.
    """

    poll_seconds: float = 3.0
    stale_after_seconds: float = 30.0


@attrs.frozen
class LimitSettings:
    """Section ``limits``."""

    body_bytes: int = 16_000_000
    connections: int = 2000
    head_bytes: int = 65_536
    head_seconds: float = 75.0
    idle_seconds: float = 75.0
    memory_bytes: int = 0
    history_bytes: int = 64_000_000
    default_max_tokens: int = 1024
    connect_seconds: float = 1.0
    first_byte_seconds: float = 60.0
    between_bytes_seconds: float = 20.0


@attrs.frozen
class EndpointListSettings:
    """Section ``endpoints``."""

    list_url: str
    poll_seconds: float = 1.0


@attrs.frozen
class OperatorSettings:
    """Section ``operators``."""

    key_sha256: tuple[str, ...]


@attrs.frozen
class PoolSettings:
    """A section ``pool NAME``: engines that serve the same models."""

    name: str
    models: tuple[str, ...]
    cache_tokens: int = 1_500_000
    max_running: int = 96
    prefill_tokens_per_second: float = 20_000.0
    token_seconds: float = 0.02
    token_target_seconds: float = 0.048
    order: str = "program-age"
    placement: str = "finish-time"
    read_again_share: float = 0.05


@attrs.frozen
class ServiceSettings:
    """A section ``service NAME``."""

    name: str
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    max_running: int = 32
    timeout_seconds: float = 30.0
    hall_local: bool = True


@attrs.frozen
class Settings:
    """All settings of one daemon."""

    host: HostSettings
    store: StoreSettings
    endpoints: EndpointListSettings
    operators: OperatorSettings
    membership: MembershipSettings = MembershipSettings()
    config: ConfigSettings = ConfigSettings()
    limits: LimitSettings = LimitSettings()
    pools_by_name: dict[str, PoolSettings] = attrs.field(factory=dict)
    services_by_name: dict[str, ServiceSettings] = attrs.field(factory=dict)

    def pool_of_model(self, model: str) -> PoolSettings | None:
        """Returns the first pool that serves a model."""
        pools = self.pools_by_name.values()
        return next((pool for pool in pools if model in pool.models), None)


def read_settings_file(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Reads and validates a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((Finding(Place(str(path)), f"the file can't be read: {error}"),))
    return read_settings(text, str(path))


def read_settings(text: str, file: str) -> Result[Settings, tuple[Finding, ...]]:
    """Parses and validates settings; all findings are reported together."""
    parsed = parse_ini(text)
    if parsed.is_error():
        problem = parsed.error
        return Error((Finding(Place(file, problem.line), problem.problem),))
    findings = tuple(_check(parsed.ok, file))
    if findings:
        return Error(findings)
    return Ok(_build(parsed.ok))


def _check(document: IniDocument, file: str) -> Iterator[Finding]:
    sections = document.sections_by_name
    for schema in FIXED_SECTIONS:
        yield from check_section(schema, sections.get(schema.title), file)
    fixed = {schema.title for schema in FIXED_SECTIONS}
    for name, section in sections.items():
        if name in fixed:
            continue
        title, _, own_name = name.partition(" ")
        schema_found = next((item for item in NAMED_SECTIONS if item.title == title), None)
        place = Place(file, section.line, name)
        if schema_found is None:
            yield Finding(place, "unknown section", "see docs/settings.md")
        elif Name().read(own_name).is_error():
            yield Finding(place, "the section needs a valid name", f"write [{title} some-name]")
        else:
            yield from check_section(schema_found, section, file)
    yield from _check_together(document, file)


def _check_together(document: IniDocument, file: str) -> Iterator[Finding]:
    """Validates constraints that span several keys."""
    membership = document.sections_by_name.get("membership")
    if membership is not None and not any(check_section(MEMBERSHIP, membership, file)):
        values: dict[str, Any] = read_section(MEMBERSHIP, membership).values_by_key
        if values["dead_after_seconds"] < 2 * values["beat_seconds"]:
            key = "dead_after_seconds"
            line = membership.values_by_key[key].line if key in membership.values_by_key else 0
            yield Finding(
                Place(file, line, "membership", key),
                "is less than two heartbeat intervals, so live hosts would be declared dead",
                "set it to at least three times beat_seconds",
            )


def _build(document: IniDocument) -> Settings:
    sections = document.sections_by_name

    def fixed(schema: SectionSchema) -> dict[str, Any]:
        return read_section(schema, sections.get(schema.title)).values_by_key

    def named(schema: SectionSchema) -> Iterator[dict[str, Any]]:
        for name, section in sections.items():
            title, _, own_name = name.partition(" ")
            if title == schema.title:
                yield {"name": own_name, **read_section(schema, section).values_by_key}

    pools = [PoolSettings(**values) for values in named(POOL)]
    services = [ServiceSettings(**values) for values in named(SERVICE)]
    return Settings(
        host=HostSettings(**fixed(HOST)),
        store=StoreSettings(**fixed(STORE)),
        endpoints=EndpointListSettings(**fixed(ENDPOINTS)),
        operators=OperatorSettings(**fixed(OPERATORS)),
        membership=MembershipSettings(**fixed(MEMBERSHIP)),
        config=ConfigSettings(**fixed(CONFIG)),
        limits=LimitSettings(**fixed(LIMITS)),
        pools_by_name={pool.name: pool for pool in pools},
        services_by_name={service.name: service for service in services},
    )
