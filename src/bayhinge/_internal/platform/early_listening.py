"""Opens the listening sockets for callers before the host's program is loaded."""

import os
import sys
import tomllib
from pathlib import Path

from bayhinge._internal.utils.prebound_sockets import PreboundSockets

SETTINGS_VARIABLE = "BAYHINGE_NODE_FILE"

EARLY_LISTEN_KEYS = ("frontend", "directory")
"""Listening addresses to open early; not the readiness address, as a loading host is not ready."""


def listen_early() -> PreboundSockets:
    """Listens at the addresses in the settings file.

    Errors are only printed, since the program itself validates the settings and reports findings.
    """
    sockets = PreboundSockets()
    try:
        with Path(os.environ.get(SETTINGS_VARIABLE, "")).open("rb") as file:
            addresses = tomllib.load(file)["listen"]
        for name in EARLY_LISTEN_KEYS:
            if addresses.get(name):
                sockets.open(addresses[name])
    except (OSError, ArithmeticError, LookupError, ValueError, TypeError, AttributeError) as error:
        print(f"no early listening: {error!r}", file=sys.stderr)
    return sockets
