"""The callers' and operators' HTTP interface, over real loopback sockets."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import aiohttp
import attrs
import pytest

from bayhinge._internal.demo.run import configure
from bayhinge._internal.demo.workloads import Account, key_of
from bayhinge._internal.demo.world import OPERATOR_KEY, World, WorldShape
from bayhinge_standins.engine import answer_text

pytestmark = pytest.mark.functional
SHAPE = WorldShape(("hall-1", "hall-2"), hosts=2, services=("prices", "submissions"))
OTHER_KEY = key_of(Account.BOOKING_DESK)
QUESTION: dict[str, Any] = {
    "model": "agent-llm",
    "messages": [{"role": "user", "content": "hello"}],
}


@attrs.define
class Caller:
    """A caller with a key, and the two hosts' addresses."""

    world: World
    session: aiohttp.ClientSession
    key: str = key_of(Account.FUND_DESK)

    @property
    def addresses(self) -> list[str]:
        return [host.base_url for host in self.world.hosts]

    async def send(
        self, method: str, path: str, body: Any = None, at: int = 0, **headers: Any
    ) -> "Received":
        data = json.dumps(body) if isinstance(body, dict) else body
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        names.setdefault("Authorization", f"Bearer {self.key}")
        async with self.session.request(
            method, self.addresses[at] + path, data=data, headers=names
        ) as response:
            return Received(response.status, await response.read(), dict(response.headers))

    async def open(self) -> str:
        return str((await self.send("POST", "/v1/programs")).json["id"])


@attrs.frozen
class Received:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> Any:
        return self.json["error"]

    def events(self) -> Iterator[Any]:
        for line in self.body.split(b"\n"):
            if line.startswith(b"data: {"):
                yield json.loads(line[len(b"data: ") :])

    @property
    def text(self) -> str:
        chunks = [event for event in self.events() if event["choices"]]
        return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


def run_with_caller(scenario: Callable[[Caller], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World(SHAPE)
        await world.start()
        try:
            await configure(world)
            async with aiohttp.ClientSession() as session:
                await scenario(Caller(world, session))
        finally:
            await world.stop()

    asyncio.run(main())


def test_an_ordinary_client_needs_only_a_base_url_and_a_key() -> None:
    async def scenario(caller: Caller) -> None:
        answered = await caller.send("POST", "/v1/chat/completions", QUESTION)
        assert answered.status == 200
        expected = answer_text(QUESTION["messages"], 24)
        assert answered.json["choices"][0]["message"]["content"] == expected
        assert answered.json["usage"]["completion_tokens"] == 24
        streamed = await caller.send("POST", "/v1/chat/completions", {**QUESTION, "stream": True})
        assert streamed.headers["Content-Type"].startswith("text/event-stream")
        assert streamed.text == expected
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        models = await caller.send("GET", "/v1/models")
        assert [item["id"] for item in models.json["data"]] == ["agent-llm"]
        # Each of these calls was its own program, which has ended.
        await asyncio.sleep(0.2)
        assert all(host.parts.registry.live_count == 0 for host in caller.world.hosts)

    run_with_caller(scenario)


def test_any_host_accepts_any_call_and_a_stream_resumes_at_its_offset() -> None:
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        headers: dict[str, Any] = {"Bayhinge_Program": program, "Bayhinge_Call": "0"}
        body = {**QUESTION, "stream": True}
        whole = await caller.send("POST", "/v1/chat/completions", body, at=1, **headers)
        resumed = await caller.send(
            "POST", "/v1/chat/completions", body, at=0, Last_Event_ID="10", **headers
        )
        assert resumed.text == whole.text[10:]
        collected = await caller.send("GET", f"/v1/programs/{program}/calls/0", at=1)
        assert collected.json["choices"][0]["message"]["content"] == whole.text
        tail = await caller.send(
            "GET",
            f"/v1/programs/{program}/calls/0",
            Accept="text/event-stream",
            Last_Event_ID="30",
        )
        assert tail.text == whole.text[30:]
        # One engine request: the rest came from the record.
        records = [record for engine in caller.world.engines for record in engine.records]
        assert len([record for record in records if record.program == program]) == 1

    run_with_caller(scenario)


def test_whole_message_lists_extend_the_history_or_are_refused() -> None:
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        first = await caller.send(
            "POST", "/v1/chat/completions", QUESTION, Bayhinge_Program=program, Bayhinge_Call="0"
        )
        answer = first.json["choices"][0]["message"]
        longer = [
            *QUESTION["messages"],
            {**answer, "refusal": None},
            {"role": "user", "content": "x"},
        ]
        second = await caller.send(
            "POST",
            "/v1/chat/completions",
            {**QUESTION, "messages": longer},
            at=1,
            Bayhinge_Program=program,
            Bayhinge_Call="1",
        )
        assert second.status == 200, second.body
        other = [{"role": "user", "content": "something else"}]
        refused = await caller.send(
            "POST",
            "/v1/chat/completions",
            {**QUESTION, "messages": other},
            Bayhinge_Program=program,
            Bayhinge_Call="2",
        )
        assert refused.status == 409
        assert refused.error["code"] == "history_differs"
        assert refused.error["run_state"] == "not_run"
        rewritten = await caller.send(
            "POST",
            "/v1/chat/completions",
            {**QUESTION, "messages": other},
            Bayhinge_Program=program,
            Bayhinge_Call="2",
            Bayhinge_Messages="rewrite",
        )
        assert rewritten.status == 200

    run_with_caller(scenario)


def test_bad_requests_get_a_clear_error_and_nothing_is_lost() -> None:
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        own: dict[str, Any] = {"Bayhinge_Program": program}
        chat = "/v1/chat/completions"
        cases = [
            (await caller.send("POST", chat, b"{not json", **own), 400, "bad_request"),
            (await caller.send("POST", chat, b"[]", **own), 400, "bad_request"),
            (await caller.send("POST", chat, {"model": "agent-llm"}, **own), 400, "bad_request"),
            (await caller.send("POST", chat, {**QUESTION, "n": 2}, **own), 400, "bad_request"),
            (
                await caller.send("POST", chat, QUESTION, Bayhinge_Call="minus one", **own),
                400,
                "bad_request",
            ),
            (
                await caller.send("POST", chat, QUESTION, Bayhinge_Patience="soon", **own),
                400,
                "bad_request",
            ),
            (
                await caller.send("POST", chat, QUESTION, Bayhinge_Program="no program"),
                400,
                "bad_request",
            ),
            (
                await caller.send("POST", chat, QUESTION, Bayhinge_Call="99", **own),
                409,
                "index_gap",
            ),
            (await caller.send("POST", chat, {**QUESTION, "model": "x"}, **own), 403, "forbidden"),
            (await caller.send("POST", chat, b"x" * 17_000_000, **own), 413, "too_large"),
            (await caller.send("GET", f"/v1/programs/{program}/calls/7"), 404, "not_recorded"),
            (
                await caller.send("POST", chat, QUESTION, Authorization="Bearer nobody"),
                401,
                "unauthorized",
            ),
            (
                await caller.send("POST", chat, QUESTION, Bayhinge_Account="booking-desk", **own),
                403,
                "forbidden",
            ),
            (
                await caller.send(
                    "POST", chat, QUESTION, Authorization=f"Bearer {OTHER_KEY}", **own
                ),
                404,
                "unknown_program",
            ),
        ]
        for received, status, code in cases:
            assert (received.status, received.error["code"]) == (status, code), received.body
            assert received.error["run_state"] == "not_run"
        answered = await caller.send("POST", chat, QUESTION, Bayhinge_Call="0", **own)
        assert answered.status == 200

    run_with_caller(scenario)


def test_a_truncated_body_does_not_affect_other_requests() -> None:
    async def scenario(caller: Caller) -> None:
        host, port = caller.addresses[0].removeprefix("http://").split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {caller.key}"
        )
        writer.write(f"{head}\r\nContent-Length: 1000\r\n\r\n{{".encode())
        await writer.drain()
        writer.close()
        answered = await caller.send("POST", "/v1/chat/completions", QUESTION)
        assert answered.status == 200

    run_with_caller(scenario)


def test_a_caller_may_forbid_a_repeat_and_never_allow_one() -> None:
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        for tool in caller.world.tools_by_service["submissions"]:
            tool.faults.die_after_acting = True
        refused = await caller.send(
            "POST",
            "/v1/services/submissions/act/nav",
            Bayhinge_Program=program,
            Bayhinge_Repeatable="yes",
        )
        assert refused.status == 502
        assert refused.error["run_state"] == "may_have_run"
        assert refused.headers["Bayhinge-Run-State"] == "may_have_run"
        assert caller.world.tools_by_service["submissions"][0].record.effects["nav"] == 1

    run_with_caller(scenario)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_an_action_whose_connection_breaks_is_not_retried_by_the_http_library(method: str) -> None:
    # The HTTP library retries PUT and DELETE by itself when a connection breaks.
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        for tool in caller.world.tools_by_service["submissions"]:
            tool.faults.die_after_acting = True
        refused = await caller.send(
            method, "/v1/services/submissions/act/nav", Bayhinge_Program=program
        )
        assert refused.error["run_state"] == "may_have_run"
        assert caller.world.tools_by_service["submissions"][0].record.effects["nav"] == 1

    run_with_caller(scenario)


def test_addresses_list_the_owner_first_and_have_a_time_to_live() -> None:
    async def scenario(caller: Caller) -> None:
        program = await caller.open()
        for at in (0, 1):
            view = (await caller.send("GET", f"/v1/addresses?program={program}", at=at)).json
            assert view["addresses"][0] == view["owner"] == caller.addresses[0]
            assert sorted(view["addresses"]) == sorted(caller.addresses)
            assert view["keep_s"] == 0.5

    run_with_caller(scenario)


def test_operators_calls_need_an_operators_key() -> None:
    async def scenario(caller: Caller) -> None:
        for path in ("hosts", "programs", "events", "stats", "config-status"):
            refused = await caller.send("GET", f"/v1/operator/{path}")
            assert refused.status == 401
            allowed = await caller.send(
                "GET", f"/v1/operator/{path}", Authorization=f"Bearer {OPERATOR_KEY}"
            )
            assert allowed.status == 200
            assert isinstance(allowed.json, list)
        metrics = await caller.send("GET", "/metrics")
        assert b"# TYPE bayhinge_programs gauge" in metrics.body

    run_with_caller(scenario)


def test_concurrent_edits_conflict_and_return_the_winning_text() -> None:
    async def scenario(caller: Caller) -> None:
        headers: dict[str, Any] = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        path = "/v1/operator/config/template/navdesk"
        found = await caller.send(
            "GET", "/v1/operator/config?kind=template&name=navdesk", **headers
        )
        base = str(found.json[0]["revision"])
        texts = [f"[template]\nmodels = agent-llm\npriority = {number}\n" for number in (3, 4)]
        results = await asyncio.gather(
            *(
                caller.send("PUT", path, text.encode(), at=at, If_Match=base, **headers)
                for at, text in enumerate(texts)
            )
        )
        assert sorted(item.status for item in results) == [200, 409]
        winner = next(number for number, item in enumerate(results) if item.status == 200)
        loser = results[1 - winner]
        assert loser.json["current_text"] == texts[winner]
        bad = b"[template]\nprioritty = 3\npatience_seconds = never\n"
        refused = await caller.send("PUT", path, bad, **headers)
        assert refused.status == 422
        assert [(item["line"], item["key"]) for item in refused.json["findings"]] == [
            (2, "prioritty"),
            (3, "patience_seconds"),
        ]

    run_with_caller(scenario)
