"""Receive windows of connections whose receive buffer was set when they began."""

import socket

TCP_WINDOW_CLAMP = 10
"""Socket option of Linux that bounds the window; Python has no name for it."""


def widen_receive_window(sock: socket.socket, buffer_bytes: int) -> None:
    """Lets a peer send up to twice ``buffer_bytes`` ahead.

    The buffer alone is not enough: the kernel also keeps to the window with which the connection
    began.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_WINDOW_CLAMP, buffer_bytes)
