"""The disk host: stores turns and reservations on its own disk."""
