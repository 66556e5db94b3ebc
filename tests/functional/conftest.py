"""Step definitions of the scenarios in ``features``, which run in virtual time."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import attrs
import looptime
import pytest
from pytest_bdd import given, parsers, then, when

from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, RunState
from bayhinge._internal.queries.sentences import describe
from bayhinge.coordination.clock import stamp_to_ms
from tests.lib.log_lines import Line, collected_lines

Result = TypeVar("Result")


@pytest.fixture
def lines() -> Iterator[list[Line]]:
    """Log lines written while a test runs."""
    with collected_lines() as found:
        yield found


@attrs.define
class ScenarioContext:
    """A scenario's world and event loop, with programs and calls by their names in the text."""

    loop: asyncio.AbstractEventLoop
    world: World
    programs_by_name: dict[str, str] = attrs.field(factory=dict)
    outcomes_by_call: dict[str, Outcome] = attrs.field(factory=dict)
    pending_by_call: dict[str, "asyncio.Task[Outcome]"] = attrs.field(factory=dict)
    pending_stops: list["asyncio.Task[None]"] = attrs.field(factory=list)

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(work)

    def outcome(self, call: str) -> Outcome:
        if call in self.pending_by_call:
            task = self.pending_by_call.pop(call)
            self.outcomes_by_call[call] = self.run(_wait_for(task))
        return self.outcomes_by_call[call]

    def start(self, call: str, work: Coroutine[Any, Any, Outcome]) -> None:
        self.pending_by_call[call] = self.loop.create_task(work)


async def _wait_for(task: "asyncio.Task[Result]") -> Result:
    return await task


@pytest.fixture
def context() -> Iterator[ScenarioContext]:
    loop = looptime.new_event_loop(start=0.0, idle_step=None, noop_cycles=0)
    asyncio.set_event_loop(loop)

    async def build() -> World:
        return World()

    context = ScenarioContext(loop, loop.run_until_complete(build()))
    yield context
    for task in asyncio.all_tasks(loop):
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()


# ---- given ----


@given(parsers.parse("{hosts:d} hosts and {engines:d} engines"))
def given_hosts(context: ScenarioContext, hosts: int, engines: int) -> None:
    context.run(context.world.start(hosts, engines))


@given(parsers.parse('client account "{name}" with a budget of {tokens:d} tokens'))
def given_account(context: ScenarioContext, name: str, tokens: int) -> None:
    context.run(context.world.create_account(name, tokens))


@given(parsers.parse('client account "{name}" with "{parameter}" set to {value}'))
def given_parameter(context: ScenarioContext, name: str, parameter: str, value: str) -> None:
    context.run(context.world.create_account(name, 1_000_000, f"{parameter} = {value}\n"))


@given(parsers.parse("histories in memory are limited to {size:d} bytes"))
def given_history_limit(context: ScenarioContext, size: int) -> None:
    context.world.history_bytes = size


@given(parsers.parse('program "{name}" of "{account}" opened at {host}'))
@when(parsers.parse('program "{name}" of "{account}" is opened at {host}'))
def open_program(context: ScenarioContext, name: str, account: str, host: str) -> None:
    context.programs_by_name[name] = context.run(context.world.open(account, host))


# ---- when: callers ----


def _start_call(
    context: ScenarioContext, kind: str, program: str, index: int, what: str, host: str
) -> str:
    world, program_id = context.world, context.programs_by_name[program]
    call = f"{program}.{index}"
    if kind == "think":
        context.start(call, world.call_model(program_id, index, what, host))
    elif kind == "act":
        context.start(call, world.call_unrepeatable(program_id, index, what, host))
    else:
        context.start(call, world.call_repeatable(program_id, index, what, host))
    return call


@when(parsers.parse('call {index:d} of "{program}" asks the model "{text}" at {host}'))
def ask_model(context: ScenarioContext, index: int, program: str, text: str, host: str) -> None:
    context.outcome(_start_call(context, "think", program, index, text, host))


@when(parsers.parse('call {index:d} of "{program}" begins to ask the model "{text}" at {host}'))
def begin_asking_model(
    context: ScenarioContext, index: int, program: str, text: str, host: str
) -> None:
    _start_call(context, "think", program, index, text, host)


@when(parsers.parse('call {index:d} of "{program}" submits "{reference}" at {host}'))
def submit(context: ScenarioContext, index: int, program: str, reference: str, host: str) -> None:
    context.outcome(_start_call(context, "act", program, index, reference, host))


@when(parsers.parse('call {index:d} of "{program}" begins to submit "{reference}" at {host}'))
def begin_submit(
    context: ScenarioContext, index: int, program: str, reference: str, host: str
) -> None:
    _start_call(context, "act", program, index, reference, host)


@when(parsers.parse('call {index:d} of "{program}" looks "{what}" up at {host}'))
def look_up(context: ScenarioContext, index: int, program: str, what: str, host: str) -> None:
    context.outcome(_start_call(context, "look", program, index, what, host))


# ---- when: failures ----


@when(parsers.parse("{seconds:g} seconds pass"))
def pass_time(context: ScenarioContext, seconds: float) -> None:
    context.run(asyncio.sleep(seconds))


@when(parsers.parse("{host} is killed"))
def kill_host(context: ScenarioContext, host: str) -> None:
    context.run(context.world.kill(host))


@when(parsers.parse("{host} starts"))
def start_host(context: ScenarioContext, host: str) -> None:
    context.run(context.world.add_host(host))


@when(parsers.parse("{host} begins a planned stop"))
def begin_stop(context: ScenarioContext, host: str) -> None:
    context.pending_stops.append(context.loop.create_task(context.world.stop(host)))


@when("every planned stop has ended")
def end_stops(context: ScenarioContext) -> None:
    for task in context.pending_stops:
        context.run(_wait_for(task))
    context.pending_stops.clear()


@when(parsers.parse("{host} freezes"))
def freeze_host(context: ScenarioContext, host: str) -> None:
    context.world.freeze(host)


@when(parsers.parse("{host} wakes"))
def wake_host(context: ScenarioContext, host: str) -> None:
    context.world.unfreeze(host)


@when(parsers.parse("{one} and {other} are cut off from each other"))
def partition(context: ScenarioContext, one: str, other: str) -> None:
    context.world.network.partitions.add(frozenset({one, other}))


@when("the store becomes unavailable")
def store_becomes_unavailable(context: ScenarioContext) -> None:
    context.world.store_faults.down = True


@when("the store becomes available again")
def store_becomes_available(context: ScenarioContext) -> None:
    context.world.store_faults.down = False


@when(parsers.parse("the store takes {seconds:g} seconds a call"))
def store_slow(context: ScenarioContext, seconds: float) -> None:
    context.world.store_faults.delay_s = seconds


@when(parsers.parse("the store loses the answers of the next {count:d} writes"))
def store_loses_answers(context: ScenarioContext, count: int) -> None:
    context.world.store_faults.lose_answers = count


@when(parsers.parse("the store allows {count:g} writes a second"))
def store_limits_writes(context: ScenarioContext, count: float) -> None:
    context.world.store_faults.writes_per_second = count


@when(parsers.parse('endpoint {name} has the fault "{fault}"'))
def endpoint_fault(context: ScenarioContext, name: str, fault: str) -> None:
    setattr(context.world.faults_of(name), fault.replace(" ", "_"), True)


@when(parsers.parse("endpoint {name} has no fault"))
def endpoint_has_no_fault(context: ScenarioContext, name: str) -> None:
    faults = context.world.faults_of(name)
    for field in ("down", "hang", "die_after_acting", "die_before_acting", "draining"):
        setattr(faults, field, False)


@when(parsers.parse("endpoint {name} breaks its next stream after {count:d} tokens"))
def endpoint_breaks_next_stream(context: ScenarioContext, name: str, count: int) -> None:
    context.world.faults_of(name).break_stream_after = count


@when(parsers.parse("endpoint {name} breaks every stream after {count:d} tokens"))
def endpoint_breaks_every_stream(context: ScenarioContext, name: str, count: int) -> None:
    context.world.faults_of(name).break_stream_after = count
    context.world.faults_of(name).breaks_every_stream = True


@when(parsers.parse("the platform lists endpoint {name} as leaving"))
def endpoint_leaves(context: ScenarioContext, name: str) -> None:
    context.world.endpoints.mark_leaving(name)


@when(parsers.parse('the budget of "{name}" is set to {tokens:d} tokens'))
def set_budget(context: ScenarioContext, name: str, tokens: int) -> None:
    text = f"[account]\ntemplate = standard\nbudget_tokens = {tokens}\n"
    context.run(context.world.configure("account", name, text))
    context.run(asyncio.sleep(4))


@when(parsers.parse('an engine holds memory for "{program}" of a dead owner'))
def hold_memory_for_dead_owner(context: ScenarioContext, program: str) -> None:
    context.world.endpoints.records.held.add(context.programs_by_name[program])


@when(parsers.parse('program "{program}" is ended at {host}'))
def end_program(context: ScenarioContext, program: str, host: str) -> None:
    service = context.world.host(host).host.service
    ended = context.run(service.program_command("end", "", context.programs_by_name[program]))
    assert ended.is_ok()


# ---- then ----


@then(parsers.parse('no engine holds memory for "{program}"'))
def no_memory_is_held(context: ScenarioContext, program: str) -> None:
    assert context.programs_by_name[program] not in context.world.endpoints.records.held


@then(parsers.parse('an engine still holds memory for "{program}"'))
def memory_is_still_held(context: ScenarioContext, program: str) -> None:
    assert context.programs_by_name[program] in context.world.endpoints.records.held


@then(parsers.parse('call {index:d} of "{program}" is answered'))
def is_answered(context: ScenarioContext, index: int, program: str) -> None:
    outcome = context.outcome(f"{program}.{index}")
    assert outcome.is_answer, outcome.refusal


@then(parsers.parse('call {index:d} of "{program}" lost its connection'))
def lost_connection(context: ScenarioContext, index: int, program: str) -> None:
    assert context.outcome(f"{program}.{index}").disconnected


@then(parsers.parse('call {index:d} of "{program}" is refused as {state} with {code}'))
def is_refused(context: ScenarioContext, index: int, program: str, state: str, code: str) -> None:
    refusal = context.outcome(f"{program}.{index}").refusal
    assert refusal is not None
    assert (refusal.run_state, refusal.code) == (RunState(state), RefusalCode(code)), refusal.why


@then(parsers.parse('"{reference}" took effect {count:d} times'))
def took_effect(context: ScenarioContext, reference: str, count: int) -> None:
    assert context.world.endpoints.records.effects[reference] == count


@then(parsers.parse("endpoint {name} got no call after that"))
def no_more_calls(context: ScenarioContext, name: str) -> None:
    before = _calls_at(context, name)
    program = next(iter(context.programs_by_name.values()))
    owner_host = sorted(context.world.hosts_by_name)[0]
    for number in range(6):
        outcome = context.run(
            context.world.call_model(program, None, f"later {number}", owner_host)
        )
        assert outcome.is_answer
    assert _calls_at(context, name) == before


def _calls_at(context: ScenarioContext, name: str) -> int:
    requests = context.world.endpoints.records.engine_requests
    return sum(request.endpoint == name for request in requests)


@then("every guarantee holds")
def guarantees_hold(context: ScenarioContext) -> None:
    assert context.world.find_violations() == []


@then(parsers.parse('nobody took over the programs of "{host}"'))
def not_taken_over(context: ScenarioContext, host: str) -> None:
    adopted = [event for event in context.world.events() if event.what == "journal sealed"]
    assert not any(host in event.why for event in adopted)


@then("no host was declared dead")
def no_host_declared_dead(context: ScenarioContext) -> None:
    sealed = [event for event in context.world.events() if event.what == "journal sealed"]
    assert sealed == []


@then(parsers.parse("at most {seconds:g} seconds have passed since {host} was killed"))
def time_since_kill(context: ScenarioContext, seconds: float, host: str) -> None:
    killed = next(item for item in context.world.all_hosts if item.name == host)
    assert killed.died_at is not None
    assert context.loop.time() - killed.died_at <= seconds


@then("the timeline matches the snapshot")
def timeline_matches_snapshot(context: ScenarioContext, snapshot: Any) -> None:
    events = context.world.events()
    start = stamp_to_ms(events[0].stamp)
    lines = [
        f"{(stamp_to_ms(event.stamp) - start) / 1000:7.3f} {event.host:8} "
        f"{describe(event)} {event.program}".rstrip()
        for event in events
    ]
    assert "\n".join(lines) == snapshot


@when(parsers.parse('{count:d} programs of "{account}" ask the model until they are refused'))
def spend_until_refused(context: ScenarioContext, count: int, account: str) -> None:
    world = context.world

    async def spend(number: int) -> None:
        hosts = sorted(world.hosts_by_name)
        host = hosts[number % len(hosts)]
        program = await world.open(account, host)
        for index in range(60):
            outcome = await world.call_model(program, index, f"{number}/{index}", host)
            if not outcome.is_answer:
                assert outcome.refusal is not None
                assert outcome.refusal.code is RefusalCode.BUDGET_EXCEEDED
                return

    async def spend_concurrently() -> None:
        await asyncio.gather(*(spend(number) for number in range(count)))

    context.run(spend_concurrently())


@when(
    parsers.parse('{count:d} programs of "{account}" ask the model until the budget refuses them')
)
def spend_until_budget_refuses(context: ScenarioContext, count: int, account: str) -> None:
    world = context.world

    async def spend(number: int) -> None:
        hosts = sorted(world.hosts_by_name)
        host = hosts[number % len(hosts)]
        program = await world.open(account, host)
        for attempt in range(60):
            text = f"{number}/{attempt} " + "long " * 160
            outcome = await world.call_model(program, None, text, host)
            refusal = outcome.refusal
            if refusal is not None and refusal.code is RefusalCode.BUDGET_EXCEEDED:
                return
            await asyncio.sleep(1.0)

    async def spend_concurrently() -> None:
        await asyncio.gather(*(spend(number) for number in range(count)))

    context.run(spend_concurrently())


@then(parsers.parse('at most {percent:d} percent of the budget of "{account}" is left'))
def budget_is_nearly_spent(context: ScenarioContext, percent: int, account: str) -> None:
    used = sum(
        tokens
        for program, tokens in context.world.endpoints.records.engine_tokens_by_program.items()
        if context.world.account_by_program[program] == account
    )
    budget = context.world.budget_by_account[account]
    assert used >= budget * (100 - percent) / 100, used


@when(parsers.parse('opening program "{name}" of "{account}" at {host} times out'))
def open_times_out(context: ScenarioContext, name: str, account: str, host: str) -> None:
    async def attempt() -> None:
        async with asyncio.timeout(2):
            await context.world.open(account, host)

    with pytest.raises(TimeoutError):
        context.run(attempt())


@then(parsers.parse('program "{name}" of "{account}" is refused at {host} at once with {code}'))
def open_is_refused(
    context: ScenarioContext, name: str, account: str, host: str, code: str
) -> None:
    before = context.loop.time()
    with pytest.raises(RefusedError) as caught:
        context.run(context.world.open(account, host))
    assert caught.value.refusal.code is RefusalCode(code)
    assert caught.value.refusal.run_state is RunState.NOT_RUN
    assert caught.value.refusal.retry_after_s
    assert context.loop.time() == before
