"""A deployment in virtual time, for tests and benchmarks: real hosts over in-memory transports."""
