"""Parsing of ``host:port`` addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Splits an address such as ``10.0.0.5:8100`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
