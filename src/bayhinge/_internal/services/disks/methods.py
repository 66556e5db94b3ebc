"""The names of what hosts ask of each other over the peer link."""

RESERVE = "reserve-turn"
APPEND = "append-entries"
KEYS = "entry-keys"
ENTRIES = "entries"
LACKING = "lacking-keys"
DISK_SET = "disk-set"
RELAY = "relay"
