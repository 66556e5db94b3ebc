"""Keeps the configuration and the endpoint table up to date from the store's objects."""

import asyncio
from collections.abc import Callable

import eliot

from bayhinge._internal.decisions.endpoint_table import EndpointTable, EntryChange
from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routing import RoutingTable
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.endpoint_restarts import EndpointRestarts
from bayhinge._internal.services.gateway.initial_sync import InitialSync
from bayhinge._internal.services.gateway.platform_interface import ObjectReader
from bayhinge._internal.services.gateway.unreadable_objects import (
    MAX_LOGGED_FINDINGS,
    UnreadableObjects,
)
from bayhinge._internal.services.prefix_follower import ObjectListener
from bayhinge.coordination.store import Change

MISSING_ENTRY_GRACE_S = 1.8
"""How long an endpoint stays a last resort after its entry disappears. Below 2 s, because a leaving
endpoint must get no new requests two seconds after its entry is removed."""

MISSING_AFTER_OUTAGE_GRACE_S = 2.6
"""The same just after a store outage: entries expire during it, and live endpoints register again
within about two seconds of its end. With the shorter time, live ones were dropped for up to half a
second after each outage."""

REMOVED_ENTRY_KEEP_S = 60.0
"""How long the last incarnation of a removed endpoint is remembered, so that a delayed entry of an
earlier one does not restore it. Unanswered store writes may take effect seconds later."""


class ConfigurationState(ObjectListener):
    """Holds the newest readable configuration; never goes back to an older version."""

    def __init__(self, reader: ObjectReader, key: str) -> None:
        self._reader = reader
        self._key = key
        self.unreadable = UnreadableObjects("configuration.unreadable")
        self.table: RoutingTable | None = None
        self.initial_sync = InitialSync("configuration")
        self.on_change: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """The active version, or 0 before the first one."""
        return 0 if self.table is None else self.table.version

    @property
    def has_accounts(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.table is not None and self.table.accounts is not None

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        value = value_by_key.get(self._key)
        if value is not None:
            self._load(value)
        self.on_change()

    def apply(self, change: Change, is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        if change.key == self._key and change.value is not None:
            self._load(change.value)
        self.on_change()

    def _load(self, value: bytes) -> None:
        try:
            table = self._reader.read_configuration(value)
        except UnreadableObjectError as error:
            self.unreadable.record(error)
            return
        self.unreadable.resolve(self._key)
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.version
        self.table = table
        self.initial_sync.complete()
        eliot.log_message(
            "configuration.in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
            accounts=0 if table.accounts is None else len(table.accounts.accounts),
        )
        if table.findings:
            eliot.log_message(
                "configuration.read_in_part",
                version=table.version,
                findings=list(table.findings[:MAX_LOGGED_FINDINGS]),
                further_findings=max(0, len(table.findings) - MAX_LOGGED_FINDINGS),
            )


class EndpointTableUpdater(ObjectListener):
    """Applies the platform's endpoint entries to the endpoint table."""

    def __init__(
        self,
        reader: ObjectReader,
        endpoint_table: EndpointTable,
        connection_pool: EndpointConnectionPool,
        restarts: EndpointRestarts,
    ) -> None:
        self._reader = reader
        self._endpoint_table = endpoint_table
        self._connection_pool = connection_pool
        self._restarts = restarts
        self._removal_timer_by_instance: dict[str, asyncio.TimerHandle] = {}
        self.initial_sync = InitialSync("endpoints")
        self.unreadable = UnreadableObjects("endpoint.unreadable")
        self.on_change: Callable[[], None] = lambda: None

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        instances = {_instance(key) for key in value_by_key}
        for state in self._endpoint_table.all():
            if state.entry.instance not in instances:
                self._mark_missing(state.entry.instance, is_after_outage)
        self.unreadable.retain_only(set(value_by_key))
        for key, value in value_by_key.items():
            self._put(key, value)
        self.initial_sync.complete()
        self.on_change()

    def apply(self, change: Change, is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        if change.value is None:
            self.unreadable.resolve(change.key)
            self._mark_missing(_instance(change.key), is_after_outage)
        else:
            self._put(change.key, change.value)
        self.on_change()

    def _put(self, key: str, value: bytes) -> None:
        try:
            entry = self._reader.read_endpoint(key, value)
        except UnreadableObjectError as error:
            self.unreadable.record(error)
            self._withdraw_unreadable(_instance(key))
            return
        self.unreadable.resolve(key)
        previous = self._endpoint_table.last_entry(entry.instance)
        update = self._endpoint_table.put(entry)
        if update is EntryChange.OUTDATED:
            # The known incarnation stays missing: this entry belongs to an earlier one.
            eliot.log_message("endpoint.outdated", endpoint=entry.instance, born_ms=entry.born_ms)
            return
        timer = self._removal_timer_by_instance.pop(entry.instance, None)
        if timer is not None:
            timer.cancel()
        if update is not EntryChange.NOTHING:
            self._handle_update(entry, update, previous)

    def _handle_update(
        self, entry: EndpointEntry, update: EntryChange, previous: EndpointEntry | None
    ) -> None:
        newest = self._endpoint_table.find(entry.instance)
        assert newest is not None
        if update is EntryChange.RESTARTED and previous is not None:
            self._restarts.handle_restart(newest, previous)
        if update is EntryChange.FOUND:
            self._restarts.handle_return(newest)
        self._restarts.handle_replacement(newest)
        eliot.log_message(
            "endpoint.known",
            endpoint=entry.instance,
            service=entry.service,
            address=entry.address,
            is_leaving=entry.is_leaving,
            born_ms=entry.born_ms,
        )

    def _withdraw_unreadable(self, instance: str) -> None:
        """Stops sending requests to an endpoint with an unreadable entry; active runs continue.

        Unlike an endpoint with a missing entry, it is not even used as a last resort.
        """
        if self._endpoint_table.mark_leaving(instance):
            self._connection_pool.drop_idle(instance)
            eliot.log_message("endpoint.withdrawn", endpoint=instance)

    def _mark_missing(self, instance: str, is_after_outage: bool) -> None:
        state = self._endpoint_table.find(instance)
        if state is None or instance in self._removal_timer_by_instance:
            return
        state.is_suspected = True
        grace_s = MISSING_AFTER_OUTAGE_GRACE_S if is_after_outage else MISSING_ENTRY_GRACE_S
        eliot.log_message(
            "endpoint.vanished", endpoint=instance, running=state.running_here, grace_s=grace_s
        )
        self._removal_timer_by_instance[instance] = asyncio.get_running_loop().call_later(
            grace_s, self._remove_missing, instance
        )

    def _remove_missing(self, instance: str) -> None:
        del self._removal_timer_by_instance[instance]
        self._remove(instance, "its entry stayed missing for the grace period")

    def _remove(self, instance: str, why: str) -> None:
        previous = self._endpoint_table.last_entry(instance)
        if previous is not None and self._endpoint_table.remove(instance):
            self._connection_pool.forget(instance)
            asyncio.get_running_loop().call_later(
                REMOVED_ENTRY_KEEP_S, self._endpoint_table.forget_removed, previous.incarnation
            )
            eliot.log_message("endpoint.gone", endpoint=instance, why=why)
            self.on_change()


def _instance(key: str) -> str:
    # Split at the first slash only: an instance name may contain slashes.
    return key.partition("/")[2]
