"""Answers operators' queries from one host's own state."""

from collections.abc import Callable, Mapping

from expression import Error, Ok, Result

from bayhinge._internal.models.refusals import Refusal, RefusalCode, not_run_refusal
from bayhinge._internal.models.views import (
    ConfigObjectView,
    ConfigStatusView,
    EndpointStatusView,
    HostStatsView,
    HostView,
    ParameterView,
    to_json,
)
from bayhinge._internal.services.host_parts import HostParts
from bayhinge._internal.services.timeline import EventFilter
from bayhinge.coordination.config_feed import ConfigObject
from bayhinge.coordination.membership import HostInfo

Parameters = Mapping[str, str]
MERGED_QUERIES = frozenset({"programs", "endpoints", "events", "stats", "config-status"})
"""Queries whose answers from all hosts are merged."""


class LocalQueries:
    """Answers each query by name, as a JSON list."""

    def __init__(self, parts: HostParts) -> None:
        self._parts = parts
        self._answer_by_name: dict[str, Callable[[Parameters], object]] = {
            "programs": self._programs,
            "endpoints": self._endpoints,
            "events": self._events,
            "stats": self._stats,
            "config-status": self._config_status,
            "hosts": self._hosts,
            "config": self._config,
            "config-history": self._config_history,
            "account-parameters": self._account_parameters,
        }

    def answer(self, name: str, parameters: Parameters) -> Result[bytes, Refusal]:
        """Answers a query."""
        answer = self._answer_by_name.get(name)
        if answer is None:
            known = ", ".join(sorted(self._answer_by_name))
            why = f"query '{name[:40]}' does not exist; known queries: {known}"
            return Error(not_run_refusal(RefusalCode.BAD_REQUEST, why))
        return Ok(to_json(answer(parameters)))

    def _programs(self, parameters: Parameters) -> object:
        account = parameters.get("account", "")
        programs = self._parts.registry.all()
        return [
            self._parts.router.view(program)
            for program in programs
            if not account or program.state.account == account
        ]

    def _endpoints(self, parameters: Parameters) -> object:
        me = self._parts.membership.me.host
        return [
            EndpointStatusView(
                view.name,
                cell,
                me,
                view.hall,
                view.standing.value,
                len(view.running_by_grant),
                view.limit,
                view.resident_programs,
                view.resident_tokens,
                view.failures,
            )
            for cell, scheduler in self._parts.dispatcher.schedulers().items()
            for view in scheduler.endpoints_by_name.values()
        ]

    def _events(self, parameters: Parameters) -> object:
        wanted = event_filter(parameters)
        return [event.to_fields() for event in self._parts.timeline.select(wanted)]

    def _stats(self, parameters: Parameters) -> object:
        return [self.stats()]

    def stats(self) -> HostStatsView:
        """Returns this host's counters."""
        parts = self._parts
        journal = parts.journal.statistics
        histories = parts.owner_parts.histories
        return HostStatsView(
            host=parts.settings.host.name,
            programs=parts.registry.live_count,
            running_calls=parts.owner.running_count,
            journal_records=journal.records,
            journal_writes=journal.batches,
            journal_waiting_bytes=parts.journal.waiting_bytes,
            history_bytes=histories.size,
            history_rebuilds=histories.statistics.rebuilds,
            grants=parts.dispatcher.granted,
            rejections=parts.dispatcher.rejected,
            events=parts.timeline.count,
            store_ok=parts.journal.store_ok,
            latency_ms=parts.latencies.percentiles_ms(),
        )

    def _config_status(self, parameters: Parameters) -> object:
        feed = self._parts.feed
        me = self._parts.membership.me
        status = ConfigStatusView(
            me.host,
            me.incarnation,
            feed.revision,
            feed.observed_revision,
            feed.is_current(),
            tuple(sorted(feed.corrupt_by_key)),
        )
        return [status]

    def _hosts(self, parameters: Parameters) -> object:
        return [_host_view(info) for info in self._parts.membership.alive()]

    def _config(self, parameters: Parameters) -> object:
        kind, name = parameters.get("kind", ""), parameters.get("name", "")
        if not name:
            return [_config_view(item) for item in self._parts.feed.all(kind)]
        found = self._parts.feed.get(kind, name)
        return [] if found is None else [_config_view(found)]

    def _config_history(self, parameters: Parameters) -> object:
        kind, name = parameters.get("kind", ""), parameters.get("name", "")
        return [_config_view(item) for item in self._parts.feed.history(kind, name)]

    def _account_parameters(self, parameters: Parameters) -> object:
        found = self._parts.accounts.find(parameters.get("name", ""))
        if found.is_error():
            return []
        return [ParameterView(item.name, item.value, item.source) for item in found.ok.parameters()]


def event_filter(parameters: Parameters) -> EventFilter:
    """Reads the filter of an events query."""
    after = parameters.get("after", "0")
    return EventFilter(
        parameters.get("program", ""),
        parameters.get("account", ""),
        parameters.get("endpoint", ""),
        parameters.get("mechanism", ""),
        int(after) if after.isascii() and after.isdigit() else 0,
    )


def _host_view(info: HostInfo) -> HostView:
    return HostView(
        info.host,
        info.incarnation,
        info.hall,
        info.state.value,
        info.public_address,
        info.peer_address,
        info.applied_revision,
        info.load,
    )


def _config_view(item: ConfigObject) -> ConfigObjectView:
    return ConfigObjectView(
        item.kind, item.name, item.revision, item.author, item.accepted_at_ms, item.text
    )
