"""TCP timeouts that end connections whose peer is unreachable.

A connection can fail without a reset: the peer lost power, the network is partitioned, or a device
on the path has dropped its state. The kernel detects this by unacknowledged data or, on an idle
connection, by keepalive probes.
"""

import socket

KEEPALIVE_IDLE_S = 1
"""Idle seconds before the first probe; the kernel's minimum, since idle watches and streams must be
detected within the three seconds in which a host counts as connected again."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between probes; the kernel's minimum."""

KEEPALIVE_PROBES = 2
"""Unanswered probes that end a connection; two, so that one may be lost."""


def set_tcp_timeouts(sock: socket.socket, user_timeout_s: float) -> None:
    """Makes the kernel end the connection if its peer acknowledges nothing.

    Sent data may stay unacknowledged for ``user_timeout_s`` seconds; the connection ends at the
    kernel's next retransmission after that.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))
