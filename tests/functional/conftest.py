"""Steps of the scenarios: a small language over a world in virtual time."""

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
    """What is logged while a test runs."""
    with collected_lines() as found:
        yield found


@attrs.define
class Stage:
    """A scenario's world, its loop, and the calls by the names that the text gives them."""

    loop: asyncio.AbstractEventLoop
    world: World
    programs_by_name: dict[str, str] = attrs.field(factory=dict)
    outcomes_by_call: dict[str, Outcome] = attrs.field(factory=dict)
    pending_by_call: dict[str, "asyncio.Task[Outcome]"] = attrs.field(factory=dict)
    stops: list["asyncio.Task[None]"] = attrs.field(factory=list)

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(work)

    def outcome(self, call: str) -> Outcome:
        if call in self.pending_by_call:
            task = self.pending_by_call.pop(call)
            self.outcomes_by_call[call] = self.run(_await(task))
        return self.outcomes_by_call[call]

    def start(self, call: str, work: Coroutine[Any, Any, Outcome]) -> None:
        self.pending_by_call[call] = self.loop.create_task(work)


async def _await(task: "asyncio.Task[Result]") -> Result:
    return await task


@pytest.fixture
def stage() -> Iterator[Stage]:
    loop = looptime.new_event_loop(start=0.0, idle_step=None, noop_cycles=0)
    asyncio.set_event_loop(loop)

    async def build() -> World:
        return World()

    stage = Stage(loop, loop.run_until_complete(build()))
    yield stage
    for task in asyncio.all_tasks(loop):
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()


# ---- given ----


@given(parsers.parse("{hosts:d} hosts and {engines:d} engines"))
def given_hosts(stage: Stage, hosts: int, engines: int) -> None:
    stage.run(stage.world.start(hosts, engines))


@given(parsers.parse('client account "{name}" with a budget of {tokens:d} tokens'))
def given_account(stage: Stage, name: str, tokens: int) -> None:
    stage.run(stage.world.create_account(name, tokens))


@given(parsers.parse('client account "{name}" with "{parameter}" set to {value}'))
def given_parameter(stage: Stage, name: str, parameter: str, value: str) -> None:
    stage.run(stage.world.create_account(name, 1_000_000, f"{parameter} = {value}\n"))


@given(parsers.parse("histories in memory are limited to {size:d} bytes"))
def given_history_limit(stage: Stage, size: int) -> None:
    stage.world.history_bytes = size


@given(parsers.parse('program "{name}" of "{account}" opened at {host}'))
@when(parsers.parse('program "{name}" of "{account}" is opened at {host}'))
def open_program(stage: Stage, name: str, account: str, host: str) -> None:
    stage.programs_by_name[name] = stage.run(stage.world.open(account, host))


# ---- when: callers ----


def _start_call(stage: Stage, kind: str, program: str, index: int, what: str, host: str) -> str:
    world, program_id = stage.world, stage.programs_by_name[program]
    call = f"{program}.{index}"
    if kind == "think":
        stage.start(call, world.call_model(program_id, index, what, host))
    elif kind == "act":
        stage.start(call, world.call_unrepeatable(program_id, index, what, host))
    else:
        stage.start(call, world.call_repeatable(program_id, index, what, host))
    return call


@when(parsers.parse('call {index:d} of "{program}" asks the model "{text}" at {host}'))
def ask_model(stage: Stage, index: int, program: str, text: str, host: str) -> None:
    stage.outcome(_start_call(stage, "think", program, index, text, host))


@when(parsers.parse('call {index:d} of "{program}" begins to ask the model "{text}" at {host}'))
def begin_model(stage: Stage, index: int, program: str, text: str, host: str) -> None:
    _start_call(stage, "think", program, index, text, host)


@when(parsers.parse('call {index:d} of "{program}" submits "{reference}" at {host}'))
def submit(stage: Stage, index: int, program: str, reference: str, host: str) -> None:
    stage.outcome(_start_call(stage, "act", program, index, reference, host))


@when(parsers.parse('call {index:d} of "{program}" begins to submit "{reference}" at {host}'))
def begin_submit(stage: Stage, index: int, program: str, reference: str, host: str) -> None:
    _start_call(stage, "act", program, index, reference, host)


@when(parsers.parse('call {index:d} of "{program}" looks "{what}" up at {host}'))
def look_up(stage: Stage, index: int, program: str, what: str, host: str) -> None:
    stage.outcome(_start_call(stage, "look", program, index, what, host))


# ---- when: failures ----


@when(parsers.parse("{seconds:g} seconds pass"))
def pass_time(stage: Stage, seconds: float) -> None:
    stage.run(asyncio.sleep(seconds))


@when(parsers.parse("{host} is killed"))
def kill(stage: Stage, host: str) -> None:
    stage.run(stage.world.kill(host))


@when(parsers.parse("{host} starts"))
def start_host(stage: Stage, host: str) -> None:
    stage.run(stage.world.add_host(host))


@when(parsers.parse("{host} begins a planned stop"))
def begin_stop(stage: Stage, host: str) -> None:
    stage.stops.append(stage.loop.create_task(stage.world.stop(host)))


@when("every planned stop has ended")
def end_stops(stage: Stage) -> None:
    for task in stage.stops:
        stage.run(_await(task))
    stage.stops.clear()


@when(parsers.parse("{host} freezes"))
def freeze(stage: Stage, host: str) -> None:
    stage.world.freeze(host)


@when(parsers.parse("{host} wakes"))
def wake(stage: Stage, host: str) -> None:
    stage.world.unfreeze(host)


@when(parsers.parse("{one} and {other} are cut off from each other"))
def cut(stage: Stage, one: str, other: str) -> None:
    stage.world.network.partitions.add(frozenset({one, other}))


@when("the store goes away")
def store_away(stage: Stage) -> None:
    stage.world.store_faults.down = True


@when("the store comes back")
def store_back(stage: Stage) -> None:
    stage.world.store_faults.down = False


@when(parsers.parse("the store takes {seconds:g} seconds a call"))
def store_slow(stage: Stage, seconds: float) -> None:
    stage.world.store_faults.delay_s = seconds


@when(parsers.parse("the store loses the answers of the next {count:d} writes"))
def store_loses(stage: Stage, count: int) -> None:
    stage.world.store_faults.lose_answers = count


@when(parsers.parse("the store allows {count:g} writes a second"))
def store_limits(stage: Stage, count: float) -> None:
    stage.world.store_faults.writes_per_second = count


@when(parsers.parse('endpoint {name} has the fault "{fault}"'))
def endpoint_fault(stage: Stage, name: str, fault: str) -> None:
    setattr(stage.world.faults_of(name), fault.replace(" ", "_"), True)


@when(parsers.parse("endpoint {name} has no fault"))
def endpoint_well(stage: Stage, name: str) -> None:
    faults = stage.world.faults_of(name)
    for field in ("down", "hang", "die_after_acting", "die_before_acting", "draining"):
        setattr(faults, field, False)


@when(parsers.parse("endpoint {name} breaks its next stream after {count:d} tokens"))
def endpoint_breaks(stage: Stage, name: str, count: int) -> None:
    stage.world.faults_of(name).break_stream_after = count


@when(parsers.parse("endpoint {name} breaks every stream after {count:d} tokens"))
def endpoint_breaks_always(stage: Stage, name: str, count: int) -> None:
    stage.world.faults_of(name).break_stream_after = count
    stage.world.faults_of(name).breaks_every_stream = True


@when(parsers.parse("the platform lists endpoint {name} as leaving"))
def endpoint_leaves(stage: Stage, name: str) -> None:
    stage.world.endpoints.mark_leaving(name)


@when(parsers.parse('the budget of "{name}" is set to {tokens:d} tokens'))
def set_budget(stage: Stage, name: str, tokens: int) -> None:
    text = f"[account]\ntemplate = standard\nbudget_tokens = {tokens}\n"
    stage.run(stage.world.configure("account", name, text))
    stage.run(asyncio.sleep(4))


@when(parsers.parse('an engine holds memory for "{program}" of a dead owner'))
def hold_for_dead(stage: Stage, program: str) -> None:
    stage.world.endpoints.records.held.add(stage.programs_by_name[program])


@when(parsers.parse('program "{program}" is ended at {host}'))
def end_program(stage: Stage, program: str, host: str) -> None:
    service = stage.world.host(host).host.service
    ended = stage.run(service.program_command("end", "", stage.programs_by_name[program]))
    assert ended.is_ok()


# ---- then ----


@then(parsers.parse('no engine holds memory for "{program}"'))
def nothing_held(stage: Stage, program: str) -> None:
    assert stage.programs_by_name[program] not in stage.world.endpoints.records.held


@then(parsers.parse('an engine still holds memory for "{program}"'))
def still_held(stage: Stage, program: str) -> None:
    assert stage.programs_by_name[program] in stage.world.endpoints.records.held


@then(parsers.parse('call {index:d} of "{program}" is answered'))
def is_answered(stage: Stage, index: int, program: str) -> None:
    outcome = stage.outcome(f"{program}.{index}")
    assert outcome.is_answer, outcome.refusal


@then(parsers.parse('call {index:d} of "{program}" lost its connection'))
def lost_connection(stage: Stage, index: int, program: str) -> None:
    assert stage.outcome(f"{program}.{index}").disconnected


@then(parsers.parse('call {index:d} of "{program}" is refused as {state} with {code}'))
def is_refused(stage: Stage, index: int, program: str, state: str, code: str) -> None:
    refusal = stage.outcome(f"{program}.{index}").refusal
    assert refusal is not None
    assert (refusal.run_state, refusal.code) == (RunState(state), RefusalCode(code)), refusal.why


@then(parsers.parse('"{reference}" took effect {count:d} times'))
def took_effect(stage: Stage, reference: str, count: int) -> None:
    assert stage.world.endpoints.records.effects[reference] == count


@then(parsers.parse("endpoint {name} got no call after that"))
def no_more_calls(stage: Stage, name: str) -> None:
    before = _calls_at(stage, name)
    program = next(iter(stage.programs_by_name.values()))
    owner_host = sorted(stage.world.hosts_by_name)[0]
    for number in range(6):
        outcome = stage.run(stage.world.call_model(program, None, f"later {number}", owner_host))
        assert outcome.is_answer
    assert _calls_at(stage, name) == before


def _calls_at(stage: Stage, name: str) -> int:
    requests = stage.world.endpoints.records.engine_requests
    return sum(request.endpoint == name for request in requests)


@then("every promise holds")
def promises_hold(stage: Stage) -> None:
    assert stage.world.find_violations() == []


@then(parsers.parse('nobody took over the programs of "{host}"'))
def not_taken_over(stage: Stage, host: str) -> None:
    adopted = [event for event in stage.world.events() if event.what == "journal sealed"]
    assert not any(host in event.why for event in adopted)


@then("nobody was held dead")
def nobody_dead(stage: Stage) -> None:
    sealed = [event for event in stage.world.events() if event.what == "journal sealed"]
    assert sealed == []


@then(parsers.parse("at most {seconds:g} seconds have passed since {host} was killed"))
def takeover_time(stage: Stage, seconds: float, host: str) -> None:
    killed = next(item for item in stage.world.all_hosts if item.name == host)
    assert killed.died_at is not None
    assert stage.loop.time() - killed.died_at <= seconds


@then("the time line is the recorded one")
def golden_timeline(stage: Stage, snapshot: Any) -> None:
    events = stage.world.events()
    start = stamp_to_ms(events[0].stamp)
    lines = [
        f"{(stamp_to_ms(event.stamp) - start) / 1000:7.3f} {event.host:8} "
        f"{describe(event)} {event.program}".rstrip()
        for event in events
    ]
    assert "\n".join(lines) == snapshot


@when(parsers.parse('{count:d} programs of "{account}" ask the model until they are refused'))
def race(stage: Stage, count: int, account: str) -> None:
    world = stage.world

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

    async def all_of_them() -> None:
        await asyncio.gather(*(spend(number) for number in range(count)))

    stage.run(all_of_them())


@when(
    parsers.parse('{count:d} programs of "{account}" ask the model until the budget refuses them')
)
def race_with_failures(stage: Stage, count: int, account: str) -> None:
    world = stage.world

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

    async def all_of_them() -> None:
        await asyncio.gather(*(spend(number) for number in range(count)))

    stage.run(all_of_them())


@then(parsers.parse('at most {percent:d} percent of the budget of "{account}" is left'))
def little_left(stage: Stage, percent: int, account: str) -> None:
    used = sum(
        tokens
        for program, tokens in stage.world.endpoints.records.engine_tokens_by_program.items()
        if stage.world.account_by_program[program] == account
    )
    budget = stage.world.budget_by_account[account]
    assert used >= budget * (100 - percent) / 100, used


@when(parsers.parse('program "{name}" of "{account}" is opened at {host} in vain'))
def open_in_vain(stage: Stage, name: str, account: str, host: str) -> None:
    async def attempt() -> None:
        async with asyncio.timeout(2):
            await stage.world.open(account, host)

    with pytest.raises(TimeoutError):
        stage.run(attempt())


@then(parsers.parse('program "{name}" of "{account}" is refused at {host} at once with {code}'))
def open_refused(stage: Stage, name: str, account: str, host: str, code: str) -> None:
    before = stage.loop.time()
    with pytest.raises(RefusedError) as caught:
        stage.run(stage.world.open(account, host))
    assert caught.value.refusal.code is RefusalCode(code)
    assert caught.value.refusal.run_state is RunState.NOT_RUN
    assert caught.value.refusal.retry_after_s
    assert stage.loop.time() == before
