"""Validates operators' edits of templates and client accounts and proposes them."""

from collections.abc import Iterator

import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.models.accounts import (
    ConfigKind,
    ConfigText,
    check_config_text,
    read_digests,
    read_value,
    resolve_account,
)
from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.ids import NAME_PATTERN
from bayhinge._internal.network.front_handler import ConfigAnswer, ConfigEdit
from bayhinge.coordination.config_feed import ConfigFeed
from bayhinge.coordination.errors import ConfigConflictError, CoordinationError


class ConfigEditor:
    """Validates edits and proposes them to the feed."""

    def __init__(self, feed: ConfigFeed) -> None:
        self._feed = feed

    async def edit(self, edit: ConfigEdit) -> ConfigAnswer:
        """Proposes an edit; answers with findings, a conflict or a store error if it fails."""
        findings = list(self._check(edit))
        if findings:
            body = {"findings": [_finding_fields(finding) for finding in findings]}
            return ConfigAnswer(status_codes.HTTP_UNPROCESSABLE, orjson.dumps(body))
        try:
            accepted = await self._feed.propose(
                edit.kind, edit.name, edit.text, edit.author, edit.base_revision
            )
        except ConfigConflictError as error:
            conflict = {
                "message": str(error),
                "current_revision": error.current,
                "current_text": error.current_text,
            }
            return ConfigAnswer(status_codes.HTTP_CONFLICT, orjson.dumps(conflict))
        except CoordinationError as error:
            message = f"{error} Ask for the object's history to see whether the edit was accepted."
            return ConfigAnswer(status_codes.HTTP_UNAVAILABLE, orjson.dumps({"message": message}))
        return ConfigAnswer(status_codes.HTTP_OK, orjson.dumps({"revision": accepted.revision}))

    def _check(self, edit: ConfigEdit) -> Iterator[Finding]:
        file = f"{edit.kind}/{edit.name}"
        if edit.kind not in list(ConfigKind):
            yield Finding(Place(file), "unknown kind", f"use one of {', '.join(ConfigKind)}")
            return
        if NAME_PATTERN.fullmatch(edit.name) is None:
            yield Finding(
                Place(file), "the name may contain only lower-case letters, digits and hyphens"
            )
        kind = ConfigKind(edit.kind)
        if edit.text is None:
            yield from self._check_delete(kind, edit.name, file)
            return
        findings = check_config_text(kind, edit.text, file)
        yield from findings
        if not findings and kind is ConfigKind.ACCOUNT:
            yield from self._check_template(edit.name, edit.text, file)
            yield from self._check_keys(edit.name, edit.text, file)

    def _check_delete(self, kind: ConfigKind, name: str, file: str) -> Iterator[Finding]:
        if kind is not ConfigKind.TEMPLATE:
            return
        accounts = self._feed.all(ConfigKind.ACCOUNT)
        named = [(item.name, read_value(item.text or "", "template")) for item in accounts]
        users = [account for account, template in named if template == name]
        if users:
            hint = f"move them to another template first: {', '.join(users[:10])}"
            yield Finding(Place(file), f"{len(users)} client account(s) use the template", hint)

    def _check_template(self, name: str, text: str, file: str) -> Iterator[Finding]:
        template_name = read_value(text, "template")
        found = self._feed.get(ConfigKind.TEMPLATE, template_name)
        template = None
        if found is not None and found.text is not None:
            template = ConfigText(ConfigKind.TEMPLATE, found.name, found.text, found.revision)
        account = ConfigText(ConfigKind.ACCOUNT, name, text, 0)
        resolved = resolve_account(account, template)
        if resolved.is_error():
            known = ", ".join(item.name for item in self._feed.all(ConfigKind.TEMPLATE))
            place = Place(file, 0, ConfigKind.ACCOUNT.value, "template")
            yield Finding(place, resolved.error, f"known templates: {known or 'none'}")

    def _check_keys(self, name: str, text: str, file: str) -> Iterator[Finding]:
        own = set(read_digests(text))
        for item in self._feed.all(ConfigKind.ACCOUNT):
            if item.name != name and own & set(read_digests(item.text or "")):
                place = Place(file, 0, ConfigKind.ACCOUNT.value, "key_sha256")
                yield Finding(place, f"client account '{item.name}' uses one of these keys")


def _finding_fields(finding: Finding) -> dict[str, object]:
    place = finding.place
    return {
        "file": place.file,
        "line": place.line,
        "section": place.section,
        "key": place.key,
        "problem": finding.problem,
        "hint": finding.hint,
    }
