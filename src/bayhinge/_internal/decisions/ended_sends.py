"""Bounds how many endpoints one request may end, over all its attempts and hosts. Pure.

Each send that did not serve its request counts, however it failed: its endpoint may have ended, or
may be about to. It counts until the endpoint answers what was sent after its run was over; if that
is found to have ended, it counts as an end. An answer that serves the request clears all its sends.
All times are in seconds on the host's monotonic clock.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator

from bayhinge._internal.decisions.ended_send_history import (
    KEEP_S,
    TRIAL_S,
    BrokenSend,
    Fate,
    Knowledge,
    RequestHistory,
    RequestKey,
    SendUnderWay,
    digest_of,
)
from bayhinge._internal.decisions.send_permission import Permission, permission_of
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation

ALIVE_AFTER_S = 6.0
"""An answer to a request that was sent so long after the broken send proves that its endpoint goes
on. A shorter time would not: until the store tells, a later incarnation may be taken for it."""

MAX_REQUESTS = 1024
"""Requests remembered at a time, of some 4 KB each at most."""

MAX_SENDS = 8
"""Sends remembered of one request; more than are needed to decide."""

TOLD_WITHIN_S = 2.0
"""News is told for the second time within this time."""

EVICTION_CANDIDATES = 8
"""Requests compared when one has to be forgotten, so that a storm of failures stays cheap."""


class EndedSends:
    """The requests under which endpoints ended or may have ended, as one host knows them."""

    def __init__(self) -> None:
        # In the order of their last change. In a plain dict, finding the oldest would take as long
        # as there were requests before it.
        self._history_by_key: OrderedDict[RequestKey, RequestHistory] = OrderedDict()
        self._keys_by_incarnation: dict[EndpointIncarnation, set[RequestKey]] = {}

    def __len__(self) -> int:
        """Returns how many requests are remembered."""
        return len(self._history_by_key)

    def ended(self, key: RequestKey) -> list[EndpointIncarnation]:
        """Returns the endpoints that ended under a request."""
        history = self._history_by_key.get(key)
        return [] if history is None else history.ended()

    def counting(self, key: RequestKey) -> list[tuple[EndpointIncarnation, BrokenSend]]:
        """Returns the endpoints that ended under a request or may have, with their sends."""
        history = self._history_by_key.get(key)
        counting = [] if history is None else history.counting()
        return [(each, self._send(key, each)) for each in counting]

    def failures(self, key: RequestKey) -> int:
        """Returns how many endpoints ended under a request, broke it off or were silent."""
        history = self._history_by_key.get(key)
        return 0 if history is None else len(history.send_by_incarnation)

    def undecided(self, key: RequestKey) -> list[EndpointIncarnation]:
        """Returns the endpoints that did not serve a request, and may have ended."""
        history = self._history_by_key.get(key)
        return [] if history is None else history.undecided()

    def settled_from_s(self, key: RequestKey) -> float:
        """Returns from when an endpoint in doubt can show that it goes on; infinity for none."""
        over = (self._send(key, each).over_s for each in self.undecided(key))
        return min(over, default=math.inf)

    def doubted_at(self, incarnation: EndpointIncarnation, now_s: float) -> list[RequestKey]:
        """Returns the requests that an endpoint broke off, if it may yet have ended under them."""
        return [
            key
            for key in self._keys_by_incarnation.get(incarnation, ())
            if self._history_by_key[key].may_have_ended(incarnation, now_s)
        ]

    def has_undecided(self, incarnation: EndpointIncarnation, now_s: float) -> bool:
        """Whether an endpoint has broken off a request and may yet be found to have ended."""
        return bool(self.doubted_at(incarnation, now_s))

    def knowledge(self, key: RequestKey, now_s: float) -> "Knowledge":
        """Returns what this host knows of a request, for its log."""
        history = self._history_by_key.get(key, RequestHistory())
        sends = history.send_by_incarnation.values()
        newest_s = max((send.broken_s for send in sends), default=now_s)
        return Knowledge(
            tuple(each.endpoint for each in history.ended()),
            tuple(each.endpoint for each in history.undecided()),
            history.running(now_s),
            now_s - newest_s,
        )

    def own_doubts(self) -> dict[EndpointIncarnation, list[BrokenSend]]:
        """Returns the endpoints that are in doubt after sends of this host, with the sends."""
        sends_by_incarnation = {
            incarnation: [self._send(key, incarnation) for key in keys]
            for incarnation, keys in self._keys_by_incarnation.items()
        }
        return {
            incarnation: own
            for incarnation, sends in sends_by_incarnation.items()
            if (own := [each for each in sends if each.is_own and each.fate is Fate.BROKEN])
        }

    def _send(self, key: RequestKey, incarnation: EndpointIncarnation) -> BrokenSend:
        return self._history_by_key[key].send_by_incarnation[incarnation]

    def failed_endpoints(self, key: RequestKey) -> frozenset[str]:
        """Returns the endpoints that ended under a request, or may have: it should avoid them."""
        history = self._history_by_key.get(key)
        return frozenset() if history is None else frozenset(e.endpoint for e in history.counting())

    def all_counting(
        self, now_s: float
    ) -> Iterator[tuple[RequestKey, EndpointIncarnation, BrokenSend]]:
        """Yields each end that still counts, and each send whose endpoint may have ended."""
        for key, history in self._history_by_key.items():
            for incarnation in history.counting():
                send = history.send_by_incarnation[incarnation]
                if send.broken_s >= now_s - KEEP_S:
                    yield key, incarnation, send

    def digest(self, now_s: float) -> int:
        """Returns a number that is the same at all hosts that remember the same, 0 if nothing.

        What became known a moment ago is left out, as it is being told.
        """
        digest = 0
        for key, incarnation, send in self.all_counting(now_s):
            if send.broken_s <= now_s - TOLD_WITHIN_S:
                digest ^= digest_of(key, incarnation, send.fate)
        return digest

    # ---- decisions ----

    def permission(
        self,
        key: RequestKey,
        now_s: float,
        claim: SendUnderWay | None = None,
    ) -> Permission:
        """Decides whether a request may be sent to one more endpoint now.

        Args:
            key: the request.
            now_s: the present time.
            claim: the send in question, if other hosts were told that it is about to begin; only
                those that come before it count.
        """
        history = self._history_by_key.get(key)
        if history is None:
            return Permission.FREE
        if history.is_over(now_s):
            self.forget(key)
            return Permission.FREE
        return permission_of(key, history, now_s, claim)

    def has_failed(self, key: RequestKey) -> bool:
        """Whether endpoints ended under a request, or may have."""
        return bool(self.failed_endpoints(key))

    def trial_endpoints(self, key: RequestKey, now_s: float) -> frozenset[str]:
        """Returns the endpoints at which other requests are on trial."""
        return frozenset(
            send.endpoint
            for other, history in self._history_by_key.items()
            if other != key
            for send in history.under_way.values()
            if send.is_trial and send.until_s > now_s
        )

    # ---- this host's sends ----

    def begin_send(
        self,
        key: RequestKey,
        endpoint: str,
        is_trial: bool,
        number: int = 0,
        now_s: float = 0.0,
        is_told: bool = False,
    ) -> SendUnderWay | None:
        """Counts a send of a remembered request; returns None if it is none."""
        history = self._history_by_key.get(key)
        if history is None:
            return None
        send = SendUnderWay(endpoint, number, now_s, is_trial=is_trial, is_told=is_told)
        history.under_way[endpoint, number] = send
        return send

    def end_send(self, key: RequestKey, endpoint: str, number: int = 0) -> None:
        """Ends the count of a send for which ``begin_send`` returned one."""
        history = self._history_by_key.get(key)
        if history is not None:
            history.under_way.pop((endpoint, number), None)

    def record_broken(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend
    ) -> BrokenSend:
        """Records a send that broke off; returns what is remembered of its endpoint."""
        known = self._known(key, incarnation, send)
        return self._add(key, incarnation, send) if known is None else known

    def record_served(self, key: RequestKey) -> list[EndpointIncarnation]:
        """Clears a request that an endpoint has answered in full; returns the ends and doubts."""
        history = self._history_by_key.get(key)
        if history is None:
            return []
        counted: list[EndpointIncarnation] = []
        for incarnation, send in history.send_by_incarnation.items():
            if send.fate in {Fate.BROKEN, Fate.ENDED}:
                counted.append(incarnation)
            send.fate = Fate.CLEARED
        return counted

    # ---- what is learned of endpoints ----

    def record_ended(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend, now_s: float
    ) -> bool:
        """Records that an endpoint ended under a request; returns whether that is new."""
        if send.broken_s < now_s - KEEP_S:
            return False
        known = self.record_broken(key, incarnation, send)
        if known.fate not in {Fate.BROKEN, Fate.ANSWERED}:
            return False
        known.fate = Fate.ENDED
        return True

    def record_endpoint_ended(
        self, incarnation: EndpointIncarnation, now_s: float
    ) -> list[RequestKey]:
        """Records the end of an endpoint; returns the requests for which that is new."""
        ended = self.doubted_at(incarnation, now_s)
        for key in ended:
            self._history_by_key[key].send_by_incarnation[incarnation].fate = Fate.ENDED
        return ended

    def record_endpoint_answered(
        self, incarnation: EndpointIncarnation, sent_s: float
    ) -> list[RequestKey]:
        """Ends the doubt in an endpoint that has answered what was sent at ``sent_s``.

        Returns the requests in question.
        """
        doubted: list[RequestKey] = []
        for key in self._keys_by_incarnation.get(incarnation, ()):
            send = self._send(key, incarnation)
            if send.fate is Fate.BROKEN and sent_s >= send.over_s:
                send.fate = Fate.ANSWERED
                doubted.append(key)
        return doubted

    def record_endpoint_alive(
        self, incarnation: EndpointIncarnation, sent_s: float
    ) -> list[RequestKey]:
        """Clears an endpoint that has answered a request sent at ``sent_s``.

        Returns the requests for which its end had counted.
        """
        cleared: list[RequestKey] = []
        for key in self._keys_by_incarnation.get(incarnation, ()):
            send = self._history_by_key[key].send_by_incarnation[incarnation]
            if sent_s < send.broken_s + ALIVE_AFTER_S or send.fate is Fate.CLEARED:
                continue
            if send.fate is Fate.ENDED:
                cleared.append(key)
            send.fate = Fate.CLEARED
        return cleared

    def send_of(self, key: RequestKey, incarnation: EndpointIncarnation) -> BrokenSend | None:
        """Returns a request's broken send to an endpoint, if it is remembered."""
        history = self._history_by_key.get(key)
        return None if history is None else history.send_by_incarnation.get(incarnation)

    # ---- what other hosts tell ----

    def record_doubt(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend, now_s: float
    ) -> bool:
        """Records another host's doubt in an endpoint; returns whether that is new."""
        if send.broken_s < now_s - KEEP_S:
            return False
        return self.record_broken(key, incarnation, send) is send

    def record_answered(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend
    ) -> None:
        """Ends the doubt in an endpoint for a request, also where news of it comes later."""
        known = self.record_broken(key, incarnation, send)
        if known.fate is Fate.BROKEN:
            known.fate = Fate.ANSWERED

    def record_cleared(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend
    ) -> None:
        """Clears an endpoint for a request, also where news of its end comes later."""
        self.record_broken(key, incarnation, send).fate = Fate.CLEARED

    def record_trial(
        self,
        key: RequestKey,
        endpoint: str,
        now_s: float,
        number: int = 0,
        is_trial: bool = True,
    ) -> None:
        """Records that another host has begun a send, or is about to."""
        send = SendUnderWay(endpoint, number, now_s, now_s + TRIAL_S, False, is_trial)
        self._touch(key).under_way[endpoint, number] = send

    def record_trial_over(self, key: RequestKey, endpoint: str, number: int = 0) -> None:
        """Records that another host's send has ended."""
        self.end_send(key, endpoint, number)

    # ---- bounds ----

    def forget(self, key: RequestKey) -> None:
        """Forgets a request."""
        history = self._history_by_key.pop(key, None)
        if history is not None:
            for incarnation in history.send_by_incarnation:
                self._unindex(key, incarnation)

    def forget_old(self, now_s: float) -> None:
        """Forgets the requests whose time is over."""
        over = [key for key, history in self._history_by_key.items() if history.is_over(now_s)]
        for key in over:
            self.forget(key)

    def _known(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend
    ) -> BrokenSend | None:
        """Returns what is remembered of a send, unless that is about an earlier one."""
        known = self._touch(key).send_by_incarnation.get(incarnation)
        if known is None or known.fate is Fate.ENDED:
            return known
        return None if known.is_before(send) else known

    def _touch(self, key: RequestKey) -> RequestHistory:
        """Returns a request's history as the one that changed last."""
        history = self._history_by_key.get(key)
        if history is None:
            if len(self._history_by_key) >= MAX_REQUESTS:
                self._forget_one()
            history = self._history_by_key[key] = RequestHistory()
        self._history_by_key.move_to_end(key)
        return history

    def _forget_one(self) -> None:
        """Forgets one of the oldest requests, that under which fewest endpoints ended.

        Requests that ran beside others, and lost an endpoint once, must not displace those under
        which endpoints end.
        """
        oldest = itertools.islice(self._history_by_key, EVICTION_CANDIDATES)
        self.forget(min(oldest, key=self._weight))

    def _weight(self, key: RequestKey) -> tuple[int, int]:
        history = self._history_by_key[key]
        return len(history.ended()), len(history.undecided())

    def _add(
        self, key: RequestKey, incarnation: EndpointIncarnation, send: BrokenSend
    ) -> BrokenSend:
        history = self._history_by_key[key]
        is_known = incarnation in history.send_by_incarnation
        if not is_known and len(history.send_by_incarnation) >= MAX_SENDS:
            oldest = history.oldest()
            del history.send_by_incarnation[oldest]
            self._unindex(key, oldest)
        history.send_by_incarnation[incarnation] = send
        self._keys_by_incarnation.setdefault(incarnation, set()).add(key)
        return send

    def _unindex(self, key: RequestKey, incarnation: EndpointIncarnation) -> None:
        keys = self._keys_by_incarnation[incarnation]
        keys.discard(key)
        if not keys:
            del self._keys_by_incarnation[incarnation]
