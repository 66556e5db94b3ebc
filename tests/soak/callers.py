"""Callers that run programs over persistent connections and record the answers."""

import asyncio
import itertools
import random
import time

import aiohttp
import attrs

from tests.soak.accounts import Accounts
from tests.soak.daemons import Daemon
from tests.soak.fatal import FATAL
from tests.soak.ledger import Draft, Ledger, Sent
from tests.soak.stream_check import event_text, split_events

CALL_TIMEOUT_S = 3.0

MAX_TOKENS = 9
"""Tokens of one stream of the stand-in engine, so that an uncounted turn exceeds the budget."""

ATTEMPTS = 6

AT_ONCE = (1, 1, 1, 2, 3)
"""How many attempts of such a request are sent together; not more than endpoints may end."""

FATAL_SHARE = 0.3
"""Share of turns after which a caller sends such a request."""


LONG_TEXT_BYTES = 60_000
"""Part of what the configuration allows, so that chains outgrow one message between hosts."""

LONG_TEXT_SHARE = 0.3

KEPT_TURNS = 40
"""How many of the newest turns callers go on from; far younger than their retention."""


@attrs.frozen
class KeptTurn:
    """A turn that got a whole answer, with what a turn that goes on from it begins with."""

    attempt: str
    history: bytes


@attrs.define
class Callers:
    """Runs programs until ``is_stopping`` is set.

    Some callers stop using a host once they can see that it is leaving; others keep using it,
    and their connections to it, until its process has exited.
    """

    entries: list[Daemon]
    ledger: Ledger
    rng: random.Random
    accounts: Accounts | None = None
    sends_fatal: bool = False
    goes_on_from_others: bool = False
    is_stopping: bool = False
    served_turns: int = 0
    _kept: list[KeptTurn] = attrs.field(factory=list)
    _staying: set[str] = attrs.field(factory=set)
    _key_by_program: dict[str, str] = attrs.field(factory=dict)
    _sequence: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def play(self, name: str, stays: bool) -> None:
        """Runs one program after the other over connections of its own."""
        if stays:
            self._staying.add(name)
        async with aiohttp.ClientSession() as session:
            for number in itertools.count():
                if self.is_stopping:
                    return
                await self._program(session, f"{name}-{number}")

    async def _program(self, session: aiohttp.ClientSession, program: str) -> None:
        budget = self.rng.choice([30, 60, 200, 100_000])
        if self.accounts is not None:
            self._key_by_program[program] = self.accounts.key_of(program)
        self.ledger.budget_by_program[program] = (budget, MAX_TOKENS)
        history, previous = self._beginning()
        for turn in range(self.rng.randint(2, 7)):
            text = f"{program} turn {turn}{self._padding()}\n".encode()
            sent = await self._turn(session, program, text, history, previous, budget)
            if sent is None or self.is_stopping:
                return
            answer_text = event_text(split_events(sent.answer)[0])
            history, previous = history + text + answer_text, sent.attempt
            self._kept = [*self._kept, KeptTurn(previous, history)][-KEPT_TURNS:]
            self.served_turns += 1
            if self.rng.random() < 0.5:
                await asyncio.gather(
                    *(self._draft(session, program, budget) for _ in range(self.rng.randint(1, 4)))
                )
            await asyncio.gather(
                *(self._tool(session, program) for _ in range(self.rng.randint(0, 2)))
            )
            if self.sends_fatal and self.rng.random() < FATAL_SHARE:
                await self._fatal(session, f"{program}-f{turn}")

    def _beginning(self) -> tuple[bytes, str]:
        """Returns the history and the previous turn with which a program begins."""
        if not self.goes_on_from_others or not self._kept or self.rng.random() < 0.4:
            return b"", ""
        kept = self.rng.choice(self._kept)
        return kept.history, kept.attempt

    def _padding(self) -> str:
        if not self.goes_on_from_others or self.rng.random() > LONG_TEXT_SHARE:
            return ""
        return "." * self.rng.randint(1, LONG_TEXT_BYTES)

    async def go_on_from_kept_turns(self) -> list[str]:
        """Goes on from the newest turns, when all hosts are well; returns what failed."""
        problems: list[str] = []
        async with aiohttp.ClientSession() as session:
            for number, kept in enumerate(self._kept):
                program = f"after-{number}"
                self.ledger.budget_by_program[program] = (1000, MAX_TOKENS)
                text = f"{program}\n".encode()
                sent = await self._turn(session, program, text, kept.history, kept.attempt, 1000)
                if sent is None:
                    problems.append(f"{kept.attempt}: a kept turn can't be continued")
        return problems

    async def _turn(
        self,
        session: aiohttp.ClientSession,
        program: str,
        text: bytes,
        history: bytes,
        previous: str,
        budget: int,
    ) -> Sent | None:
        headers = {
            "Bayhinge-Program-Id": program,
            "Bayhinge-Session-Id": program,
            "Bayhinge-Token-Budget": str(budget),
            "Bayhinge-Token-Usage": f"100,{MAX_TOKENS}",
        }
        if previous:
            headers["Bayhinge-Previous-Turn"] = previous
        for _ in range(ATTEMPTS):
            sent = self._new("turn", text, program)
            sent.expected_body = history + text
            sent.previous = previous
            await self._send(session, sent, "/chat/x", headers)
            if sent.status == 200 and sent.is_whole:
                return sent
            if sent.status in {401, 402} or self.is_stopping:
                return None
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return None

    async def _draft(self, session: aiohttp.ClientSession, program: str, budget: int) -> None:
        """Requests a resumable stream, and resumes it after its last event if it breaks."""
        headers = {
            "Bayhinge-Program-Id": program,
            "Bayhinge-Session-Id": program,
            "Bayhinge-Token-Budget": str(budget),
            "Bayhinge-Token-Usage": f"100,{MAX_TOKENS}",
        }
        draft = Draft(program)
        self.ledger.drafts.append(draft)
        for _ in range(ATTEMPTS):
            sent = self._new("draft", f"draft of {program}".encode(), program)
            sent.after = draft.last_event_id
            await self._send(session, sent, "/draft/x", headers)
            draft.add(sent)
            if draft.is_whole or sent.status in {401, 402} or self.is_stopping:
                return
            if draft.event_ids:
                headers["Last-Event-Id"] = str(draft.last_event_id)
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))

    async def _tool(self, session: aiohttp.ClientSession, program: str) -> None:
        kind = self.rng.choice(["act", "look"])
        sent = self._new(kind, f"{kind} of {program}".encode(), program)
        await self._send(session, sent, f"/{kind}/x", {"Bayhinge-Program-Id": program})

    async def _fatal(self, session: aiohttp.ClientSession, program: str) -> None:
        """Repeats a request under which endpoints end, as a stubborn program would."""
        kind = self.rng.choice(["act", "look"])
        for _ in range(ATTEMPTS):
            at_once = self.rng.choice(AT_ONCE)
            await asyncio.gather(
                *(self._fatal_attempt(session, kind, program) for _ in range(at_once))
            )
            if self.is_stopping:
                return
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    async def _fatal_attempt(self, session: aiohttp.ClientSession, kind: str, program: str) -> None:
        sent = self._new(kind, f"{FATAL.decode()} {kind} of {program}".encode(), program)
        await self._send(session, sent, f"/{kind}/x", {"Bayhinge-Program-Id": program})

    def _new(self, kind: str, body: bytes, program: str) -> Sent:
        # Like the platform's callers, avoids hosts that are known to be down.
        stays = program.rpartition("-")[0] in self._staying
        healthy = [
            entry
            for entry in self.entries
            if not entry.is_disrupted and (stays or not entry.is_leaving)
        ] or self.entries
        entry = self.rng.choice(healthy)
        sent = Sent(f"s{next(self._sequence):07d}", kind, entry.name, body, program=program)
        self.ledger.sent_by_attempt[sent.attempt] = sent
        return sent

    async def _send(
        self, session: aiohttp.ClientSession, sent: Sent, path: str, headers: dict[str, str]
    ) -> None:
        entry = next(entry for entry in self.entries if entry.name == sent.at)
        start_count = entry.start_count
        sent.may_lack_answer = entry.is_disrupted
        sent.was_leaving = entry.is_leaving
        sent.key = self._key_by_program.get(sent.program, "")
        sent.sent_s = time.monotonic()
        common_headers = {
            "Host": "desk.example",
            "Bayhinge-Attempt-Id": sent.attempt,
            "Bayhinge-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        if sent.key:
            common_headers["Authorization"] = f"Bearer {sent.key}"
        url = f"http://{entry.ip}:8149{path}"
        chunks: list[bytes] = []
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S + 1.0),
                session.post(url, data=sent.body, headers=common_headers | headers) as response,
            ):
                sent.status = response.status
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
                sent.is_whole = True
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            pass
        sent.answer = b"".join(chunks)
        sent.is_ended = True
        sent.was_leaving = sent.was_leaving or entry.is_leaving
        has_failed = entry.is_disrupted or entry.start_count != start_count
        sent.may_lack_answer = sent.may_lack_answer or (has_failed and not sent.was_leaving)
