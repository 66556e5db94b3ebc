"""Coordination parts on top of an object store with conditional updates.

Nothing here opens a socket or knows the daemon. Embedders implement
:class:`~bayhinge.coordination.store.ObjectStore` for their platform and use:

* :class:`~bayhinge.coordination.journal.Journal`: a sealed, group-committed log;
* :class:`~bayhinge.coordination.membership.Membership`: who is alive;
* :class:`~bayhinge.coordination.config_feed.ConfigFeed`: configuration that never reverts;
* :class:`~bayhinge.coordination.escrow.Escrow`: a budget shared without going over;
* :class:`~bayhinge.coordination.lease.Lease`: a lease with a fencing number;
* :class:`~bayhinge.coordination.clock.HybridClock`: one order of events over all hosts.
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

# Each part is loaded when it is first used: a host that needs a clock alone starts earlier.
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
    """Loads the module of a public name."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module '{__name__}' has no attribute '{name}'")
    return getattr(import_module(f"{__name__}.{module}"), name)
