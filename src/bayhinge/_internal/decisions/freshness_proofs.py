"""Freshness proofs: how current a host's configuration is, and which host renews the proof. Pure.

A revoked key must not be served for longer than the deployment's bound, even by a partitioned host.
So a host admits keys only by a proof: the store, or a peer that has asked it, confirmed that a
revision was the newest. The proof counts from when the query was *sent*, as the answer may be
delayed anywhere. A silent watch proves nothing, for it may hang.
"""

import math
from collections.abc import Iterable

import attrs

from bayhinge.coordination.rendezvous import rank

ADMIT_SHARE = 0.94
"""Share of the bound up to which a proof admits keys; the rest is a margin for clock drift (up to
2%) and rounding."""

RENEW_SHARE = 0.16
"""Share of the bound after which a proof is renewed. Proofs pass between hosts, so most are younger
than a third of the bound; a partitioned host then still serves for 0.6 of it."""

LATE_RENEWALS = 2
"""Renewal times after which a host accepts any fresher proof, also one that is due itself: the
store may reject this host and be slow for its peers."""

MIN_GAIN_S = 0.2
"""Least difference between two proofs' ages for which a host asks a peer."""

ORDER_DELAY_SHARE = 0.4
"""Each host in the fixed order asks the store this many renewal times after the previous one,
unless it receives a proof first. Normally only the first one asks."""

ORDERED_HOSTS = 5
"""Hosts with a time of their own. If all of these fail, some of the others try as well."""

EXTRA_ASKERS = 3.0
"""Average number of the other hosts that ask at once: the store may reject most hosts, and accept
some that are late in the order."""


@attrs.frozen
class FreshnessProof:
    """Confirmation that the configuration's ``revision`` was the newest.

    Attributes:
        asked_s: lower bound of when it was the newest, in seconds of this host's monotonic clock.
    """

    revision: int
    asked_s: float


def confirmed_by_peer(revision: int, age_s: float, asked_s: float) -> FreshnessProof:
    """Converts a peer's proof to this host's clock.

    ``age_s`` is its age on the peer's clock at the answer, which was after ``asked_s``, so the
    result is never younger than the peer's proof.
    """
    return FreshnessProof(revision, asked_s - age_s)


@attrs.frozen(eq=False, repr=False)
class ProofBounds:
    """Limits on a proof's age, from the deployment's bound on revoked keys.

    Attributes:
        admit_s: age in seconds up to which a proof admits keys.
        renew_s: age in seconds from which a proof is renewed.
    """

    admit_s: float
    renew_s: float


def proof_bounds(revoked_s: float) -> ProofBounds:
    """Returns the limits for keys that may be served ``revoked_s`` after their revocation."""
    return ProofBounds(revoked_s * ADMIT_SHARE, revoked_s * RENEW_SHARE)


class FreshnessProofs:
    """A host's newest proof, and one for a revision that it does not have yet."""

    def __init__(self) -> None:
        self._proof: FreshnessProof | None = None
        self._pending: FreshnessProof | None = None

    def record(self, proof: FreshnessProof) -> None:
        """Records a proof; it becomes valid once the host has its revision."""
        if self._pending is None or proof.asked_s > self._pending.asked_s:
            self._pending = proof

    def newest(self, known_revision: int) -> FreshnessProof | None:
        """Returns the newest proof that is valid for the host's revision.

        A later revision includes all revocations up to the proof.
        """
        pending = self._pending
        if pending is not None and pending.revision <= known_revision:
            self._pending = None
            if self._proof is None or pending.asked_s > self._proof.asked_s:
                self._proof = pending
        return self._proof

    def age_s(self, known_revision: int, now_s: float) -> float:
        """Returns the age of the newest valid proof; infinite without one."""
        proof = self.newest(known_revision)
        return math.inf if proof is None else now_s - proof.asked_s


def place_in_order(host: str, reaching: Iterable[str], failing: Iterable[str]) -> int:
    """Returns a host's position in the order of asking the store, from 0.

    Hosts that fail to reach the store come last.
    """
    key = "proof of the configuration"
    return [*rank(key, reaching), *rank(key, failing)].index(host)


def may_ask_peer(age_s: float, peer_age_s: float, renew_s: float) -> bool:
    """Whether a host whose proof has an age of ``age_s`` should ask for a peer's proof.

    The host with the freshest proof never asks a peer, so that one host always asks the store.
    """
    if peer_age_s > age_s - MIN_GAIN_S:
        return False
    return peer_age_s <= renew_s or age_s >= LATE_RENEWALS * renew_s


def may_ask_store(age_s: float, place: int, hosts: int, renew_s: float, drawn: float) -> bool:
    """Whether a host at this position should ask the store now.

    ``drawn`` is a new random number from 0 to 1 for each call.
    """
    if age_s < renew_s * (1 + ORDER_DELAY_SHARE * min(place, ORDERED_HOSTS)):
        return False
    return place < ORDERED_HOSTS or drawn < EXTRA_ASKERS / hosts
