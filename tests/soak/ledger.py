"""What callers sent and got, and the promises that must hold over all of it."""

from collections import Counter

import attrs

from tests.lib.platform_engine import PlatformEngine

TOKENS_PER_EVENT = 3

MAY_REPEAT = frozenset({"look", "draft"})
STREAMS = frozenset({"turn", "draft"})


@attrs.define
class Sent:
    """One request of a caller and how it ended.

    Attributes:
        status: 0 where the connection ended without an answer.
        told_unrun: the answer promises that it did not run.
        was_excused: the host that took it was hurt meanwhile, so it may end without an answer.
    """

    attempt: str
    kind: str
    at: str
    body: bytes
    expected_body: bytes | None = None
    program: str = ""
    status: int = 0
    answer: bytes = b""
    is_whole: bool = False
    is_ended: bool = False
    was_excused: bool = False

    @property
    def told_unrun(self) -> bool:
        return self.status in {402, 408, 421, 429, 503}


@attrs.define
class Draft:
    """One stream that its caller resumed until it was whole.

    Attributes:
        event_ids: of the events that came whole, over all attempts.
    """

    program: str
    event_ids: list[int] = attrs.field(factory=list)
    is_whole: bool = False

    def take(self, sent: Sent) -> None:
        """Takes what one attempt brought."""
        if sent.status != 200:
            return
        *events, _ = sent.answer.split(b"\n\n")
        self.event_ids += [int(event.split(b"\n")[0][4:]) for event in events]
        self.is_whole = sent.is_whole


@attrs.define
class Ledger:
    """Everything that callers saw; engines and services keep what they ran."""

    sent_by_attempt: dict[str, Sent] = attrs.field(factory=dict)
    budget_by_program: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    drafts: list[Draft] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)

    def check(self, endpoints: list[PlatformEngine]) -> list[str]:
        """Returns every promise that was broken, with the request that shows it."""
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        count_by_attempt = Counter(run.attempt for run in runs)
        problems = list(self.problems)
        for run in runs:
            sent = self.sent_by_attempt.get(run.attempt)
            if sent is None:
                problems.append(f"{run.attempt}: ran, and nobody sent it")
            elif sent.expected_body is not None and run.body != sent.expected_body:
                problems.append(f"{run.attempt}: ran with another body than its chain")
        for sent in self.sent_by_attempt.values():
            problems += self._check_one(sent, count_by_attempt[sent.attempt])
        problems += self._check_budgets()
        problems += self._check_drafts(endpoints)
        return problems

    def _check_one(self, sent: Sent, ran: int) -> list[str]:
        name = f"{sent.attempt} ({sent.kind} at {sent.at}, {sent.status})"
        problems: list[str] = []
        if ran > 1 and sent.kind not in MAY_REPEAT:
            problems.append(f"{name}: ran {ran} times")
        if sent.told_unrun and ran and sent.kind not in MAY_REPEAT:
            problems.append(f"{name}: told that it did not run, and it ran")
        if sent.status == 404:
            problems.append(f"{name}: told that it does not exist")
        if sent.status == 200 and sent.is_whole and not ran:
            problems.append(f"{name}: answered, and nobody ran it")
        whole = sent.kind not in STREAMS and sent.status == 200 and sent.is_whole
        if whole and sent.answer != b"answer to " + sent.body:
            problems.append(f"{name}: got another answer")
        if sent.is_ended and sent.status == 0 and not sent.was_excused:
            problems.append(f"{name}: no answer from a host that was well")
        return problems

    def _check_budgets(self) -> list[str]:
        used: Counter[str] = Counter()
        for sent in self.sent_by_attempt.values():
            if sent.kind in STREAMS:
                used[sent.program] += sent.answer.count(b"data: ") * TOKENS_PER_EVENT
        return [
            f"program {program}: {used[program]} tokens handed out of {budget}"
            for program, (budget, most) in self.budget_by_program.items()
            if used[program] > budget + most
        ]

    def _check_drafts(self, endpoints: list[PlatformEngine]) -> list[str]:
        events = max(endpoint.events for endpoint in endpoints)
        problems: list[str] = []
        for draft in self.drafts:
            if draft.event_ids != list(range(1, len(draft.event_ids) + 1)):
                problems.append(f"draft of {draft.program}: events {draft.event_ids}")
            if draft.is_whole and len(draft.event_ids) != events:
                problems.append(f"draft of {draft.program}: whole after {draft.event_ids}")
        return problems
