"""Adapters between the users' platform and the scheduler, without scheduling logic.

Only this package knows the platform's names: fields of its settings file, object kinds, headers
and paths. It is imported only by its own entry point.
"""
