"""Freshness proofs of a host's configuration, from the store and from peers, in virtual time."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.freshness_proofs import ProofBounds, may_ask_peer, proof_bounds
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
from tests.lib.silent_store import SilentStore, StoreState
from tests.lib.watching_site import NullListener

CONFIG_KEY = "config/main"
BOUNDS = proof_bounds(5.0)


class SlowStore(SilentStore):
    """Answers single reads after a delay, with the state at the time of the request, or fails."""

    def __init__(self) -> None:
        super().__init__(StoreState(CONFIG_KEY))
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


class ProofPeer(Peers):
    """A peer that confirms a revision and its age, after a delay."""

    def __init__(self) -> None:
        self.reply = wire.ProofReply()
        self.answer_s = 0.002
        self.queries = 0

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        self.queries += 1
        reply = encode_message(self.reply)
        await asyncio.sleep(self.answer_s)
        yield reply

    async def close(self) -> None:
        return


class ProvingHost:
    """A host that needs freshness proofs, without background tasks."""

    def __init__(self, tmp_path: Any, bounds: ProofBounds | None = BOUNDS) -> None:
        path = tmp_path / "host.toml"
        path.write_text(settings_text("entry-0", "127.0.0.1"))
        settings: SiteSettings = read_settings(path).ok
        self.store = SlowStore()
        self.peers = ProofPeer()
        self.gossip = Gossip(settings, wire.HostRole.ENTRY)
        self.follower = PrefixFollower(
            self.store, "config/", lambda: 5.0, NullListener(), self.peers
        )
        self.proofs = ConfigurationProofs(
            self.store, CONFIG_KEY, self.follower, self.gossip, self.peers, bounds
        )
        self.proofs.has_accounts = lambda: True


def test_the_age_of_a_store_proof_counts_from_the_request(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        host.store.answer_s = 0.9
        await host.proofs._ask_store()
        assert 0.9 <= host.proofs.age_s < 0.95
        assert host.follower.revision == 3

    run_virtual(scenario())


def test_the_age_of_a_peer_proof_includes_the_round_trip(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        host.follower.revision = 3
        host.peers.reply = wire.ProofReply(3, 1500.0)
        host.peers.answer_s = 0.1
        await host.proofs._ask_peer("127.0.0.2:1")
        assert 1.6 <= host.proofs.age_s < 1.65

    run_virtual(scenario())


def test_a_proof_of_an_unknown_revision_counts_once_it_is_known(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        host.peers.reply = wire.ProofReply(4, 100.0)
        await host.proofs._ask_peer("127.0.0.2:1")
        assert not host.proofs.may_admit
        host.follower.revision = 4
        assert host.proofs.may_admit

    run_virtual(scenario())


def test_malformed_proofs_of_a_peer_are_ignored(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
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


def test_the_store_is_read_at_the_renewal_interval(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        running = asyncio.create_task(host.proofs.run())
        ages = []
        for _ in range(300):
            await asyncio.sleep(0.1)
            ages.append(host.proofs.age_s)
        running.cancel()
        assert max(ages[10:]) <= BOUNDS.renew_s + 0.1
        assert host.store.reads <= 30 / BOUNDS.renew_s + 2

    run_virtual(scenario())


def test_keys_are_admitted_until_shortly_before_the_bound(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(2.0)
        host.store.fails = True
        began_s = asyncio.get_running_loop().time()
        for _ in range(600):
            if not host.proofs.may_admit:
                break
            await asyncio.sleep(0.01)
        lasted_s = asyncio.get_running_loop().time() - began_s
        # Service is guaranteed for 0.6 of the bound, and must end before the bound.
        assert 0.6 * 5.0 <= lasted_s < 5.0
        assert not await host.proofs.wait("a1")
        host.store.fails = False
        await asyncio.sleep(1.0)
        assert host.proofs.may_admit
        running.cancel()

    run_virtual(scenario())


def test_a_request_waits_for_a_proof_unless_the_last_attempt_failed(
    tmp_path: Any,
) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path)
        loop = asyncio.get_running_loop()
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(0.01)
        # As after a stall of the process that is longer than any proof is valid.
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


def test_without_a_bound_the_store_is_not_read(tmp_path: Any) -> None:
    async def scenario() -> None:
        host = ProvingHost(tmp_path, bounds=None)
        running = asyncio.create_task(host.proofs.run())
        await asyncio.sleep(5.0)
        running.cancel()
        assert host.proofs.may_admit
        assert host.store.reads == 0

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("age_s", "peer_age_s", "expected"),
    [
        (0.4, 0.1, True),
        (0.4, 0.3, False),
        (0.6, 0.35, False),
        (0.7, 0.45, True),
        (0.7, 0.6, False),
        (float("inf"), 1.5, True),
    ],
)
def test_a_late_host_asks_for_any_fresher_proof(
    age_s: float, peer_age_s: float, expected: bool
) -> None:
    """Guards against refusals although a peer has a proof, and against calls that gain nothing."""
    assert may_ask_peer(age_s, peer_age_s, renew_s=0.32) is expected
