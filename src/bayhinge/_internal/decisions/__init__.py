"""Pure decision logic without I/O: state, events and time in, actions with reasons out."""
