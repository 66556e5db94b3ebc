"""Sockets that listen while their program is still loading.

Imports take most of a host's start-up time. Meanwhile connections wait in the accept queue of
these sockets; without them callers would be refused and use up retries. This module must
therefore not import anything slow.
"""

import socket

BACKLOG = 512
"""Accept queue length; if it is full, callers' connection attempts are retried after a second."""


RECEIVE_BUFFER_BYTES = 16_384
"""Receive buffer of callers' connections, which inherit it from the listening socket. The kernel
then holds at most 24 KB of each that were not read; its own choice grows to some megabytes."""


def listening_socket(host: str, port: int) -> socket.socket:
    """Returns a socket that listens for callers.

    Raises:
        OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Before listening, because it decides on the window of each connection's first bytes.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


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
        self._socket_by_address[address] = listening_socket(host, int(port))

    def take(self, address: str) -> socket.socket | None:
        """Removes and returns the socket of an address; its server now owns it."""
        return self._socket_by_address.pop(address, None)

    def close(self) -> None:
        """Closes the sockets that were not claimed."""
        while self._socket_by_address:
            self._socket_by_address.popitem()[1].close()
