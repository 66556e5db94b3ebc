"""A whole system in virtual time, for tests and benches: real hosts over seams without sockets."""
