"""Objects as other writers leave them: what can't be read names nobody, and the others hold."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.endpoint_book import EndpointTable, PlacementPreference
from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.routing import InvalidRoute, RequestLimits, Route, RouteKind
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform import objects_api
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from bayhinge._internal.services.gateway import unreadable_objects
from bayhinge._internal.services.gateway.endpoint_restarts import EndpointRestarts
from bayhinge._internal.services.gateway.runs_under_way import ActiveRuns
from bayhinge._internal.services.gateway.store_listeners import (
    ConfigurationState,
    EndpointTableUpdater,
)
from bayhinge.coordination.store import Change
from tests.lib.log_lines import Line, collected_lines, told
from tests.lib.odd_objects import (
    CLOSING_ROUTE_FIELDS_BY_FORM,
    ENTRY,
    ODD_CONFIGURATION_BY_FORM,
    ODD_ENTRY_BY_FORM,
    ODD_NAME_BY_FORM,
    odd_configuration,
    odd_route,
)
from tests.lib.platform_data import CONFIGURATION

FUZZ = settings(max_examples=300, deadline=None, derandomize=True)
READER = PlatformObjectReader()
GOOD = orjson.dumps(ENTRY)
CONFIGURATION_KEY = "config/main"

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec="utf-8"), max_size=12),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(st.characters(codec="utf-8"), max_size=8), inner)
    ),
    max_leaves=8,
)
MUTATED_ENTRIES = st.builds(
    lambda fields, gone: orjson.dumps(
        {key: value for key, value in (ENTRY | fields).items() if key not in gone}
    ),
    st.dictionaries(st.sampled_from([*ENTRY, "born", "phase"]), JSON, max_size=3),
    st.sets(st.sampled_from(sorted(ENTRY)), max_size=2),
)
ANY_VALUES = st.binary(max_size=200) | JSON.map(orjson.dumps) | MUTATED_ENTRIES
NAMES = st.text(max_size=20) | st.sampled_from(["", "a/b", "i-1", "i" * 4000, "\r\nx: y"])


class Watched:
    """An updater of an endpoint table, with its log lines."""

    def __init__(self) -> None:
        self.endpoint_table = EndpointTable("north")
        connection_pool = EndpointConnectionPool()
        restarts = EndpointRestarts(self.endpoint_table, connection_pool, ActiveRuns(), lambda: 0)
        self.updater = EndpointTableUpdater(READER, self.endpoint_table, connection_pool, restarts)
        self.lines: list[Line] = []

    def told(self, kind: str) -> list[Line]:
        return told(self.lines, kind)

    def chosen(self) -> str | None:
        found = self.endpoint_table.choose("app", PlacementPreference(), (), 0.0)
        return None if found is None else found.entry.instance

    def say(self, instance: str, value: bytes | None) -> None:
        self.updater.apply(Change(f"servers/{instance}", value, 1, 1), False)


def watch(scenario: Callable[[Watched], None]) -> None:
    async def main() -> None:
        watched = Watched()
        with collected_lines() as watched.lines:
            scenario(watched)

    asyncio.run(main())


# ---- entries ----


def test_an_entry_that_is_well_is_read_also_with_fields_that_came_later() -> None:
    more = {"phase": "dual", "models": [{"name": "m"}], "born": 1771002900729, "of_tomorrow": None}
    for fields in ({}, more, {"cold_left_ms": 12.5}, {"slots": 1}, {"version": ""}, {"seq": 0}):
        entry = READER.read_endpoint("servers/i-1", orjson.dumps(ENTRY | fields))
        assert (entry.instance, entry.service, entry.address) == ("i-1", "app", "10.0.0.9:8080")
        assert not entry.is_leaving
    assert READER.read_endpoint(
        "servers/i-1", orjson.dumps(ENTRY | {"state": "draining"})
    ).is_leaving


@pytest.mark.parametrize("form", ODD_ENTRY_BY_FORM)
def test_an_odd_entry_names_no_endpoint(form: str) -> None:
    with pytest.raises(UnreadableObjectError):
        READER.read_endpoint("servers/i-1", ODD_ENTRY_BY_FORM[form])


@pytest.mark.parametrize("form", ODD_NAME_BY_FORM)
def test_an_entry_whose_name_can_be_no_id_names_no_endpoint(form: str) -> None:
    with pytest.raises(UnreadableObjectError):
        READER.read_endpoint(f"servers/{ODD_NAME_BY_FORM[form]}", GOOD)


def test_an_endpoint_of_a_service_that_is_not_named_gets_no_requests() -> None:
    def scenario(watched: Watched) -> None:
        watched.say("i-1", orjson.dumps(ENTRY | {"service": "of-tomorrow"}))
        assert watched.chosen() is None
        assert watched.endpoint_table.find("i-1") is not None
        watched.say("i-2", GOOD)
        assert watched.chosen() == "i-2"

    watch(scenario)


def test_a_name_with_a_slash_does_not_pass_for_its_last_part() -> None:
    def scenario(watched: Watched) -> None:
        watched.say("i-1", GOOD)
        watched.say("other/i-1", ODD_ENTRY_BY_FORM["state unknown"])
        watched.say("other/i-1", None)
        state = watched.endpoint_table.find("i-1")
        assert state is not None
        assert not state.is_suspected
        assert watched.chosen() == "i-1"

    watch(scenario)


@pytest.mark.parametrize("form", ODD_ENTRY_BY_FORM)
def test_an_odd_entry_over_a_good_one_gets_nothing_new_and_the_next_good_one_counts(
    form: str,
) -> None:
    def scenario(watched: Watched) -> None:
        watched.say("i-1", GOOD)
        running = watched.endpoint_table.find("i-1")
        assert running is not None
        running.running_here = 1
        watched.say("i-1", ODD_ENTRY_BY_FORM[form])
        assert watched.chosen() is None, "not even as a last resort"
        # Its run goes on and is counted where it was.
        assert watched.endpoint_table.find("i-1") is running
        watched.say("i-1", GOOD)
        assert watched.chosen() == "i-1"
        assert watched.endpoint_table.find("i-1") is running

    watch(scenario)


@pytest.mark.parametrize("is_after_outage", [False, True])
def test_an_odd_entry_in_a_list_hides_no_other_one(is_after_outage: bool) -> None:
    odd = {f"servers/odd-{n}": value for n, value in enumerate(ODD_ENTRY_BY_FORM.values())}

    def scenario(watched: Watched) -> None:
        watched.say("i-1", GOOD)
        listed = odd | {"servers/": GOOD, "servers/i-2": GOOD, "servers/i-1": b"{}"}
        watched.updater.replace_all(listed, is_after_outage)
        assert watched.chosen() == "i-2"
        assert {one.entry.instance for one in watched.endpoint_table.all()} == {"i-1", "i-2"}
        watched.updater.replace_all({"servers/i-1": GOOD}, is_after_outage)
        assert watched.chosen() == "i-1"
        assert watched.updater.unreadable.current == 0

    watch(scenario)


def test_an_odd_entry_has_one_line_a_key_and_change() -> None:
    def scenario(watched: Watched) -> None:
        odd = orjson.dumps(ENTRY | {"slots": 0})
        for _ in range(5):
            watched.say("i-1", odd)
            watched.updater.replace_all({"servers/i-1": odd}, False)
        lines = watched.told("endpoint.unreadable")
        assert [line["key"] for line in lines] == ["servers/i-1"]
        assert "'slots' must be >= 1" in lines[0]["findings"][0]
        assert (watched.updater.unreadable.current, watched.updater.unreadable.total) == (1, 10)
        watched.say("i-1", b"5")
        watched.say("i-1", GOOD)
        watched.say("i-1", odd)
        assert len(watched.told("endpoint.unreadable")) == 3

    watch(scenario)


def test_odd_entries_without_number_make_few_lines_and_no_long_ones() -> None:
    def scenario(watched: Watched) -> None:
        value = orjson.dumps(ENTRY | {"service": ["x" * 100_000]})
        for number in range(2 * unreadable_objects.MAX_TRACKED_KEYS):
            watched.say(f"{number}" * 500, value)
        lines = watched.told("endpoint.unreadable")
        # The loop's second may turn once meanwhile.
        assert len(lines) <= 3 * unreadable_objects.MAX_LOG_LINES_PER_S
        assert max(len(str(line)) for line in lines) < 1000
        assert watched.updater.unreadable.total == 2 * unreadable_objects.MAX_TRACKED_KEYS
        assert watched.updater.unreadable.current == unreadable_objects.MAX_TRACKED_KEYS

    watch(scenario)


@FUZZ
@given(NAMES, ANY_VALUES)
def test_any_entry_is_read_or_reported_with_its_key(name: str, value: bytes) -> None:
    try:
        entry = READER.read_endpoint(f"servers/{name}", value)
    except UnreadableObjectError as error:
        assert error.key == f"servers/{name}"
        return
    host, _, port = entry.address.rpartition(":")
    assert len(host.split(".")) == 4
    assert 1 <= int(port) <= 65535
    assert type(entry.slots) is int
    assert entry.slots >= 1
    assert entry.service
    assert entry.instance.isascii()
    assert entry.instance.isprintable()


@FUZZ
@given(st.lists(st.tuples(NAMES, ANY_VALUES | st.none(), st.booleans()), max_size=8))
def test_no_odd_news_costs_an_entry_that_is_well(
    news: list[tuple[str, bytes | None, bool]],
) -> None:
    def scenario(watched: Watched) -> None:
        good = {"servers/i-well": GOOD}
        for name, value, is_list in [*news, ("i-new", GOOD, False)]:
            key = f"servers/{name}"
            if is_list and value is not None:
                watched.updater.replace_all({key: value} | good, False)
            else:
                watched.updater.replace_all(good, False)
                watched.updater.apply(Change(key, value, 1, 1), False)
            known = watched.endpoint_table.find("i-well")
            assert known is not None
            assert not known.is_suspected
            assert not known.entry.is_leaving
        assert watched.endpoint_table.find("i-new") is not None

    watch(scenario)


@FUZZ
@given(st.lists(JSON, max_size=5), st.booleans())
def test_any_object_of_the_store_is_read_or_passed_over(items: list[Any], is_own: bool) -> None:
    kind = "hosts" if is_own else "servers"
    good = {"metadata": {"name": "i-well", "revision": 3}, "spec": "d2VsbA=="}
    mixed = [*items, good, {"metadata": {"name": "x", "revision": 1}, "spec": items}]
    found = objects_api._parse_objects(kind, mixed)
    assert f"{kind}/i-well" in {stored.key for stored in found}
    events = [*items, *({"object": item, "deleted": False} for item in mixed)]
    changes = objects_api._parse_changes(kind, events)
    assert f"{kind}/i-well" in {change.key for change in changes}


@FUZZ
@given(st.binary(max_size=60))
def test_an_object_whose_text_is_none_hides_no_other_one(data: bytes) -> None:
    raw = bytes(byte for byte in data if byte >= 0x20 and byte not in b'"\\')
    odd = b'{"metadata":{"name":"i-odd","revision":1},"spec":{"service":"%s"}}' % raw
    well = b'{"metadata":{"name":"i-well","revision":2},"spec":{"slots":4}}'
    content = objects_api._decode_json(b'{"items":[%s,%s]}' % (odd, well))
    found = objects_api._parse_objects("servers", content["items"])
    assert [stored.key for stored in found] == ["servers/i-odd", "servers/i-well"]
    assert found[1].value == b'{"slots":4}'
    try:
        raw.decode()
    except UnicodeDecodeError:
        assert found[0].value == objects_api.UNREADABLE


# ---- the configuration ----


@pytest.mark.parametrize("form", ODD_CONFIGURATION_BY_FORM)
def test_a_configuration_that_can_not_be_used_leaves_the_one_in_force(form: str) -> None:
    async def main() -> None:
        configuration = ConfigurationState(READER, CONFIGURATION_KEY)
        configuration.replace_all({CONFIGURATION_KEY: orjson.dumps(CONFIGURATION)}, False)
        odd = ODD_CONFIGURATION_BY_FORM[form]
        configuration.apply(Change(CONFIGURATION_KEY, odd, 2, 2), False)
        configuration.replace_all({CONFIGURATION_KEY: odd}, False)
        assert configuration.table is not None
        assert (configuration.table.version, len(configuration.table.routes)) == (7, 5)
        assert configuration.unreadable.total == 2
        newer = orjson.dumps(CONFIGURATION | {"version": 9})
        configuration.apply(Change(CONFIGURATION_KEY, newer, 3, 3), False)
        assert configuration.table.version == 9
        assert configuration.unreadable.current == 0

    asyncio.run(main())


def test_another_object_beside_the_configuration_is_none() -> None:
    async def main() -> None:
        configuration = ConfigurationState(READER, CONFIGURATION_KEY)
        other = orjson.dumps(CONFIGURATION | {"version": 99, "routes": []})
        both = {"config/draft": other, CONFIGURATION_KEY: orjson.dumps(CONFIGURATION)}
        configuration.replace_all(both, False)
        configuration.apply(Change("config/main/draft", other, 2, 2), False)
        assert configuration.table is not None
        assert configuration.table.version == 7

    asyncio.run(main())


@pytest.mark.parametrize("form", CLOSING_ROUTE_FIELDS_BY_FORM)
def test_an_odd_route_closes_its_place_and_the_others_hold(form: str) -> None:
    table = READER.read_configuration(odd_route(1, **CLOSING_ROUTE_FIELDS_BY_FORM[form]))
    # Not the service of the shorter prefix, which no configuration lets these requests go to.
    closed = table.find("desk.example", "/chat/special/1")
    assert isinstance(closed, InvalidRoute)
    assert closed.name == "r-special"
    assert any("r-special" in finding for finding in table.findings)
    for path in ("/chat/1", "/look/1", "/act/1", "/draft/1"):
        assert isinstance(table.find("desk.example", path), Route), path


def test_what_a_configuration_may_leave_out_may_be_null() -> None:
    nulls = dict.fromkeys(
        ("slo_ms", "priority", "attempts", "retained", "retention_s", "resumable", "gap_slo_ms")
    )
    table = READER.read_configuration(odd_route(0, split=None, **nulls))
    route = table.find("desk.example", "/chat/1")
    assert isinstance(route, Route), table.findings
    assert (route.urgency, route.retains_turns, route.is_resumable) == (5, False, False)
    assert (route.latency_objective_s, route.max_endpoints, route.max_event_gap_s) == (5.0, 1, None)
    services = [{"name": "llm", "max_conns": None, "engine_kind": None}, {"name": "app"}]
    table = READER.read_configuration(odd_configuration(services=services, limits=None))
    assert (table.findings, set(table.services_by_name)) == ((), {"llm", "app"})


def test_a_kind_of_route_that_is_not_known_runs_once_at_most() -> None:
    table = READER.read_configuration(odd_route(0, route_kind="sideways", of_tomorrow=[1]))
    route = table.find("desk.example", "/chat/1")
    assert isinstance(route, Route)
    assert route.kind is RouteKind.AT_MOST_ONCE
    assert not route.may_repeat
    assert any("sideways" in finding for finding in table.findings)


@pytest.mark.parametrize(
    "service",
    [
        {"name": "llm", "max_conns": "many"},
        {"name": "llm", "engine_kind": [1]},
        {"name": "llm", "engine_kind": "fast"},
        {"name": "llm", "engine_kind": {"slots": 64}},
        {"name": "llm", "engine_kind": {"slots": 1, "kv_capacity": 1, "chunk_tokens": 0}},
    ],
)
def test_an_odd_service_closes_the_routes_to_it_alone(service: dict[str, Any]) -> None:
    services = [service, {"name": "app", "max_conns": 110}]
    table = READER.read_configuration(odd_configuration(services=services))
    assert isinstance(table.find("desk.example", "/chat/1"), InvalidRoute)
    assert isinstance(table.find("desk.example", "/act/1"), Route)
    assert "app" in table.services_by_name


@pytest.mark.parametrize("item", ["llm", 5, None, {}, {"name": 5}, {"name": ""}])
def test_a_service_without_a_name_is_passed_over(item: Any) -> None:
    services = [item, *CONFIGURATION["services"]]
    table = READER.read_configuration(odd_configuration(services=services))
    assert set(table.services_by_name) == {"llm", "app"}
    assert table.findings
    assert all(isinstance(route, Route) for route in table.routes)


@pytest.mark.parametrize(
    "limits",
    [5, [1], "none", {"max_body_bytes": "x"}, {"max_body_bytes": -1}, {"max_body_bytes": True}],
)
def test_odd_limits_are_the_usual_ones(limits: Any) -> None:
    table = READER.read_configuration(odd_configuration(limits=limits))
    assert table.limits == RequestLimits()
    assert len(table.findings) == 1
    assert all(isinstance(route, Route) for route in table.routes)


@FUZZ
@given(
    st.binary(max_size=200)
    | JSON.map(orjson.dumps)
    | st.builds(
        lambda fields: odd_configuration(**fields),
        st.dictionaries(st.sampled_from(["version", "routes", "services", "limits"]), JSON),
    )
    | st.builds(
        lambda fields: odd_route(0, **fields),
        st.dictionaries(
            st.sampled_from([*CONFIGURATION["routes"][0], "split", "resumable", "later"]), JSON
        ),
    )
)
def test_any_configuration_is_read_or_reported(value: bytes) -> None:
    try:
        table = READER.read_configuration(value)
    except UnreadableObjectError as error:
        assert error.findings
        return
    for route in table.routes:
        if isinstance(route, Route):
            assert route.timeout_s > 0
            assert route.max_endpoints >= 1
            assert any(share.weight for share in route.shares)
