"""Sockets that listen while their program is still loading.

Imports take most of a host's start-up time. Meanwhile connections wait in the accept queue of
these sockets; without them callers would be refused and use up retries. This module must
therefore not import anything slow.
"""

import socket

BACKLOG = 512
"""Accept queue length; if it is full, callers' connection attempts are retried after a second."""


class PreboundSockets:
    """Listening sockets by address, until servers claim them."""

    def __init__(self) -> None:
        self._socket_by_address: dict[str, socket.socket] = {}

    def open(self, address: str) -> None:
        """Listens at ``ip:port``.

        Raises:
            OSError: the address can't be bound.
            ValueError: the port is not a number.
        """
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except (OSError, ValueError):
            listener.close()
            raise
        self._socket_by_address[address] = listener

    def take(self, address: str) -> socket.socket | None:
        """Removes and returns the socket of an address; its server now owns it."""
        return self._socket_by_address.pop(address, None)

    def close(self) -> None:
        """Closes the sockets that were not claimed."""
        while self._socket_by_address:
            self._socket_by_address.popitem()[1].close()
