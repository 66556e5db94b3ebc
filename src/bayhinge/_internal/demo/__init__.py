"""The demonstration: a whole system with stand-ins in one process."""
