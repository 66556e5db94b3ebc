"""What one host believes of endpoints, and which of them a request goes to. Pure."""

from collections.abc import Iterable, Mapping

import attrs

from bayhinge._internal.decisions import placement_weights as weights
from bayhinge._internal.models.endpoint_entries import EndpointEntry
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


@attrs.define
class EndpointBelief:
    """One endpoint: its entry, the work it has, and how it did lately.

    Attributes:
        failures: those of late, each success takes a part of them away.
        complaints: other hosts at which it failed a moment ago, as far as they were heard.
        is_doubtful: its entry has vanished, for a reason that is not known yet.
    """

    entry: EndpointEntry
    running_here: int = 0
    running_at_peers: int = 0
    failures: float = 0.0
    complaints: int = 0
    ejected_until_s: float = 0.0
    is_doubtful: bool = False

    @property
    def load(self) -> float:
        """Requests under way, as a share of the slots."""
        return (self.running_here + self.running_at_peers) / max(1, self.entry.slots)

    @property
    def burden(self) -> float:
        """The load, and what speaks against the endpoint in the same measure."""
        return self.load + weights.complaint(self.entry.slots) * self.complaints


@attrs.frozen
class Wish:
    """What a request would like: the endpoint that holds its history, or shared parts.

    Attributes:
        kept_tokens: those of the prompt that ``endpoint`` has read.
        shared_tokens: those of ``shared_part``.
        connected: endpoints to which the asking host has a connection that is free.
    """

    endpoint: str = ""
    shared_part: str = ""
    kept_tokens: int = 0
    shared_tokens: int = 0
    connected: frozenset[str] = frozenset()


class EndpointBook:
    """Every endpoint by its instance."""

    def __init__(self, hall: str) -> None:
        """Takes the hall of this host."""
        self._hall = hall
        self._belief_by_instance: dict[str, EndpointBelief] = {}

    def all(self) -> list[EndpointBelief]:
        """Returns every belief."""
        return list(self._belief_by_instance.values())

    def find(self, instance: str) -> EndpointBelief | None:
        """Returns what is believed of one endpoint."""
        return self._belief_by_instance.get(instance)

    def put(self, entry: EndpointEntry) -> bool:
        """Takes an entry in; returns whether it says something new."""
        belief = self._belief_by_instance.get(entry.instance)
        if belief is None:
            self._belief_by_instance[entry.instance] = EndpointBelief(entry)
            return True
        is_news = belief.entry != entry or belief.is_doubtful
        belief.entry = entry
        belief.is_doubtful = False
        return is_news

    def remove(self, instance: str) -> bool:
        """Forgets an endpoint; returns whether it was known."""
        return self._belief_by_instance.pop(instance, None) is not None

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

    def note_success(self, instance: str) -> None:
        """An endpoint gave a whole answer."""
        belief = self._belief_by_instance.get(instance)
        if belief is not None:
            belief.failures *= FAILURE_DECAY
            if belief.failures <= TRUSTED_FAILURES:
                belief.ejected_until_s = 0.0

    def note_failure(self, instance: str, now_s: float) -> None:
        """An endpoint could not be reached, or broke off."""
        belief = self._belief_by_instance.get(instance)
        if belief is None:
            return
        rest_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**belief.failures)
        belief.failures += 1
        belief.ejected_until_s = now_s + rest_s

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
        sure = [belief for belief in candidates if not belief.is_doubtful] or candidates
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
        for belief in candidates:
            if belief.entry.instance == wish.endpoint:
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
