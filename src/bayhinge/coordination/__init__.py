"""Coordination primitives on top of an object store with conditional updates.

The library opens no sockets and does not depend on the daemon. Embedders implement
:class:`~bayhinge.coordination.store.ObjectStore` for their platform and use:

* :class:`~bayhinge.coordination.journal.Journal`: a fenced write-ahead log with group commit;
* :class:`~bayhinge.coordination.membership.Membership`: heartbeats and failure detection;
* :class:`~bayhinge.coordination.config_feed.ConfigFeed`: a versioned log of configuration changes;
* :class:`~bayhinge.coordination.escrow.Escrow`: a budget that hosts share without exceeding it;
* :class:`~bayhinge.coordination.lease.Lease`: a lease with a fencing token;
* :class:`~bayhinge.coordination.clock.HybridClock`: timestamps that order events across hosts.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bayhinge.coordination.clock import Clock, HybridClock, SystemClock
    from bayhinge.coordination.config_feed import ConfigFeed
    from bayhinge.coordination.errors import (
        AlreadyExistsError,
        CoordinationError,
        CorruptObjectError,
        FencedError,
        JournalFullError,
        StoreError,
        StoreRateLimitedError,
        StoreUnavailableError,
        VersionConflictError,
    )
    from bayhinge.coordination.escrow import Escrow
    from bayhinge.coordination.journal import Journal
    from bayhinge.coordination.journal_objects import RecordPosition
    from bayhinge.coordination.journal_reader import JournalReader
    from bayhinge.coordination.lease import Lease
    from bayhinge.coordination.membership import Membership
    from bayhinge.coordination.store import ObjectStore, StoredObject

# Modules are imported on first use, so that a process that needs only some starts faster.
_MODULE_BY_NAME = {
    "AlreadyExistsError": "errors",
    "Clock": "clock",
    "ConfigFeed": "config_feed",
    "CoordinationError": "errors",
    "CorruptObjectError": "errors",
    "Escrow": "escrow",
    "FencedError": "errors",
    "HybridClock": "clock",
    "Journal": "journal",
    "JournalFullError": "errors",
    "JournalReader": "journal_reader",
    "Lease": "lease",
    "Membership": "membership",
    "ObjectStore": "store",
    "RecordPosition": "journal_objects",
    "StoreError": "errors",
    "StoreRateLimitedError": "errors",
    "StoreUnavailableError": "errors",
    "StoredObject": "store",
    "SystemClock": "clock",
    "VersionConflictError": "errors",
}

__all__ = [
    "AlreadyExistsError",
    "Clock",
    "ConfigFeed",
    "CoordinationError",
    "CorruptObjectError",
    "Escrow",
    "FencedError",
    "HybridClock",
    "Journal",
    "JournalFullError",
    "JournalReader",
    "Lease",
    "Membership",
    "ObjectStore",
    "RecordPosition",
    "StoreError",
    "StoreRateLimitedError",
    "StoreUnavailableError",
    "StoredObject",
    "SystemClock",
    "VersionConflictError",
]


def __getattr__(name: str) -> Any:
    """Imports a public name from its module on first access."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module '{__name__}' has no attribute '{name}'")
    return getattr(import_module(f"{__name__}.{module}"), name)
