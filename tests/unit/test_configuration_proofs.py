"""A host's proof of its configuration, in virtual time: the store, peers, late answers."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.proof_age import ProofBounds, proof_bounds
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services.gateway.configuration_proofs import (
    PROOF_WAIT_S,
    ConfigurationProofs,
)
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store import StoredObject
from tests.lib.platform_data import settings_text
from tests.lib.silent_store import SilentStore, StoreTruth
from tests.lib.watching_site import Nobody

KEY = "config/main"
BOUNDS = proof_bounds(5.0)


class SlowStore(SilentStore):
    """Answers single reads after a while, or says that it can't; what it says is true at once."""

    def __init__(self) -> None:
        super().__init__(StoreTruth(KEY))
        self.answer_s = 0.004
        self.fails = False
        self.revision = 3
        self.reads = 0

    async def get(self, key: str) -> StoredObject | None:
        self.reads += 1
        if self.fails:
            raise StoreUnavailableError(key, "turned away")
        stored = StoredObject(key, b"{}", self.revision)
        await asyncio.sleep(self.answer_s)
        return stored


class OnePeer(Peers):
    """A peer that vouches for a revision with an age, after a while."""

    def __init__(self) -> None:
        self.reply = wire.ProofReply()
        self.answer_s = 0.002
        self.asked = 0

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        self.asked += 1
        reply = encode_message(self.reply)
        await asyncio.sleep(self.answer_s)
        yield reply

    async def close(self) -> None:
        return


class OneHost:
    """A host that needs proofs, without any task of its own running."""

    def __init__(self, tmp_path: Any, bounds: ProofBounds | None = BOUNDS) -> None:
        path = tmp_path / "host.toml"
        path.write_text(settings_text("entry-0", "127.0.0.1"))
        settings: SiteSettings = read_settings(path).ok
        self.store = SlowStore()
        self.peers = OnePeer()
        self.gossip = Gossip(settings, wire.HostRole.ENTRY)
        self.follower = PrefixFollower(self.store, "config/", lambda: 5.0, Nobody(), self.peers)
        self.proofs = ConfigurationProofs(
            self.store, KEY, self.follower, self.gossip, self.peers, bounds
        )
        self.proofs.has_accounts = lambda: True


def test_a_proof_counts_from_when_the_store_was_asked(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        host.store.answer_s = 0.9
        await host.proofs._ask_store()
        assert 0.9 <= host.proofs.age_s < 0.95
        assert host.follower.revision == 3

    run_virtual(scenario())


def test_what_a_peer_says_is_as_old_as_it_says_and_the_way_back(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        host.follower.revision = 3
        host.peers.reply = wire.ProofReply(3, 1500.0)
        host.peers.answer_s = 0.1
        await host.proofs._ask_peer("127.0.0.2:1")
        assert 1.6 <= host.proofs.age_s < 1.65

    run_virtual(scenario())


def test_a_proof_of_what_the_host_does_not_know_waits_until_it_does(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        host.peers.reply = wire.ProofReply(4, 100.0)
        await host.proofs._ask_peer("127.0.0.2:1")
        assert not host.proofs.may_admit
        host.follower.revision = 4
        assert host.proofs.may_admit

    run_virtual(scenario())


def test_an_odd_answer_of_a_peer_proves_nothing(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        host.follower.revision = 9
        for reply in (
            wire.ProofReply(),
            wire.ProofReply(3),
            wire.ProofReply(3, -5000.0),
            wire.ProofReply(3, float("nan")),
        ):
            host.peers.reply = reply
            await host.proofs._ask_peer("127.0.0.2:1")
            assert not host.proofs.may_admit

    run_virtual(scenario())


def test_the_store_is_asked_often_enough_and_not_more(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        running = asyncio.create_task(host.proofs.run())
        ages = []
        for _ in range(300):
            await asyncio.sleep(0.1)
            ages.append(host.proofs.age_s)
        running.cancel()
        assert max(ages[10:]) <= BOUNDS.renew_s + 0.1
        assert host.store.reads <= 30 / BOUNDS.renew_s + 2

    run_virtual(scenario())


def test_keys_are_let_in_until_the_bound_and_no_longer(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(2.0)
        host.store.fails = True
        began_s = asyncio.get_running_loop().time()
        for _ in range(600):
            if not host.proofs.may_admit:
                break
            await asyncio.sleep(0.01)
        lasted_s = asyncio.get_running_loop().time() - began_s
        # Callers are owed service for 0.6 of the bound, and it must end before the bound does.
        assert 0.6 * 5.0 <= lasted_s < 5.0
        assert not await host.proofs.wait("a1")
        host.store.fails = False
        await asyncio.sleep(1.0)
        assert host.proofs.may_admit
        running.cancel()

    run_virtual(scenario())


def test_a_request_waits_a_moment_for_a_proof_and_not_where_the_last_try_failed(
    tmp_path: Any,
) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path)
        loop = asyncio.get_running_loop()
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(0.01)
        # As after the process stood still for longer than any proof holds.
        host.proofs._proofs.__init__()  # type: ignore[misc]
        began_s = loop.time()
        assert await host.proofs.wait("a1")
        assert loop.time() - began_s < PROOF_WAIT_S
        host.proofs._proofs.__init__()  # type: ignore[misc]
        host.store.fails = True
        await host.proofs._ask_store()
        began_s = loop.time()
        assert not await host.proofs.wait("a2")
        assert loop.time() == began_s
        running.cancel()

    run_virtual(scenario())


def test_without_a_bound_nothing_is_asked(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = OneHost(tmp_path, bounds=None)
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(5.0)
        running.cancel()
        assert host.proofs.may_admit
        assert host.store.reads == 0

    run_virtual(scenario())
