"""The platform adapter: decodes the platform's formats, and reports invalid input as findings."""

from pathlib import Path

import orjson
import pytest

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.routed_requests import PromptPart, TurnContext
from bayhinge._internal.models.routing import Route, RouteKind
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from bayhinge._internal.platform.settings_file import read_settings
from tests.lib.odd_objects import ENTRY
from tests.lib.platform_data import CONFIGURATION, settings_text

FORMAT = PlatformCallFormat()
HEADERS = (
    (b"Host", b"Desk.example:80"),
    (b"Bayhinge-Attempt-Id", b"a1"),
    (b"X-Twice", b"1"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"gone"),
    (b"Bayhinge-Deadline-Ms", b"2500"),
    (b"x-twice", b"2"),
    (b"Bayhinge-Kv-Hold", b"stolen"),
    (b"Kv-From", b"10.0.0.1:1/x"),
    (b"Bayhinge-Expect-Instance", b"i-other"),
    (b"Content-Length", b"5"),
    (b"Bayhinge-Program-Id", b"p"),
    (b"Bayhinge-Token-Budget", b"1080"),
    (b"Bayhinge-Token-Usage", b"1840,135"),
    (b"Bayhinge-Previous-Turn", b"a0"),
    (b"Bayhinge-Prompt-Prefix", b"5c:800,91:410"),
)


def test_platform_settings_are_translated(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(settings_text("edge-1", "10.1.0.38"))
    settings = read_settings(path).ok
    assert (settings.host, settings.hall, settings.region) == ("edge-1", "north", "land")
    assert settings.gossip_address == "10.1.0.38:7380"
    assert settings.peer_address == "10.1.0.38:7381"
    assert settings.seeds == ("10.1.0.38", "10.2.0.40")
    assert (settings.grace_s, settings.address_keep_s) == (8.0, 5.0)
    assert settings.store_address == "10.9.1.7:8142"
    assert settings.tolerated_disks == 1


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('node_name = "edge-1"', "", "node_name: the field is missing"),
        ("port_range = [7380,7395]", "port_range = [7380]", "port_range: [7380] is invalid"),
        ("grace_s = 8", 'grace_s = "long"', "[bounds] grace_s: 'long' is invalid"),
        ('address = "10.9.1.7:8142"', "", "[platform] address: the field is missing"),
        ('node_name = "edge-1"', "node_name = 5", "node_name: 5 is invalid"),
        ('node_name = "edge-1"', 'node_name = ""', "node_name: '' is invalid"),
        ("bootstrap = true", 'bootstrap = "false"', "bootstrap: 'false' is invalid"),
        ("bootstrap = true", "bootstrap = 0", "bootstrap: 0 is invalid"),
        ("machines = 1", "machines = true", "[fault_tolerance] machines: True is invalid"),
        ("machines = 1", "machines = 1.7", "[fault_tolerance] machines: 1.7 is invalid"),
        ("machines = 1", "machines = -1", "[fault_tolerance] machines: -1 is invalid"),
        ("grace_s = 8", "grace_s = true", "[bounds] grace_s: True is invalid"),
        ("grace_s = 8", "grace_s = -8", "[bounds] grace_s: -8 is invalid"),
        ("grace_s = 8", "grace_s = nan", "[bounds] grace_s: nan is invalid"),
        ("grace_s = 8", "grace_s = inf", "[bounds] grace_s: inf is invalid"),
        ("port_range = [7380,7395]", 'port_range = "0"', "port_range: '0' is invalid"),
        ("port_range = [7380,7395]", 'port_range = ["7380","7395"]', "port_range: ["),
        ("port_range = [7380,7395]", "port_range = [7395,7380]", "port_range: [7395, 7380]"),
        ("port_range = [7380,7395]", "port_range = [7380,70000]", "port_range: [7380, 70000]"),
        ('ip = "10.1.0.38"', 'ip = "edge-1"', "ip: 'edge-1' is invalid"),
        ('ip = "10.1.0.38"', 'ip = "10.1.0.380"', "ip: '10.1.0.380' is invalid"),
        ('address = "10.9.1.7:8142"', 'address = "10.9.1.7"', "[platform] address: '10.9.1.7'"),
        ('frontend = "10.1.0.38:8149"', "frontend = 8149", "[listen] frontend: 8149"),
        ('frontend = "10.1.0.38:8149"', 'frontend = "10.1.0.38"', "[listen] frontend: '10.1"),
        ('seeds = ["10.1.0.38:8144","10.2.0.40:8144"]', "seeds = [1, 2]", "seeds: [1, 2]"),
        ('north = "land"', "north = 1", "zones: {"),
    ],
)
def test_odd_settings_are_found_with_their_place(
    tmp_path: Path, old: str, new: str, place: str
) -> None:
    path = tmp_path / "local.toml"
    text = settings_text("edge-1", "10.1.0.38")
    assert old in text
    path.write_text(text.replace(old, new))
    findings = [str(finding) for finding in read_settings(path).error]
    assert any(place in finding for finding in findings), findings


def test_a_file_that_is_not_toml_gives_one_finding(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text("node_name = ")
    assert len(read_settings(path).error) == 1


def test_a_request_is_decoded() -> None:
    request = FORMAT.read_request("POST", "/a%2Fb?x=%20", HEADERS)
    assert request is not None
    assert (request.host, request.path, request.attempt) == ("desk.example", "/a%2Fb", "a1")
    assert request.patience_s == 2.5
    assert request.turn == TurnContext("p", 1080, 135, "a0")
    assert request.parts == (PromptPart("5c", 800), PromptPart("91", 410))
    assert FORMAT.read_request("GET", "/", ((b"Host", b"x"),)) is None


def test_headers_that_callers_may_not_set_are_dropped() -> None:
    request = FORMAT.read_request("POST", "/a%2Fb?x=%20", HEADERS)
    assert request is not None
    head = FORMAT.request_head(request, 7, "i-1", 1.25, 3).decode()
    assert head.startswith("POST /a%2Fb?x=%20 HTTP/1.1\r\nHost: Desk.example:80\r\n")
    assert "stolen" not in head
    assert "Kv-From" not in head
    assert "X-Hop: gone" not in head
    assert head.count("Bayhinge-Expect-Instance") == 1
    assert "Bayhinge-Expect-Instance: i-1\r\n" in head
    assert "Bayhinge-Deadline-Ms: 1250\r\n" in head
    assert "Bayhinge-Request-Priority: 3\r\n" in head
    assert "Content-Length: 7\r\n" in head
    assert head.index("X-Twice: 1") < head.index("x-twice: 2")
    assert head.endswith("\r\n\r\n")


def test_answer_metadata_is_read_from_the_headers() -> None:
    metadata = FORMAT.read_answer(
        503,
        "Full",
        (
            (b"bayhinge-attempt-id", b"a1"),
            (b"Bayhinge-Not-Executed", b"1"),
            (b"Keep-Alive", b"max=5, timeout=12"),
        ),
    )
    assert (metadata.attempt, metadata.not_run, metadata.is_signed, metadata.idle_s) == (
        "a1",
        True,
        False,
        12,
    )
    assert FORMAT.read_answer(421, "", ()).wrong_instance
    assert FORMAT.read_answer(200, "OK", ((b"Content-Encoding", b"gzip"),)).is_encoded


def test_heads_of_two_answers_that_came_as_one_are_told() -> None:
    one_id = ((b"Bayhinge-Attempt-Id", b"a1"),)
    assert not FORMAT.read_answer(503, "Full", one_id).is_joined
    assert FORMAT.read_answer(503, "Full", (*one_id, *one_id)).is_joined
    assert FORMAT.read_answer(503, "FHTTP/1.1 200 OK", one_id).is_joined
    assert FORMAT.read_answer(503, "Full", (*one_id, (b"Date", b"FrHTTP/1.1 200 OK"))).is_joined
    assert not FORMAT.read_answer(200, "OK", (*one_id, (b"Via", b"HTTP/1.1 proxy"))).is_joined


def test_a_configuration_is_decoded_with_its_longest_prefix_first() -> None:
    table = PlatformObjectReader().read_configuration(orjson.dumps(CONFIGURATION))
    assert table.version == 7
    turns = table.find("desk.example", "/chat/1")
    assert isinstance(turns, Route)
    assert (turns.kind, turns.retains_turns, turns.max_endpoints) == (RouteKind.STREAMING, True, 2)
    special = table.find("desk.example", "/chat/special/1")
    assert special is not None
    assert special.name == "r-special"
    assert table.find("desk.example", "/nowhere/") is None
    assert table.find("other.example", "/chat/1") is None
    engine = table.services_by_name["llm"].engine
    assert engine is not None
    assert engine.tokens_per_event == 3


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version": "x"}', b'{"version": 1'])
def test_a_configuration_of_unknown_form_is_rejected(value: bytes) -> None:
    with pytest.raises(UnreadableObjectError):
        PlatformObjectReader().read_configuration(value)


def test_an_endpoint_entry_is_decoded() -> None:
    value = orjson.dumps(ENTRY | {"service": "llm", "slots": 4, "state": "draining"})
    entry = PlatformObjectReader().read_endpoint("servers/i-1", value)
    assert (entry.instance, entry.service, entry.slots, entry.is_leaving) == ("i-1", "llm", 4, True)
    with pytest.raises(UnreadableObjectError):
        PlatformObjectReader().read_endpoint("servers/i-1", b'{"service":"llm"}')
