"""``bayhinge bench path``: latency and processor time that a host adds to a call.

The same calls go to an engine directly and through a host, in one run over loopback sockets.
Both sides share one process, so the host's processor time is the difference of the two.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from time import process_time

import aiohttp
import attrs
import orjson

from bayhinge._internal.bench.decisions.report import percentile
from bayhinge._internal.demo.world import MODEL, OPERATOR_KEY, World, WorldShape
from bayhinge._internal.models.account_keys import hash_key
from bayhinge_standins.engine import EngineSpeed

CALLS_PER_SECOND = 50.0
NODE_REQUESTS_S = 4200 / 350
NODE_TOKENS_S = 1_300_000 / 350
TOKEN_S = 0.015
FEW_TOKENS = 10
MANY_TOKENS = 60
QUICK_CALLS = 250
FULL_CALLS = 1000
KEY = "key-of-the-bench"
SPEED = EngineSpeed(step_base_s=TOKEN_S, step_per_sequence_s=0.0, default_max_tokens=100)


@attrs.frozen
class PathFigures:
    """What ``bayhinge bench path`` prints.

    Attributes:
        direct_first_token_p95_ms: time to the first token, straight from the engine.
        added_first_token_p50_ms: what a host adds to the median.
        added_first_token_p95_ms_at_50: what a host adds to the 95th percentile, at 50 calls/s.
        added_per_token_p95_ms_at_50: the same for the time between tokens.
        cpu_us_per_call: processor time that a host adds to a call.
        cpu_us_per_token: processor time that a host adds to each token.
        core_share_at_node_load: share of a core at 12 requests and 3,714 tokens a second.
    """

    direct_first_token_p95_ms: float
    added_first_token_p50_ms: float
    added_first_token_p95_ms_at_50: float
    added_per_token_p95_ms_at_50: float
    cpu_us_per_call: float
    cpu_us_per_token: float
    core_share_at_node_load: float


@attrs.define
class _Samples:
    first_token_ms: list[float] = attrs.field(factory=list)
    token_gap_ms: list[float] = attrs.field(factory=list)
    cpu_s: float = 0.0


Call = Callable[[aiohttp.ClientSession, int, int, _Samples], Coroutine[None, None, None]]


def run(quick: bool) -> PathFigures:
    """Runs the bench."""
    return asyncio.run(_run(QUICK_CALLS if quick else FULL_CALLS))


async def _run(calls: int) -> PathFigures:
    world = World(WorldShape(("hall-1",), hosts=2, engines=4, speed=SPEED, writes_per_second=8.0))
    await world.start()
    try:
        await _configure(world)
        direct, proxied = _direct_call(world), _proxied_call(world)
        # Warm-up: opens connections and fills caches.
        await _drive(proxied, 20, FEW_TOKENS)
        few_tokens = [await _drive(call, calls, FEW_TOKENS) for call in (direct, proxied)]
        many_tokens = [await _drive(call, calls, MANY_TOKENS) for call in (direct, proxied)]
    finally:
        await world.stop()
    return _figures(calls, few_tokens, many_tokens)


def _figures(calls: int, few_tokens: list[_Samples], many_tokens: list[_Samples]) -> PathFigures:
    added_few = few_tokens[1].cpu_s - few_tokens[0].cpu_s
    added_many = many_tokens[1].cpu_s - many_tokens[0].cpu_s
    per_token = max(0.0, added_many - added_few) / (calls * (MANY_TOKENS - FEW_TOKENS))
    per_call = max(0.0, added_few / calls - per_token * FEW_TOKENS)
    direct, proxied = many_tokens
    return PathFigures(
        direct_first_token_p95_ms=round(_percentile(direct.first_token_ms, 95), 2),
        added_first_token_p50_ms=round(
            _percentile(proxied.first_token_ms, 50) - _percentile(direct.first_token_ms, 50), 2
        ),
        added_first_token_p95_ms_at_50=round(
            _percentile(proxied.first_token_ms, 95) - _percentile(direct.first_token_ms, 95), 2
        ),
        added_per_token_p95_ms_at_50=round(
            _percentile(proxied.token_gap_ms, 95) - _percentile(direct.token_gap_ms, 95), 2
        ),
        cpu_us_per_call=round(per_call * 1e6, 1),
        cpu_us_per_token=round(per_token * 1e6, 1),
        core_share_at_node_load=round(per_call * NODE_REQUESTS_S + per_token * NODE_TOKENS_S, 4),
    )


def _percentile(values: list[float], percent: float) -> float:
    return percentile(sorted(values), percent)


async def _drive(call: Call, calls: int, tokens: int) -> _Samples:
    samples = _Samples()
    rng = random.Random(tokens)
    began = process_time()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks: list[asyncio.Task[None]] = []
        for number in range(calls):
            tasks.append(asyncio.create_task(call(session, number, tokens, samples)))
            await asyncio.sleep(rng.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*tasks)
    samples.cpu_s = process_time() - began
    return samples


def _direct_call(world: World) -> Call:
    async def call(
        session: aiohttp.ClientSession, number: int, tokens: int, samples: _Samples
    ) -> None:
        engine = world.engines[number % len(world.engines)]
        await _read_stream(session, engine.base_url, {}, number, tokens, samples)

    return call


def _proxied_call(world: World) -> Call:
    async def call(
        session: aiohttp.ClientSession, number: int, tokens: int, samples: _Samples
    ) -> None:
        host = world.hosts[number % len(world.hosts)]
        headers = {"Authorization": f"Bearer {KEY}"}
        await _read_stream(session, host.base_url, headers, number, tokens, samples)

    return call


async def _read_stream(
    session: aiohttp.ClientSession,
    base_url: str,
    headers: dict[str, str],
    number: int,
    tokens: int,
    samples: _Samples,
) -> None:
    content = f"question {number} of {tokens}"
    body = orjson.dumps(
        {
            "model": MODEL,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}],
        }
    )
    loop = asyncio.get_running_loop()
    last = loop.time()
    first = True
    async with session.post(
        f"{base_url}/v1/chat/completions", data=body, headers=headers
    ) as response:
        response.raise_for_status()
        async for line in response.content:
            if b'"content"' not in line:
                continue
            now = loop.time()
            (samples.first_token_ms if first else samples.token_gap_ms).append((now - last) * 1000)
            first, last = False, now


async def _configure(world: World) -> None:
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    base = f"{world.hosts[0].base_url}/v1/operator/config"
    template = f"[template]\nmodels = {MODEL}\nbudget_tokens = 1000000000\nmax_programs = 100000\n"
    account = f"[account]\ntemplate = bench\nkey_sha256 = {hash_key(KEY)}\n"
    async with aiohttp.ClientSession(headers=headers) as session:
        for path, text in (("template/bench", template), ("account/bench", account)):
            async with session.put(f"{base}/{path}", data=text) as response:
                response.raise_for_status()
    for host in world.hosts:
        while host.parts.feed.revision < 2:
            await asyncio.sleep(0.05)
