"""What only reads state."""
