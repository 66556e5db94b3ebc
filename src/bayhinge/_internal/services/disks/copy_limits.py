"""Period and batch sizes of copying between disk hosts."""

COPY_PERIOD_S = 0.8
"""Time between two reads of the other disks' logs."""

KEYS_PER_CALL = 2000
"""Maximum keys in one answer; some 80 KB."""

ENTRIES_PER_CALL = 60
"""Maximum entries in one copy call; some 400 KB, so that turns are not delayed."""
