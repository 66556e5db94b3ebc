"""Replaces unused transitive imports by stubs, to save start-up time and memory."""

import sys
from types import ModuleType
from typing import Any

UNUSED = ("croniter", "croniter.croniter")
"""Libraries that mode imports for cron-like services, which are not used here; they load time zone
data."""


class UnusedLibraryError(AttributeError):
    """A stubbed library was used."""


class _StubModule(ModuleType):
    """Stub for a library; calling any of its names raises an error."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return _StubName(f"{self.__name__}.{name}")


class _StubName:
    """Stub for one name of a library."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __call__(self, *_: object, **__: object) -> object:
        raise UnusedLibraryError(
            f"'{self._name}' is a stub in hosts on a platform; see unused_libraries.py"
        )


def stub_unused_libraries() -> None:
    """Registers the stubs in ``sys.modules``; must be called before anything imports mode."""
    for name in UNUSED:
        sys.modules.setdefault(name, _StubModule(name))
