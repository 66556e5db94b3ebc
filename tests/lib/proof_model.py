"""A drawn model of hosts that prove to each other that their configuration is the newest.

Time is real time; each host has a clock of its own, which begins anywhere and runs at its own rate.
Questions and answers wait on their way as long as they like, and get lost; hosts freeze, so that
what comes for them waits, and their clocks run on. The decisions are the product's own. All that
happens is drawn as steps with delays and played in the order of time; after each of them it is
worked out until when each host would let keys in, and which were taken away too long before.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.decisions.proof_age import (
    FreshnessProof,
    FreshnessProofs,
    confirmed_by_peer,
    proof_bounds,
)

BOUND_S = 5.0
"""How long a key may be served after it was taken away."""

WORST_RATE = 0.02
"""Part by which a clock may be fast or slow."""

HOSTS = 3
hosts = st.integers(0, HOSTS - 1)
delays = st.sampled_from([0.0, 0.01, 0.4, 1.5, 3.0])


@attrs.define
class Host:
    """One host: its clock, what it knows, until when it is frozen and how long it was."""

    rate: float
    offset_s: float
    known_revision: int = 0
    proofs: FreshnessProofs = attrs.field(factory=FreshnessProofs)
    frozen_until_s: float = 0.0
    frozen_s: float = 0.0


class ProofModel(RuleBasedStateMachine):
    """The guards, each in a method of its own, so that mutants can leave one out."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        # When the store took each revision; every one takes a key away.
        self.taken_s = [0.0]
        self.hosts = [Host(1.0 + (n - 1) * WORST_RATE, 1000.0 * n) for n in range(HOSTS)]
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    # ---- the guards ----

    def clock_s(self, host: Host) -> float:
        """Runs on while the host is frozen."""
        return host.offset_s + self.now_s * host.rate

    def store_proof(self, revision: int, asked_s: float, got_s: float) -> FreshnessProof:
        """Counts from when the store was asked."""
        return FreshnessProof(revision, asked_s)

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        """Counts from when the peer was asked, and from the age that it told."""
        return confirmed_by_peer(revision, age_s, asked_s)

    def knows_enough(self, host: Host) -> int:
        """The revision up to which proofs count."""
        return host.known_revision

    def bound_s(self) -> float:
        """The oldest proof that lets a key in."""
        return proof_bounds(BOUND_S).admit_s

    def hear_nothing(self, host: Host) -> None:
        """A watch ended without news: it proves nothing, for it may hang."""

    # ---- what happens ----

    @rule(step_s=st.sampled_from([0.05, 0.5, 1.0, 2.5]))
    def time_passes(self, step_s: float) -> None:
        """Plays what is due within the time."""
        end_s = self.now_s + step_s
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, happens = heapq.heappop(self._due)
            happens()
            self.no_key_is_let_in_too_late()
        self.now_s = end_s

    @rule()
    def a_key_is_taken_away(self) -> None:
        """Nobody hears of it yet."""
        self.taken_s.append(self.now_s)

    @rule(number=hosts, lag=st.integers(0, 1))
    def a_watch_tells(self, number: int, lag: int) -> None:
        """A host learns of all revisions, or of all but the newest."""
        host = self.hosts[number]
        if self.runs(host):
            host.known_revision = max(host.known_revision, len(self.taken_s) - 1 - lag)

    @rule(number=hosts)
    def a_watch_is_silent(self, number: int) -> None:
        """Its wait is over, and it has brought nothing."""
        if self.runs(self.hosts[number]):
            self.hear_nothing(self.hosts[number])

    @rule(number=hosts, for_s=delays)
    def freezes(self, number: int, for_s: float) -> None:
        """A host stands still, and what comes for it waits."""
        host = self.hosts[number]
        if self.runs(host):
            host.frozen_until_s = self.now_s + for_s
            host.frozen_s += for_s

    @rule(number=hosts, there_s=delays, back_s=delays)
    def the_store_is_asked(self, number: int, there_s: float, back_s: float) -> None:
        """The question is on its way for a while, and so is its answer."""
        host = self.hosts[number]
        if not self.runs(host):
            return
        asked_s = self.clock_s(host)

        def answers() -> None:
            revision = len(self.taken_s) - 1
            self.at(self.now_s + back_s, lambda: self.runs_on(host, lambda: arrives(revision)))

        def arrives(revision: int) -> None:
            # The store's answer holds the object itself.
            host.known_revision = max(host.known_revision, revision)
            host.proofs.record(self.store_proof(revision, asked_s, self.clock_s(host)))

        self.at(self.now_s + there_s, answers)

    @rule(number=hosts, other=st.integers(1, HOSTS - 1), there_s=delays, back_s=delays)
    def a_peer_is_asked(self, number: int, other: int, there_s: float, back_s: float) -> None:
        """The peer answers with its proof and that one's age."""
        host, peer = self.hosts[number], self.hosts[(number + other) % HOSTS]
        if not self.runs(host):
            return
        asked_s = self.clock_s(host)

        def answers() -> None:
            proof = peer.proofs.newest(self.knows_enough(peer))
            if proof is not None:
                age_s = self.clock_s(peer) - proof.asked_s
                back = self.now_s + back_s
                self.at(back, lambda: self.runs_on(host, lambda: arrives(proof.revision, age_s)))

        def arrives(revision: int, age_s: float) -> None:
            host.proofs.record(self.peer_proof(revision, age_s, asked_s, self.clock_s(host)))

        self.at(self.now_s + there_s, lambda: self.runs_on(peer, answers))

    # ---- inside ----

    def runs(self, host: Host) -> bool:
        """Tells whether a host is not frozen."""
        return self.now_s >= host.frozen_until_s

    def at(self, due_s: float, happens: Callable[[], None]) -> None:
        """Plays something later."""
        heapq.heappush(self._due, (due_s, next(self._numbers), happens))

    def runs_on(self, host: Host, happens: Callable[[], None]) -> None:
        """Plays something at a host, once it runs."""
        if self.runs(host):
            happens()
        else:
            self.at(host.frozen_until_s, lambda: self.runs_on(host, happens))

    @invariant()
    def no_key_is_let_in_too_late(self) -> None:
        """Looks ahead: if nothing else happens, until when does each host let keys in?"""
        for host in self.hosts:
            age_s = host.proofs.age_s(self.knows_enough(host), self.clock_s(host))
            unknown = self.taken_s[host.known_revision + 1 :]
            if math.isinf(age_s) or not unknown:
                continue
            lets_in_until_s = self.now_s + (self.bound_s() - age_s) / host.rate
            if lets_in_until_s < max(self.now_s, host.frozen_until_s):
                continue
            late_s = lets_in_until_s - unknown[0]
            assert late_s <= BOUND_S + 1e-9, f"lets in {late_s:.2f} s after the key was taken away"
