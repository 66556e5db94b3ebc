"""How much memory this process uses and may use, in bytes."""

from pathlib import Path

_PROC = Path("/proc/self")
_CGROUPS = Path("/sys/fs/cgroup")

UNLIMITED_BYTES = 1 << 60
"""cgroup v1 writes a number near 2**63 if there is no limit."""


def resident_bytes(status: Path = _PROC / "status") -> int:
    """Returns the resident memory of this process, or 0 if it can't be read."""
    try:
        lines = status.read_text(encoding="ascii", errors="replace").splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def cgroup_limit_bytes(root: Path = _CGROUPS, membership: Path = _PROC / "cgroup") -> int | None:
    """Returns the smallest memory limit of this process's control group, or None if it has none."""
    candidates = [root / "memory.max", root / "memory" / "memory.limit_in_bytes"]
    try:
        lines = membership.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError:
        lines = []
    for line in lines:
        _, controllers, path = [*line.split(":", 2), "", ""][:3]
        if not controllers:
            candidates.append(root / path.lstrip("/") / "memory.max")
        elif "memory" in controllers.split(","):
            candidates.append(root / "memory" / path.lstrip("/") / "memory.limit_in_bytes")
    limits = [limit for limit in map(_read_limit, candidates) if limit is not None]
    return min(limits, default=None)


def _read_limit(path: Path) -> int | None:
    """Returns the limit in a file of a control group, or None if there is none."""
    try:
        text = path.read_text(encoding="ascii", errors="replace").strip()
    except OSError:
        return None
    # cgroup v2 writes "max" if there is no limit.
    if not text.isdigit() or not 0 < int(text) < UNLIMITED_BYTES:
        return None
    return int(text)
