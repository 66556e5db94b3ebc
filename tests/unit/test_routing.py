"""Which route a request takes."""

import time

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.models.routing import (
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
)

names = st.text("ab", min_size=1, max_size=2)
prefixes = st.lists(names, max_size=3).map(lambda parts: "/" + "".join(f"{p}/" for p in parts))
paths = st.lists(names, max_size=4).map(lambda parts: "/" + "/".join(parts))


def route(host: str, prefix: str, name: str = "") -> Route:
    shares = (ServiceShare("app", 1),)
    return Route(name or host + prefix, host, prefix, RouteKind.IDEMPOTENT, shares, 1, 1, 0, 1)


def table(*routes: Route) -> RoutingTable:
    return RoutingTable(1, routes, {}, RequestLimits())


@given(st.lists(st.tuples(st.sampled_from("hg"), prefixes), max_size=8), paths)
def test_the_longest_prefix_of_the_host_wins(places: list[tuple[str, str]], path: str) -> None:
    routes = [route(host, prefix) for host, prefix in places]
    matching = [one for one in routes if one.host == "h" and path.startswith(one.path_prefix)]
    longest = max(matching, key=lambda one: len(one.path_prefix), default=None)
    assert table(*routes).find("h", path) == longest


def test_of_two_routes_with_the_same_prefix_the_first_wins() -> None:
    found = table(route("h", "/a/", "first"), route("h", "/a/", "second")).find("h", "/a/x")
    assert found is not None
    assert found.name == "first"


def test_lookup_time_does_not_grow_with_the_number_of_routes() -> None:
    many = table(*(route("h", f"/r{number}/") for number in range(20_000)))
    began = time.process_time()
    for _ in range(1000):
        assert many.find("h", "/nowhere/x") is None
    # A linear search of 20,000 routes takes over a millisecond.
    assert time.process_time() - began < 0.1


@pytest.mark.parametrize("kind", RouteKind)
@pytest.mark.parametrize("is_resumable", [True, False])
def test_only_what_may_run_twice_is_sent_again(kind: RouteKind, is_resumable: bool) -> None:
    one = attrs.evolve(route("h", "/"), kind=kind, is_resumable=is_resumable)
    assert one.may_repeat == (kind is RouteKind.IDEMPOTENT or is_resumable)
