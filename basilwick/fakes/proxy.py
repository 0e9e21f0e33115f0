"""TCP proxy that injects network faults."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import StrEnum
from typing import Any

from aiohttp import web
from attrs import define, field
from orjson import dumps, loads

__all__ = ["Bandwidth", "FaultProxy", "LinkFault"]

#: Largest piece in bytes that is delivered at a time over a link of limited bandwidth.
_PIECE_BYTES = 8192
#: Bytes in transit in one direction of a connection over such a link, beyond which no
#: more is read from the sender.
_WINDOW_BYTES = 65_536


class LinkFault(StrEnum):
    """Network fault that the proxy injects."""

    NONE = "none"
    #: Resets open connections and every new one.
    CUT = "cut"
    #: Drops all data of the open connections for good; new connections work.
    SILENT = "silent"
    #: Delays data to the target until the fault ends.
    HOLD_REQUESTS = "hold_requests"
    #: Delays data to the caller until the fault ends.
    HOLD_RESPONSES = "hold_answers"
    #: Delays data in both directions until the fault ends.
    HOLD_ALL = "hold_all"
    #: Forwards requests, but resets the connection when the response arrives.
    LOSE_RESPONSES = "lose_answers"


_REQUEST_HOLDING_FAULTS = {LinkFault.HOLD_REQUESTS, LinkFault.HOLD_ALL}
_RESPONSE_HOLDING_FAULTS = {LinkFault.HOLD_RESPONSES, LinkFault.HOLD_ALL}


@define(eq=False)
class Bandwidth:
    """Bandwidth of a link, shared by all connections of the proxies that use it.

    Attributes
    ----------
    bytes_per_s : float
        Bytes per second that the link carries towards the callers.
    """

    bytes_per_s: float
    _free_at: float = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Reserve the time to transfer some bytes; returns when they have arrived."""
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at


@define(eq=False)
class FaultProxy:
    """TCP proxy whose faults can be changed while it runs.

    Parameters
    ----------
    target : str
        IP address and port to forward to.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    delay_s : float
        One-way delay in seconds.
    control_port : int, optional
        Port of the HTTP endpoint ``PUT /faults``, which sets ``fault`` and ``delay_s``.
        By default there is no such endpoint.
    bandwidth : Bandwidth, optional
        Bandwidth of the link that carries the data to the callers.
    """

    target: str
    host: str = "127.0.0.1"
    port: int = 0
    delay_s: float = 0.0
    control_port: int | None = None
    fault: LinkFault = LinkFault.NONE
    bandwidth: Bandwidth | None = None
    _server: asyncio.Server | None = None
    _control_runner: web.AppRunner | None = None
    _pairs: set[_ConnectionPair] = field(factory=set)

    @property
    def address(self) -> str:
        """IP address and port that the proxy listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerEndpoint(self), self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        if self.control_port is None:
            return
        app = web.Application()
        app.router.add_put("/faults", self._change_faults)
        self._control_runner = web.AppRunner(app, access_log=None)
        await self._control_runner.setup()
        await web.TCPSite(self._control_runner, self.host, self.control_port).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._pairs):
            pair.abort()
        if self._control_runner is not None:
            await self._control_runner.cleanup()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the current fault; ``LinkFault.NONE`` ends it."""
        self.fault = fault
        for pair in list(self._pairs):
            if fault is LinkFault.CUT:
                pair.abort()
            elif fault is LinkFault.SILENT:
                pair.silent = True
            pair.requests.deliver()
            pair.responses.deliver()

    async def _change_faults(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = loads(await request.read())
        self.delay_s = changes.get("delay_s", self.delay_s)
        if "fault" in changes:
            self.set_fault(LinkFault(changes["fault"]))
        return web.Response(body=dumps({}), content_type="application/json")


class _Stream:
    """Data in transit in one direction of a connection pair."""

    def __init__(
        self, pair: _ConnectionPair, holding_faults: set[LinkFault], *, responses: bool
    ):
        self._pair = pair
        self._holding_faults = holding_faults
        self._carries_responses = responses
        self._pending: deque[tuple[float, bytes | None]] = deque()
        self._pending_bytes = 0
        self._paused = False
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None

    def push(self, data: bytes | None) -> None:
        """Accept received bytes, or None for the end of the stream."""
        bandwidth = self._pair.proxy.bandwidth
        if data is None or bandwidth is None or not self._carries_responses:
            self._push_piece(data, asyncio.get_running_loop().time())
            return
        for start in range(0, len(data), _PIECE_BYTES):
            piece = data[start : start + _PIECE_BYTES]
            now = asyncio.get_running_loop().time()
            self._push_piece(piece, bandwidth.reserve(len(piece), now))
        if self._pending_bytes > _WINDOW_BYTES and not self._paused:
            self._paused = True
            self.source.pause_reading()

    def _push_piece(self, data: bytes | None, arrives_at: float) -> None:
        loop = asyncio.get_running_loop()
        if self._pending:
            arrives_at = max(
                arrives_at, self._pending[-1][0] - self._pair.proxy.delay_s
            )
        deliver_at = arrives_at + self._pair.proxy.delay_s
        self._pending.append((deliver_at, data))
        self._pending_bytes += len(data or b"")
        if deliver_at > loop.time():
            loop.call_at(deliver_at, self.deliver)
        else:
            self.deliver()

    def deliver(self) -> None:
        """Write the data whose delay has passed, unless a fault holds it back."""
        pair = self._pair
        now = asyncio.get_running_loop().time()
        # A timer can fire early by the resolution of the event loop's clock.
        while self._pending and self._pending[0][0] <= now + 0.001:
            if self.target is None or pair.proxy.fault in self._holding_faults:
                return
            _, data = self._pending.popleft()
            self._pending_bytes -= len(data or b"")
            if self._paused and self._pending_bytes <= _WINDOW_BYTES:
                self._paused = False
                self.source.resume_reading()
            if pair.silent:
                continue
            if data is None:
                self.target.close()
            elif (
                self._carries_responses and pair.proxy.fault is LinkFault.LOSE_RESPONSES
            ):
                pair.abort()
            else:
                self.target.write(data)


class _ConnectionPair:
    """A caller's connection and the matching connection to the target."""

    def __init__(self, proxy: FaultProxy):
        self.proxy = proxy
        self.silent = False
        self.open_ends = 2
        self.requests = _Stream(self, _REQUEST_HOLDING_FAULTS, responses=False)
        self.responses = _Stream(self, _RESPONSE_HOLDING_FAULTS, responses=True)

    def abort(self) -> None:
        """Reset both connections."""
        self.proxy._pairs.discard(self)
        for stream in (self.requests, self.responses):
            if stream.target is not None:
                stream.target.abort()


class _Endpoint(asyncio.Protocol):
    """One of the two connections of a pair."""

    def __init__(self, pair: _ConnectionPair, incoming: _Stream, outgoing: _Stream):
        self._pair = pair
        self._incoming = incoming
        self._outgoing = outgoing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._incoming.source = transport
        self._outgoing.target = transport
        self._outgoing.deliver()

    def data_received(self, data: bytes) -> None:
        self._incoming.push(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._pair.open_ends -= 1
        if self._pair.open_ends == 0:
            self._pair.proxy._pairs.discard(self._pair)
        self._incoming.push(None)

    # Backpressure: a slow receiver pauses its sender, which bounds the buffered data.
    def pause_writing(self) -> None:
        if self._incoming.target is not None:
            self._incoming.target.pause_reading()

    def resume_writing(self) -> None:
        if self._incoming.target is not None:
            self._incoming.target.resume_reading()


class _CallerEndpoint(_Endpoint):
    """The caller's connection, which opens the connection to the target."""

    def __init__(self, proxy: FaultProxy):
        pair = _ConnectionPair(proxy)
        super().__init__(pair, pair.requests, pair.responses)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        proxy = self._pair.proxy
        if proxy.fault is LinkFault.CUT:
            transport.abort()
            return
        proxy._pairs.add(self._pair)
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        pair = self._pair
        host, _, port = pair.proxy.target.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: _Endpoint(pair, pair.responses, pair.requests), host, int(port)
            )
        except OSError:
            pair.abort()
