"""HTTP server of the caller and forward ports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp.web import RequestHandler, Server

from basilwick.transport.caller_connection import READ_BYTES, CallerConnection
from basilwick.transport.raw_response import RawResponse, answer_refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest

__all__ = ["HttpServer", "RawResponse", "answer_refusal"]

#: Default limit in bytes of the request line and of each header field.
_MAX_FIELD_BYTES = 8190
#: Largest number of header fields of a request.
_MAX_FIELDS = 64
#: Default limit in bytes of a whole request head.
_MAX_HEAD_BYTES = 65_536
#: Default time in seconds after which an idle connection is closed.
_KEEP_ALIVE_TIMEOUT_S = 75.0
#: Time in seconds for which the rest of a refused body is read and discarded, so that
#: the caller can read the refusal before the connection closes.
_LINGER_TIMEOUT_S = 1.0
#: Default timeout in seconds from the first byte of a request head to its end.
_HEAD_TIMEOUT_S = 10.0
#: Time in seconds without received data after which a graceful shutdown closes a
#: connection. A request that is sent right after its connection opened is still read.
_DRAIN_IDLE_S = 0.25
#: Interval in seconds at which a graceful shutdown checks the open connections.
_DRAIN_INTERVAL_S = 0.02


class _ConnectionHandlers(Server):
    """Factory and registry of the connection handlers."""

    #: Whether each connection closes after its last pending answer.
    draining = False
    #: Timeout in seconds from the first byte of a request head to its end.
    head_timeout_s = _HEAD_TIMEOUT_S
    #: Limit in bytes of a whole request head.
    max_head_bytes = _MAX_HEAD_BYTES

    def __init__(self, handler: Callable[..., Any], **kwargs: Any):
        super().__init__(handler, **kwargs)
        #: Buffer of each read. What it received is copied before the next read.
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def __call__(self) -> RequestHandler:
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def set_idle_timeout(self, seconds: float) -> None:
        self._kwargs["keepalive_timeout"] = seconds


class HttpServer:
    """HTTP server that counts its running requests and can be drained.

    Parameters
    ----------
    address : str
        IP number and port; port 0 selects a free one.
    handler : callable
        Coroutine function that answers a request.
    keep_alive_s : float
        Time in seconds after which an idle connection is closed.
    max_field_bytes : int
        Limit in bytes of the request line and of each header field.
    max_head_bytes : int
        Limit in bytes of a whole request head.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[BaseRequest], Awaitable[RawResponse]],
        keep_alive_s: float = _KEEP_ALIVE_TIMEOUT_S,
        max_field_bytes: int = _MAX_FIELD_BYTES,
        max_head_bytes: int = _MAX_HEAD_BYTES,
    ):
        self._keep_alive_s = keep_alive_s
        self._max_field_bytes = max_field_bytes
        self._max_head_bytes = max_head_bytes
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self._handler = handler
        self._connection_handlers: _ConnectionHandlers | None = None
        self._server: asyncio.Server | None = None
        #: Number of running requests.
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def address(self) -> str:
        """IP number and port that the server listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        # aiohttp cancels the handler when the caller disconnects, which also cancels
        # the request to the backend server.
        self._connection_handlers = _ConnectionHandlers(
            self._handle_counted,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._keep_alive_s,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=self._max_field_bytes,
            max_field_size=self._max_field_bytes,
            max_headers=_MAX_FIELDS,
        )
        self._connection_handlers.max_head_bytes = self._max_head_bytes
        self._server = await loop.create_server(
            self._connection_handlers, self._host, self._port, backlog=1024
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def set_timeouts(self, idle_s: float, head_s: float) -> None:
        """Change the timeouts of connections.

        Parameters
        ----------
        idle_s : float
            Time in seconds after which an idle connection is closed; applies to
            connections that are opened from now on.
        head_s : float
            Timeout in seconds from the first byte of a request head to its end.
        """
        self._keep_alive_s = idle_s
        if self._connection_handlers is not None:
            self._connection_handlers.head_timeout_s = head_s
            self._connection_handlers.set_idle_timeout(idle_s)

    def set_head_limit(self, max_bytes: int) -> None:
        """Change the limit in bytes of a whole request head."""
        self._max_head_bytes = max_bytes
        if self._connection_handlers is not None:
            self._connection_handlers.max_head_bytes = max_bytes

    def announce_close(self) -> None:
        """Send Connection: close with the next answers and close after them."""
        self._connection_handlers.draining = True

    def stop_accepting(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is running; returns False on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def drain(self, timeout_s: float) -> bool:
        """Answer the requests that were read, and close each connection once idle.

        A connection is closed only while no part of an unanswered request was read from
        it, so no caller loses a request that this process has received. Connections
        that were just opened stay open for a short time for their first request.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for running requests.

        Returns
        -------
        bool
            Whether all connections were closed in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        self.announce_close()
        self.stop_accepting()
        while self._connection_handlers.connections:
            for protocol in self._connection_handlers.connections:
                protocol.close_if_idle(_DRAIN_IDLE_S)
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(_DRAIN_INTERVAL_S)
        return True

    async def close(self) -> None:
        """Close all connections."""
        self.stop_accepting()
        if self._connection_handlers is not None:
            await self._connection_handlers.shutdown(0.1)

    async def _handle_counted(self, request: BaseRequest) -> RawResponse:
        self.running += 1
        self._idle.clear()
        try:
            return await self._handler(request)
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()
