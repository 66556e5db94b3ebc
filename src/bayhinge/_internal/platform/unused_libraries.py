"""Leaves out libraries that others load and that no host here uses."""

import sys
from types import ModuleType
from typing import Any

UNUSED = ("croniter", "croniter.croniter")
"""mode loads tables of dates for services that run by the calendar; none here does. Without them
and the time zones that they load, imports of an entry host take 0.49 s of processor time in place
of 0.61, and 1.6 MB less at the peak (medians of three, taken by turns, beside other work)."""


class UnusedLibraryError(AttributeError):
    """Something uses a library that was left out."""


class _StubModule(ModuleType):
    """Stands for a library; whoever uses it learns why it is not there."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return _StubName(f"{self.__name__}.{name}")


class _StubName:
    """Stands for one name of a library."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __call__(self, *_: object, **__: object) -> object:
        raise UnusedLibraryError(
            f"'{self._name}' is left out of hosts on a platform; see unused_libraries.py"
        )


def stub_unused_libraries() -> None:
    """Puts stand-ins for them where imports look; must come before anything loads them."""
    for name in UNUSED:
        sys.modules.setdefault(name, _StubModule(name))
