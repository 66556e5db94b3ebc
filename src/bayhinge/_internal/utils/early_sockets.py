"""Sockets that listen before their program is loaded. Imports nothing that takes time.

A host that starts needs most of its time for its imports. A caller that comes meanwhile to a port
where nobody listens is refused, which costs it one of few tries; the queue of a listening socket
keeps it until the host can serve.
"""

import socket

BACKLOG = 512
"""Connections that may wait: a caller that finds the queue full comes back after a second."""


class EarlySockets:
    """Listening sockets by address, until their servers take them over."""

    def __init__(self) -> None:
        """Starts with none."""
        self._socket_by_address: dict[str, socket.socket] = {}

    def open(self, address: str) -> None:
        """Listens at ``ip:port``.

        Raises:
            OSError: the address can't be listened at.
            ValueError: it is no address.
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
        """Returns the socket of an address to the server that goes on with it."""
        return self._socket_by_address.pop(address, None)

    def close(self) -> None:
        """Closes what nobody took over."""
        while self._socket_by_address:
            self._socket_by_address.popitem()[1].close()
