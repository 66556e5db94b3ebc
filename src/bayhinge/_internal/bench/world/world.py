"""A deployment in virtual time: real hosts with an in-memory store, network and endpoints."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable
from typing import TypeVar

import attrs
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.bench.world.endpoints import (
    ANSWER_TOKENS,
    SimulatedEndpointClient,
    SimulatedEndpointList,
    SimulatedEndpoints,
)
from bayhinge._internal.bench.world.network import Gate, LocalNetwork
from bayhinge._internal.bench.world.virtual_time import LoopClock
from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.calls import (
    AnswerEnd,
    AnswerPart,
    CallKind,
    IncomingCall,
    MessagesMode,
)
from bayhinge._internal.models.events import Event
from bayhinge._internal.models.refusals import Refusal, RefusedError, RunState
from bayhinge._internal.models.settings import (
    ConfigSettings,
    EndpointListSettings,
    HostSettings,
    LimitSettings,
    MembershipSettings,
    OperatorSettings,
    PoolSettings,
    ServiceSettings,
    Settings,
    StoreSettings,
)
from bayhinge._internal.network.front_handler import ConfigEdit
from bayhinge._internal.services.host import Host
from bayhinge._internal.services.host_parts import ExternalDependencies
from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store import Change, Listing, ObjectStore, StoredObject
from bayhinge_standins.engine import answer_text
from bayhinge_standins.faults import EndpointFaults, StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

Answer = TypeVar("Answer")
MODEL = "agent-llm"
HALLS = ("kc-clifton", "kc-korangi", "kc-saddar")
CLOCK_ERRORS_MS = (0, 400, -300, 50, -120, 900, -700, 10)
STORE_TIMEOUT_S = 3.0


class GatedStore(ObjectStore):
    """A host's client for the store: calls block while the host is frozen or dead."""

    def __init__(self, inner: MemoryObjectStore, gate: Gate) -> None:
        self.inner = inner
        self._gate = gate

    async def get(self, key: str) -> StoredObject | None:
        """See :class:`ObjectStore`."""
        await self._gate.pass_through()
        return await self._limit(self.inner.get(key), f"get {key}")

    async def create(self, key: str, value: bytes) -> StoredObject:
        """See :class:`ObjectStore`."""
        await self._gate.pass_through()
        return await self._limit(self.inner.create(key, value), f"create {key}")

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """See :class:`ObjectStore`."""
        await self._gate.pass_through()
        return await self._limit(self.inner.update(key, value, version), f"update {key}")

    async def delete(self, key: str, version: int) -> None:
        """See :class:`ObjectStore`."""
        await self._gate.pass_through()
        await self._limit(self.inner.delete(key, version), f"delete {key}")

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """See :class:`ObjectStore`."""
        await self._gate.pass_through()
        return await self._limit(self.inner.list(prefix, after, limit), f"list {prefix}")

    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """See :class:`ObjectStore`."""
        return self.inner.watch(prefix, after_revision)

    async def _limit(self, call: Awaitable[Answer], what: str) -> Answer:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                answer = await call
        except TimeoutError as error:
            raise StoreUnavailableError(what, "no answer in time") from error
        await self._gate.pass_through()
        return answer


@attrs.define
class Outcome:
    """What a caller received for a call."""

    text: str = ""
    end: AnswerEnd | None = None
    refusal: Refusal | None = None
    disconnected: bool = False

    @property
    def is_answer(self) -> bool:
        """True for a complete answer."""
        return self.end is not None

    @property
    def run_state(self) -> RunState | None:
        """Whether a refused call may have run; None if it was not refused."""
        return None if self.refusal is None else self.refusal.run_state


@attrs.define
class WorldHost:
    """A host with its gate and store client."""

    name: str
    host: Host
    gate: Gate
    store: MemoryObjectStore
    died: asyncio.Event = attrs.field(factory=asyncio.Event)
    died_at: float | None = None


@attrs.define
class CallerTurn:
    """A turn as the caller knows it: its message and the complete answer."""

    text: str
    answer: str


class World:
    """Hosts, store and endpoints, and a record of the callers' calls and answers."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.objects = MemoryObjects()
        self.store_faults = StoreFaults()
        self.network = LocalNetwork()
        self.endpoints = SimulatedEndpoints()
        self.hosts_by_name: dict[str, WorldHost] = {}
        self.all_hosts: list[WorldHost] = []
        self.turns_by_program: dict[str, list[CallerTurn]] = {}
        self.account_by_program: dict[str, str] = {}
        self.budget_by_account: dict[str, int] = {}
        self.not_run_references: set[str] = set()
        self.false_refusals: list[str] = []
        self.answered_references: list[str] = []
        self.membership = MembershipSettings(
            beat_seconds=1.0, dead_after_seconds=3.7, address_keep_seconds=5.0, drain_seconds=60.0
        )
        self.history_bytes = 64_000_000

    # ---- setup ----

    async def start(self, hosts: int, engines: int = 2) -> None:
        """Starts hosts and endpoints, then sleeps for a fixed time to let hosts find each other."""
        for number in range(engines):
            self.endpoints.add(f"engine-{number + 1}", MODEL, HALLS[number % len(HALLS)])
        for service in ("prices", "submissions"):
            for number in range(2):
                self.endpoints.add(f"{service}-{number + 1}", service, HALLS[number])
        for number in range(hosts):
            await self.add_host(f"entry-{number + 1}")
        await asyncio.sleep(2.5)

    async def add_host(self, name: str) -> WorldHost:
        """Starts a host."""
        gate = Gate()
        store = MemoryObjectStore(self.objects, self.store_faults)
        number = len(self.all_hosts)
        outside = ExternalDependencies(
            GatedStore(store, gate),
            SimulatedEndpointList(self.endpoints),
            SimulatedEndpointClient(self.endpoints, gate),
            LoopClock(CLOCK_ERRORS_MS[number % len(CLOCK_ERRORS_MS)]),
            random.Random(self.random.getrandbits(32)).random,
            self.network.network_for(name, gate),
            serves_http=False,
        )
        host = Host(self._settings(name, number), outside)
        await host.start()
        world_host = WorldHost(name, host, gate, store)
        self.hosts_by_name[name] = world_host
        self.all_hosts.append(world_host)
        return world_host

    def _settings(self, name: str, number: int) -> Settings:
        return Settings(
            host=HostSettings(name, HALLS[number % len(HALLS)], f"{name}:8100", f"{name}:8200"),
            store=StoreSettings("http://store", writes_per_second=20.0),
            endpoints=EndpointListSettings("http://list", poll_seconds=1.0),
            operators=OperatorSettings((hash_key("operator"),)),
            membership=self.membership,
            config=ConfigSettings(poll_seconds=2.0, stale_after_seconds=30.0),
            limits=LimitSettings(default_max_tokens=64, history_bytes=self.history_bytes),
            pools_by_name={MODEL: PoolSettings(MODEL, (MODEL,))},
            services_by_name={
                "prices": ServiceSettings("prices", timeout_seconds=4.0),
                "submissions": ServiceSettings("submissions", timeout_seconds=4.0),
            },
        )

    async def create_account(self, name: str, budget: int, extra: str = "") -> None:
        """Creates a client account, and the accounts' template if it is missing."""
        if not any(item.name == "standard" for item in self.any_host().parts.feed.all("template")):
            text = f"[template]\nmodels = {MODEL}\nservices = prices, submissions\n"
            await self.configure("template", "standard", text)
        text = f"[account]\ntemplate = standard\nbudget_tokens = {budget}\n{extra}"
        await self.configure("account", name, text)
        self.budget_by_account[name] = budget
        await asyncio.sleep(5)

    async def configure(self, kind: str, name: str, text: str) -> None:
        """Applies a configuration edit through any host."""
        feed = self.any_host().parts.feed
        base = max((item.revision for item in feed.history(kind, name)), default=0)
        edit = ConfigEdit(kind, name, text, base, "operator")
        answer = await self.any_host().service.edit_config(edit)
        if answer.status != status_codes.HTTP_OK:
            raise ValueError(f"{kind} {name} was refused: {answer.body!r}")

    def any_host(self) -> Host:
        """Returns some living host."""
        return next(iter(self.hosts_by_name.values())).host

    def host(self, name: str) -> WorldHost:
        """Returns a living host."""
        return self.hosts_by_name[name]

    # ---- faults ----

    async def kill(self, name: str) -> None:
        """Kills a host without warning."""
        world_host = self.hosts_by_name.pop(name)
        world_host.died.set()
        world_host.died_at = asyncio.get_running_loop().time()
        world_host.gate.freeze()
        await world_host.host.crash()

    async def stop(self, name: str) -> None:
        """Stops a host as planned."""
        world_host = self.hosts_by_name[name]
        await world_host.host.stop()
        del self.hosts_by_name[name]
        world_host.died.set()

    def freeze(self, name: str) -> None:
        """Freezes a host: its input and output block, while its timers continue."""
        self.host(name).gate.freeze()

    def unfreeze(self, name: str) -> None:
        """Unfreezes a host; its blocked operations then proceed."""
        self.host(name).gate.unfreeze()

    def faults_of(self, endpoint: str) -> EndpointFaults:
        """Returns the mutable faults of an endpoint."""
        return self.endpoints.faults_by_endpoint[endpoint]

    async def close(self) -> None:
        """Kills every host."""
        for name in list(self.hosts_by_name):
            await self.kill(name)

    # ---- callers ----

    async def open(self, account: str, host_name: str, key: str | None = None) -> str:
        """Opens a program."""
        host = self.host(host_name).host
        opened = await host.service.open_program(host.parts.accounts.find(account).ok, None, key)
        if opened.is_error():
            raise RefusedError(opened.error)
        program = str(orjson.loads(opened.ok)["id"])
        self.turns_by_program.setdefault(program, [])
        self.account_by_program[program] = account
        return program

    async def try_open(self, account: str, host_name: str, patience_s: float = 2.0) -> str:
        """Tries to open a program and describes the result."""
        try:
            async with asyncio.timeout(patience_s):
                return f"opened as {await self.open(account, host_name)}"
        except TimeoutError:
            return f"no answer in {patience_s:g} s, because its start can't be recorded"
        except RefusedError as error:
            return f"refused, {error.refusal.run_state}: {error.refusal.why}"

    async def call_model(
        self,
        program: str,
        index: int | None,
        text: str,
        host_name: str,
        patience_s: float = 30.0,
        max_tokens: int = ANSWER_TOKENS,
    ) -> Outcome:
        """Makes a model call that sends only the new message; records the turn if answered."""
        body = orjson.dumps(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": text}],
                "max_tokens": max_tokens,
            }
        )
        incoming = self._incoming(program, index, CallKind.MODEL, MODEL, "POST", "", body)
        incoming = attrs.evolve(incoming, patience_s=patience_s)
        outcome = await self.send(incoming, host_name)
        turns = self.turns_by_program[program]
        # A retry is answered with the same turn's recorded answer.
        if outcome.is_answer and not any(turn.text == text for turn in turns):
            turns.append(CallerTurn(text, outcome.text))
        return outcome

    async def call_unrepeatable(
        self,
        program: str,
        index: int | None,
        reference: str,
        host_name: str,
        patience_s: float = 30.0,
    ) -> Outcome:
        """Makes a call that may not be repeated."""
        path = f"/act/{reference}"
        incoming = self._incoming(program, index, CallKind.SERVICE, "submissions", "POST", path)
        incoming = attrs.evolve(
            incoming, repeatable=False, idempotency_key=reference, patience_s=patience_s
        )
        # A new attempt may run although an earlier one was refused.
        self.not_run_references.discard(reference)
        before = self.endpoints.records.effects[reference]
        outcome = await self.send(incoming, host_name)
        if outcome.run_state is RunState.NOT_RUN:
            self.not_run_references.add(reference)
            if self.endpoints.records.effects[reference] > before:
                self.false_refusals.append(f"{reference} was refused as not run after it ran")
        elif outcome.is_answer:
            self.answered_references.append(reference)
        return outcome

    async def call_repeatable(
        self, program: str, index: int | None, what: str, host_name: str
    ) -> Outcome:
        """Makes a call that may be repeated."""
        path = f"/lookup/{what}"
        return await self.send(
            self._incoming(program, index, CallKind.SERVICE, "prices", "GET", path), host_name
        )

    async def send(self, incoming: IncomingCall, host_name: str) -> Outcome:
        """Sends a call to a host and reads its answer until it ends or the host dies."""
        world_host = self.host(host_name)
        outcome = Outcome()
        reader = asyncio.create_task(self._read_answer(world_host.host, incoming, outcome))
        death = asyncio.create_task(world_host.died.wait())
        await asyncio.wait({reader, death}, return_when=asyncio.FIRST_COMPLETED)
        is_disconnected = world_host.died.is_set() or not reader.done()
        reader.cancel()
        death.cancel()
        await asyncio.gather(reader, death, return_exceptions=True)
        if is_disconnected:
            return Outcome(outcome.text, disconnected=True)
        reader.result()
        return outcome

    async def _read_answer(self, host: Host, incoming: IncomingCall, outcome: Outcome) -> None:
        try:
            async for item in host.service.call(incoming):
                if isinstance(item, AnswerPart):
                    outcome.text += item.text
                else:
                    outcome.end = item
        except RefusedError as error:
            outcome.refusal = error.refusal

    def _incoming(
        self,
        program: str,
        index: int | None,
        kind: CallKind,
        target: str,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> IncomingCall:
        return IncomingCall(
            account=self.account_by_program[program],
            program=program,
            index=index,
            kind=kind,
            target=target,
            http_method=method,
            path=path,
            body=body,
            content_type="application/json",
            patience_s=30.0,
            idempotency_key=None,
            repeatable=True,
            mode=MessagesMode.NEW,
            resume_offset=0,
        )

    # ---- checks of the guarantees, on the endpoints' records ----

    def events(self) -> list[Event]:
        """Returns the events of all hosts, dead ones included, in order of their stamps."""
        found = [event for item in self.all_hosts for event in item.host.parts.timeline.all()]
        return sorted(found, key=lambda event: (event.stamp, event.host))

    def find_violations(self) -> list[str]:
        """Returns a line per violated guarantee; empty if all hold."""
        return [*self._effect_violations(), *self._history_violations(), *self._budget_violations()]

    def _effect_violations(self) -> list[str]:
        effects = self.endpoints.records.effects
        ran_twice = [f"{name} ran {count} times" for name, count in effects.items() if count > 1]
        false_refusals = [
            f"{name} ran but was refused as not run"
            for name in self.not_run_references
            if effects[name]
        ]
        answered_but_never_ran = [
            f"{name} was answered but never ran"
            for name in self.answered_references
            if not effects[name]
        ]
        return [*ran_twice, *self.false_refusals, *false_refusals, *answered_but_never_ran]

    def _history_violations(self) -> list[str]:
        problems: list[str] = []
        requests = self.endpoints.records.engine_requests
        for program, turns in self.turns_by_program.items():
            expected: list[str] = []
            messages: list[dict[str, object]] = []
            for turn in turns:
                expected.append(turn.text)
                messages.append({"role": "user", "content": turn.text})
                prompts = {item.messages for item in requests if item.program == program}
                if tuple(expected) not in prompts:
                    problems.append(f"{program}: no engine got '{turn.text}' with its history")
                if turn.answer != answer_text(messages, ANSWER_TOKENS):
                    problems.append(f"{program}: the answer to '{turn.text}' is incomplete")
                expected.append(turn.answer)
                messages.append({"role": "assistant", "content": turn.answer})
        return problems

    def _budget_violations(self) -> list[str]:
        used: dict[str, int] = {}
        for program, tokens in self.endpoints.records.engine_tokens_by_program.items():
            account = self.account_by_program[program]
            used[account] = used.get(account, 0) + tokens
        return [
            f"{account} used {tokens} of {self.budget_by_account[account]} tokens"
            for account, tokens in used.items()
            if tokens > self.budget_by_account[account]
        ]
