"""Silences open connections for good, without a reset, while new ones work."""

import ctypes
import os
import socket
import struct
from collections.abc import Iterable
from pathlib import Path

SO_ATTACH_FILTER = 26
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""One instruction of a classic BPF program: drop the packet."""


def fall_silent(sock: socket.socket) -> None:
    """Drops every packet to a socket, so that the kernel acknowledges nothing.

    Keepalive probes get no answer either, as behind a NAT that has dropped the connection.
    """
    program = ctypes.create_string_buffer(_DROP_ALL)
    filter_program = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)


def silence_connections(listeners: Iterable[str]) -> int:
    """Silences both ends of this process's open connections to the listening addresses.

    Returns the number of silenced sockets.
    """
    wanted = set(listeners)
    count = 0
    for descriptor in list(Path("/proc/self/fd").iterdir()):
        try:
            if not str(descriptor.readlink()).startswith("socket:"):
                continue
            sock = socket.socket(fileno=os.dup(int(descriptor.name)))
        except OSError:
            # Closed since the directory was read.
            continue
        with sock:
            if wanted & _ends(sock):
                fall_silent(sock)
                count += 1
    return count


def _ends(sock: socket.socket) -> set[str]:
    """Returns both addresses of an open TCP connection; an empty set for other sockets."""
    try:
        if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
            return set()
        return {f"{host}:{port}" for host, port in (sock.getsockname(), sock.getpeername())}
    except OSError:
        return set()
