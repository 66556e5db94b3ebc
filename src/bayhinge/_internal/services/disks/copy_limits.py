"""How often disk hosts copy from each other, and how much one call of it takes."""

COPY_PERIOD_S = 0.8
"""Between two looks at what the other disks have written."""

KEYS_AT_ONCE = 2000
"""Keys of one answer: some 80 KB."""

ENTRIES_AT_ONCE = 60
"""Entries of one copying call: some 400 KB, so that turns are not kept waiting."""
