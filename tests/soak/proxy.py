"""A loopback TCP proxy that can delay, reset, refuse or silently drop traffic.

Open connections can also be silenced for good while new ones work: their bytes are accepted and
never forwarded.
"""

import asyncio
from enum import StrEnum

import attrs


class ProxyFault(StrEnum):
    """The fault that a proxy applies to every connection."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_ANSWERS = "no answers"


DELAY_S = 0.25
_CHUNK_BYTES = 65_536


@attrs.define
class Proxy:
    """Forwards one listening address to one target; the fault may change at any time."""

    target_host: str
    target_port: int
    fault: ProxyFault = ProxyFault.NONE
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _silence_count: int = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def set_fault(self, fault: ProxyFault) -> None:
        """Sets the fault; RESET and REFUSE also abort open connections."""
        self.fault = fault
        if fault in {ProxyFault.RESET, ProxyFault.REFUSE}:
            self._abort_all()

    def silence_open_connections(self) -> None:
        """Stops forwarding on open connections for good; later connections work."""
        self._silence_count += 1

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is ProxyFault.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, is_answer=False),
                self._pump(target_reader, writer, is_answer=True),
            )
        except OSError:
            pass
        finally:
            for one in both:
                one.transport.abort()
            self._writers -= both

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        silence_count = self._silence_count
        while chunk := await reader.read(_CHUNK_BYTES):
            if silence_count != self._silence_count:
                continue
            if self.fault is ProxyFault.DELAY:
                await asyncio.sleep(DELAY_S)
            while self.fault is ProxyFault.SILENT:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            if self.fault is ProxyFault.NO_ANSWERS and is_answer:
                continue
            if self.fault is ProxyFault.RESET:
                raise ConnectionResetError
            writer.write(chunk)
            await writer.drain()
        if silence_count == self._silence_count and writer.can_write_eof():
            writer.write_eof()
