"""Writes small files that survive a power loss."""

import os
from pathlib import Path


def write_synced(path: Path, data: bytes) -> None:
    """Writes and syncs a file; a power loss during the call may leave it incomplete.

    Raises:
        OSError: the write failed or was partial.
    """
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        written = os.write(file, data)
        if written != len(data):
            raise OSError(f"only {written} of {len(data)} bytes of '{path.name}' were written")
        os.fsync(file)
    finally:
        os.close(file)


def replace_synced(path: Path, data: bytes) -> None:
    """Replaces a file atomically: after a power loss either the old or the new one is intact."""
    temporary = path.with_suffix(".fresh")
    write_synced(temporary, data)
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
