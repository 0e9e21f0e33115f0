"""TCP proxy that brings about network faults."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from attrs import define, field

__all__ = ["FaultProxy", "LinkFault"]

_CHUNK_BYTES = 65536


class LinkFault(StrEnum):
    """What the proxy does with traffic."""

    NONE = "none"
    #: Refuses new connections and closes open ones.
    CUT = "cut"
    #: Open connections carry nothing more; new ones work.
    SILENT = "silent"


@define(eq=False)
class FaultProxy:
    """Forwards TCP connections to a target, with faults set while it runs.

    Parameters
    ----------
    target : str
        IP number and port to forward to.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    delay_s : float
        One-way delay in seconds.
    """

    target: str
    host: str = "127.0.0.1"
    port: int = 0
    delay_s: float = 0.0
    fault: LinkFault = LinkFault.NONE
    _server: asyncio.Server | None = None
    _silenced: set[asyncio.StreamWriter] = field(factory=set)
    _open: set[asyncio.StreamWriter] = field(factory=set)

    @property
    def address(self) -> str:
        """IP number and port that the proxy listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._forward, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self._close_open()

    def set_fault(self, fault: LinkFault) -> None:
        """Bring about a fault, or end it."""
        self.fault = fault
        if fault is LinkFault.CUT:
            self._close_open()
        elif fault is LinkFault.SILENT:
            self._silenced |= self._open

    def _close_open(self) -> None:
        for writer in list(self._open):
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.CUT:
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        pair = {writer, target_writer}
        self._open |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, target_writer))
                group.create_task(self._copy(target_reader, writer))
        finally:
            self._open -= pair
            self._silenced -= pair

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if writer in self._silenced:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
