"""The demonstration: hosts and stand-ins of outside systems in one process."""
