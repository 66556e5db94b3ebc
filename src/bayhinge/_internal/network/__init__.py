"""HTTP towards callers and endpoints, and the link between hosts."""
