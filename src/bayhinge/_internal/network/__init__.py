"""HTTP servers and clients, and the TCP links between hosts."""
