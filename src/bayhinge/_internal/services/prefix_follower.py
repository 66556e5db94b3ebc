"""Follows the objects under one prefix of the store, also through outages of the store.

Updates come from a watch, a long poll. A watch may hang, and a host may be rejected while others
are served, so a host also observes the revisions that its peers have seen, and fetches the
objects from a peer if its own watch falls behind.

The store never answers calls that were sent before or during an outage, even after its recovery.
So a failing store is polled with calls that do not wait, and a watch is renewed as soon as any call
of the process succeeds. If no call failed during an outage, the revision in another watch's answer
shows that this one is outdated; then it is renewed too.
"""

import asyncio
import contextlib
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs
import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts.ttypes import KnownObjects, ObjectsQuery
from bayhinge.coordination.errors import HistoryLostError, StoreError
from bayhinge.coordination.store import Change, PollingStore, StoredObject, list_all

RETRY_S = 0.5
"""Mean pause, with 50 % jitter, after the second and later failures in a row. After the first one
there is none: a watch that timed out shows nothing about the store's present state."""

MAX_RECOVERY_WAIT_S = 5.0
"""Longest wait of a follower for the store's recovery while another one of the process polls it."""

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 0.8
"""Pause after a watch call that returned changes, doubled while changes continue, because each
call is paid for."""

PEER_FETCH_DELAY_S = 0.3
"""Time for the own watch to return a revision that a peer has seen, before it is fetched."""

UNWATCHED_FETCH_DELAY_S = 0.03
"""The same for a host without a watch or without any state; changes that come together need only
one fetch."""

WATCHER_CHECK_S = 0.6
"""How often a host without a watch checks whether it should watch."""

RENEW_AFTER_S = 2.0
"""A watch older than this is renewed when the changes of another one show that the store has
advanced. Younger ones are not: with frequent changes, each would renew every other watch."""

AFTER_OUTAGE_S = 2.0
"""For so long after the store's recovery, removed entries may have expired during the outage."""

FIRST_LIST_DELAY_S = (0.5, 2.5)
"""Range of the random delay before a host lists the objects at the first start of a site, unless a
peer has sent them before; saves list calls."""

PEER_CALL_TIMEOUT_S = 0.5
"""Timeout of a fetch from a peer."""


class ObjectListener(ABC):
    """Receives the objects and their changes.

    ``is_after_outage`` is true shortly after the store's recovery: entries that others must renew
    may have expired during the outage, and will soon be written again.
    """

    @abstractmethod
    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        """Replaces the whole state."""

    @abstractmethod
    def apply(self, change: Change, is_after_outage: bool) -> None:
        """Applies one change."""


@attrs.define(eq=False, repr=False)
class StoreHealth:
    """Since when this follower's calls have failed, on the loop's clock; None while they succeed.

    :class:`StoreAvailability` covers the calls of all clients of the process.
    """

    failing_since_s: float | None = None


class PrefixFollower:
    """Keeps a copy of the objects under one prefix up to date.

    Attributes:
        prefix: the objects' prefix, which ends in a slash.
        revision: the store's revision of the newest known change under the prefix.
        complete_to: the store's revision up to which no change is missing; 0 without any state.
        value_by_key: the known objects.
        health: since when the calls have failed.
        last_refresh_s: when a watch was answered or the whole state was replaced, on the loop's
            clock.
        first_list_delay_s: how long :meth:`run` waits for a peer's objects before the first list.
        should_watch: returns whether this host should watch the prefix; other hosts rely on peers.
        on_change: called after each single change, not when the whole state is replaced.
    """

    def __init__(
        self,
        store: PollingStore,
        prefix: str,
        next_watch_timeout_s: Callable[[], float],
        listener: ObjectListener,
        peers: Peers,
    ) -> None:
        """Registers with the store's availability; :meth:`run` starts the follower.

        Args:
            store: the store to follow.
            prefix: the objects' prefix, which ends in a slash.
            next_watch_timeout_s: returns how many seconds a watch that starts now should wait.
            listener: receives the objects and their changes.
            peers: the connections to other hosts.
        """
        self._store = store
        self.prefix = prefix
        self._next_watch_timeout_s = next_watch_timeout_s
        self._listener = listener
        self._peers = peers
        # Revision after which the next watch starts; 0: the objects must be listed first.
        self._cursor = 0
        self._poll_pause_s = 0.0
        self._poll: asyncio.Task[None] | None = None
        self._is_fetching = False
        self._is_stopped = False
        self._call_started_s: float | None = None
        self._store_revision_at_call = 0
        # Last result of should_watch(); None before the first one.
        self._was_watching: bool | None = None
        self._peer_reported_recovery_s = -math.inf
        self.revision = 0
        self.complete_to = 0
        self.value_by_key: dict[str, bytes] = {}
        self.health = StoreHealth()
        self.first_list_delay_s = 0.0
        self._has_state = asyncio.Event()
        self.last_refresh_s = 0.0
        self.should_watch: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None
        store.availability.on_recovery.append(self._renew)
        store.availability.on_watch_answer.append(self._renew_if_outdated)

    async def run(self) -> None:
        """Follows the prefix until it is stopped or cancelled."""
        await self._wait_for_peers()
        while not self._is_stopped:
            try:
                if self._cursor == 0:
                    await self._list()
                if not self._check_should_watch():
                    await asyncio.sleep(WATCHER_CHECK_S)
                    continue
                self._poll = asyncio.ensure_future(self._poll_once())
                await asyncio.wait([self._poll])
                if not self._poll.cancelled():
                    self._poll.result()
            except HistoryLostError:
                self._cursor = 0
            except StoreError as error:
                is_first = not self.is_failing
                self._record_failure(error)
                if not is_first:
                    await self._pause_before_next_try()
            finally:
                self._call_started_s = None
                if self._poll is not None:
                    self._poll.cancel()

    async def _wait_for_peers(self) -> None:
        """Waits for ``first_list_delay_s`` seconds, or until a peer has sent the objects."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.first_list_delay_s):
                await self._has_state.wait()

    async def _pause_before_next_try(self) -> None:
        availability = self._store.availability
        if availability.may_probe(self):
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        else:
            await availability.wait_for_recovery(MAX_RECOVERY_WAIT_S)

    def stop(self) -> None:
        """Cancels a pending watch, and ends :meth:`run` after a pending list.

        Failures after this are not recorded.
        """
        self._is_stopped = True
        if self._poll is not None:
            self._poll.cancel()

    @property
    def is_failing(self) -> bool:
        """Whether the last completed call failed."""
        return self.health.failing_since_s is not None

    @property
    def known_revision(self) -> int:
        """The newest revision that the known state includes; older changes may be missing."""
        return max(self.revision, self.complete_to)

    def snapshot(self) -> KnownObjects:
        """Returns the objects and their revision, for a peer."""
        return KnownObjects(
            self.revision, self.value_by_key, self.complete_to, self._is_after_outage()
        )

    def observe_revision(self, revision: int, peer_address: str) -> None:
        """Observes a revision that a peer has seen; fetches from it if the watch is behind."""
        if self._is_behind(revision) and not self._is_fetching:
            self._is_fetching = True
            self._fetching = asyncio.ensure_future(self._fetch(revision, peer_address))

    def apply_object(self, stored: StoredObject) -> None:
        """Applies an object that was read by itself, if it is newer than the known state.

        Earlier changes of other objects still come from the watch.
        """
        if self._is_behind(stored.version):
            self._apply(Change(stored.key, stored.value, stored.version, stored.version))

    def waiting_s(self) -> float:
        """Returns how long the pending call has been waiting, in seconds; 0 if there is none."""
        if self._call_started_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._call_started_s

    def _renew(self) -> None:
        """Cancels a pending watch, so that :meth:`run` sends a new one; a list call continues."""
        poll = self._poll
        if (
            poll is None
            or poll.done()
            or poll is asyncio.current_task()
            or self._call_started_s is None
        ):
            return
        eliot.log_message(
            "store.watch_renewed", prefix=self.prefix, waited_s=round(self.waiting_s(), 3)
        )
        # No pause before the new call: it would be time without a watch.
        self._poll_pause_s = 0.0
        poll.cancel()

    def _renew_if_outdated(self, has_changes: bool) -> None:
        """Renews a pending watch if the store has advanced since it was sent."""
        least_s = RENEW_AFTER_S if has_changes else 0.0
        is_behind = self._store_revision_at_call < self._store.availability.revision
        if is_behind and self.waiting_s() >= least_s:
            self._renew()

    def _is_after_outage(self) -> bool:
        recovered_s = max(self._peer_reported_recovery_s, self._store.availability.recovered_s)
        return asyncio.get_running_loop().time() - recovered_s <= AFTER_OUTAGE_S

    def _check_should_watch(self) -> bool:
        """Returns whether this host should watch, and logs when that changes."""
        should_watch = self.should_watch()
        if should_watch is not self._was_watching:
            self._was_watching = should_watch
            eliot.log_message("store.watcher", prefix=self.prefix, is_watching=should_watch)
        return should_watch

    def _is_behind(self, revision: int) -> bool:
        return revision > self.known_revision

    async def _list(self) -> None:
        """Lists the objects, sets the cursor, and replaces the state.

        The result is discarded if a peer has sent a newer state meanwhile.

        Raises:
            StoreError: the store did not answer or rejected a call.
        """
        self._call_started_s = asyncio.get_running_loop().time()
        complete_before = self.complete_to
        listing = await list_all(self._store, self.prefix)
        self._record_success()
        if complete_before < self.complete_to and listing.revision < self.complete_to:
            # A peer has sent a newer state while the list call was pending.
            self._cursor = self.complete_to
            return
        self._cursor = listing.revision
        last_change_revision = max((stored.version for stored in listing.objects), default=0)
        value_by_key = {stored.key: stored.value for stored in listing.objects}
        self._replace_state(
            KnownObjects(
                last_change_revision, value_by_key, listing.revision, self._is_after_outage()
            )
        )

    async def _poll_once(self) -> None:
        is_probe = self.is_failing
        if not is_probe:
            await asyncio.sleep(self._poll_pause_s)
        self._call_started_s = asyncio.get_running_loop().time()
        self._store_revision_at_call = self._store.availability.revision
        wait_s = 0.0 if is_probe else self._next_watch_timeout_s()
        page = await self._store.poll(self.prefix, self._cursor, wait_s)
        self._record_success()
        self._store.availability.record_watch_answer(page.revision, has_changes=bool(page.changes))
        self.last_refresh_s = asyncio.get_running_loop().time()
        doubled_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * self._poll_pause_s))
        self._poll_pause_s = doubled_s if page.changes else 0.0
        self._cursor = max(self._cursor, page.revision)
        for change in page.changes:
            self._apply(change)
        if page.changes:
            # Not for empty pages: a watch that hung returns without the changes it missed.
            self.complete_to = max(self.complete_to, page.revision)

    def _apply(self, change: Change) -> None:
        if change.value is None:
            self.value_by_key.pop(change.key, None)
        else:
            self.value_by_key[change.key] = change.value
        self.revision = max(self.revision, change.revision)
        self._listener.apply(change, self._is_after_outage())
        self.on_change()

    def _replace_state(self, state: KnownObjects) -> None:
        self.revision = max(self.revision, state.revision)
        self.complete_to = max(self.complete_to, state.complete_to)
        self.value_by_key = dict(state.value_by_key)
        self.last_refresh_s = asyncio.get_running_loop().time()
        self._has_state.set()
        if state.is_after_outage:
            # Reported to peers for half of AFTER_OUTAGE_S only, so that hosts do not keep
            # reporting the recovery to each other.
            self._peer_reported_recovery_s = max(
                self._peer_reported_recovery_s, self.last_refresh_s - AFTER_OUTAGE_S / 2
            )
        self._listener.replace_all(self.value_by_key, bool(state.is_after_outage))

    async def _fetch(self, revision: int, peer_address: str) -> None:
        try:
            is_waiting = bool(self.complete_to) and self.should_watch()
            await asyncio.sleep(PEER_FETCH_DELAY_S if is_waiting else UNWATCHED_FETCH_DELAY_S)
            if not self._is_behind(revision):
                return
            query = encode_message(ObjectsQuery(self.prefix))
            async with stall_tolerant_timeout(PEER_CALL_TIMEOUT_S):
                answer = await self._peers.call(peer_address, methods.OBJECTS, query)
            state = decode_message(KnownObjects(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            eliot.log_message("peer.objects_missed", prefix=self.prefix, why=str(error))
            return
        finally:
            self._is_fetching = False
        if state.complete_to <= self.complete_to:
            return
        eliot.log_message(
            "store.news_from_peer", prefix=self.prefix, before=self.revision, now=state.revision
        )
        self._replace_state(state)
        # The pending call missed this change, so it may miss the next one too.
        self._cursor = max(self._cursor, state.complete_to)
        if self._poll is not None:
            self._poll.cancel()

    def _record_failure(self, error: StoreError) -> None:
        if self._is_stopped:
            return
        waited_s = round(self.waiting_s(), 3)
        self._call_started_s = None
        what = "store.fails_again"
        if self.health.failing_since_s is None:
            self.health.failing_since_s = asyncio.get_running_loop().time()
            what = "store.lost"
        # The pause before the next call bounds the rate of these lines.
        eliot.log_message(what, prefix=self.prefix, waited_s=waited_s, why=str(error))

    def _record_success(self) -> None:
        waited_s = round(self.waiting_s(), 3)
        self._call_started_s = None
        if self.health.failing_since_s is None:
            return
        now = asyncio.get_running_loop().time()
        eliot.log_message(
            "store.regained",
            prefix=self.prefix,
            after_s=now - self.health.failing_since_s,
            waited_s=waited_s,
        )
        self.health.failing_since_s = None
