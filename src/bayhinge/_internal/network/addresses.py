"""Addresses as settings and hellos write them."""


def split_address(address: str) -> tuple[str, int]:
    """Splits ``10.0.0.5:8100``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
