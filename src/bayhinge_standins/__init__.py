"""Stand-ins for the outside systems that bayhinge talks to, for tests and the demo.

They speak HTTP, are seeded, inject faults on request, and record what they did.
"""
