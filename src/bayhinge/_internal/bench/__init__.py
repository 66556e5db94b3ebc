"""Measurements of this code, in virtual time where possible."""
