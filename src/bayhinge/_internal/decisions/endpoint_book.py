"""What one host believes of endpoints, and which of them a request goes to. Pure."""

from collections.abc import Iterable, Mapping

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge.coordination.rendezvous import rank

FIRST_EJECTION_S = 1.0
"""Seconds without new work after a failure; doubled with each further one."""

LONGEST_EJECTION_S = 8.0

CACHE_SLACK = 0.3
"""Load, as a share of an endpoint's slots, that a request accepts for a warm cache."""

OTHER_HALL_COST = 0.02
"""Load, as a share of slots, that a request accepts to stay in its own hall."""


@attrs.define
class EndpointBelief:
    """One endpoint: its entry, the work it has, and how it did lately.

    ``is_doubtful``: its entry has vanished, for a reason that is not known yet.
    """

    entry: EndpointEntry
    running_here: int = 0
    running_at_peers: int = 0
    failures_in_a_row: int = 0
    ejected_until_s: float = 0.0
    is_doubtful: bool = False

    @property
    def load(self) -> float:
        """Requests under way, as a share of the slots."""
        return (self.running_here + self.running_at_peers) / max(1, self.entry.slots)


@attrs.frozen
class Wish:
    """What a request would like: the endpoint that holds its history, or shared parts."""

    endpoint: str = ""
    shared_part: str = ""


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
            belief.failures_in_a_row = 0
            belief.ejected_until_s = 0.0

    def note_failure(self, instance: str, now_s: float) -> None:
        """An endpoint could not be reached, or broke off."""
        belief = self._belief_by_instance.get(instance)
        if belief is None:
            return
        rest_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**belief.failures_in_a_row)
        belief.failures_in_a_row += 1
        belief.ejected_until_s = now_s + rest_s

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
        # Where all have failed lately, trying one is better than refusing.
        return self._best(well or sure, wish)

    def _best(self, candidates: list[EndpointBelief], wish: Wish) -> EndpointBelief | None:
        if not candidates:
            return None
        least = min(candidates, key=self._cost)
        for instance in self._wished(candidates, wish):
            belief = self._belief_by_instance[instance]
            if belief.load <= least.load + CACHE_SLACK:
                return belief
        return least

    def _wished(self, candidates: list[EndpointBelief], wish: Wish) -> list[str]:
        instances = [belief.entry.instance for belief in candidates]
        if wish.endpoint in instances:
            return [wish.endpoint]
        return rank(wish.shared_part, instances) if wish.shared_part else []

    def _cost(self, belief: EndpointBelief) -> tuple[float, str]:
        away = OTHER_HALL_COST if belief.entry.hall != self._hall else 0.0
        return belief.load + away, belief.entry.instance
