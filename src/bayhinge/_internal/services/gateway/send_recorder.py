"""Keeps what a host is told of sends, and answers what others ask of them."""

import asyncio
import random
from collections.abc import Callable

import eliot

from bayhinge._internal.decisions.known_sends import (
    COUNTER_BITS,
    PROCESS_BITS,
    KnownSend,
    RequestKey,
)
from bayhinge._internal.decisions.send_register import SendRegister
from bayhinge._internal.services.gateway import send_messages as messages
from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.witness_directory import WitnessDirectory
from bayhinge._internal.utils.log_output import LineBudget
from bayhinge._internal.wire.hosts import ttypes as wire

MAX_TOLD_AT_START = 240
"""Requests told to a host that has started."""

LINES_PER_S = 50
"""Rate limit of log lines about other hosts' sends."""


class SendRecorder:
    """The register of an entry or disk host, and its part in the exchange with others.

    Attributes:
        register: the sends that the host knows.
        process: stands for this process in the numbers of its sends.
        on_answer: called with the answer to a claim and the peer address of its sender.
    """

    def __init__(self, port: SendPort, directory: WitnessDirectory) -> None:
        self._port = port
        self._directory = directory
        self._incarnation_by_host: dict[str, int] = {}
        self._lines = LineBudget(LINES_PER_S)
        self.register = SendRegister()
        self.process = random.SystemRandom().getrandbits(PROCESS_BITS)
        self._count = random.SystemRandom().getrandbits(COUNTER_BITS)
        self.on_answer: Callable[[wire.SendAnswer, str], None] = lambda answer, sender: None
        port.on_sends = self.receive

    def next_number(self) -> int:
        """Returns the number of a new send of this host."""
        self._count = (self._count + 1) % (1 << COUNTER_BITS)
        return (self.process << COUNTER_BITS) + self._count

    def own_numbers(self, key: RequestKey) -> list[int]:
        """Returns the numbers of this host's sends of a request that are under way."""
        return [
            send.number
            for send in self.register.sends(key)
            if send.process == self.process and send.is_under_way
        ]

    def receive(self, message: wire.LoadNews, sender: str) -> None:
        """Handles a message about sends.

        Raises:
            FrameError: a field is out of range.
        """
        now = asyncio.get_running_loop().time()
        if message.claim is not None:
            self._answer(message.claim, sender, now)
        if message.answer is not None:
            self.on_answer(message.answer, sender)
        for record in message.changes or ():
            self._change(record, sender, now)
        for number in message.served or ():
            self.register.record_served(number)
        if message.sends is not None:
            self.register.learn(*messages.decode_sends(message.sends, sender, now))

    def _answer(self, claim: wire.SendClaim, sender: str, now_s: float) -> None:
        key, send = messages.decode_claim(claim, sender, now_s)
        earlier = self.register.claim(key, send, now_s)
        answer = wire.SendAnswer(claim.number, self.process)
        if earlier:
            answer.sends = [messages.encode_send(each, now_s) for each in earlier]
            self._log_known(key, send, earlier, now_s)
        answer.own = self.own_numbers(key) or None
        self._port.send(wire.LoadNews(answer=answer), sender)

    def _log_known(
        self, key: RequestKey, send: KnownSend, earlier: list[KnownSend], now_s: float
    ) -> None:
        if self._lines.try_acquire(now_s):
            eliot.log_message(
                "send.asked_about",
                request=key.fingerprint,
                number=send.number,
                asker=send.host,
                known=[f"{each.number} {each.stage.name.lower()}" for each in earlier],
                untold=self._lines.suppressed,
            )

    def _change(self, record: wire.SendRecord, sender: str, now_s: float) -> None:
        if record.stage == wire.SendStage.WITHDRAWN:
            self.register.withdraw(record.number)
            return
        change = messages.decode_change(record, now_s)
        key = self.register.key_of(change.number)
        self.register.change(change)
        is_outcome = record.stage != wire.SendStage.SENT
        if key is not None and is_outcome and self._lines.try_acquire(now_s):
            eliot.log_message(
                "send.heard",
                request=key.fingerprint,
                number=change.number,
                stage=change.stage.name.lower(),
                teller=sender,
                untold=self._lines.suppressed,
            )

    def handle_heartbeat(self, heartbeat: wire.Hello) -> None:
        """Tells a host that has started the sends of which it is to know."""
        if self._incarnation_by_host.get(heartbeat.host) == heartbeat.incarnation:
            return
        self._incarnation_by_host[heartbeat.host] = heartbeat.incarnation
        now = asyncio.get_running_loop().time()
        told = [
            (key, sends)
            for key, sends in self.register.unfinished()
            if heartbeat.peer_address in self._directory.choose(key.fingerprint)
        ]
        for key, sends in told[-MAX_TOLD_AT_START:]:
            self._port.send(messages.encode_sends(key, sends, now), heartbeat.peer_address)
        if told:
            eliot.log_message("send.told_to_started_host", peer=heartbeat.host, requests=len(told))

    def forget_old(self) -> None:
        """Forgets the sends whose time is over."""
        self.register.forget_old(asyncio.get_running_loop().time())
