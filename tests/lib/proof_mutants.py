"""Mutants of the proof model, each without one guard."""

from bayhinge._internal.decisions.freshness_proofs import FreshnessProof
from tests.lib.proof_model import BOUND_S, Host, ProofModel


class DatesProofsByTheAnswer(ProofModel):
    """Dates the store's proof by the arrival of the answer."""

    def store_proof(self, revision: int, asked_s: float, got_s: float) -> FreshnessProof:
        return FreshnessProof(revision, got_s)


class DatesPeerProofsByTheAnswer(ProofModel):
    """Dates a peer's proof by the arrival of its answer."""

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        return FreshnessProof(revision, got_s - age_s)


class IgnoresThePeersAge(ProofModel):
    """Ignores the age that a peer reports."""

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        return FreshnessProof(revision, asked_s)


class AcceptsUnknownRevisions(ProofModel):
    """Accepts proofs of revisions that the host does not have."""

    def max_valid_revision(self, host: Host) -> int:
        return len(self.revoked_s)


class TakesSilentWatchForAProof(ProofModel):
    """Takes a watch that ended without updates for a proof."""

    def handle_silent_watch(self, host: Host) -> None:
        host.proofs.record(FreshnessProof(host.known_revision, self.clock_s(host)))


class StopsTheClockWhileFrozen(ProofModel):
    """Uses a clock that stops while the process is frozen."""

    def clock_s(self, host: Host) -> float:
        return host.offset_s + (self.now_s - host.frozen_s) * host.rate


class IgnoresClockRates(ProofModel):
    """Uses the whole bound, with no allowance for clock rates."""

    def max_proof_age_s(self) -> float:
        return BOUND_S


MUTANTS = (
    DatesProofsByTheAnswer,
    DatesPeerProofsByTheAnswer,
    IgnoresThePeersAge,
    AcceptsUnknownRevisions,
    TakesSilentWatchForAProof,
    StopsTheClockWhileFrozen,
    IgnoresClockRates,
)
