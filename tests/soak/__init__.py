"""Soak tests: daemons run as processes under injected faults while invariants are checked."""
