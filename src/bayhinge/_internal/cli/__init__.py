"""Entry points of the daemon and the tool."""
