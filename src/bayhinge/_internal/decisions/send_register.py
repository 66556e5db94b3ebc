"""The sends of requests that one host was told of, its own among them. Pure.

A send is known before its bytes leave, and until it has served its request. All times are in
seconds on the host's monotonic clock.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.decisions.known_sends import (
    KnownSend,
    RequestKey,
    SendChange,
    SendStage,
)

MAX_REQUESTS = 4096
"""Requests remembered at a time, of some 1 KB each, and 4 KB at most."""

MAX_SENDS = 8
"""Sends remembered of one request; more than are needed to decide."""

EVICTION_CANDIDATES = 8
"""Requests compared when one has to be forgotten, so that a storm of failures stays cheap."""


class SendRegister:
    """The sends that a host knows, in the order in which it was told of them."""

    def __init__(self) -> None:
        # In the order of their last change. In a plain dict, finding the oldest would take as long
        # as there were requests before it.
        self._sends_by_key: OrderedDict[RequestKey, dict[int, KnownSend]] = OrderedDict()
        self._key_by_number: dict[int, RequestKey] = {}

    def __len__(self) -> int:
        """Returns how many requests are remembered."""
        return len(self._sends_by_key)

    def sends(self, key: RequestKey) -> list[KnownSend]:
        """Returns the known sends of a request."""
        return list(self._sends_by_key.get(key, {}).values())

    def key_of(self, number: int) -> RequestKey | None:
        """Returns the request of a send, if it is known."""
        return self._key_by_number.get(number)

    def unfinished(self) -> Iterator[tuple[RequestKey, list[KnownSend]]]:
        """Yields the requests with sends that their endpoints are not known to have outlived."""
        for key, sends in self._sends_by_key.items():
            counting = [
                send
                for send in sends.values()
                if send.counts and send.stage is not SendStage.CLAIMED
            ]
            if counting:
                yield key, counting

    def claim(self, key: RequestKey, send: KnownSend, now_s: float) -> list[KnownSend]:
        """Adds a send that is about to begin; returns those that were known before it.

        One that is claimed again keeps its place in the order.
        """
        earlier: list[KnownSend] = []
        for known in self.sends(key):
            if known.number == send.number:
                break
            if not known.is_past(now_s):
                earlier.append(known)
        else:
            self._add(key, send)
        return earlier

    def learn(self, key: RequestKey, sends: Iterable[KnownSend]) -> None:
        """Adds what another host knows of a request."""
        for send in sends:
            known = self._sends_by_key.get(key, {}).get(send.number)
            if known is None:
                self._add(key, send)
            elif send.stage > known.stage:
                self._sends_by_key[key][send.number] = send

    def change(self, change: SendChange) -> None:
        """Records what has become known of a send, if that is known here."""
        key = self._key_by_number.get(change.number)
        if key is not None:
            sends = self._sends_by_key[key]
            sends[change.number] = sends[change.number].changed(change)

    def withdraw(self, number: int) -> None:
        """Forgets a send that did not run."""
        key = self._key_by_number.pop(number, None)
        if key is None:
            return
        sends = self._sends_by_key[key]
        del sends[number]
        if not sends:
            del self._sends_by_key[key]

    def record_served(self, number: int) -> list[KnownSend]:
        """Records that a send has served its request; returns those that count no longer.

        Sends that are still under way may yet end their endpoints.
        """
        key = self._key_by_number.get(number)
        if key is None:
            return []
        self.withdraw(number)
        over = [send for send in self.sends(key) if not send.is_under_way]
        for send in over:
            cleared = attrs.evolve(send, stage=SendStage.CLEARED)
            self._sends_by_key[key][send.number] = cleared
        return [send for send in over if send.stage in {SendStage.UNSERVED, SendStage.ENDED}]

    # ---- bounds ----

    def forget(self, key: RequestKey) -> None:
        """Forgets a request."""
        for number in self._sends_by_key.pop(key, {}):
            del self._key_by_number[number]

    def forget_old(self, now_s: float) -> None:
        """Forgets the sends whose time is over."""
        past = [
            send.number
            for sends in self._sends_by_key.values()
            for send in sends.values()
            if send.is_past(now_s)
        ]
        for number in past:
            self.withdraw(number)

    def _add(self, key: RequestKey, send: KnownSend) -> None:
        if key not in self._sends_by_key and len(self) >= MAX_REQUESTS:
            self._forget_one()
        sends = self._sends_by_key.setdefault(key, {})
        if len(sends) >= MAX_SENDS:
            least = min(sends.values(), key=_weight)
            del sends[least.number], self._key_by_number[least.number]
        sends[send.number] = send
        self._key_by_number[send.number] = key
        self._sends_by_key.move_to_end(key)

    def _forget_one(self) -> None:
        """Forgets one of the oldest requests, that with fewest sends that have failed.

        Requests that ran beside others, and lost an endpoint once, must not displace those under
        which endpoints end.
        """
        oldest = itertools.islice(self._sends_by_key, EVICTION_CANDIDATES)
        self.forget(min(oldest, key=lambda key: sorted(map(_weight, self.sends(key)))[::-1]))


def _weight(send: KnownSend) -> tuple[bool, bool, float]:
    """Orders sends by how much they matter."""
    return send.stage is SendStage.ENDED, send.stage is SendStage.UNSERVED, send.sent_s
