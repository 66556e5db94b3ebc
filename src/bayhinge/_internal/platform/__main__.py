"""Entry point ``python -m bayhinge._internal.platform entry|disk`` of a host on the platform."""

import gc
import sys


def main() -> int:
    """Runs the entry or disk program; returns its exit status."""
    # Imported objects are never freed, so collecting garbage during imports only costs time.
    gc.disable()
    from bayhinge._internal.platform.unused_libraries import (
        import_with_stubs,
        stub_unused_libraries,
    )

    stub_unused_libraries()
    from bayhinge._internal.platform.early_listening import listen_early

    # Listens before the slow imports, so that callers wait instead of being refused while many
    # hosts start at once, such as after a power loss.
    sockets = listen_early() if sys.argv[1:] == ["entry"] else None
    import_with_stubs()
    from bayhinge._internal.platform.programs import run

    return run(sys.argv[1:], sockets)


if __name__ == "__main__":
    sys.exit(main())
