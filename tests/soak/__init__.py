"""The fault soak: real daemons as processes, faults from outside, promises checked meanwhile."""
