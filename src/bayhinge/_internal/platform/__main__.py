"""``python -m bayhinge._internal.platform entry|disk``: a host on the platform."""

import gc
import os
import sys

EMPTY = os.devnull


def main() -> int:
    """Starts one program with the settings file that the platform names."""
    # aiohttp reads the machine's certificates when it is imported: 60 of the 320 ms that a host
    # needs to start, and a megabyte. These programs speak plain HTTP alone.
    os.environ.setdefault("SSL_CERT_FILE", EMPTY)
    os.environ.setdefault("SSL_CERT_DIR", EMPTY)
    # What is imported stays; looking through it for garbage took 0.07 of 0.42 s of processor time
    # (medians of 25 starts, taken by turns).
    gc.disable()
    from bayhinge._internal.platform.unused_libraries import stub_unused_libraries

    stub_unused_libraries()
    from bayhinge._internal.platform.early_listening import listen_early

    # 0.3 s before the host can serve: after a loss of all power, callers wait in place of being
    # refused at every host that they try.
    sockets = listen_early() if sys.argv[1:] == ["entry"] else None
    from bayhinge._internal.platform.programs import run

    return run(sys.argv[1:], sockets)


if __name__ == "__main__":
    sys.exit(main())
