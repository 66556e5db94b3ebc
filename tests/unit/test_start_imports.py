"""Guards against unused modules that come back at a start, and stubs used without an error."""

import hashlib
import subprocess
import sys

import pytest

from bayhinge._internal.platform.unused_libraries import UNUSED, UnusedLibraryError, _StubModule

START = """
import sys
from bayhinge._internal.platform.unused_libraries import (
    _StubModule, import_with_stubs, stub_unused_libraries
)
stub_unused_libraries()
import_with_stubs()
import bayhinge._internal.platform.programs
import bayhinge._internal.platform.{program}
from bayhinge._internal.utils.event_loop import loop_factory
loop_factory()
"""
"""The imports of a start, in the order of ``platform/__main__.py``."""

NOT_LOADED = """
unused = {unused}
print(sorted(
    name for name, module in sys.modules.items()
    if name.startswith(unused) and module is not None and not isinstance(module, _StubModule)
))
"""

UNUSED_PREFIXES = (
    *UNUSED,
    "_hashlib",
    "_ssl",
    "dateutil",
    "email.",
    "http.client",
    "pytz",
    "shutil",
)


def run_python(script: str, **environment: str) -> str:
    completed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True, env=environment
    )
    return completed.stdout.strip()


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
@pytest.mark.parametrize("program", ["entry_program", "disk_program"])
def test_a_start_loads_no_unused_modules(program: str, loop: str) -> None:
    script = START.format(program=program) + NOT_LOADED.format(unused=UNUSED_PREFIXES)
    assert run_python(script, BAYHINGE_EVENT_LOOP=loop) == "[]"


def test_the_metrics_page_is_rendered_with_the_stubs() -> None:
    # prometheus_client is loaded at the first request for the page, after the start.
    script = START.format(program="entry_program") + (
        "from bayhinge._internal.services.latencies import Latencies\n"
        "from bayhinge._internal.services.metrics_page import metrics_page\n"
        "print(metrics_page(Latencies(), {'turns': 3.0}).decode())\n"
    )
    script += NOT_LOADED.format(unused=UNUSED_PREFIXES)
    lines = run_python(script).splitlines()
    assert "bayhinge_turns 3.0" in lines
    assert lines[-1] == "[]"


@pytest.mark.parametrize("name", UNUSED)
def test_a_stub_may_be_named_but_not_used(name: str) -> None:
    module = _StubModule(name)

    class Derived(module.Base):  # type: ignore[name-defined]
        def method(self, value: module.Other | None) -> module.Generic[int]:  # type: ignore[name-defined]
            raise NotImplementedError

    for stub in (module.function, module.Class, module.Class.method, Derived):
        with pytest.raises(UnusedLibraryError, match="is a stub in hosts on a platform"):
            stub("value", key=1)


TLS_CALLS = """
import asyncio, importlib
async def connect():
    session = importlib.import_module("bayhinge._internal.utils.http_session").open_session()
    async with session:
        try:
            await session.get("https://127.0.0.1:1/")
        except RuntimeError as error:
            print(error)
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    try:
        await loop.create_connection(asyncio.Protocol, "127.0.0.1", port, ssl=True)
    except (RuntimeError, AttributeError) as error:
        print(error)
with asyncio.Runner(loop_factory=loop_factory()) as runner:
    runner.run(connect())
import ssl
try:
    ssl.create_default_context()
except AttributeError as error:
    print(error)
"""


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_tls_is_refused_with_an_error(loop: str) -> None:
    # Without an error a host would send in the clear what its caller wants encrypted.
    script = START.format(program="entry_program") + TLS_CALLS
    lines = run_python(script, BAYHINGE_EVENT_LOOP=loop).splitlines()
    assert lines[0] == "SSL is not supported."
    assert "SSL" in lines[1] or "ssl" in lines[1]
    assert "'ssl.create_default_context' is a stub" in lines[2]


LOGGING = """
import eliot, eliot._action
messages = []
def fail(message):
    if message["message_type"] == "it.happened":
        raise ValueError("full disk")
eliot.add_destinations(fail, messages.append)
eliot.log_message("it.happened", number=1)
try:
    raise KeyError("lost")
except KeyError:
    eliot.write_traceback()
print(*(message["message_type"] for message in messages))
try:
    eliot._action.pvector()
except AttributeError as error:
    print(error)
"""


def test_logging_works_with_the_stubs_and_its_parser_does_not() -> None:
    # What a destination raises and what write_traceback reads take other paths through eliot.
    lines = run_python(START.format(program="entry_program") + LOGGING).splitlines()
    assert lines[0] == "it.happened eliot:destination_failure eliot:traceback"
    assert "'pyrsistent.pvector' is a stub" in lines[1]


KEYS = """
import hashlib, hmac
from bayhinge._internal.models.account_keys import hash_key
print(hash_key("a key"), hmac.compare_digest("x", "x"))
"""


def test_keys_have_the_same_digest_without_openssl() -> None:
    digest = hashlib.sha256(b"a key").hexdigest()
    assert run_python(START.format(program="entry_program") + KEYS) == f"{digest} True"


COOKIES = """
import asyncio
from bayhinge._internal.utils.http_session import open_session
HEAD = b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\nConnection: close\\r\\n"
DATE = b"Wed, 21 Oct 2099 07:28:00 GMT"
async def answer(reader, writer):
    request = await reader.readuntil(b"\\r\\n\\r\\n")
    print(b"Cookie:" in request)
    writer.write(HEAD + b"Set-Cookie: a=b; Expires=" + DATE + b"\\r\\n\\r\\n")
    writer.close()
async def main():
    server = await asyncio.start_server(answer, "localhost", 0, family=2)
    port = server.sockets[0].getsockname()[1]
    async with open_session() as session:
        for _ in range(2):
            async with session.get(f"http://localhost:{port}/") as response:
                print(response.status)
    server.close()
asyncio.run(main())
"""


def test_an_answer_may_set_a_cookie_which_is_not_kept() -> None:
    # A cookie jar would read the date with a stubbed library.
    script = START.format(program="entry_program") + COOKIES.replace(
        "from aiohttp import web\n", ""
    )
    assert run_python(script).split() == ["False", "200", "False", "200"]
