"""The scenarios in ``features``, each a failure that bayhinge must bear."""

from pytest_bdd import scenarios

scenarios("features")
