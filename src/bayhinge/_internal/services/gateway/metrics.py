"""The metrics page of an entry host."""

import asyncio

from bayhinge._internal.services.gateway.gateway import Gateway
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.services.metrics_page import metrics_page
from bayhinge._internal.wire.hosts.ttypes import HostRole


def entry_metrics(gateway: Gateway) -> bytes:
    """Returns the metrics page of a host."""
    return metrics_page(gateway.latencies, _gauges(gateway))


def _account_gauges(gateway: Gateway, accounts: int) -> dict[str, float]:
    """Returns totals over all accounts, as there are too many accounts for labels."""
    proofs, quotas = gateway.proofs, gateway.quotas
    return {
        "accounts_known": accounts,
        "proof_age_seconds": proofs.age_s,
        "proofs_from_store_total": proofs.counts.from_store,
        "proofs_from_hosts_total": proofs.counts.from_peers,
        "proofs_failed_total": proofs.counts.failed,
        "requests_waited_for_proof_total": proofs.counts.waited,
        "requests_without_proof_total": proofs.counts.refused,
        "quota_granted_total": quotas.counts.granted,
        "quota_refused_total": quotas.counts.refused,
        "quota_refused_first_requests_total": quotas.counts.refused_first_requests,
        "quota_without_home_total": quotas.counts.without_coordinator,
        "quota_relayed_total": quotas.counts.relayed,
        "quota_given_back_total": quotas.counts.returned,
        "quota_answered_for_others_total": quotas.counts.answered,
    }


def _place_gauges(gateway: Gateway) -> dict[str, float]:
    """Returns the waits for places, of this host's requests and of those that it coordinates."""
    placer = gateway.placer
    waits = placer.wait_counts
    return {
        "placed_by_home_total": placer.counts.by_coordinator,
        "placed_as_home_total": placer.counts.as_coordinator,
        "placed_alone_total": placer.counts.local,
        "place_waiting": waits.waiting,
        "place_waited_total": waits.waited,
        "place_waited_seconds_total": waits.waited_s,
        "place_granted_after_wait_total": waits.granted,
        "place_refused_as_predicted_total": waits.refused_as_predicted,
        "place_refused_as_time_over_total": waits.refused_as_time_over,
        "place_waiting_at_home": placer.hall_waiters.waiting,
        "place_waiting_alone": placer.local_waiters.waiting,
        "place_granted_after_wait_as_home_total": placer.hall_waiters.granted_after_wait,
        "place_granted_after_wait_alone_total": placer.local_waiters.granted_after_wait,
    }


def _memory_gauges(memory: HeldMemory) -> dict[str, float]:
    budget = memory.budget
    if budget is None:
        return {}
    return {
        "memory_budget_bytes": budget.limit_bytes,
        "memory_reserve_bytes": budget.reserve_bytes,
        "memory_used_ratio": budget.used_thousandths / 1000,
        "memory_waiting": budget.waiting_count,
        "memory_refused_total": memory.counts.refused,
        "memory_paused_total": memory.counts.paused,
        "memory_paced_total": memory.counts.paced,
    } | {
        f"memory_held_bytes_{holder.value}": size for holder, size in budget.bytes_by_holder.items()
    }


def _gauges(gateway: Gateway) -> dict[str, float]:
    table = gateway.configuration.table
    gauges: dict[str, float] = {
        "requests_taken_total": gateway.requests.counts.received,
        "requests_running": gateway.front.running,
        "configuration_version": 0 if table is None else table.version,
        "disk_set_version": gateway.disks.disk_set.version,
        "disks_in_set": len(gateway.disks.disk_set.members),
        "disk_calls_relayed_total": gateway.disk_link.relayed,
        "hosts_heard": len(gateway.gossip.recent_heartbeats(HostRole.ENTRY)),
        "disks_heard": len(gateway.gossip.recent_heartbeats(HostRole.DISK)),
        "configuration_findings": 0 if table is None else len(table.findings),
        "configurations_unreadable_total": gateway.configuration.unreadable.total,
        "endpoints_known": len(gateway.endpoint_table.all()),
        "endpoints_slow": gateway.speeds.slow_count(),
        "endpoint_slowest_relative_duration": gateway.speeds.slowest(),
        "endpoint_entries_unreadable": gateway.endpoints.unreadable.current,
        "endpoint_entries_unreadable_total": gateway.endpoints.unreadable.total,
        "endpoint_connections_opened_total": gateway.connection_pool.counts.opened,
        "endpoint_connections_reused_total": gateway.connection_pool.counts.reused,
        "endpoint_connections_with_surplus_total": gateway.connection_pool.counts.with_surplus,
        "peer_connections_left_silent_total": gateway.peers.abandoned_connections,
        "endpoints_doubted_total": gateway.requests.send_counts.suspected,
        "requests_sent_again_total": gateway.requests.send_counts.retried,
        "requests_with_sends_known": len(gateway.sends.recorder.register),
        "send_claims_unanswered_total": gateway.sends.witnesses.unanswered,
        "endpoints_ended_under_requests_total": gateway.sends.guard.counts.ended,
        "ended_sends_cleared_total": gateway.sends.guard.counts.cleared,
        "endpoint_probes_total": gateway.sends.examiner.count,
        "sends_alone_total": gateway.sends.guard.counts.alone,
        "sends_withheld_total": gateway.sends.guard.counts.withheld,
        "streams_cut_in_an_event_total": gateway.requests.send_counts.cut_in_event,
        "streams_resumed_total": gateway.requests.send_counts.resumed,
        "is_ready": gateway.is_ready,
        "is_leaving": gateway.is_leaving,
    }
    gauges |= _place_gauges(gateway)
    if table is not None and table.accounts is not None:
        gauges |= _account_gauges(gateway, len(table.accounts.accounts))
    gauges |= _memory_gauges(gateway.memory) | gateway.guard.gauges()
    for outcome, count in gateway.requests.counts.ended_by_outcome.items():
        gauges[f"requests_{outcome}_total"] = count
    now = asyncio.get_running_loop().time()
    for prefix, follower in gateway.followers_by_prefix.items():
        name = prefix.rstrip("/")
        gauges[f"store_revision_{name}"] = follower.revision
        gauges[f"store_age_seconds_{name}"] = now - follower.last_refresh_s
        gauges[f"store_call_seconds_{name}"] = follower.waiting_s()
        gauges[f"store_fails_{name}"] = follower.is_failing
    return gauges
