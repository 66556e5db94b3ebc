"""Replaces unused transitive imports by stubs, to save start-up time and memory.

A stubbed module can be imported, and its names can be base classes and annotations; calling one of
them raises an error.
"""

import contextlib
import sys
import typing
from collections.abc import Mapping
from importlib import import_module
from types import ModuleType
from typing import Any

UNUSED = (
    # mode: cron-like services, which load time zone data, and configuration of Python's logging.
    "colorlog",
    "croniter",
    "croniter.croniter",
    "decimal",
    "difflib",
    "logging.config",
    "mode.utils.graphs",
    "pprint",
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
    # aiohttp: storing cookies, see http_session.py.
    "calendar",
    "pickle",
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
    # eliot: its parser of logs and the data classes of that, and checks of logger classes.
    "eliot.parse",
    "pyrsistent",
    "zope.interface",
    # expression: all but its Result.
    "expression.collections",
    "expression.core.aiotools",
    "expression.core.builder",
    "expression.core.fn",
    "expression.core.mailbox",
    "expression.core.try_",
    "expression.effect",
    "expression.system",
    # expression: names that typing has as well.
    "typing_extensions",
    # asyncio and uvloop: child processes.
    "subprocess",
)
"""Modules that libraries import for features which hosts do not use."""

_OPENSSL_HASHES = "_hashlib"
"""Not loaded, since hashlib has versions of its own for the few hashes that are used; OpenSSL costs
time and memory to load."""

_OWN_HASHES = ("_md5", "_sha1", "_sha256", "_sha512")

_TLS_LIBRARY = "ssl"
"""Not used, since hosts speak plain HTTP only; aiohttp would load the CA certificates."""


class UnusedLibraryError(AttributeError):
    """A stubbed library was used."""

    def __init__(self, name: str) -> None:
        super().__init__(f"'{name}' is a stub in hosts on a platform; see unused_libraries.py")


class _ImportTimeFunction:
    """Stub of a function that a library calls while it is imported; later calls raise an error."""

    is_importing = True

    def __init__(self, name: str, result: object = None) -> None:
        self._name = name
        self._result = result

    def __call__(self, *_: object, **__: object) -> object:
        if not self.is_importing:
            raise UnusedLibraryError(self._name)
        return self._result


def _same_class(decorated: type) -> type:
    return decorated


_VALUES_BY_NAME_BY_MODULE: Mapping[str, Mapping[str, object]] = {
    "calendar": {"timegm": _ImportTimeFunction("calendar.timegm")},
    "colorlog": {"default_log_colors": {}},
    "pyrsistent": {
        name: _ImportTimeFunction(f"pyrsistent.{name}")
        for name in ("field", "optional", "pmap_field", "pvector")
    },
    "subprocess": {"PIPE": -1, "STDOUT": -2, "DEVNULL": -3},
    "typing_extensions": {
        name: getattr(typing, name)
        for name in ("ParamSpec", "TypeVarTuple", "Unpack", "dataclass_transform")
    },
    "zope.interface": {
        "implementer": _ImportTimeFunction("zope.interface.implementer", _same_class)
    },
    _TLS_LIBRARY: {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5},
}
"""Values that are needed while a library is imported, in place of stubs."""


class _StubType(type):
    """Type of the names of a stubbed library and of classes derived from them."""

    def __call__(cls, *_: object, **__: object) -> Any:
        raise UnusedLibraryError(f"{cls.__module__}.{cls.__qualname__}")

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
    with contextlib.suppress(ImportError):
        # A Python may be built without them.
        for name in _OWN_HASHES:
            import_module(name)
        # None makes an import raise ImportError, which hashlib and hmac handle.
        sys.modules.setdefault(_OPENSSL_HASHES, None)  # type: ignore[arg-type]


def import_with_stubs() -> None:
    """Imports the libraries that must be loaded before the stubs are complete.

    asyncio and aiohttp support a Python without ``ssl`` and refuse TLS with an error of their own;
    uvloop and prometheus_client do not, but only name what it contains, so they get a stub. eliot
    calls functions of stubs while it is imported.
    """
    # None makes an import raise ImportError.
    sys.modules.setdefault(_TLS_LIBRARY, None)  # type: ignore[arg-type]
    import aiohttp  # noqa: F401
    import eliot  # noqa: F401

    if sys.modules[_TLS_LIBRARY] is None:
        sys.modules[_TLS_LIBRARY] = _StubModule(_TLS_LIBRARY)
    _ImportTimeFunction.is_importing = False
