"""Looks client accounts up in the current configuration, by name and by key."""

from abc import ABC, abstractmethod

from expression import Error, Ok, Result

from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.accounts import (
    ClientAccount,
    ConfigKind,
    ConfigText,
    key_matches,
    read_digests,
    read_value,
    resolve_account,
)
from bayhinge.coordination.config_feed import ConfigFeed, ConfigObject


class AccountSource(ABC):
    """Looks client accounts up."""

    @abstractmethod
    def find(self, name: str) -> Result[ClientAccount, str]:
        """Returns the account, or the reason why it can't be used."""

    @abstractmethod
    def find_by_key(self, key: str) -> ClientAccount | None:
        """Returns the account that a key belongs to."""

    @abstractmethod
    def is_current(self) -> bool:
        """Returns whether this host can confirm that its configuration is recent."""


class AccountDirectory(AccountSource):
    """Resolves accounts from the configuration feed and caches them until they change."""

    def __init__(self, feed: ConfigFeed) -> None:
        self._feed = feed
        self._resolved_by_name: dict[str, Result[ClientAccount, str]] = {}
        self._name_by_digest: dict[str, str] = {}
        self._digests_by_name: dict[str, tuple[str, ...]] = {}
        feed.on_change = self._apply_change

    def find(self, name: str) -> Result[ClientAccount, str]:
        """See :class:`AccountSource`."""
        found = self._resolved_by_name.get(name)
        if found is None:
            found = self._resolve(name)
            self._resolved_by_name[name] = found
        return found

    def find_by_key(self, key: str) -> ClientAccount | None:
        """See :class:`AccountSource`."""
        name = self._name_by_digest.get(hash_key(key))
        if name is None:
            return None
        found = self.find(name)
        if found.is_error() or not key_matches(key, found.ok.key_sha256):
            return None
        return found.ok

    def is_current(self) -> bool:
        """See :class:`AccountSource`."""
        return self._feed.is_current()

    def _resolve(self, name: str) -> Result[ClientAccount, str]:
        account = self._feed.get(ConfigKind.ACCOUNT, name)
        if account is None:
            return Error(f"client account '{name}' does not exist")
        template = self._feed.get(ConfigKind.TEMPLATE, read_value(account.text or "", "template"))
        resolved = resolve_account(_text(account), None if template is None else _text(template))
        return Ok(resolved.ok) if resolved.is_ok() else Error(resolved.error)

    def _apply_change(self, changed: ConfigObject) -> None:
        if changed.kind == ConfigKind.TEMPLATE:
            self._resolved_by_name.clear()
            return
        self._resolved_by_name.pop(changed.name, None)
        for digest in self._digests_by_name.pop(changed.name, ()):
            self._name_by_digest.pop(digest, None)
        digests = () if changed.text is None else read_digests(changed.text)
        self._digests_by_name[changed.name] = digests
        for digest in digests:
            self._name_by_digest[digest] = changed.name


def _text(item: ConfigObject) -> ConfigText:
    return ConfigText(ConfigKind(item.kind), item.name, item.text or "", item.revision)
