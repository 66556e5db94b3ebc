"""The agents of the two demo workloads."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs

from bayhinge._internal.demo.client import ApiResponse, DemoClient

ROUNDS = 3
BOOKING_APPLICANTS = 6


class Account(StrEnum):
    """The client accounts of the demonstration."""

    FUND_DESK = "fund-desk"
    COMPLIANCE_DESK = "compliance-desk"
    BOOKING_DESK = "booking-desk"


def key_of(account: Account) -> str:
    """Returns the API key of a demo account."""
    return f"key-of-{account}"


@attrs.frozen
class Turn:
    """A caller's message and the answer to it."""

    text: str
    answer: str


@attrs.define
class ProgramReport:
    """A program as its caller sees it."""

    program: str
    workload: str
    answers: list[ApiResponse] = attrs.field(factory=list)
    turns: list[Turn] = attrs.field(factory=list)
    finished: bool = False
    children: list["ProgramReport"] = attrs.field(factory=list)

    @property
    def refused_not_run(self) -> int:
        """Calls that were refused as not run."""
        return sum(answer.run_state == "not_run" for answer in self.answers)


Agent = Callable[[DemoClient, str], Awaitable[ProgramReport]]


class _Session:
    """Makes a program's calls and numbers them; a call refused as not run keeps its index."""

    def __init__(self, client: DemoClient, report: ProgramReport) -> None:
        self._client = client
        self._report = report
        self._index = 0

    async def call_model(self, text: str) -> str:
        response = await self._client.chat(self._report.program, self._index, text)
        self._record_response(response)
        if not response.is_ok:
            return ""
        answer = str(response.body["choices"][0]["message"]["content"])
        self._report.turns.append(Turn(text, answer))
        return answer

    async def call_repeatable(self, service: str, what: str) -> None:
        path = f"/lookup/{what}"
        program = self._report.program
        self._record_response(
            await self._client.service(program, self._index, "GET", service, path)
        )

    async def call_unrepeatable(self, service: str, reference: str) -> None:
        program = self._report.program
        self._record_response(
            await self._client.service(
                program, self._index, "POST", service, f"/act/{reference}", key=reference
            )
        )

    def _record_response(self, response: ApiResponse) -> None:
        self._report.answers.append(response)
        if response.is_ok or response.run_state != "not_run":
            self._index += 1


async def value_fund(client: DemoClient, name: str) -> ProgramReport:
    """NAVDesk: alternates price lookups and model calls, then submits once."""
    report = ProgramReport(await client.open(), "navdesk")
    session = _Session(client, report)
    await session.call_model(f"You guide the net asset value submission of fund {name}.")
    for number in range(ROUNDS):
        await session.call_repeatable("prices", f"{name}/bond-{number}")
        await session.call_model(f"The price of bond {number} is on the page. Go on.")
    await session.call_unrepeatable("submissions", f"nav-{name}")
    await session.call_model("The submission is in. Sum up.")
    report.finished = (await client.end(report.program)).is_ok
    return report


async def review_exceptions(client: DemoClient, name: str) -> ProgramReport:
    """NAVDesk: a longer review with a sub-agent that summarizes circulars."""
    report = ProgramReport(await client.open(), "navdesk")
    session = _Session(client, report)
    await session.call_model(f"You review the pricing exceptions of {name}.")
    helper = ProgramReport(await client.open(parent=report.program), "navdesk")
    report.children.append(helper)
    sub_agent = _Session(client, helper)
    await sub_agent.call_repeatable("prices", "circulars/2026-11")
    finding = await sub_agent.call_model("Summarize the circular.")
    helper.finished = (await client.end(helper.program)).is_ok
    for number in range(ROUNDS + 2):
        await session.call_model(f"Exception {number}. The circular says: {finding[:40]}")
    report.finished = (await client.end(report.program)).is_ok and helper.finished
    return report


async def book_slot(client: DemoClient, name: str) -> ProgramReport:
    """Booking Desk: many programs look up the same pages at once, and each pays once."""
    report = ProgramReport(await client.open(), "booking")
    session = _Session(client, report)
    await session.call_model("You secure embassy appointment slots. The release is at dawn.")
    for number in range(ROUNDS):
        await session.call_repeatable("slots", f"accra/{number}")
        await session.call_model(f"Slot page {number} is read. Choose for {name}.")
    await session.call_unrepeatable("payments", f"pay-{name}")
    await session.call_model("The payment is made. Confirm to the applicant.")
    report.finished = (await client.end(report.program)).is_ok
    return report


async def run_all(
    client_of: Callable[[Account], DemoClient], on_progress: Callable[[int], None]
) -> list[ProgramReport]:
    """Runs all programs of both workloads concurrently.

    Args:
        client_of: returns the client of an account.
        on_progress: called with the number of ended programs whenever one ends.
    """
    jobs: list[tuple[Account, Agent, str]] = [
        (Account.FUND_DESK, value_fund, "karachi-income"),
        (Account.FUND_DESK, value_fund, "indus-growth"),
        (Account.COMPLIANCE_DESK, review_exceptions, "board-pack"),
    ]
    jobs.extend(
        (Account.BOOKING_DESK, book_slot, f"applicant-{number}")
        for number in range(BOOKING_APPLICANTS)
    )
    ended = 0

    async def run_one(account: Account, agent: Agent, name: str) -> ProgramReport:
        nonlocal ended
        report = await agent(client_of(account), name)
        ended += 1
        on_progress(ended)
        return report

    return list(await asyncio.gather(*(run_one(*job) for job in jobs)))
