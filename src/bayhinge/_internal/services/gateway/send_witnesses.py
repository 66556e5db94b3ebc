"""Tells other hosts of this host's sends before their bytes leave, and asks for earlier ones.

Messages may be lost, and hosts die. In place of one that does not answer another one is asked as
well, until it is heard again; if none answers the request is sent with what this host knows.
"""

import asyncio
import contextlib
from collections.abc import Iterable, Mapping, Set

import attrs

from bayhinge._internal.decisions.known_sends import (
    ENDING_S,
    KnownSend,
    RequestKey,
    SendChange,
    SendStage,
)
from bayhinge._internal.decisions.send_permission import Tally, tally_of
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.gateway import send_messages as messages
from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.send_recorder import SendRecorder
from bayhinge._internal.services.gateway.witness_directory import WitnessDirectory
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

MIN_WAIT_S = 0.1
MAX_WAIT_S = 0.5
WAIT_IN_LATENCIES = 3.0
"""How long answers are awaited: as many times the longest recent latency, within these bounds."""

SHARE_OF_TIME = 0.2
MIN_SHARE_S = 0.02
"""No longer than this share of the time that the request has left; two questions may be needed."""

TRIES = 4
"""How often a question is sent in that time, as messages may be lost."""

LATENCY_DECAY = 0.9
"""Factor by which the longest recent latency is forgotten with each answer."""

ROUNDS = 2
"""In the second one, other hosts are asked in place of those that did not answer."""

TOLD_ON_AFTER_S = 0.5
"""Sends that began so long ago are told on to hosts that lack them."""

REPEAT_AFTER_S = (0.1, 1.0)
"""When it is told again that a send has failed, as messages may be lost."""


@attrs.define(eq=False)
class Claim:
    """A send of this host, from before its bytes leave to its outcome.

    Attributes:
        over_s: see :class:`KnownSend`.
        told: peer addresses of the hosts that were told of it.
        waiting: those that were asked last and have not answered yet.
        known: the sends of its request that were known before it, by number.
        numbers_by_address: the sends that each host named in its answer.
        numbers_by_process: the sends of its own that each process has under way that has answered.
    """

    key: RequestKey
    number: int
    over_s: float
    told: set[str] = attrs.field(factory=set)
    waiting: set[str] = attrs.field(factory=set)
    known: dict[int, KnownSend] = attrs.field(factory=dict)
    numbers_by_address: dict[str, Set[int]] = attrs.field(factory=dict)
    numbers_by_process: dict[int, Set[int]] = attrs.field(factory=dict)
    asked_s: float = 0.0
    all_answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    def begin_question(self) -> None:
        """Forgets earlier answers."""
        self.known.clear()
        self.numbers_by_address.clear()
        self.numbers_by_process.clear()

    def learn(self, sends: Iterable[KnownSend]) -> None:
        """Adds what a host knows."""
        for send in sends:
            known = self.known.get(send.number)
            if known is None or send.stage > known.stage:
                self.known[send.number] = send

    @property
    def tally(self) -> Tally:
        """The sends that count."""
        return tally_of(self.key, self.known.values(), self.numbers_by_process)


class SendWitnesses:
    """Asks and tells the hosts that know of this host's sends.

    Attributes:
        unanswered: questions to which a host did not answer in time.
    """

    def __init__(self, recorder: SendRecorder, port: SendPort, directory: WitnessDirectory) -> None:
        self._recorder = recorder
        self._register = recorder.register
        self._port = port
        self._directory = directory
        self._claim_by_number: dict[int, Claim] = {}
        # Until it is known how long answers take, they may take long.
        self._latency_s = MAX_WAIT_S / WAIT_IN_LATENCIES
        self.unanswered = 0
        recorder.on_answer = self._handle_answer

    # ---- before a send ----

    def begin(self, key: RequestKey, over_s: float) -> Claim:
        """Returns a claim, which must be ended by a method below."""
        claim = Claim(key, self._recorder.next_number(), over_s)
        self._claim_by_number[claim.number] = claim
        return claim

    async def ask(self, claim: Claim) -> None:
        """Tells witnesses of a claim, and waits for what they know of its request."""
        claim.begin_question()
        self._learn_own(claim)
        asked: set[str] = set()
        for _ in range(ROUNDS):
            addresses = set(self._directory.choose(claim.key.fingerprint)) - asked
            if not addresses:
                break
            asked |= addresses
            await self.ask_hosts(claim, addresses)
            if not claim.waiting:
                break
        self._tell_missing(claim)

    async def ask_hosts(self, claim: Claim, addresses: Iterable[str]) -> None:
        """Tells hosts of a claim, and waits for what they know, their own sends among it."""
        claim.waiting = set(addresses) - {""}
        if not claim.waiting:
            return
        claim.asked_s = now = _now()
        claim.told |= claim.waiting
        claim.all_answered.clear()
        question = messages.encode_claim(claim.key, claim.number, claim.over_s - now)
        pause_s = self._wait_s(claim.over_s - ENDING_S - now) / TRIES
        for _ in range(TRIES):
            self._port.send(question, *claim.waiting)
            with contextlib.suppress(TimeoutError):
                async with stall_tolerant_timeout(pause_s):
                    await claim.all_answered.wait()
                    return
            if all(map(self._directory.is_silent, claim.waiting)):
                return
        self.unanswered += 1
        for address in claim.waiting:
            self._directory.mark_silent(address, now)

    def _wait_s(self, time_left_s: float) -> float:
        usual_s = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_IN_LATENCIES * self._latency_s))
        return min(usual_s, max(MIN_SHARE_S, SHARE_OF_TIME * time_left_s))

    def _learn_own(self, claim: Claim) -> None:
        now = _now()
        send = KnownSend(claim.number, SendStage.CLAIMED, now, claim.over_s)
        claim.learn(self._register.claim(claim.key, send, now))
        own = self._recorder.own_numbers(claim.key)
        claim.numbers_by_process[self._recorder.process] = set(own)

    def _handle_answer(self, answer: wire.SendAnswer, sender: str) -> None:
        self._directory.mark_heard(sender)
        claim = self._claim_by_number.get(answer.number)
        if claim is None:
            return
        now = _now()
        self._latency_s = max(now - claim.asked_s, LATENCY_DECAY * self._latency_s)
        sends = [messages.decode_send(record, sender, now) for record in answer.sends or ()]
        claim.learn(sends)
        claim.numbers_by_address[sender] = {send.number for send in sends}
        claim.numbers_by_process[answer.process] = set(answer.own or ())
        claim.waiting.discard(sender)
        if not claim.waiting:
            claim.all_answered.set()

    def _tell_missing(self, claim: Claim) -> None:
        """Tells witnesses what only others knew, as they may have started since."""
        now = _now()
        told = [send for send in claim.tally.counting if _is_settled(send, now)]
        for address, numbers in claim.numbers_by_address.items():
            missing = [send for send in told if send.number not in numbers]
            if missing:
                self._port.send(messages.encode_sends(claim.key, missing, now), address)

    # ---- what becomes of a send ----

    def tell_sent(self, claim: Claim, endpoint: EndpointIncarnation) -> None:
        """Tells to which endpoint a request is about to be sent."""
        self._tell_change(claim, SendChange(claim.number, SendStage.SENT, endpoint, _now()))

    def end_withdrawn(self, claim: Claim) -> None:
        """Ends the claim of a request that was not sent, or has not run."""
        self._end(claim)
        self._register.withdraw(claim.number)
        withdrawn = wire.SendRecord(claim.number, wire.SendStage.WITHDRAWN)
        self._port.send(wire.LoadNews(changes=[withdrawn]), *claim.told)

    def end_served(self, claim: Claim) -> list[KnownSend]:
        """Ends the claim of a request that was served; returns the sends that count no longer."""
        self._end(claim)
        self._port.send(wire.LoadNews(served=[claim.number]), *claim.told)
        return self._register.record_served(claim.number)

    def end_unserved(self, claim: Claim, endpoint: EndpointIncarnation, over_s: float) -> None:
        """Ends the claim of a request that was not served."""
        self._end(claim)
        change = SendChange(
            claim.number, SendStage.UNSERVED, endpoint, over_s=over_s, broken_s=_now()
        )
        self._tell_change(claim, change)
        for after_s in REPEAT_AFTER_S:
            asyncio.get_running_loop().call_later(after_s, self._tell, claim, [change])

    def tell_settled(self, claim: Claim, stage_by_number: Mapping[int, SendStage]) -> None:
        """Tells what has been found out of earlier sends of a claim's request."""
        changes = [SendChange(number, stage) for number, stage in stage_by_number.items()]
        for change in changes:
            self._register.change(change)
            claim.known[change.number] = claim.known[change.number].changed(change)
        if changes:
            self._tell(claim, changes)

    def _tell_change(self, claim: Claim, change: SendChange) -> None:
        self._register.change(change)
        self._tell(claim, [change])

    def _tell(self, claim: Claim, changes: list[SendChange]) -> None:
        now = _now()
        records = [messages.encode_change(change, now) for change in changes]
        self._port.send(wire.LoadNews(changes=records), *claim.told)

    def _end(self, claim: Claim) -> None:
        self._claim_by_number.pop(claim.number, None)


def _is_settled(send: KnownSend, now_s: float) -> bool:
    """Whether a send may be told on; one that has just begun may be over before that arrives."""
    return not send.is_under_way or (
        send.stage is SendStage.SENT and send.sent_s < now_s - TOLD_ON_AFTER_S
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
