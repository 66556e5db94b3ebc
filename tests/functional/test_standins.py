"""The stand-ins over HTTP: behaviour that other tests rely on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from bayhinge._internal.network.endpoint_client import EndpointTimeouts, HttpEndpointClient
from bayhinge._internal.network.http_store import HttpObjectStore
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
)
from bayhinge_standins.engine import EVENT_LAG_S, EngineServer, EngineSpeed, PriorityLock
from bayhinge_standins.object_api import ObjectApiServer

pytestmark = pytest.mark.functional
SPEED = EngineSpeed(step_base_s=0.002, step_per_sequence_s=0.0)


def with_engine(scenario: Callable[[EngineServer, aiohttp.ClientSession], Awaitable[None]]) -> None:
    async def main() -> None:
        engine = EngineServer("engine-1", "m", SPEED)
        await engine.start()
        async with aiohttp.ClientSession(engine.base_url) as session:
            await scenario(engine, session)
        await engine.stop()

    asyncio.run(main())


def chat(text: str, **more: Any) -> dict[str, Any]:
    return {"model": "m", "messages": [{"role": "user", "content": text}], **more}


def test_the_object_api_keeps_its_contract_over_http() -> None:
    async def main() -> None:
        server = ObjectApiServer()
        await server.start()
        store = HttpObjectStore(server.base_url, timeout_s=1.0)
        made = await store.create("a/1", b"one")
        with pytest.raises(AlreadyExistsError):
            await store.create("a/1", b"other")
        changed = await store.update("a/1", b"two", made.version)
        with pytest.raises(VersionConflictError):
            await store.update("a/1", b"three", made.version)
        assert (await store.get("a/1")) == changed
        assert await store.get("a/2") is None
        for number in range(2, 6):
            await store.create(f"a/{number}", b"x")
        page = await store.list("a/", after="a/2", limit=2)
        assert [item.key for item in page.objects] == ["a/3", "a/4"]
        assert page.more
        seen = []
        async for change in store.watch("a/", page.revision - 1):
            seen.append(change.key)
            if len(seen) == 1:
                await store.create("a/9", b"y")
            if len(seen) == 2:
                break
        assert seen == ["a/5", "a/9"]
        server.store.faults.lose_answers = 1
        with pytest.raises(StoreUnavailableError):
            await store.create("b/1", b"lost answer")
        found = await store.get("b/1")
        assert found is not None
        assert found.value == b"lost answer"
        server.store.faults.writes_per_second = 0
        with pytest.raises(StoreRateLimitedError):
            await store.create("b/2", b"too fast")
        server.store.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await store.get("b/1")
        await store.close()
        await server.stop()

    asyncio.run(main())


def test_an_engine_refuses_an_old_fencing_number_unless_it_ignores_them() -> None:
    async def scenario(engine: EngineServer, session: aiohttp.ClientSession) -> None:
        async def order(fencing: int, role: str) -> int:
            body = {"fencing": fencing, "order": "change_role", "value": role}
            async with session.post("/v1/orders", json=body) as response:
                return response.status

        assert await order(5, "prefill") == 200
        assert await order(4, "decode") == 409
        assert engine.orders.role == "prefill"
        engine.faults.ignore_fencing = True
        assert await order(4, "decode") == 200
        assert engine.orders.role == "decode"

    with_engine(scenario)


def test_cache_events_come_late_and_with_gaps() -> None:
    async def scenario(engine: EngineServer, session: aiohttp.ClientSession) -> None:
        async def events() -> list[Any]:
            async with session.get("/v1/kv/events") as response:
                return list((await response.json())["events"])

        async with session.post("/v1/chat/completions", json=chat("one", max_tokens=1)) as sent:
            await sent.read()
        assert await events() == []
        await asyncio.sleep(EVENT_LAG_S + 0.1)
        assert len(await events()) == 1
        engine.faults.drop_cache_events = 1.0
        async with session.post("/v1/chat/completions", json=chat("two", max_tokens=1)) as sent:
            await sent.read()
        await asyncio.sleep(EVENT_LAG_S + 0.1)
        assert len(await events()) == 1

    with_engine(scenario)


def test_held_memory_is_listed_exported_imported_and_released() -> None:
    async def scenario(engine: EngineServer, session: aiohttp.ClientSession) -> None:
        body = chat("a long enough prompt", program="p", hold=30, max_tokens=1)
        async with session.post("/v1/chat/completions", json=body) as sent:
            await sent.read()
        client = HttpEndpointClient(EndpointTimeouts())
        assert await client.held(engine.base_url) == ["p"]
        async with session.post("/v1/kv/export", json={"program": "p"}) as response:
            exported = await response.json()
        other = EngineServer("engine-2", "m", SPEED)
        await other.start()
        async with session.post(f"{other.base_url}/v1/kv/import", json=exported) as response:
            assert (await response.json())["tokens"] == other.cache.used_tokens > 0
        await other.stop()
        await client.release(engine.base_url, "p")
        assert await client.held(engine.base_url) == []
        await client.close()

    with_engine(scenario)


def test_a_cancelled_request_stops_and_is_marked_in_the_engines_record() -> None:
    async def scenario(engine: EngineServer, session: aiohttp.ClientSession) -> None:
        body = chat("long", request_id="r1", max_tokens=24)
        engine.faults.slow_factor = 20
        async with session.post("/v1/chat/completions", json=body) as response:
            await response.content.readline()
            async with session.delete("/v1/requests/r1") as cancelled:
                assert cancelled.status == 202
            rest = await response.read()
        assert b"[DONE]" not in rest
        assert engine.records[0].cancelled
        assert not engine.records[0].finished

    with_engine(scenario)


def test_the_lock_goes_to_the_highest_priority_first() -> None:
    async def main() -> list[int]:
        lock = PriorityLock()
        order: list[int] = []

        async def one(priority: int) -> None:
            async with lock.hold(priority):
                order.append(priority)
                await asyncio.sleep(0)

        async with lock.hold(0):
            tasks = [asyncio.create_task(one(priority)) for priority in (1, 7, 3, 7)]
            await asyncio.sleep(0)
            tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return order

    assert asyncio.run(main()) == [7, 7, 1]
