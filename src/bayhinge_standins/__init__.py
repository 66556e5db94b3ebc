"""Stand-ins for the outside systems that bayhinge talks to.

Each is small, seeded, fails on request, and keeps a record of its own for tests
to judge by. Each speaks HTTP, so that a real system could take its place.
"""
