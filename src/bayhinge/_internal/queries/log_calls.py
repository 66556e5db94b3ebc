"""Finds the lines that code writes: the calls of ``eliot.log_message``, by reading the source.

A type is a text, one of two texts, a local name, an argument, or what an object was made with; the
last two are looked up where the function is called or the object is made.
"""

import ast
from collections.abc import Iterator, Mapping

import attrs

from bayhinge._internal.models.events import Event

FIELDS_BY_SPREAD = {"event.to_fields()": tuple(field.name for field in attrs.fields(Event))}
"""What is passed on as a whole, and the fields that it has."""

_Function = ast.FunctionDef | ast.AsyncFunctionDef


@attrs.frozen
class LogCall:
    """One type of line, as one place writes it."""

    what: str
    fields: tuple[str, ...]
    writer: str


@attrs.frozen
class _Place:
    """Where a call stands."""

    module: str
    tree: ast.Module
    within: tuple[ast.AST, ...]

    @property
    def function(self) -> _Function | None:
        """The innermost function."""
        found = [node for node in self.within if isinstance(node, _Function)]
        return found[-1] if found else None

    @property
    def owner(self) -> ast.ClassDef | None:
        """The innermost class."""
        found = [node for node in self.within if isinstance(node, ast.ClassDef)]
        return found[-1] if found else None

    def __str__(self) -> str:
        """Returns the module and the function, with its class."""
        names = [node.name for node in self.within if isinstance(node, ast.ClassDef | _Function)]
        return f"{self.module}: {'.'.join(names)}"


def log_calls(text_by_module: Mapping[str, str]) -> Iterator[LogCall]:
    """Yields every type that the modules write.

    Raises:
        ValueError: a type can't be worked out.
    """
    trees = {module: ast.parse(text) for module, text in text_by_module.items()}
    finder = _Finder(list(trees.values()))
    for module, tree in trees.items():
        for node, within in _walk(tree, ()):
            place = _Place(module, tree, within)
            if isinstance(node, ast.Call) and ast.unparse(node.func) == "eliot.log_message":
                yield from _calls_of(finder, place, node)
            if isinstance(node, ast.Dict):
                yield from _calls_of_dict(place, node)


def _walk(
    node: ast.AST, within: tuple[ast.AST, ...]
) -> Iterator[tuple[ast.AST, tuple[ast.AST, ...]]]:
    for child in ast.iter_child_nodes(node):
        yield child, within
        is_scope = isinstance(child, ast.ClassDef | _Function)
        yield from _walk(child, (*within, child) if is_scope else within)


def _calls_of(finder: "_Finder", place: _Place, call: ast.Call) -> Iterator[LogCall]:
    named = {word.arg: word.value for word in call.keywords if word.arg is not None}
    kind = call.args[0] if call.args else named.pop("message_type")
    fields = list(named)
    for word in call.keywords:
        if word.arg is None:
            fields += FIELDS_BY_SPREAD[ast.unparse(word.value)]
    whats = finder.texts(kind, place)
    if not whats:
        raise ValueError(f"{place.module}:{call.lineno}: which type is {ast.unparse(kind)}?")
    for what in whats:
        yield LogCall(what, tuple(fields), str(place))


def _calls_of_dict(place: _Place, node: ast.Dict) -> Iterator[LogCall]:
    """A line that is written past eliot is a table with its type."""
    keys = [key.value if isinstance(key, ast.Constant) else "" for key in node.keys]
    if "message_type" in keys:
        kind = node.values[keys.index("message_type")]
        if isinstance(kind, ast.Constant):
            fields = tuple(str(key) for key in keys if key != "message_type")
            yield LogCall(str(kind.value), fields, str(place))


class _Finder:
    """Works out which texts an expression may be."""

    def __init__(self, trees: list[ast.Module]) -> None:
        self._trees = trees

    def texts(self, node: ast.expr, place: _Place) -> list[str]:
        """Returns them in the order of the source; none where they can't be worked out."""
        if isinstance(node, ast.Constant):
            return [str(node.value)]
        if isinstance(node, ast.IfExp):
            return [*self.texts(node.body, place), *self.texts(node.orelse, place)]
        if isinstance(node, ast.Name):
            return (
                _assigned(node.id, place.function)
                or self._passed(node.id, place.function, [place.tree])
                or _assigned(node.id, place.tree)
            )
        if isinstance(node, ast.Attribute) and place.owner is not None:
            return self._made_with(node.attr, place.owner)
        return []

    def _passed(
        self, argument: str, function: _Function | None, trees: list[ast.Module], name: str = ""
    ) -> list[str]:
        """Returns the texts that callers pass for an argument."""
        if function is None:
            return []
        names = [each.arg for each in function.args.args if each.arg != "self"]
        if argument not in names:
            return []
        found: list[str] = []
        for call in _calls_named(name or function.name, trees):
            passed = {word.arg: word.value for word in call.keywords}
            passed |= dict(zip(names, call.args, strict=False))
            value = passed.get(argument)
            if isinstance(value, ast.Constant):
                found.append(str(value.value))
        return found

    def _made_with(self, attribute: str, owner: ast.ClassDef) -> list[str]:
        """Returns the texts that objects were made with, where one was kept as an attribute."""
        for function in owner.body:
            if isinstance(function, _Function) and function.name == "__init__":
                for node in ast.walk(function):
                    if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Name):
                        continue
                    if ast.unparse(node.targets[0]) == f"self.{attribute}":
                        return self._passed(node.value.id, function, self._trees, owner.name)
        return []


def _calls_named(name: str, trees: list[ast.Module]) -> Iterator[ast.Call]:
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _last_name(node.func) == name:
                yield node


def _last_name(called: ast.expr) -> str:
    return ast.unparse(called).rpartition(".")[2]


def _assigned(name: str, within: _Function | ast.Module | None) -> list[str]:
    if within is None:
        return []
    nodes = ast.walk(within) if isinstance(within, _Function) else within.body
    return [
        str(node.value.value)
        for node in nodes
        if isinstance(node, ast.Assign)
        and isinstance(node.value, ast.Constant)
        and ast.unparse(node.targets[0]) == name
    ]
