"""Client accounts of a soak: API keys, revocations and rate limits, and checks on them.

Three accounts: one with a permanent key and no limit, one whose keys are revoked, one whose
rate limit changes. Some callers use revoked or unknown keys.
"""

import itertools
import random
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from bayhinge._internal.models.account_keys import hash_key
from tests.lib.platform_engine import Run
from tests.soak.ledger import Sent

REVOCATION_BOUND_S = 2.0
"""A key may be served so long after its revocation was written to the store."""

WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 4.0
BOUNDS = {
    "revoke_strict": True,
    "revoke_ms": int(REVOCATION_BOUND_S * 1000),
    "quota_window_s": WINDOW_S,
    "quota_overage": OVERAGE,
    "quota_slack": SLACK,
}

LIMITS = ((4.0, 4.0), (8.0, 4.0), (2.0, 2.0))
"""Rates (requests per second) and bursts of the limited account."""

SETTLE_S = WINDOW_S + 3.0
"""A lower limit holds from one window after its configuration version is in force."""

UNKNOWN_KEY = "neverknownkey00000000"


@attrs.define
class Accounts:
    """The accounts of the current configuration, and the history of keys and limits."""

    rng: random.Random
    steady: str = "steadykey0aaaaaaaaaaa"
    revocable: list[str] = attrs.field(
        factory=lambda: [f"losingkey{n}bbbbbbbbbbb" for n in range(8)]
    )
    limited: str = "limitedkey0ccccccccccc"
    revoked_s_by_key: dict[str, float] = attrs.field(factory=dict)
    limits: list[tuple[float, tuple[float, float]]] = attrs.field(
        factory=lambda: [(0.0, LIMITS[0])]
    )

    def tenants(self) -> list[dict[str, Any]]:
        """Returns the accounts in the format of the platform's configuration."""
        rate, burst = self.limits[-1][1]
        return [
            {"name": "steady", "api_keys": [self.steady]},
            {"name": "losing", "api_keys": self._valid_keys(), "priority": 1},
            {"name": "limited", "api_keys": [self.limited], "rate_per_s": rate, "burst": burst},
        ]

    def _valid_keys(self) -> list[str]:
        return [key for key in self.revocable if key not in self.revoked_s_by_key]

    def revoke_one(self) -> str | None:
        """Revokes a key; the caller must write the configuration before its next await."""
        valid_keys = self._valid_keys()
        if not valid_keys:
            return None
        self.revoked_s_by_key[valid_keys[0]] = time.monotonic()
        return valid_keys[0]

    def change_limit(self) -> None:
        """Sets another limit; the caller must write the configuration before its next await."""
        self.limits.append((time.monotonic(), self.rng.choice(LIMITS)))

    def key_of(self, program: str) -> str:
        """Returns the key that a program's caller sends."""
        share = random.Random(program).random()
        if share < 0.4:
            return self.steady
        if share < 0.55:
            return self.limited
        if share < 0.6:
            return UNKNOWN_KEY
        # The key that is revoked next, so that keys are revoked while programs use them.
        valid_keys = self._valid_keys() or self.revocable
        return valid_keys[0]

    def account_of(self, key: str) -> str | None:
        """Returns the account that a key belongs to or belonged to."""
        if key in self.revocable:
            return "losing"
        return {self.steady: "steady", self.limited: "limited"}.get(key)

    # ---- checks ----

    def check(self, sent: dict[str, Sent], runs: list[Run], logs: Iterable[Path]) -> list[str]:
        """Returns the violations of rules on keys and limits."""
        return [
            *itertools.chain.from_iterable(
                self._check_run(sent.get(run.attempt), run) for run in runs
            ),
            *self._check_refusals(sent.values()),
            *self._check_limit(sent, runs),
            *self._check_logs(logs),
        ]

    def _check_run(self, sent: Sent | None, run: Run) -> Iterator[str]:
        if sent is None:
            return
        accounts = [value for name, value in run.headers if name.lower() == "bayhinge-tenant"]
        if accounts != [self.account_of(sent.key)]:
            yield f"{run.attempt}: ran for {accounts}, its key is of {self.account_of(sent.key)}"
        if any(name.lower() == "authorization" for name, _ in run.headers):
            yield f"{run.attempt}: its key was sent to an endpoint"
        revoked_s = self.revoked_s_by_key.get(sent.key)
        if revoked_s is not None and sent.sent_s - revoked_s > REVOCATION_BOUND_S:
            late_s = sent.sent_s - revoked_s
            yield f"{run.attempt}: sent {late_s:.2f} s after its key was revoked, and it ran"

    def _check_refusals(self, sent: Iterable[Sent]) -> Iterator[str]:
        for one in sent:
            if one.status == 401 and one.key in {self.steady, self.limited}:
                yield f"{one.attempt}: refused with 401 although its key is valid"

    def _check_limit(self, sent: dict[str, Sent], runs: list[Run]) -> Iterator[str]:
        began_s_by_attempt: dict[str, float] = {}
        for run in runs:
            if run.attempt in sent and sent[run.attempt].key == self.limited:
                first_s = began_s_by_attempt.get(run.attempt, run.began_s)
                began_s_by_attempt[run.attempt] = min(first_s, run.began_s)
        times = sorted(began_s_by_attempt.values())
        for number, from_s in enumerate(times):
            count = sum(from_s <= one < from_s + WINDOW_S for one in times[number:])
            if count > self._max_requests(from_s):
                allowed = self._max_requests(from_s)
                yield f"{count} limited requests ran in {WINDOW_S} s, {allowed:.0f} may"
                return

    def _max_requests(self, from_s: float) -> float:
        """Returns the most requests that may be admitted in a window that begins at ``from_s``."""
        until_s = from_s + WINDOW_S
        last = max((at for at, _ in self.limits if at <= from_s - SETTLE_S), default=0.0)
        open_limits = [limit for at, limit in self.limits if last <= at <= until_s]
        return max((rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK for rate, burst in open_limits)

    def _check_logs(self, logs: Iterable[Path]) -> Iterator[str]:
        keys = [self.steady, self.limited, UNKNOWN_KEY, *self.revocable]
        secrets = [text.encode() for key in keys for text in (key, hash_key(key))]
        for path in logs:
            written = path.read_bytes()
            if any(secret in written for secret in secrets):
                yield f"{path.name}: contains a key or its digest"
