"""What one host believes of endpoints, and which of them a request goes to. Pure."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

import attrs

from bayhinge._internal.decisions import placement_weights as weights
from bayhinge._internal.decisions.start_revisions import StartRevisions
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointStart
from bayhinge.coordination.rendezvous import rank

FIRST_EJECTION_S = 1.0
"""Seconds without new work after a failure; doubled with each further one."""

LONGEST_EJECTION_S = 8.0

FAILURE_DECAY = 0.8
"""What a success leaves of the failures before it. An endpoint that fails a part of its requests
while the others succeed rests longer each time; one that failed once is trusted again soon."""

TRUSTED_FAILURES = 2.0
"""A success ends the rest of an endpoint that has had no more failures of late: one in twenty
answers lost stays below it, two in five failed requests soon pass it."""


class EntryNews(StrEnum):
    """What an entry has said."""

    NOTHING = "nothing"
    FOUND = "found"
    CHANGED = "changed"
    STARTED_AGAIN = "started_again"
    OUTDATED = "outdated"


@attrs.define(eq=False)
class EndpointBelief:
    """One start of an endpoint: its entry, the work it has, and how it did lately.

    A later start has a belief of its own, and so nothing of this one is held for or against it.

    Attributes:
        failures: those of late, each success takes a part of them away.
        complaints: other hosts at which it failed a moment ago, as far as they were heard.
        is_doubtful: its entry has vanished, for a reason that is not known yet.
        is_displaced: another endpoint has started at its address since.
    """

    entry: EndpointEntry
    running_here: int = 0
    running_at_peers: int = 0
    failures: float = 0.0
    complaints: int = 0
    ejected_until_s: float = 0.0
    is_doubtful: bool = False
    is_displaced: bool = False

    @property
    def load(self) -> float:
        """Requests under way, as a share of the slots."""
        return (self.running_here + self.running_at_peers) / max(1, self.entry.slots)

    @property
    def burden(self) -> float:
        """The load, and what speaks against the endpoint in the same measure."""
        return self.load + weights.complaint(self.entry.slots) * self.complaints

    def note_success(self) -> None:
        """It gave a whole answer."""
        self.failures *= FAILURE_DECAY
        if self.failures <= TRUSTED_FAILURES:
            self.ejected_until_s = 0.0

    def note_failure(self, now_s: float) -> None:
        """It could not be reached, or broke off."""
        rest_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.failures)
        self.failures += 1
        self.ejected_until_s = now_s + rest_s


@attrs.frozen
class Wish:
    """What a request would like: the endpoint that holds its history, or shared parts.

    Attributes:
        start: the start of an endpoint whose memory holds the history.
        kept_tokens: those of the prompt that it has read.
        shared_tokens: those of ``shared_part``.
        connected: endpoints to which the asking host has a connection that is free.
    """

    start: EndpointStart = EndpointStart()
    shared_part: str = ""
    kept_tokens: int = 0
    shared_tokens: int = 0
    connected: frozenset[str] = frozenset()


class EndpointBook:
    """The newest start that is known of every endpoint."""

    def __init__(self, hall: str) -> None:
        """Takes the hall of this host."""
        self._hall = hall
        self._belief_by_instance: dict[str, EndpointBelief] = {}
        self._gone_by_instance: dict[str, EndpointEntry] = {}
        self.start_revisions = StartRevisions()

    def all(self) -> list[EndpointBelief]:
        """Returns every belief."""
        return list(self._belief_by_instance.values())

    def find(self, instance: str) -> EndpointBelief | None:
        """Returns what is believed of one endpoint."""
        return self._belief_by_instance.get(instance)

    def find_start(self, start: EndpointStart) -> EndpointBelief | None:
        """Returns what is believed of a start, or None where it is over or not known."""
        belief = self._belief_by_instance.get(start.endpoint)
        return belief if belief is not None and start.may_be(belief.entry.start) else None

    def is_current(self, belief: EndpointBelief) -> bool:
        """Whether a belief is of the endpoint's newest start that is known."""
        return self._belief_by_instance.get(belief.entry.instance) is belief

    def last_entry(self, instance: str) -> EndpointEntry | None:
        """Returns the newest entry of an endpoint, also of one that is gone since a moment."""
        belief = self._belief_by_instance.get(instance)
        return self._gone_by_instance.get(instance) if belief is None else belief.entry

    def forget_gone(self, start: EndpointStart) -> None:
        """Forgets that an endpoint is gone: no entry of a former start can be late by so much."""
        entry = self._gone_by_instance.get(start.endpoint)
        if entry is not None and entry.start == start:
            del self._gone_by_instance[start.endpoint]

    def put(self, entry: EndpointEntry) -> EntryNews:
        """Takes an entry in, unless it is of a start before the one that is known."""
        instance = entry.instance
        belief = self._belief_by_instance.get(instance)
        known = self.last_entry(instance)
        if known is not None and known.start.is_after(entry.start):
            return EntryNews.OUTDATED
        is_later = known is not None and entry.start.is_after(known.start)
        if belief is None or is_later:
            self._gone_by_instance.pop(instance, None)
            self._belief_by_instance[instance] = EndpointBelief(entry)
            self._judge_address(entry.address)
            if known is not None:
                self._judge_address(known.address)
            return EntryNews.STARTED_AGAIN if is_later else EntryNews.FOUND
        if entry.born_ms is None:
            # An entry that does not say it is of the start that is known.
            entry = attrs.evolve(entry, born_ms=belief.entry.born_ms)
        is_news = belief.entry != entry or belief.is_doubtful
        left_address, belief.entry = belief.entry.address, entry
        belief.is_doubtful = False
        if is_news:
            self._judge_address(entry.address)
            self._judge_address(left_address)
        return EntryNews.CHANGED if is_news else EntryNews.NOTHING

    def withdraw(self, instance: str) -> bool:
        """Gives an endpoint nothing new until its next entry; returns whether that is news."""
        belief = self._belief_by_instance.get(instance)
        if belief is None or belief.entry.is_leaving:
            return False
        belief.entry = attrs.evolve(belief.entry, is_leaving=True)
        return True

    def remove(self, instance: str) -> bool:
        """Forgets an endpoint; returns whether it was known."""
        belief = self._belief_by_instance.pop(instance, None)
        if belief is None:
            return False
        self.start_revisions.forget(instance)
        if belief.entry.born_ms is not None:
            self._gone_by_instance[instance] = belief.entry
        self._judge_address(belief.entry.address)
        return True

    def displaced_at(self, address: str) -> list[EndpointBelief]:
        """Returns the endpoints whose address is another's now."""
        return [
            belief
            for belief in self._belief_by_instance.values()
            if belief.is_displaced and belief.entry.address == address
        ]

    def _judge_address(self, address: str) -> None:
        """Finds which endpoints at an address are displaced by others that started there since."""
        there = [
            belief
            for belief in self._belief_by_instance.values()
            if belief.entry.address == address
        ]
        for belief in there:
            belief.is_displaced = any(other.entry.took_address_of(belief.entry) for other in there)

    def hear_loads(self, running_by_instance: Mapping[str, int]) -> None:
        """Takes the sum of what the other hosts have under way."""
        for instance, belief in self._belief_by_instance.items():
            belief.running_at_peers = running_by_instance.get(instance, 0)

    def running_here(self) -> dict[str, int]:
        """Returns this host's requests under way, by endpoint."""
        return {
            instance: belief.running_here
            for instance, belief in self._belief_by_instance.items()
            if belief.running_here
        }

    def resting(self, now_s: float) -> set[str]:
        """Returns the endpoints that failed here a moment ago."""
        return {
            instance
            for instance, belief in self._belief_by_instance.items()
            if belief.ejected_until_s > now_s
        }

    def choose(
        self, service: str, wish: Wish, tried: Iterable[str], now_s: float
    ) -> EndpointBelief | None:
        """Returns the best endpoint of a service that was not tried yet, or None."""
        passed_over = set(tried)
        candidates = [
            belief
            for belief in self._belief_by_instance.values()
            if belief.entry.service == service
            and not belief.entry.is_leaving
            and belief.entry.instance not in passed_over
        ]
        sure = [
            belief for belief in candidates if not (belief.is_doubtful or belief.is_displaced)
        ] or candidates
        well = [belief for belief in sure if belief.ejected_until_s <= now_s]
        trusted = [belief for belief in well if belief.complaints < weights.COMPLAINTS_BELIEVED]
        if any(belief.load < weights.ROOM for belief in trusted):
            well = trusted
        # Where all have failed lately, trying one is better than refusing.
        return self._best(well or sure, wish)

    def _best(self, candidates: list[EndpointBelief], wish: Wish) -> EndpointBelief | None:
        if not candidates:
            return None
        # Of endpoints that are equal, one that is connected saves a new connection.
        least = min(
            candidates,
            key=lambda belief: (
                self._cost(belief),
                belief.entry.instance not in wish.connected,
                belief.entry.instance,
            ),
        )
        holder = self.find_start(wish.start)
        for belief in candidates:
            if belief is holder:
                slack = weights.own_cache(belief.entry.slots, wish.kept_tokens)
                if belief.burden <= least.burden + slack:
                    return belief
        if wish.shared_part:
            for belief in self._by_shared_part(candidates, wish.shared_part):
                slack = weights.shared_part(belief.entry.slots, wish.shared_tokens)
                if belief.burden <= least.burden + slack:
                    return belief
        return least

    def _by_shared_part(
        self, candidates: list[EndpointBelief], shared_part: str
    ) -> list[EndpointBelief]:
        """Returns the endpoints in the order in which requests with a shared part gather.

        Each hall gathers them on its own endpoints, where it has any.
        """
        near = [belief for belief in candidates if belief.entry.hall == self._hall]
        names = [belief.entry.instance for belief in near or candidates]
        return [self._belief_by_instance[name] for name in rank(shared_part, names)]

    def _cost(self, belief: EndpointBelief) -> float:
        is_near = belief.entry.hall == self._hall
        away = 0.0 if is_near else weights.other_hall(belief.entry.slots)
        return belief.burden + away
