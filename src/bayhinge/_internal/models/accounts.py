"""Client accounts and templates: their parameters and the source of each value."""

import hmac
from collections.abc import Iterator
from enum import StrEnum
from typing import Any

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.account_keys import AccountIdentity, hash_key
from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.schema import (
    Digests,
    Field,
    Integer,
    Name,
    Names,
    Number,
    SectionSchema,
    Words,
    check_section,
    read_section,
)
from bayhinge._internal.utils.ini import IniDocument, parse_ini


class ConfigKind(StrEnum):
    """Kinds of configured objects; the values are also their INI section names."""

    TEMPLATE = "template"
    ACCOUNT = "account"


PARAMETERS = (
    Field("budget_tokens", Integer(0, 10**15), "1000000", "tokens that the account may spend"),
    Field("priority", Integer(0, 9), "5", "0 to 9; a higher one goes first"),
    Field("weight", Number(0.01, 1000), "1", "share against other accounts of equal priority"),
    Field("models", Words(), "", "models that it may use; empty: none"),
    Field("services", Names(), "", "plain services that it may use; empty: none"),
    Field("patience_seconds", Number(0.1, 86_400), "60", "longest wait for one call"),
    Field("max_calls", Integer(1, 100_000), "200", "calls of one program"),
    Field("max_program_tokens", Integer(1, 10**12), "1000000", "tokens of one program"),
    Field("max_repeated_calls", Integer(1, 1000), "5", "equal calls in a row that mean a loop"),
    Field("max_programs", Integer(1, 10**6), "1000", "programs under way on one host"),
)
TEMPLATE = SectionSchema(ConfigKind.TEMPLATE, PARAMETERS)
ACCOUNT = SectionSchema(
    ConfigKind.ACCOUNT,
    (
        Field("template", Name(), None, "the template that the other values come from"),
        Field("key_sha256", Digests(), "", "digests of the account's keys"),
        *PARAMETERS,
    ),
)
SCHEMA_BY_KIND = {ConfigKind.TEMPLATE: TEMPLATE, ConfigKind.ACCOUNT: ACCOUNT}


@attrs.frozen
class Parameter:
    """A value and its source: ``account``, ``template NAME`` or ``default``."""

    name: str
    value: Any
    source: str


@attrs.frozen
class ClientAccount(AccountIdentity):
    """A client account with every parameter resolved, at one revision."""

    template: str
    budget_tokens: int
    priority: int
    weight: float
    models: tuple[str, ...]
    services: tuple[str, ...]
    patience_seconds: float
    max_calls: int
    max_program_tokens: int
    max_repeated_calls: int
    max_programs: int
    revision: int
    sources_by_parameter: dict[str, str]

    def parameters(self) -> list[Parameter]:
        """Returns the parameters with their sources, in schema order."""
        return [
            Parameter(field.key, getattr(self, field.key), self.sources_by_parameter[field.key])
            for field in PARAMETERS
        ]


@attrs.frozen
class ConfigText:
    """The INI text of a template or account, at one revision."""

    kind: ConfigKind
    name: str
    text: str
    revision: int


def check_config_text(kind: ConfigKind, text: str, file: str) -> tuple[Finding, ...]:
    """Validates the INI text of a template or account and returns the findings."""
    parsed = parse_ini(text)
    if parsed.is_error():
        return (Finding(Place(file, parsed.error.line), parsed.error.problem),)
    return tuple(_check_document(kind, parsed.ok, file))


def _check_document(kind: ConfigKind, document: IniDocument, file: str) -> Iterator[Finding]:
    schema = SCHEMA_BY_KIND[kind]
    for name, section in document.sections_by_name.items():
        if name != schema.title:
            place = Place(file, section.line, name)
            yield Finding(place, "unknown section", f"the only section is [{schema.title}]")
    section_found = document.sections_by_name.get(schema.title)
    if section_found is None:
        yield Finding(Place(file), f"section [{schema.title}] is missing", "add it at the top")
        return
    yield from check_section(schema, section_found, file)


def resolve_account(account: ConfigText, template: ConfigText | None) -> Result[ClientAccount, str]:
    """Resolves each parameter: the account overrides its template, which overrides the default."""
    own = _parse_config_text(account)
    if own.is_error():
        return Error(own.error)
    template_name = str(own.ok.values_by_key["template"])
    if template is None:
        return Error(f"template '{template_name}' does not exist")
    base = _parse_config_text(template)
    if base.is_error():
        return Error(base.error)
    values: dict[str, Any] = {}
    sources: dict[str, str] = {}
    for field in PARAMETERS:
        if field.key in own.ok.given:
            values[field.key] = own.ok.values_by_key[field.key]
            sources[field.key] = "account"
            continue
        values[field.key] = base.ok.values_by_key[field.key]
        given = field.key in base.ok.given
        sources[field.key] = f"template {template.name}" if given else "default"
    digests: Any = own.ok.values_by_key["key_sha256"]
    return Ok(
        ClientAccount(
            name=account.name,
            template=template_name,
            key_sha256=digests,
            revision=max(account.revision, template.revision),
            sources_by_parameter=sources,
            **values,
        )
    )


def _parse_config_text(item: ConfigText) -> Result[Any, str]:
    parsed = parse_ini(item.text)
    if parsed.is_error():
        return Error(f"{item.kind} '{item.name}': {parsed.error.problem}")
    findings = list(_check_document(item.kind, parsed.ok, f"{item.kind} {item.name}"))
    if findings:
        return Error("; ".join(str(finding) for finding in findings))
    schema = SCHEMA_BY_KIND[item.kind]
    return Ok(read_section(schema, parsed.ok.sections_by_name.get(schema.title)))


def read_value(text: str, key: str) -> str:
    """Returns one value of an account's text, which was validated when it was accepted."""
    parsed = parse_ini(text)
    if parsed.is_error():
        return ""
    section = parsed.ok.sections_by_name.get(ConfigKind.ACCOUNT.value)
    if section is None or key not in section.values_by_key:
        return ""
    return section.values_by_key[key].text.strip()


def read_digests(text: str) -> tuple[str, ...]:
    """Returns the key digests in an account's text."""
    parts = read_value(text, "key_sha256").split(",")
    return tuple(part.strip().lower() for part in parts if part.strip())


def key_matches(key: str, digests: tuple[str, ...]) -> bool:
    """Returns whether a key matches one of the digests; compares in constant time."""
    own = hash_key(key)
    matches = [hmac.compare_digest(own, digest) for digest in digests]
    return any(matches)
