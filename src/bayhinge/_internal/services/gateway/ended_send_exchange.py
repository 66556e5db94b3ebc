"""Tells other hosts which endpoints ended under which requests, and hears it from them.

Only hosts that have seen an endpoint end send anything. Datagrams may be lost, so each change is
repeated a few times. A host may be out of touch for much longer, or start anew: heartbeats bear a
digest of the ends that their host remembers, and one that hears another digest asks for them.
"""

import asyncio
import math
import random
from collections.abc import Iterable, Sequence

import eliot

from bayhinge._internal.decisions.ended_send_history import BrokenSend, Fate, RequestKey
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.gateway.ended_send_memory import (
    EndedSendMemory,
    FateChange,
    SendChange,
    SendNewsPort,
)
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import rank

REPEAT_AFTER_S = (0.1, 1.0, 3.0)
"""When a change is told again, after the first time."""

MAX_PER_DATAGRAM = 12
"""Changes in one datagram, so that it fits into one packet."""

MAX_TOLD_PER_S = 240
"""Changes told in a second of requests that failed once, and as many of those that failed again;
where whole services end, each endpoint takes its requests along."""

DIGEST_PERIOD_S = 0.25
"""How long a digest is used before it is computed anew; heartbeats are as far apart."""

ASK_PERIOD_S = 1.0
"""Least time between two questions for the ends that other hosts remember."""

MAX_TOLD_PER_QUESTION = 48
"""Ends in the answer to one, some 4 KB, which a host gets each second while it differs."""

MAX_TOLD_AT_START = 240
"""Changes told to a host that has started."""

TELLERS_AT_START = 2
"""Hosts of each kind that tell a host that has started."""

MAX_AGE_MS = 1_000_000
"""Longer ages are told as this one; it fits the message, and nothing is remembered for so long."""

_FATES = {
    Fate.BROKEN: wire.SendFate.BROKEN,
    Fate.ANSWERED: wire.SendFate.ANSWERED,
    Fate.ENDED: wire.SendFate.ENDED,
    Fate.CLEARED: wire.SendFate.CLEARED,
}


MAX_LOGGED_REQUESTS = 8
"""Requests named in one line."""


class EndedSendExchange:
    """Keeps the memories of all entry and disk hosts alike."""

    def __init__(self, memory: EndedSendMemory, gossip: Gossip, datagrams: SendNewsPort) -> None:
        self._memory = memory
        self._gossip = gossip
        self._datagrams = datagrams
        self._incarnation_by_host: dict[str, int] = {}
        self._untold: list[FateChange | SendChange] = []
        self._digest = 0
        self._digest_until_s = 0.0
        self._asked_s = -math.inf
        self._random = random.Random()
        self._second = 0
        self._told_in_second = {False: 0, True: 0}
        memory.tell = self.tell
        datagrams.on_sends = self.receive
        datagrams.on_ends_wanted = self.answer

    # ---- telling ----

    def tell(self, changes: Iterable[FateChange | SendChange]) -> None:
        """Tells all hosts of changes, those of fates several times.

        What is told in one turn of the event loop is sent together.
        """
        changes = list(changes)
        if not changes:
            return
        if not self._untold:
            asyncio.get_running_loop().call_soon(self._tell_all)
        self._untold += changes

    def _tell_all(self) -> None:
        changes, self._untold = self._untold, []
        changes = self._within_rate([*self._left_out_before(changes), *changes])
        self._send_to_all(changes)
        fates = [change for change in changes if isinstance(change, FateChange)]
        if fates:
            loop = asyncio.get_running_loop()
            for after_s in REPEAT_AFTER_S:
                loop.call_later(after_s, self._repeat, fates)

    def _left_out_before(self, changes: Sequence[FateChange | SendChange]) -> list[FateChange]:
        """Returns the earlier ends of requests that fail again, which may not have been told."""
        return [
            FateChange(change.key, incarnation, send, send.fate)
            for change in changes
            if isinstance(change, FateChange) and change.fate in {Fate.BROKEN, Fate.ENDED}
            for incarnation, send in self._memory.sends.counting(change.key)
            if incarnation != change.incarnation
        ]

    def _repeat(self, changes: Sequence[FateChange]) -> None:
        self._send_to_all([change for change in changes if change.send.fate is change.fate])

    def _within_rate(self, changes: list[FateChange | SendChange]) -> list[FateChange | SendChange]:
        """Returns what may be told now.

        Requests that have failed more than once have an allowance of their own, so that they are
        told beside whole services that end. The other ends that are left out are asked for later.
        """
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second, self._told_in_second = second, {False: 0, True: 0}
        told: list[FateChange | SendChange] = []
        left_out: list[FateChange | SendChange] = []
        for change in changes:
            is_repeated = self._memory.sends.failures(change.key) > 1
            fits = self._told_in_second[is_repeated] < MAX_TOLD_PER_S
            self._told_in_second[is_repeated] += fits
            (told if fits else left_out).append(change)
        if left_out:
            eliot.log_message(
                "send.news_left_out",
                told=len(told),
                changes=len(changes),
                requests=sorted({each.key.fingerprint for each in left_out})[:MAX_LOGGED_REQUESTS],
            )
        return told

    def _send_to_all(self, changes: Sequence[FateChange | SendChange]) -> None:
        addresses = [
            heartbeat.peer_address
            for role in (wire.HostRole.ENTRY, wire.HostRole.DISK)
            for heartbeat in self._gossip.recent_heartbeats(role)
        ]
        self._send_to(addresses, changes)

    def _send_to(
        self, addresses: Sequence[str], changes: Sequence[FateChange | SendChange]
    ) -> None:
        now = asyncio.get_running_loop().time()
        for first in range(0, len(changes), MAX_PER_DATAGRAM):
            batch = changes[first : first + MAX_PER_DATAGRAM]
            message = wire.LoadNews(sends=[_encode(change, now) for change in batch])
            self._datagrams.send(message, *addresses)

    def digest(self) -> int | None:
        """Returns the digest of what this host remembers, for its heartbeats; None for nothing."""
        now = asyncio.get_running_loop().time()
        if now >= self._digest_until_s:
            self._digest = self._memory.sends.digest(now)
            self._digest_until_s = now + DIGEST_PERIOD_S
        return self._digest or None

    def handle_heartbeat(self, heartbeat: wire.Hello) -> None:
        """Brings this host and one whose heartbeat it has heard to the same knowledge."""
        is_started = self._incarnation_by_host.get(heartbeat.host) != heartbeat.incarnation
        if is_started and heartbeat.role == wire.HostRole.ENTRY:
            self._tell_started(heartbeat)
        if heartbeat.ends_digest is not None and heartbeat.ends_digest != self.digest():
            self._ask(heartbeat)

    def _ask(self, heartbeat: wire.Hello) -> None:
        """Asks another host for the ends that it remembers, unless this host has just asked."""
        now = asyncio.get_running_loop().time()
        if now - self._asked_s < ASK_PERIOD_S:
            return
        self._asked_s = now
        own = self._gossip.own_heartbeat.peer_address
        self._datagrams.send(wire.LoadNews(ends_wanted_at=own), heartbeat.peer_address)
        eliot.log_message("send.ends_asked_for", peer=heartbeat.host, known=len(self._memory.sends))

    def answer(self, address: str) -> None:
        """Tells a host that has asked some of what this one remembers; it will ask again.

        Requests under which most endpoints ended come first, the others in random order.
        """
        known = self._known()
        if len(known) > MAX_TOLD_PER_QUESTION:
            self._random.shuffle(known)
            ended = self._memory.sends.ended
            known.sort(key=lambda change: len(ended(change.key)), reverse=True)
        self._send_to([address], known[:MAX_TOLD_PER_QUESTION])

    def _tell_started(self, heartbeat: wire.Hello) -> None:
        """Tells an entry host that has started what this host remembers, if it is its turn.

        As all hosts of a kind may have started, some of each kind tell it.
        """
        self._incarnation_by_host[heartbeat.host] = heartbeat.incarnation
        own, role = self._gossip.own_heartbeat.host, self._gossip.own_heartbeat.role
        others = {each.host for each in self._gossip.recent_heartbeats(role)}
        candidates = sorted((others | {own}) - {heartbeat.host})
        if own in rank(heartbeat.host, candidates)[:TELLERS_AT_START]:
            loop = asyncio.get_running_loop()
            for after_s in (0.0, *REPEAT_AFTER_S):
                loop.call_later(after_s, self._send_all_known, heartbeat.peer_address)

    def _send_all_known(self, address: str) -> None:
        self._send_to([address], self._known()[-MAX_TOLD_AT_START:])

    def _known(self) -> list[FateChange]:
        """Returns all ends and doubts; who knows better corrects them."""
        now = asyncio.get_running_loop().time()
        return [
            FateChange(key, incarnation, send, send.fate)
            for key, incarnation, send in self._memory.sends.all_counting(now)
        ]

    # ---- hearing ----

    def receive(self, news: Iterable[wire.SendNews]) -> None:
        """Applies what another host tells."""
        now = asyncio.get_running_loop().time()
        heard = list(news)
        learned = [each for each in heard if self._apply(each, now)]
        self.tell(filter(None, map(self._correction_of, heard)))
        for each in learned:
            self._memory.on_failure(RequestKey(each.request, each.has_program))
        if learned:
            eliot.log_message(
                "endpoint.ends_heard",
                requests=sorted({each.request for each in learned}),
                endpoints=sorted({each.endpoint for each in learned}),
                age_s=max(each.broken_ms_ago for each in learned) / 1000,
            )

    def _correction_of(self, news: wire.SendNews) -> FateChange | None:
        """Returns what has become of a send since the state in which another host counts it."""
        if news.fate not in {wire.SendFate.ENDED, wire.SendFate.BROKEN}:
            return None
        key = RequestKey(news.request, news.has_program)
        incarnation = EndpointIncarnation(news.endpoint, news.endpoint_born_ms)
        send = self._memory.sends.send_of(key, incarnation)
        told = Fate.ENDED if news.fate == wire.SendFate.ENDED else Fate.BROKEN
        if send is None or send.fate <= told:
            return None
        return FateChange(key, incarnation, send, send.fate)

    def _apply(self, news: wire.SendNews, now_s: float) -> bool:
        """Applies one change; returns whether it is an end or a doubt that was not known."""
        key = RequestKey(news.request, news.has_program)
        incarnation = EndpointIncarnation(news.endpoint, news.endpoint_born_ms)
        sends = self._memory.sends
        send = _decode(news, now_s)
        if news.fate == wire.SendFate.ENDED:
            return sends.record_ended(key, incarnation, send, now_s)
        if news.fate == wire.SendFate.BROKEN:
            return sends.record_doubt(key, incarnation, send, now_s)
        if news.fate == wire.SendFate.ANSWERED:
            sends.record_answered(key, incarnation, send)
        elif news.fate == wire.SendFate.CLEARED:
            sends.record_cleared(key, incarnation, send)
        elif news.fate == wire.SendFate.TRIAL_OVER:
            sends.record_trial_over(key, news.endpoint, news.run or 0)
        else:
            is_trial = news.fate == wire.SendFate.TRIAL
            sends.record_trial(key, news.endpoint, now_s, news.run or 0, is_trial)
        return False


def _decode(news: wire.SendNews, now_s: float) -> BrokenSend:
    sent_s, broken_s = now_s - news.sent_ms_ago / 1000, now_s - news.broken_ms_ago / 1000
    if news.over_in_ms is None:
        return BrokenSend(sent_s, broken_s)
    return BrokenSend(sent_s, broken_s, over_s=now_s + news.over_in_ms / 1000)


def _encode(change: FateChange | SendChange, now_s: float) -> wire.SendNews:
    news = wire.SendNews(
        change.key.fingerprint,
        change.key.has_program,
        change.incarnation.endpoint,
        change.incarnation.born_ms,
        sent_ms_ago=0,
        broken_ms_ago=0,
    )
    if isinstance(change, FateChange):
        news.fate = _FATES[change.fate]
        news.sent_ms_ago = _age_ms(change.send.sent_s, now_s)
        news.broken_ms_ago = _age_ms(change.send.broken_s, now_s)
        news.over_in_ms = max(-MAX_AGE_MS, round((change.send.over_s - now_s) * 1000))
        return news
    news.run = change.send.number
    news.fate = wire.SendFate.RUN
    if change.is_over:
        news.fate = wire.SendFate.TRIAL_OVER
    elif change.send.is_trial:
        news.fate = wire.SendFate.TRIAL
    return news


def _age_ms(at_s: float, now_s: float) -> int:
    return min(MAX_AGE_MS, max(0, round((now_s - at_s) * 1000)))
