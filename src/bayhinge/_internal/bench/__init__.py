"""Benchmarks of the scheduler, in virtual time where possible."""
