"""Finds the log messages that modules write, from the ``eliot.log_message`` calls in their source.

A message type may be given as a literal, a conditional of two literals, a local or module variable,
a function argument, or an attribute set from a constructor argument. Arguments are resolved at the
calls of the function or constructor.
"""

import ast
from collections.abc import Iterator, Mapping

import attrs

from bayhinge._internal.decisions.send_permission import Tally
from bayhinge._internal.models.events import Event

FIELDS_BY_UNPACKED = {
    "event.to_fields()": tuple(field.name for field in attrs.fields(Event)),
    "tally.to_fields()": tuple(Tally(has_program=True).to_fields()),
}
"""The fields of each expression that is passed as ``**expression``."""

_Function = ast.FunctionDef | ast.AsyncFunctionDef


@attrs.frozen
class LogCall:
    """One message type, as written by one function."""

    message_type: str
    fields: tuple[str, ...]
    writer: str


@attrs.frozen
class _CallSite:
    """The place of a call in the source; ``scopes`` are the enclosing definitions."""

    module: str
    tree: ast.Module
    scopes: tuple[ast.AST, ...]

    @property
    def function(self) -> _Function | None:
        """The innermost enclosing function."""
        found = [node for node in self.scopes if isinstance(node, _Function)]
        return found[-1] if found else None

    @property
    def enclosing_class(self) -> ast.ClassDef | None:
        """The innermost enclosing class."""
        found = [node for node in self.scopes if isinstance(node, ast.ClassDef)]
        return found[-1] if found else None

    def __str__(self) -> str:
        """Returns the module and the qualified name of the function."""
        names = [node.name for node in self.scopes if isinstance(node, ast.ClassDef | _Function)]
        return f"{self.module}: {'.'.join(names)}"


def log_calls(text_by_module: Mapping[str, str]) -> Iterator[LogCall]:
    """Yields every message type that the modules write.

    Raises:
        ValueError: a message type can't be resolved.
    """
    trees = {module: ast.parse(text) for module, text in text_by_module.items()}
    resolver = _TextResolver(list(trees.values()))
    for module, tree in trees.items():
        for node, scopes in _walk(tree, ()):
            site = _CallSite(module, tree, scopes)
            if isinstance(node, ast.Call) and ast.unparse(node.func) == "eliot.log_message":
                yield from _log_calls_at(resolver, site, node)
            if isinstance(node, ast.Dict):
                yield from _log_calls_of_dict(site, node)


def _walk(
    node: ast.AST, scopes: tuple[ast.AST, ...]
) -> Iterator[tuple[ast.AST, tuple[ast.AST, ...]]]:
    for child in ast.iter_child_nodes(node):
        yield child, scopes
        is_scope = isinstance(child, ast.ClassDef | _Function)
        yield from _walk(child, (*scopes, child) if is_scope else scopes)


def _log_calls_at(resolver: "_TextResolver", site: _CallSite, call: ast.Call) -> Iterator[LogCall]:
    named = {keyword.arg: keyword.value for keyword in call.keywords if keyword.arg is not None}
    type_node = call.args[0] if call.args else named.pop("message_type")
    fields = list(named)
    for keyword in call.keywords:
        if keyword.arg is None:
            fields += FIELDS_BY_UNPACKED[ast.unparse(keyword.value)]
    message_types = resolver.resolve(type_node, site)
    if not message_types:
        raise ValueError(
            f"{site.module}:{call.lineno}: cannot resolve message type {ast.unparse(type_node)}"
        )
    for message_type in message_types:
        yield LogCall(message_type, tuple(fields), str(site))


def _log_calls_of_dict(site: _CallSite, node: ast.Dict) -> Iterator[LogCall]:
    """Yields the message of a dict literal with a ``message_type``, as code without eliot does."""
    keys = [key.value if isinstance(key, ast.Constant) else "" for key in node.keys]
    if "message_type" in keys:
        type_node = node.values[keys.index("message_type")]
        if isinstance(type_node, ast.Constant):
            fields = tuple(str(key) for key in keys if key != "message_type")
            yield LogCall(str(type_node.value), fields, str(site))


class _TextResolver:
    """Resolves an expression to the strings that it may evaluate to."""

    def __init__(self, trees: list[ast.Module]) -> None:
        self._trees = trees

    def resolve(self, node: ast.expr, site: _CallSite) -> list[str]:
        """Returns the strings in source order; an empty list where they can't be resolved."""
        if isinstance(node, ast.Constant):
            return [str(node.value)]
        if isinstance(node, ast.IfExp):
            return [*self.resolve(node.body, site), *self.resolve(node.orelse, site)]
        if isinstance(node, ast.Name):
            return (
                _assigned_texts(node.id, site.function)
                or self._argument_texts(node.id, site.function, [site.tree])
                or _assigned_texts(node.id, site.tree)
            )
        if isinstance(node, ast.Attribute) and site.enclosing_class is not None:
            return self._attribute_texts(node.attr, site.enclosing_class)
        return []

    def _argument_texts(
        self, argument: str, function: _Function | None, trees: list[ast.Module], name: str = ""
    ) -> list[str]:
        """Returns the literals that callers pass for an argument."""
        if function is None:
            return []
        names = [each.arg for each in function.args.args if each.arg != "self"]
        if argument not in names:
            return []
        found: list[str] = []
        for call in _calls_named(name or function.name, trees):
            passed = {keyword.arg: keyword.value for keyword in call.keywords}
            passed |= dict(zip(names, call.args, strict=False))
            value = passed.get(argument)
            if isinstance(value, ast.Constant):
                found.append(str(value.value))
        return found

    def _attribute_texts(self, attribute: str, enclosing_class: ast.ClassDef) -> list[str]:
        """Returns the literals passed for the constructor argument stored in an attribute."""
        for function in enclosing_class.body:
            if isinstance(function, _Function) and function.name == "__init__":
                for node in ast.walk(function):
                    if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Name):
                        continue
                    if ast.unparse(node.targets[0]) == f"self.{attribute}":
                        return self._argument_texts(
                            node.value.id, function, self._trees, enclosing_class.name
                        )
        return []


def _calls_named(name: str, trees: list[ast.Module]) -> Iterator[ast.Call]:
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _last_name(node.func) == name:
                yield node


def _last_name(called: ast.expr) -> str:
    return ast.unparse(called).rpartition(".")[2]


def _assigned_texts(name: str, scopes: _Function | ast.Module | None) -> list[str]:
    if scopes is None:
        return []
    nodes = ast.walk(scopes) if isinstance(scopes, _Function) else scopes.body
    return [
        str(node.value.value)
        for node in nodes
        if isinstance(node, ast.Assign)
        and isinstance(node.value, ast.Constant)
        and ast.unparse(node.targets[0]) == name
    ]
