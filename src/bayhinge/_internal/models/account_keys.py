"""Client accounts as seen by request handling: key lookup, urgency and quota.

Only digests of keys are held, so that no key can leak through a log, report or dump.
"""

import hashlib

import attrs


def hash_key(key: str) -> str:
    """Returns the digest under which a key is stored in the configuration.

    Keys are long and random, unlike passwords, so an unsalted hash is sufficient.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@attrs.frozen
class AccountIdentity:
    """The name of a client account and the digests of its keys."""

    name: str
    key_sha256: tuple[str, ...]


@attrs.frozen
class Quota:
    """Request rate limit of an account, over all hosts together.

    Attributes:
        rate_per_s: sustained requests per second.
        burst: further requests that may arrive at once.
    """

    rate_per_s: float
    burst: float


@attrs.frozen
class RoutedAccount(AccountIdentity):
    """A client account of the routing configuration.

    Attributes:
        urgency: overrides the route's urgency; None uses the route's.
        quota: None means unlimited.
    """

    urgency: int | None = None
    quota: Quota | None = None


@attrs.frozen
class InvalidAccount(AccountIdentity):
    """An account whose configuration is invalid; requests with its keys are refused as not run.

    Serving them without limits could starve other accounts, and a 401 would tell callers that
    their keys were revoked.
    """

    why: str


@attrs.frozen
class AccountTable:
    """All accounts of one configuration; a key listed by two accounts is invalid."""

    accounts: tuple[RoutedAccount | InvalidAccount, ...]
    _account_by_digest: dict[str, RoutedAccount | InvalidAccount] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_account_by_digest.default
    def _index_keys(self) -> dict[str, RoutedAccount | InvalidAccount]:
        found: dict[str, RoutedAccount | InvalidAccount] = {}
        for account in self.accounts:
            for digest in account.key_sha256:
                other = found.setdefault(digest, account)
                if other.name != account.name:
                    why = f"the key also belongs to account '{account.name}'"
                    found[digest] = InvalidAccount(other.name, (digest,), why)
        return found

    def find(self, digest: str) -> RoutedAccount | InvalidAccount | None:
        """Returns the account that owns the key with this digest, or None."""
        return self._account_by_digest.get(digest)
