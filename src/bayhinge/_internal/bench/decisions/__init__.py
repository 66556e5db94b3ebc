"""The decision bench: the daemon's own scheduler against modelled engines, in virtual time."""
