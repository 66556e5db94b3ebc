"""Benchmarks of scheduling decisions: the daemon's scheduler with simulated engines."""
