"""The command-line tool: one module per command, loaded lazily."""
