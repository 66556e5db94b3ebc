"""Read-only operations."""
