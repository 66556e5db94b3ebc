"""Tests of the whole system, with sockets or in virtual time."""
