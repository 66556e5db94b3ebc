"""Endpoints of the soak interrupt their streams and restart under the same id."""

import asyncio

import aiohttp
import pytest

from tests.soak.endpoints import Endpoint, start_endpoint
from tests.soak.stream_check import event_id, split_events

pytestmark = pytest.mark.functional


async def read_stream(session: aiohttp.ClientSession, endpoint: Endpoint) -> tuple[bytes, bool]:
    """Returns the received bytes of a stream, and whether it ended cleanly."""
    headers = {"Bayhinge-Attempt-Id": "s1", "Bayhinge-Expect-Instance": "i-llm-1"}
    url = f"http://{endpoint.entry()['address']}/chat/x"
    pieces: list[bytes] = []
    try:
        async with session.post(url, data=b"hello", headers=headers) as response:
            async for piece in response.content.iter_any():
                pieces.append(piece)
    except aiohttp.ClientError:
        return b"".join(pieces), False
    return b"".join(pieces), True


def test_a_restart_interrupts_streams_and_forgets_them() -> None:
    async def scenario() -> None:
        endpoint = await start_endpoint("i-llm-1", "llm")
        engine, address = endpoint.engine, endpoint.entry()["address"]
        engine.faults.pause_s = 0.1
        async with aiohttp.ClientSession() as session:
            reading = asyncio.create_task(read_stream(session, endpoint))
            await asyncio.sleep(0.15)
            before = endpoint.entry()
            await engine.crash()
            answer, is_whole = await reading
            assert not is_whole
            assert 0 < len(split_events(answer)[0]) < engine.events
            await endpoint.start_new_incarnation()
            after = endpoint.entry()
            again, is_whole = await read_stream(session, endpoint)
        assert is_whole
        assert after["address"] == address
        assert (after["seq"], engine.instance) == (1, "i-llm-1")
        assert isinstance(after["born"], int)
        assert isinstance(before["born"], int)
        assert after["born"] > before["born"]
        first, second = split_events(answer)[0], split_events(again)[0]
        assert [event_id(event) for event in second] == [1, 2, 3]
        assert not set(first) & set(second), "each event names the incarnation that made it"
        await endpoint.proxy.stop()
        await engine.stop()

    asyncio.run(scenario())
