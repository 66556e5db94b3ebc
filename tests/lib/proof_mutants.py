"""The model of proofs with one guard left out each."""

from bayhinge._internal.decisions.proof_age import FreshnessProof
from tests.lib.proof_model import BOUND_S, Host, ProofModel


class CountsFromTheAnswer(ProofModel):
    """The store's answer counts from when it came."""

    def store_proof(self, revision: int, asked_s: float, got_s: float) -> FreshnessProof:
        return FreshnessProof(revision, got_s)


class GrowsYoungerOnTheWay(ProofModel):
    """What a peer says counts from when it came."""

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        return FreshnessProof(revision, got_s - age_s)


class ForgetsThePeersAge(ProofModel):
    """What a peer says counts from when the peer was asked."""

    def peer_proof(
        self, revision: int, age_s: float, asked_s: float, got_s: float
    ) -> FreshnessProof:
        return FreshnessProof(revision, asked_s)


class CountsWhatItDoesNotKnow(ProofModel):
    """A proof of a later revision counts at once."""

    def knows_enough(self, host: Host) -> int:
        return len(self.taken_s)


class TakesSilenceForAProof(ProofModel):
    """A watch that ended without news proves that there is none."""

    def hear_nothing(self, host: Host) -> None:
        host.proofs.record(FreshnessProof(host.known_revision, self.clock_s(host)))


class StandsStillWhileFrozen(ProofModel):
    """The clock counts only the time in which the process ran."""

    def clock_s(self, host: Host) -> float:
        return host.offset_s + (self.now_s - host.frozen_s) * host.rate


class LeavesNoRoomForClocks(ProofModel):
    """The whole bound is used."""

    def bound_s(self) -> float:
        return BOUND_S


MUTANTS = (
    CountsFromTheAnswer,
    GrowsYoungerOnTheWay,
    ForgetsThePeersAge,
    CountsWhatItDoesNotKnow,
    TakesSilenceForAProof,
    StandsStillWhileFrozen,
    LeavesNoRoomForClocks,
)
