"""Clients of the platform: object API, endpoint list."""
