"""Runs both demo workloads while one host is killed and another is stopped as planned."""

import asyncio
import random
from collections.abc import Iterator

import aiohttp
import attrs
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.demo.client import DemoClient
from bayhinge._internal.demo.workloads import Account, ProgramReport, key_of, run_all
from bayhinge._internal.demo.world import OPERATOR_KEY, World, WorldShape
from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.events import Event
from bayhinge._internal.queries.sentences import timeline_lines
from bayhinge._internal.services.host import Host
from bayhinge_standins.engine import prompt_parts

SERVICES = ("prices", "submissions", "slots", "payments")
HALLS = ("kc-clifton", "kc-korangi", "kc-saddar")
KILL_AFTER_S = 0.4
STOP_AFTER_S = 0.4
CONFIG_POLL_S = 0.05
TIMELINE_LINES = 60

TEMPLATES = {
    "navdesk": "models = agent-llm\nservices = prices, submissions\nbudget_tokens = 400000\n",
    "booking": "models = agent-llm\nservices = slots, payments\nbudget_tokens = 400000\n",
}
ACCOUNT_TEMPLATE = {
    Account.FUND_DESK: "navdesk",
    Account.COMPLIANCE_DESK: "navdesk",
    Account.BOOKING_DESK: "booking",
}


@attrs.frozen
class DemoResult:
    """Results of the demonstration, counted from the stand-ins' records.

    Attributes:
        run_twice: actions that the services carried out more than once.
        lost_turns: turns that no engine finished with their complete history.
        refused_not_run: calls refused as not run.
    """

    programs: int
    finished: int
    run_twice: int
    lost_turns: int
    refused_not_run: int
    events: int
    killed: str
    stopped: str
    event_list: tuple[Event, ...]

    def to_json(self) -> bytes:
        """Returns the figures as one JSON object."""
        names = ("programs", "finished", "run_twice", "lost_turns", "refused_not_run", "events")
        return orjson.dumps({name: getattr(self, name) for name in names})


async def run_demo(seed: int = 1) -> DemoResult:
    """Runs the demonstration on free loopback ports."""
    # Only the stand-ins and callers are seeded; the order of answers still varies between runs.
    random.seed(seed)
    world = World(WorldShape(HALLS, hosts=3, engines=2, services=SERVICES, seed=seed))
    await world.start()
    clients: dict[Account, DemoClient] = {}
    try:
        await configure(world)
        addresses = [host.base_url for host in world.hosts]
        clients = {account: DemoClient(addresses, key_of(account)) for account in Account}
        reports, killed, stopped = await _run_with_failures(world, clients)
        return _summarize(world, reports, killed, stopped)
    finally:
        for client in clients.values():
            await client.close()
        await world.stop()


async def configure(world: World) -> None:
    """Creates templates and accounts, and waits until all hosts have applied them."""
    revision = await configure_at(world.hosts[0].base_url)
    for host in world.hosts:
        while host.parts.feed.revision < revision:
            await asyncio.sleep(CONFIG_POLL_S)


async def configure_at(base_url: str) -> int:
    """Creates templates and accounts through one host, and returns the last revision."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    base = f"{base_url}/v1/operator/config"
    revision = 0
    async with aiohttp.ClientSession(headers=headers) as session:
        texts = [(f"template/{name}", f"[template]\n{body}") for name, body in TEMPLATES.items()]
        texts.extend(
            (
                f"account/{account}",
                f"[account]\ntemplate = {template}\nkey_sha256 = {hash_key(key_of(account))}\n",
            )
            for account, template in ACCOUNT_TEMPLATE.items()
        )
        for path, text in texts:
            async with session.put(f"{base}/{path}", data=text) as response:
                if response.status != status_codes.HTTP_OK:
                    raise RuntimeError(f"could not configure {path}: {await response.text()}")
                revision = int(orjson.loads(await response.read())["revision"])
    return revision


async def _run_with_failures(
    world: World, clients: dict[Account, DemoClient]
) -> tuple[list[ProgramReport], Host, Host]:
    running = asyncio.create_task(run_all(lambda account: clients[account], lambda ended: None))
    await asyncio.sleep(KILL_AFTER_S)
    killed = _busiest(world.hosts)
    await world.kill_host(killed)
    await world.add_host("entry-4")
    await asyncio.sleep(STOP_AFTER_S)
    stopped = _busiest([host for host in world.hosts if host.name != "entry-4"])
    await world.stop_host(stopped)
    return await running, killed, stopped


def _busiest(hosts: list[Host]) -> Host:
    return max(hosts, key=lambda host: host.parts.registry.live_count)


def _summarize(
    world: World, reports: list[ProgramReport], killed: Host, stopped: Host
) -> DemoResult:
    hosts = [*world.retired, *world.hosts]
    events = sorted(
        (event for host in hosts for event in _events(host)),
        key=lambda event: (event.stamp, event.host),
    )
    records = [tools[0].record for tools in world.tools_by_service.values()]
    return DemoResult(
        programs=len(reports),
        finished=sum(report.finished for report in reports),
        run_twice=sum(record.run_twice for record in records),
        lost_turns=sum(_lost_turns(world, report) for report in reports),
        refused_not_run=sum(report.refused_not_run for report in reports),
        events=len(events),
        killed=killed.name,
        stopped=stopped.name,
        event_list=tuple(events),
    )


def _events(host: Host) -> list[Event]:
    return host.parts.timeline.all()


def _lost_turns(world: World, report: ProgramReport) -> int:
    """Counts turns that no engine finished with their complete history.

    The expected prompt of a turn is built from the caller's messages and answers.
    """
    finished_prompts = {
        (record.program, record.prompt_digest)
        for engine in world.engines
        for record in engine.records
        if record.finished
    }
    messages: list[dict[str, object]] = []
    lost_turns = 0
    for turn in report.turns:
        messages.append({"role": "user", "content": turn.text})
        digest = list(prompt_parts(messages))[-1].digest
        lost_turns += (report.program, digest) not in finished_prompts
        messages.append({"role": "assistant", "content": turn.answer})
    return lost_turns + sum(_lost_turns(world, child) for child in report.children)


def summary_lines(result: DemoResult) -> Iterator[str]:
    """Yields the summary that ``bayhinge demo`` prints."""
    yield "Events of all hosts, in causal order:"
    yield ""
    yield from timeline_lines(result.event_list[:TIMELINE_LINES])
    if result.events > TIMELINE_LINES:
        yield f"... and {result.events - TIMELINE_LINES} more events (see --html)."
    yield ""
    yield f"{result.programs} agent programs ran on 3 hosts, 2 engines and 4 services."
    yield f"Host {result.killed} was killed; {result.stopped} was stopped as planned."
    yield f"{result.finished} of {result.programs} programs finished."
    yield f"Actions that ran twice: {result.run_twice}. Turns lost: {result.lost_turns}."
    yield f"Calls refused as not run: {result.refused_not_run}."
    yield "The figures are counted from the stand-ins' records."
