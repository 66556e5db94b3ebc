"""Answers of the store and of endpoints are read within a bound."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from bayhinge._internal.utils.http_session import (
    TooLongError,
    failure_reason,
    open_session,
    read_bounded,
)

LIMIT_BYTES = 100_000


def test_a_body_is_read_up_to_the_limit_and_no_further() -> None:
    sent_bytes = 0

    async def serve(request: web.Request) -> web.StreamResponse:
        nonlocal sent_bytes
        if request.path == "/short":
            return web.Response(body=b"a" * LIMIT_BYTES)
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"a" * 10_000)
            sent_bytes += 10_000

    async def main() -> None:
        app = web.Application()
        app.router.add_get("/{path}", serve)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        async with open_session() as session:
            async with session.get(f"{url}/short") as response:
                assert len(await read_bounded(response, LIMIT_BYTES)) == LIMIT_BYTES
            with pytest.raises(TooLongError):
                async with session.get(f"{url}/endless") as response:
                    await read_bounded(response, LIMIT_BYTES)
        await runner.cleanup()

    asyncio.run(main())
    assert sent_bytes < 20_000_000


def test_a_reason_repeats_nothing_of_an_answer() -> None:
    assert failure_reason(aiohttp.ClientPayloadError("400: b'bytes'")) == "ClientPayloadError"
    assert failure_reason(ConnectionResetError("reset")) == "reset"
    assert failure_reason(TimeoutError()) == "TimeoutError"
