"""Which entry hosts are listed, by heartbeats received here and by other hosts of the hall."""

import asyncio

import pytest

from bayhinge._internal.decisions.last_seen import AGE_UNITS_PER_S, short_incarnation
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services import gossip
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts.ttypes import Hello, HostPhase, HostRole
from tests.lib.platform_data import settings_text

LISTED_S = 0.05
"""Shortened for the tests."""


class Listener:
    """A host of the hall "north" that receives heartbeats from a test and sends none."""

    def __init__(self, folder: object) -> None:
        path = folder / "host.toml"  # type: ignore[operator]
        text = settings_text(
            "me",
            "127.0.0.1",
            hall="north",
            platform="127.0.0.1:1",
            data_folder="",
            first_start=False,
            seeds="[]",
        )
        path.write_text(text)
        self.gossip = Gossip(read_settings(path).ok, HostRole.ENTRY)

    def receive(
        self,
        host: str,
        phase: HostPhase,
        ages: dict[int, int] | None = None,
        *,
        beat: int = 1,
        hall: str = "north",
        is_cut_off: bool = False,
    ) -> None:
        heartbeat = Hello(
            host,
            (1 << 40) + len(host),
            beat,
            HostRole.ENTRY,
            phase,
            hall,
            f"127.0.0.1:{len(host)}",
            "",
            host,
            {},
            {},
            0,
            [],
            False,
            is_cut_off,
            0,
            age_by_start=ages,
        )
        self.gossip._receive(encode_message(heartbeat))

    def listed(self) -> set[str]:
        return {heartbeat.host for heartbeat in self.gossip.ready_entry_hosts()}


INCARNATION_OF_B = short_incarnation((1 << 40) + len("b"))


@pytest.fixture
def listener(tmp_path: object, monkeypatch: pytest.MonkeyPatch) -> Listener:
    monkeypatch.setattr(gossip, "advertised_s", lambda period_s: LISTED_S)
    return Listener(tmp_path)


def test_a_host_is_listed_while_another_host_receives_its_heartbeats(listener: Listener) -> None:
    async def main() -> None:
        listener.receive("b", HostPhase.READY)
        assert listener.listed() == {"b"}
        await asyncio.sleep(LISTED_S * 1.5)
        assert listener.listed() == set()
        listener.receive("cc", HostPhase.STARTING, {INCARNATION_OF_B: 0})
        assert listener.listed() == {"b"}
        await asyncio.sleep(LISTED_S * 1.5)
        assert listener.listed() == set(), "no host has received a heartbeat of it since"

    asyncio.run(main())


def test_a_host_is_listed_again_after_a_restart_or_partition_once_others_receive_it(
    listener: Listener,
) -> None:
    async def main() -> None:
        listener.receive("b", HostPhase.READY, is_cut_off=True)
        assert [heartbeat.is_cut_off for heartbeat in listener.gossip.ready_entry_hosts()] == [True]
        await asyncio.sleep(0.01)
        listener.receive("cc", HostPhase.STARTING, {INCARNATION_OF_B: 0})
        assert [heartbeat.is_cut_off for heartbeat in listener.gossip.ready_entry_hosts()] == [
            False
        ]
        listener.receive("b", HostPhase.STARTING, beat=2)
        assert listener.listed() == set()
        await asyncio.sleep(0.01)
        listener.receive("cc", HostPhase.STARTING, {INCARNATION_OF_B: 0}, beat=2)
        assert listener.listed() == {"b"}

    asyncio.run(main())


def test_a_leaving_host_is_not_listed_whatever_others_received(listener: Listener) -> None:
    async def main() -> None:
        listener.receive("b", HostPhase.LEAVING)
        await asyncio.sleep(0.01)
        listener.receive("cc", HostPhase.STARTING, {INCARNATION_OF_B: 0})
        assert listener.listed() == set()

    asyncio.run(main())


def test_a_stalled_host_does_not_pass_on_queued_heartbeats(
    listener: Listener,
) -> None:
    async def main() -> None:
        listener.receive("b", HostPhase.READY)
        listener.gossip._check_stall(gossip.STALL_S / 2)
        now_s = asyncio.get_running_loop().time()
        assert INCARNATION_OF_B in listener.gossip._last_seen.ages(now_s)
        listener.gossip._check_stall(gossip.STALL_S * 2)
        listener.receive("cc", HostPhase.READY, {INCARNATION_OF_B: 0})
        assert listener.gossip._last_seen.ages(now_s) == {}
        listener.gossip._stalled_until_s = now_s
        listener.receive("cc", HostPhase.READY, {INCARNATION_OF_B: 0}, beat=2)
        assert INCARNATION_OF_B in listener.gossip._last_seen.ages(now_s)

    asyncio.run(main())


def test_ages_from_another_hall_are_ignored(listener: Listener) -> None:
    async def main() -> None:
        listener.receive("b", HostPhase.READY)
        await asyncio.sleep(LISTED_S * 1.5)
        listener.receive("cc", HostPhase.STARTING, {INCARNATION_OF_B: 0}, hall="south")
        assert listener.listed() == set()

    asyncio.run(main())


def test_heartbeats_carry_ages_in_few_bytes() -> None:
    ages = {short_incarnation(number << 20): 3 * AGE_UNITS_PER_S for number in range(40)}
    required_fields: tuple[object, ...] = (
        "h",
        1,
        1,
        1,
        2,
        "n",
        "",
        "",
        "",
        {},
        {},
        0,
        [],
        False,
        False,
        0,
    )
    heartbeat = Hello(*required_fields, age_by_start=ages)
    data = encode_message(heartbeat)
    assert decode_message(Hello(), data).age_by_start == ages
    heartbeat_without_ages = Hello(*required_fields)
    assert len(data) - len(encode_message(heartbeat_without_ages)) <= 6 * len(ages) + 10
