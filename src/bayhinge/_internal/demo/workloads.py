"""The two workloads of the demonstration, as agents that run against any host."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs

from bayhinge._internal.demo.client import Answered, DemoClient

ROUNDS = 3
DAWN_APPLICANTS = 6


class Account(StrEnum):
    """The client accounts of the demonstration."""

    FUND_DESK = "fund-desk"
    COMPLIANCE_DESK = "compliance-desk"
    BOOKING_DESK = "booking-desk"


def key_of(account: Account) -> str:
    """Returns the key of a demonstration account."""
    return f"key-of-{account}"


@attrs.frozen
class Turn:
    """What a caller said, and the answer that it got."""

    text: str
    answer: str


@attrs.define
class ProgramReport:
    """What a program's caller saw."""

    program: str
    workload: str
    answers: list[Answered] = attrs.field(factory=list)
    turns: list[Turn] = attrs.field(factory=list)
    finished: bool = False
    children: list["ProgramReport"] = attrs.field(factory=list)

    @property
    def refused_not_run(self) -> int:
        """Calls that were refused as not run."""
        return sum(answer.run_state == "not_run" for answer in self.answers)


Agent = Callable[[DemoClient, str], Awaitable[ProgramReport]]


class _Session:
    """A program's calls, numbered in order."""

    def __init__(self, client: DemoClient, report: ProgramReport) -> None:
        self._client = client
        self._report = report
        self._index = 0

    async def think(self, text: str) -> str:
        answered = await self._client.chat(self._report.program, self._index, text)
        self._take(answered)
        if not answered.is_ok:
            return ""
        answer = str(answered.body["choices"][0]["message"]["content"])
        self._report.turns.append(Turn(text, answer))
        return answer

    async def look_up(self, service: str, what: str) -> None:
        path = f"/lookup/{what}"
        program = self._report.program
        self._take(await self._client.service(program, self._index, "GET", service, path))

    async def act(self, service: str, reference: str) -> None:
        program = self._report.program
        self._take(
            await self._client.service(
                program, self._index, "POST", service, f"/act/{reference}", key=reference
            )
        )

    def _take(self, answered: Answered) -> None:
        self._report.answers.append(answered)
        if answered.is_ok or answered.run_state != "not_run":
            self._index += 1


async def value_fund(client: DemoClient, name: str) -> ProgramReport:
    """NAVDesk: looks prices up, thinks between, and submits once."""
    report = ProgramReport(await client.open(), "navdesk")
    session = _Session(client, report)
    await session.think(f"You guide the net asset value submission of fund {name}.")
    for number in range(ROUNDS):
        await session.look_up("prices", f"{name}/bond-{number}")
        await session.think(f"The price of bond {number} is on the page. Go on.")
    await session.act("submissions", f"nav-{name}")
    await session.think("The submission is in. Sum up.")
    report.finished = (await client.end(report.program)).is_ok
    return report


async def review_exceptions(client: DemoClient, name: str) -> ProgramReport:
    """NAVDesk: a longer review, with a sub-agent for the circulars."""
    report = ProgramReport(await client.open(), "navdesk")
    session = _Session(client, report)
    await session.think(f"You review the pricing exceptions of {name}.")
    helper = ProgramReport(await client.open(parent=report.program), "navdesk")
    report.children.append(helper)
    sub_agent = _Session(client, helper)
    await sub_agent.look_up("prices", "circulars/2026-11")
    finding = await sub_agent.think("Summarize the circular.")
    helper.finished = (await client.end(helper.program)).is_ok
    for number in range(ROUNDS + 2):
        await session.think(f"Exception {number}. The circular says: {finding[:40]}")
    report.finished = (await client.end(report.program)).is_ok and helper.finished
    return report


async def book_slot(client: DemoClient, name: str) -> ProgramReport:
    """Booking Desk: at dawn, many at once look the same page up and pay once each."""
    report = ProgramReport(await client.open(), "booking")
    session = _Session(client, report)
    await session.think("You secure embassy appointment slots. The release is at dawn.")
    for number in range(ROUNDS):
        await session.look_up("slots", f"accra/{number}")
        await session.think(f"Slot page {number} is read. Choose for {name}.")
    await session.act("payments", f"pay-{name}")
    await session.think("The payment is made. Confirm to the applicant.")
    report.finished = (await client.end(report.program)).is_ok
    return report


async def run_all(
    client_of: Callable[[Account], DemoClient], on_progress: Callable[[int], None]
) -> list[ProgramReport]:
    """Runs every program of both workloads at once.

    Args:
        client_of: gives the client of an account.
        on_progress: is told how many programs have ended.
    """
    jobs: list[tuple[Account, Agent, str]] = [
        (Account.FUND_DESK, value_fund, "karachi-income"),
        (Account.FUND_DESK, value_fund, "indus-growth"),
        (Account.COMPLIANCE_DESK, review_exceptions, "board-pack"),
    ]
    jobs.extend(
        (Account.BOOKING_DESK, book_slot, f"applicant-{number}")
        for number in range(DAWN_APPLICANTS)
    )
    ended = 0

    async def one(account: Account, agent: Agent, name: str) -> ProgramReport:
        nonlocal ended
        report = await agent(client_of(account), name)
        ended += 1
        on_progress(ended)
        return report

    return list(await asyncio.gather(*(one(*job) for job in jobs)))
