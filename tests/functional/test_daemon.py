"""Daemon processes on loopback that are killed and stopped, and callers with stale addresses."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bayhinge._internal import status_codes
from bayhinge._internal.demo.client import DemoClient
from bayhinge._internal.demo.run import configure_at
from bayhinge._internal.demo.workloads import Account, key_of, value_fund
from bayhinge._internal.demo.world import OPERATOR_KEY, World, WorldShape
from bayhinge._internal.models.account_keys import hash_key

pytestmark = pytest.mark.functional
START_TIMEOUT_S = 60
SETTINGS = """[host]
name = {name}
hall = hall-1
public_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
log_file = {folder}/{name}.log

[store]
url = {store}
writes_per_second = 50

[membership]
beat_seconds = 0.3
dead_after_seconds = 1.2
address_keep_seconds = 1

[config]
poll_seconds = 0.3

[endpoints]
list_url = {endpoints}
poll_seconds = 0.3

[operators]
key_sha256 = {operator}

[pool agent-llm]
models = agent-llm

[service prices]

[service submissions]
"""


class Daemon:
    """One ``bayhinged`` process."""

    def __init__(self, name: str, world: World, folder: Path) -> None:
        settings = folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                name=name,
                folder=folder,
                store=world.store.base_url,
                endpoints=world.endpoint_list.base_url,
                operator=hash_key(OPERATOR_KEY),
            ),
            encoding="utf-8",
        )
        command = [sys.executable, "-c", "from bayhinge._internal.cli.daemon import main; main()"]
        self.process = subprocess.Popen(
            [*command, "--settings", str(settings)], stderr=subprocess.PIPE, text=True
        )

    async def wait_ready(self) -> str:
        assert self.process.stderr is not None
        while True:
            line = await asyncio.to_thread(self.process.stderr.readline)
            if " serves at " in line:
                return line.split()[-1]
            assert line, "the daemon ended before it served"

    def stop(self, number: signal.Signals) -> int:
        self.process.send_signal(number)
        return self.process.wait(timeout=START_TIMEOUT_S)


def test_programs_survive_a_kill_and_a_planned_stop_of_real_daemons(tmp_path: Path) -> None:
    async def scenario() -> None:
        shape = WorldShape(("hall-1",), hosts=0, services=("prices", "submissions"))
        world = World(shape)
        await world.start()
        daemons = [Daemon(f"entry-{number}", world, tmp_path) for number in (1, 2, 3)]
        addresses = [await daemon.wait_ready() for daemon in daemons]
        client = DemoClient(addresses, key_of(Account.FUND_DESK))
        try:
            await configure_at(addresses[0])
            await asyncio.sleep(1.5)
            running = [
                asyncio.create_task(value_fund(client, f"fund-{number}")) for number in range(6)
            ]
            await asyncio.sleep(0.3)
            assert await asyncio.to_thread(daemons[0].stop, signal.SIGKILL) == -signal.SIGKILL
            await asyncio.sleep(0.3)
            stopped = await asyncio.to_thread(daemons[1].stop, signal.SIGTERM)
            assert stopped == status_codes.EXIT_OK
            # The caller still has the addresses of the two ended daemons.
            reports = await asyncio.gather(*running)
            assert all(report.finished for report in reports)
            record = world.tools_by_service["submissions"][0].record
            assert record.run_twice == 0
            assert (tmp_path / "entry-3.log").stat().st_size > 0
        finally:
            await client.close()
            for daemon in daemons:
                if daemon.process.poll() is None:
                    daemon.process.kill()
                    daemon.process.wait()
                if daemon.process.stderr is not None:
                    daemon.process.stderr.close()
            await world.stop()

    asyncio.run(scenario())


def test_invalid_settings_end_the_daemon_and_every_error_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "host.ini"
    path.write_text("[host]\nname = Entry One\n[store]\nurl = nowhere\n", encoding="utf-8")
    command = "from bayhinge._internal.cli.daemon import main; main()"
    result = subprocess.run(
        [sys.executable, "-c", command, "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == status_codes.EXIT_INVALID_INPUT
    assert f"{path}:2 [host] name: 'Entry One' is not a valid name" in result.stderr
    assert f"{path}:4 [store] url: 'nowhere' is not an HTTP URL" in result.stderr
    assert "section is missing" in result.stderr
