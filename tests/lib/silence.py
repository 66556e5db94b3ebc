"""Open connections that fall silent for good, without a reset, while new ones work."""

import ctypes
import os
import socket
import struct
from collections.abc import Iterable
from pathlib import Path

SO_ATTACH_FILTER = 26
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""One instruction of the kernel's classic packet filter: take nothing of the packet."""


def fall_silent(sock: socket.socket) -> None:
    """Drops every packet that comes for a socket: its kernel side then acknowledges nothing.

    Probes get no answer either, as behind a device that has forgotten the connection.
    """
    program = ctypes.create_string_buffer(_DROP_ALL)
    filter_program = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)


def silence_connections(listeners: Iterable[str]) -> int:
    """Silences both ends of every open connection of this process to the listening addresses.

    Returns how many ends there were.
    """
    wanted = set(listeners)
    count = 0
    for descriptor in list(Path("/proc/self/fd").iterdir()):
        try:
            if not str(descriptor.readlink()).startswith("socket:"):
                continue
            sock = socket.socket(fileno=os.dup(int(descriptor.name)))
        except OSError:
            # Closed since the folder was read.
            continue
        with sock:
            if wanted & _ends(sock):
                fall_silent(sock)
                count += 1
    return count


def _ends(sock: socket.socket) -> set[str]:
    """Returns both addresses of an open TCP connection; none for other sockets."""
    try:
        if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
            return set()
        return {f"{host}:{port}" for host, port in (sock.getsockname(), sock.getpeername())}
    except OSError:
        return set()
