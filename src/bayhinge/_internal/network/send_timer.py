"""Bounds the time for which an endpoint may leave part of a request untaken."""

import asyncio
from collections.abc import Callable

SEND_TIMEOUT_S = 3.0
MIN_SEND_BYTES_PER_S = 1_000_000
"""A request must be taken by its endpoint within ``SEND_TIMEOUT_S`` plus the time at this rate. An
endpoint that reads more slowly than a tenth of a 100 Mbit/s link is overloaded or hung, and would
hold the body in this host's memory until the caller gives up."""

SLICES = 4
"""The time is measured in slices, so that a stall of the event loop counts for at most one."""


class SendTimer:
    """Gives up sending one request if its endpoint does not take all of it in time.

    The endpoint may have begun to run what it has received. The caller of this class therefore
    treats the request as one that may have run, and repeats it only if that is allowed.
    """

    def __init__(
        self, transport: asyncio.WriteTransport, size: int, give_up: Callable[[str], None]
    ) -> None:
        """Starts the timer for a request of ``size`` bytes that was written to a transport."""
        self._transport = transport
        self._give_up = give_up
        self._limit_s = SEND_TIMEOUT_S + size / MIN_SEND_BYTES_PER_S
        self._slices_left = SLICES
        self._handle: asyncio.TimerHandle | None = None
        self._start_slice()

    def stop(self) -> None:
        """Stops the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _start_slice(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._limit_s / SLICES, self._end_slice)

    def _end_slice(self) -> None:
        """Gives up after the last slice if part of the request was not taken."""
        self._handle = None
        self._slices_left -= 1
        unsent = self._transport.get_write_buffer_size()
        if self._transport.is_closing() or not unsent:
            return
        if self._slices_left:
            self._start_slice()
        else:
            self._give_up(f"the endpoint did not take {unsent} bytes in {self._limit_s:.1f} s")
