"""Guards against refusing callers while hosts load: if all start at once, none is left to try."""

import asyncio
import socket
from pathlib import Path

import pytest

from bayhinge._internal.network.routed_front import Exchange, ExchangeHandler, RoutedFront
from bayhinge._internal.platform.early_listening import SETTINGS_VARIABLE, listen_early
from bayhinge._internal.utils.prebound_sockets import PreboundSockets

pytestmark = pytest.mark.functional


class FixedAnswer(ExchangeHandler):
    async def handle(self, exchange: Exchange) -> None:
        await exchange.respond(200, (), b"well come")


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_a_request_sent_before_the_host_can_serve_is_served() -> None:
    async def scenario() -> bytes:
        address = free_address()
        sockets = PreboundSockets()
        sockets.open(address)
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.2)
        front = RoutedFront(address, FixedAnswer(), sockets)
        assert await front.start() == address
        answer = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        await front.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"well come")


def test_the_frontend_and_directory_listen_early_and_readiness_does_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    front, directory, ready = free_address(), free_address(), free_address()
    path = tmp_path / "local.toml"
    path.write_text(
        f'[listen]\nfrontend = "{front}"\ndirectory = "{directory}"\nready = "{ready}"\n'
    )
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    sockets = listen_early()
    prebound = [sockets.take(address) for address in (front, directory, ready)]
    assert [one is not None for one in prebound] == [True, True, False]
    for one in prebound:
        if one is not None:
            one.close()


@pytest.mark.parametrize(
    "text", ["", "listen = 3", "[listen]\nfrontend = 7", '[listen]\nfrontend = "x"', "no toml"]
)
def test_invalid_settings_are_left_to_the_program(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    listen_early().close()
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path))
    listen_early().close()
