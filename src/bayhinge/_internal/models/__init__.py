"""Data classes of the daemon and the tool; no input or output."""
