"""Pure decisions: state, event and time in; actions with their reasons out."""
