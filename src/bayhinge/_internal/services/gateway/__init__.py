"""The gateway of an entry host: routes requests to endpoints and records turns."""
