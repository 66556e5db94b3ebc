"""Mode services that wire the parts to a running daemon."""
