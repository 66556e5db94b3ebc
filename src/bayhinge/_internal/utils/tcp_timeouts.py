"""How silence on an open connection is found by the kernel.

A connection may fall silent without a reset: its peer lost power, a cut lies between, or a device
on the way has forgotten it while new connections work. Bytes that stay unacknowledged show it, or,
where nothing of ours is under way, a probe.
"""

import socket

KEEPALIVE_IDLE_S = 1
"""Seconds without traffic after which the kernel probes. The least that it takes: what waits
quietly, such as a watch or a stream in its middle, must be found within the three seconds in which
a host counts as in touch again."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between two probes; the kernel counts in whole ones."""

KEEPALIVE_PROBES = 2
"""Probes without an answer that end a connection: one may be lost."""


def set_tcp_timeouts(sock: socket.socket, user_timeout_s: float) -> None:
    """Ends a connection whose peer acknowledges nothing.

    Sent bytes may stay unacknowledged for ``user_timeout_s`` seconds; the end comes with the
    kernel's next try: after 1.4 s with a bound of 1.0 s, and after 2.0 s without traffic
    (measured on loopback, against a socket that drops every packet).
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))
