"""The disk host: keeps turns and reservations on its own disk."""
