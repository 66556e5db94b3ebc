"""A loopback TCP proxy that can delay, reset, refuse or silently drop traffic.

Open connections can also be silenced for good while new ones work: their bytes are accepted and
never forwarded.
"""

import asyncio
from enum import StrEnum

import attrs


class Trouble(StrEnum):
    """The fault that a proxy applies to every connection."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_ANSWERS = "no answers"


DELAY_S = 0.25
_PIECE_BYTES = 65_536


@attrs.define
class Proxy:
    """Forwards one listening address to one target; the fault may change at any time."""

    target_host: str
    target_port: int
    trouble: Trouble = Trouble.NONE
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _silences: int = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._cut_all()

    def set_trouble(self, trouble: Trouble) -> None:
        """Sets the fault; RESET and REFUSE also abort open connections."""
        self.trouble = trouble
        if trouble in {Trouble.RESET, Trouble.REFUSE}:
            self._cut_all()

    def silence_open_connections(self) -> None:
        """Stops forwarding on open connections for good; later connections work."""
        self._silences += 1

    def _cut_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.trouble is Trouble.REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
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
        silences = self._silences
        while piece := await reader.read(_PIECE_BYTES):
            if silences != self._silences:
                continue
            if self.trouble is Trouble.DELAY:
                await asyncio.sleep(DELAY_S)
            while self.trouble is Trouble.SILENT:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            if self.trouble is Trouble.NO_ANSWERS and is_answer:
                continue
            if self.trouble is Trouble.RESET:
                raise ConnectionResetError
            writer.write(piece)
            await writer.drain()
        if silences == self._silences and writer.can_write_eof():
            writer.write_eof()
