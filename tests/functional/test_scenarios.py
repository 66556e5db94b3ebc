"""Runs the scenarios in ``features``, each with a failure that bayhinge must tolerate."""

from pytest_bdd import scenarios

scenarios("features")
