"""Randomly drawn days whose faults overlap operations; see :mod:`tests.dense.days`."""
