"""Stateful model of hosts that confirm to each other that their configuration is current.

Each host has a clock with its own offset and rate. Messages may be delayed or lost; a frozen host
handles messages later while its clock runs on. The decisions are those of the source. Events are
drawn with delays and played in order of time; after each of them an invariant checks that no host
would accept a key longer than the bound after its revocation.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.decisions.freshness_proofs import (
    FreshnessProof,
    FreshnessProofs,
    confirmed_by_peer,
    proof_bounds,
)

BOUND_S = 5.0
"""A key may be accepted so long after its revocation."""

MAX_RATE_ERROR = 0.02
"""Largest relative error of a clock's rate."""

HOSTS = 3
hosts = st.integers(0, HOSTS - 1)
delays = st.sampled_from([0.0, 0.01, 0.4, 1.5, 3.0])


@attrs.define
class Host:
    """One host: its clock, its configuration and proofs, and its frozen time."""

    rate: float
    offset_s: float
    known_revision: int = 0
    proofs: FreshnessProofs = attrs.field(factory=FreshnessProofs)
    frozen_until_s: float = 0.0
    frozen_s: float = 0.0


class ProofModel(RuleBasedStateMachine):
    """The model; each guard is a method, so that a mutant can override it.

    Hypothesis sorts the rules by name, so renaming one may change the draws of a seed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        # Time of each revision's write; every revision revokes a key.
        self.revoked_s = [0.0]
        self.hosts = [Host(1.0 + (n - 1) * MAX_RATE_ERROR, 1000.0 * n) for n in range(HOSTS)]
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    # ---- the guards ----

    def clock_s(self, host: Host) -> float:
        """Returns the host's clock, which runs on while the host is frozen."""
        return host.offset_s + self.now_s * host.rate

    def store_proof(self, revision: int, asked_s: float, got_s: float) -> FreshnessProof:
        """Dates a proof by the time of the request to the store."""
        return FreshnessProof(revision, asked_s)

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        """Dates a proof by the time of the request to the peer, less the age that it reported."""
        return confirmed_by_peer(revision, age_s, asked_s)

    def max_valid_revision(self, host: Host) -> int:
        """Returns the newest revision of which proofs are valid at the host."""
        return host.known_revision

    def max_proof_age_s(self) -> float:
        """Returns the largest age of a proof with which keys are accepted."""
        return proof_bounds(BOUND_S).admit_s

    def handle_silent_watch(self, host: Host) -> None:
        """Handles a watch without updates; it proves nothing, as the watch may hang."""

    # ---- events ----

    @rule(step_s=st.sampled_from([0.05, 0.5, 1.0, 2.5]))
    def wait(self, step_s: float) -> None:
        """Advances the time and runs the events that are due."""
        end_s = self.now_s + step_s
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._due)
            event()
            self.no_revoked_key_is_accepted_after_the_bound()
        self.now_s = end_s

    @rule()
    def add_revocation(self) -> None:
        """Revokes a key in the store; no host knows of it yet."""
        self.revoked_s.append(self.now_s)

    @rule(number=hosts, lag=st.integers(0, 1))
    def deliver_updates(self, number: int, lag: int) -> None:
        """Delivers all revisions to a host, or all but the newest."""
        host = self.hosts[number]
        if self.is_running(host):
            host.known_revision = max(host.known_revision, len(self.revoked_s) - 1 - lag)

    @rule(number=hosts)
    def complete_watch_without_updates(self, number: int) -> None:
        """Ends a watch without updates."""
        if self.is_running(self.hosts[number]):
            self.handle_silent_watch(self.hosts[number])

    @rule(number=hosts, for_s=delays)
    def freeze_host(self, number: int, for_s: float) -> None:
        """Freezes a host; its messages wait until it runs again."""
        host = self.hosts[number]
        if self.is_running(host):
            host.frozen_until_s = self.now_s + for_s
            host.frozen_s += for_s

    @rule(number=hosts, request_s=delays, answer_s=delays)
    def read_store(self, number: int, request_s: float, answer_s: float) -> None:
        """Asks the store for the configuration, with delays both ways."""
        host = self.hosts[number]
        if not self.is_running(host):
            return
        asked_s = self.clock_s(host)

        def on_request() -> None:
            revision = len(self.revoked_s) - 1
            self.schedule(
                self.now_s + answer_s, lambda: self.run_at_host(host, lambda: on_answer(revision))
            )

        def on_answer(revision: int) -> None:
            # The store's answer contains the object itself.
            host.known_revision = max(host.known_revision, revision)
            host.proofs.record(self.store_proof(revision, asked_s, self.clock_s(host)))

        self.schedule(self.now_s + request_s, on_request)

    @rule(number=hosts, other=st.integers(1, HOSTS - 1), request_s=delays, answer_s=delays)
    def ask_peer(self, number: int, other: int, request_s: float, answer_s: float) -> None:
        """Asks a peer, which answers with the revision and the age of its proof."""
        host, peer = self.hosts[number], self.hosts[(number + other) % HOSTS]
        if not self.is_running(host):
            return
        asked_s = self.clock_s(host)

        def on_request() -> None:
            proof = peer.proofs.newest(self.max_valid_revision(peer))
            if proof is not None:
                age_s = self.clock_s(peer) - proof.asked_s
                arrival_s = self.now_s + answer_s
                self.schedule(
                    arrival_s,
                    lambda: self.run_at_host(host, lambda: on_answer(proof.revision, age_s)),
                )

        def on_answer(revision: int, age_s: float) -> None:
            host.proofs.record(self.peer_proof(revision, age_s, asked_s, self.clock_s(host)))

        self.schedule(self.now_s + request_s, lambda: self.run_at_host(peer, on_request))

    # ---- scheduling ----

    def is_running(self, host: Host) -> bool:
        """Returns whether a host is not frozen."""
        return self.now_s >= host.frozen_until_s

    def schedule(self, due_s: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        heapq.heappush(self._due, (due_s, next(self._sequence), event))

    def run_at_host(self, host: Host, event: Callable[[], None]) -> None:
        """Runs an event at a host as soon as it is not frozen."""
        if self.is_running(host):
            event()
        else:
            self.schedule(host.frozen_until_s, lambda: self.run_at_host(host, event))

    @invariant()
    def no_revoked_key_is_accepted_after_the_bound(self) -> None:
        """Checks until when each host would accept revoked keys if nothing else happened."""
        for host in self.hosts:
            age_s = host.proofs.age_s(self.max_valid_revision(host), self.clock_s(host))
            unseen_revocations_s = self.revoked_s[host.known_revision + 1 :]
            if math.isinf(age_s) or not unseen_revocations_s:
                continue
            accepts_until_s = self.now_s + (self.max_proof_age_s() - age_s) / host.rate
            if accepts_until_s < max(self.now_s, host.frozen_until_s):
                continue
            late_s = accepts_until_s - unseen_revocations_s[0]
            assert late_s <= BOUND_S + 1e-9, f"lets in {late_s:.2f} s after the key was taken away"
