"""Entry point ``python -m bayhinge._internal.platform entry|disk`` of a host on the platform."""

import gc
import os
import signal
import sys

STUBS_VARIABLE = "BAYHINGE_STUBS"
"""Environment variable; ``off`` loads all libraries whole."""

STUBS_OFF = "off"


def main() -> int:
    """Runs the entry or disk program; returns its exit status."""
    # Until the program handles it, which reads the settings in any case; it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported objects are never freed, so collecting garbage during imports only costs time.
    gc.disable()
    from bayhinge._internal.platform.unused_libraries import (
        import_with_stubs,
        stub_unused_libraries,
    )

    has_stubs = os.environ.get(STUBS_VARIABLE) != STUBS_OFF
    if has_stubs:
        stub_unused_libraries()
    from bayhinge._internal.platform.early_listening import listen_early

    # Listens before the slow imports, so that callers wait instead of being refused while many
    # hosts start at once, such as after a power loss.
    sockets = listen_early() if sys.argv[1:] == ["entry"] else None
    try:
        if has_stubs:
            import_with_stubs()
        from bayhinge._internal.platform.programs import import_program, run

        import_program(sys.argv[1:])
    except Exception as error:
        if not has_stubs:
            raise
        # Another version of a library may use what is stubbed; a slower start beats none.
        print(f"starting again with whole libraries: {error!r}", file=sys.stderr, flush=True)
        os.environ[STUBS_VARIABLE] = STUBS_OFF
        os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])
    return run(sys.argv[1:], sockets)


if __name__ == "__main__":
    sys.exit(main())
