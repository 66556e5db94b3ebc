"""bayhinge: a scheduler for agent programs.

The public part is :mod:`bayhinge.coordination`, a library of coordination primitives
on top of an object store. Everything under ``_internal`` belongs to the daemon
and the command-line tool and may change at any time.
"""

__version__ = "0.1.0"
