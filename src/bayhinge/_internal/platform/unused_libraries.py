"""Replaces unused transitive imports by stubs, to save start-up time and memory.

A stubbed module can be imported, and its names can be base classes and annotations; calling one of
them raises an error.
"""

import sys
from collections.abc import Mapping
from types import ModuleType
from typing import Any

UNUSED = (
    # mode: cron-like services; they load time zone data.
    "croniter",
    "croniter.croniter",
    # aiohttp: proxies and credentials from the environment, multipart bodies, file names, parsing
    # of a content type or a date; prometheus_client: its own HTTP servers and its push client.
    "email.message",
    "email.parser",
    "email.policy",
    "email.utils",
    "gzip",
    "html.entities",
    "http.server",
    "mimetypes",
    "netrc",
    "prometheus_client.asgi",
    "socketserver",
    "tempfile",
    "urllib.request",
    "wsgiref",
    "wsgiref.simple_server",
    # aiohttp: parts for WebSockets, multipart bodies, digest authentication, tracing and access
    # logs.
    "aiohttp._websocket.reader",
    "aiohttp.client_middleware_digest_auth",
    "aiohttp.client_ws",
    "aiohttp.formdata",
    "aiohttp.http_websocket",
    "aiohttp.multipart",
    "aiohttp.payload_streamer",
    "aiohttp.tracing",
    "aiohttp.web_log",
)
"""Modules that libraries import for features which hosts do not use."""

_TLS_LIBRARY = "ssl"
"""Not used, since hosts speak plain HTTP only; aiohttp would load the CA certificates."""

_VALUES_BY_NAME_BY_MODULE: Mapping[str, Mapping[str, object]] = {
    _TLS_LIBRARY: {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5},
}
"""Values that are needed while a library is imported, in place of stubs."""


class UnusedLibraryError(AttributeError):
    """A stubbed library was used."""


class _StubType(type):
    """Type of the names of a stubbed library and of classes derived from them."""

    def __call__(cls, *_: object, **__: object) -> Any:
        raise UnusedLibraryError(
            f"'{cls.__module__}.{cls.__qualname__}' is a stub in hosts on a platform; "
            "see unused_libraries.py"
        )

    def __getattr__(cls, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return _stub_name(cls.__module__, f"{cls.__qualname__}.{name}")


def _stub_name(module: str, name: str) -> _StubType:
    return _StubType(
        name, (), {"__module__": module, "__class_getitem__": lambda _class, _item: object}
    )


class _StubModule(ModuleType):
    """Stub for a library; calling any of its names raises an error."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.__dict__.update(_VALUES_BY_NAME_BY_MODULE.get(name, {}))

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        stub = _stub_name(self.__name__, name)
        setattr(self, name, stub)
        return stub


def stub_unused_libraries() -> None:
    """Registers the stubs in ``sys.modules``; must be called before anything imports mode."""
    for name in UNUSED:
        sys.modules.setdefault(name, _StubModule(name))


def import_without_tls() -> None:
    """Imports the libraries that work without ``ssl``, then registers a stub of it for the others.

    asyncio and aiohttp support a Python without ``ssl`` and refuse TLS with an error of their own;
    uvloop and prometheus_client do not, but only name what it contains.
    """
    # None makes an import raise ImportError.
    sys.modules.setdefault(_TLS_LIBRARY, None)  # type: ignore[arg-type]
    import aiohttp  # noqa: F401

    if sys.modules[_TLS_LIBRARY] is None:
        sys.modules[_TLS_LIBRARY] = _StubModule(_TLS_LIBRARY)
