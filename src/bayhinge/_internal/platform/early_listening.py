"""Listens for callers before the host's program is loaded."""

import os
import sys
import tomllib
from pathlib import Path

from bayhinge._internal.utils.early_sockets import EarlySockets

SETTINGS_VARIABLE = "BAYHINGE_NODE_FILE"

EARLY_LISTEN_KEYS = ("frontend", "directory")
"""Not the address of readiness: a host that is loading must not count as ready."""


def listen_early() -> EarlySockets:
    """Listens at the addresses that the settings name.

    Anything that is wrong is left to the program itself, which reads the settings with care and
    says what to mend.
    """
    sockets = EarlySockets()
    try:
        with Path(os.environ.get(SETTINGS_VARIABLE, "")).open("rb") as file:
            addresses = tomllib.load(file)["listen"]
        for name in EARLY_LISTEN_KEYS:
            if addresses.get(name):
                sockets.open(addresses[name])
    except (OSError, ArithmeticError, LookupError, ValueError, TypeError, AttributeError) as error:
        print(f"no early listening: {error!r}", file=sys.stderr)
    return sockets
