"""Tests of one part each; no sockets, no processes."""
