"""``bayhinged --settings host.ini``: the daemon of one host.

SIGTERM and SIGINT start a planned stop; a second signal exits at once.
"""

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import eliot

from bayhinge import __version__
from bayhinge._internal import status_codes
from bayhinge._internal.models.settings import Settings, read_settings_file
from bayhinge._internal.services.host import Host
from bayhinge._internal.utils.event_loop import loop_factory

logger = logging.getLogger(__name__)

app = cyclopts.App(name="bayhinged", help="The bayhinge daemon.", version=__version__)


@app.default
def run(
    settings: Annotated[Path, cyclopts.Parameter(help="The host's settings file (INI).")],
    *,
    check: Annotated[bool, cyclopts.Parameter(help="Check the settings and exit.")] = False,
) -> int:
    """Runs the host until a signal stops it."""
    read = read_settings_file(settings)
    if read.is_error():
        for finding in read.error:
            print(finding, file=sys.stderr)
        print(f"{len(read.error)} finding(s); nothing was started.", file=sys.stderr)
        return status_codes.EXIT_INVALID_INPUT
    if check:
        print(f"{settings}: no findings")
        return status_codes.EXIT_OK
    _open_log(read.ok)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        return runner.run(_serve(read.ok))


def _open_log(settings: Settings) -> None:
    if settings.host.log_file == "-":
        eliot.to_file(sys.stdout)
        return
    # Stays open until the process exits.
    log = Path(settings.host.log_file).open("a", encoding="utf-8")  # noqa: SIM115
    eliot.to_file(log)


async def _serve(settings: Settings) -> int:
    host = Host(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _request_stop, stopping)
    try:
        await host.start()
    except OSError as error:
        print(f"{settings.host.name}: can't start: {error}", file=sys.stderr)
        return status_codes.EXIT_FAILURE
    # Scripts that start daemons wait for this line.
    print(f"{settings.host.name} serves at {host.base_url}", file=sys.stderr, flush=True)
    ending = [asyncio.create_task(event.wait()) for event in (stopping, host.fenced)]
    await asyncio.wait(ending, return_when=asyncio.FIRST_COMPLETED)
    await host.stop()
    # A fenced daemon must be restarted by its supervisor, as a new incarnation.
    return status_codes.EXIT_FENCED if host.fenced.is_set() else status_codes.EXIT_OK


def _request_stop(stopping: asyncio.Event) -> None:
    if stopping.is_set():
        raise SystemExit(status_codes.EXIT_FAILURE)
    stopping.set()


def main() -> None:
    """Entry point of ``bayhinged``."""
    sys.exit(app())
