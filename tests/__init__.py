"""Tests of bayhinge."""
