"""HTTP server of the caller and forward ports."""

from __future__ import annotations

import asyncio
from collections import deque
from socket import AF_INET, AF_INET6, create_server
from typing import TYPE_CHECKING, Any

from aiohttp.web import RequestHandler, Server
from loguru import logger

from basilwick.core.caller_budget import (
    CallerBudget,
    choose_connections_to_abort,
    choose_connections_to_close,
)
from basilwick.transport.caller_connection import READ_BYTES, CallerConnection
from basilwick.transport.raw_response import RawResponse, answer_refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest

    from basilwick.core.caller_budget import UnreadConnection

__all__ = ["HttpServer", "RawResponse", "answer_refusal"]

#: Default limit in bytes of the request line and of each header field.
_MAX_FIELD_BYTES = 8190
#: Largest number of header fields of a request.
_MAX_FIELDS = 64
#: Default limit in bytes of a whole request head.
_MAX_HEAD_BYTES = 65_536
#: Connections that the kernel holds until they are accepted.
_BACKLOG = 1024
#: Connections that are accepted before those that were accepted can be closed again.
#: asyncio uses one number for this and for the backlog of the kernel. A connection is
#: closed three turns later, so several times as many are open beyond the bound.
_ACCEPTS_PER_TURN = 4
#: Deferred connections that parse their data in one turn of the event loop while memory
#: is short.
_PARSED_PER_TURN = 16
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
#: Shortest interval in seconds between searches for connections that can be closed,
#: which look at all connections.
_SEARCH_INTERVAL_S = 0.1
#: Interval in seconds at which a graceful shutdown checks the open connections.
_DRAIN_INTERVAL_S = 0.02
#: Time in seconds in which the event loop writes what the kernel has room for.
_HAND_OVER_S = 0.03


class _ConnectionHandlers(Server):
    """Factory and registry of the connection handlers."""

    #: Whether each connection closes after its last pending answer.
    draining = False
    #: Timeout in seconds from the first byte of a request head to its end.
    head_timeout_s = _HEAD_TIMEOUT_S
    #: Limit in bytes of a whole request head.
    max_head_bytes = _MAX_HEAD_BYTES

    def __init__(
        self,
        handler: Callable[..., Any],
        budget: CallerBudget,
        max_connections: int,
        **kwargs: Any,
    ):
        super().__init__(handler, **kwargs)
        #: Buffer of each read. What it received is copied before the next read.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.budget = budget
        self._max_connections = max_connections
        self._open: set[CallerConnection] = set()
        self._next_abort_at = self._next_search_at = 0.0
        #: Connections whose data is parsed once there is memory for it.
        self._deferred: deque[CallerConnection] = deque()

    def __call__(self) -> RequestHandler:
        return CallerConnection(self, self.budget, loop=self._loop, **self._kwargs)

    def set_head_limit(self, max_bytes: int) -> None:
        """Change the limit of a head, and let one field of new connections fill it."""
        self.max_head_bytes = max_bytes
        for name in ("max_line_size", "max_field_size"):
            self._kwargs[name] = max(self._kwargs[name], max_bytes)

    def make_room(self, connection: CallerConnection) -> bool:
        """Note a new connection, and close idle ones if there are too many.

        Returns whether the new one may stay.
        """
        limit = self._max_connections
        if limit and len(self._open) >= limit:
            self._close_for_room(limit)
            if len(self._open) >= limit:
                return False
        self._open.add(connection)
        return True

    def _close_for_room(self, limit: int) -> None:
        now = self._loop.time()
        if now < self._next_search_at:
            return
        idle = [item for one in self._open if (item := one.idle) is not None]
        victims = choose_connections_to_close(idle, self._list_unread(), limit, now)
        for victim in victims:
            self._open.discard(victim)
            victim.close_for_room()
        if not victims:
            self._next_search_at = now + _SEARCH_INTERVAL_S

    def defer(self, connection: CallerConnection) -> None:
        """Let a connection parse its data once memory is not short, or in turn.

        A request is refused only after it was parsed. So some connections get their
        turn also while memory is short, and the others wait for these refusals.
        """
        if not self._deferred:
            self._loop.call_soon(self._parse_deferred)
        self._deferred.append(connection)

    def _parse_deferred(self) -> None:
        parsed = 0
        try:
            while self._deferred:
                if self.budget.short and parsed >= _PARSED_PER_TURN:
                    break
                self._deferred.popleft().parse_deferred()
                parsed += 1
        finally:
            if self._deferred:
                self._loop.call_soon(self._parse_deferred)

    def discard(self, connection: CallerConnection) -> None:
        """Note that a connection is closed."""
        self._open.discard(connection)

    def abort_unread(self) -> None:
        """Abort connections whose unread answers leave no room for other requests."""
        now = self._loop.time()
        if now < self._next_abort_at:
            return
        self._next_abort_at = now + _SEARCH_INTERVAL_S
        for victim in choose_connections_to_abort(
            self._list_unread(), self.budget, now
        ):
            victim.close_for_room()

    def _list_unread(self) -> list[UnreadConnection[CallerConnection]]:
        return [item for one in self._open if (item := one.get_unread()) is not None]

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
    budget : CallerBudget, optional
        Counts the bytes that are held for callers; without a limit by default.
    max_connections : int
        Largest number of connections, 0 for no limit.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[BaseRequest], Awaitable[RawResponse]],
        keep_alive_s: float = _KEEP_ALIVE_TIMEOUT_S,
        max_field_bytes: int = _MAX_FIELD_BYTES,
        max_head_bytes: int = _MAX_HEAD_BYTES,
        budget: CallerBudget | None = None,
        max_connections: int = 0,
    ):
        self.budget = CallerBudget() if budget is None else budget
        self._max_connections = max_connections
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
            self.budget,
            self._max_connections,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BYTES,
            keepalive_timeout=self._keep_alive_s,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=self._max_field_bytes,
            max_field_size=self._max_field_bytes,
            max_headers=_MAX_FIELDS,
        )
        self._connection_handlers.max_head_bytes = self._max_head_bytes
        family = AF_INET6 if ":" in self._host else AF_INET
        sock = create_server((self._host, self._port), family=family)
        self._server = await loop.create_server(
            self._connection_handlers, sock=sock, backlog=_ACCEPTS_PER_TURN
        )
        # asyncio also accepts as many connections in a turn as may wait.
        sock.listen(_BACKLOG)
        self._port = self._server.sockets[0].getsockname()[1]
        for listening in self._server.sockets:
            with listening.dup() as sock:
                sock.listen(_BACKLOG)

    def abort_unread(self) -> None:
        """Abort connections whose unread answers leave no room for other requests."""
        if self._connection_handlers is not None:
            self._connection_handlers.abort_unread()

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
            self._connection_handlers.set_head_limit(max_bytes)

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
        # The kernel resets the connections that have not been accepted by the close.
        await asyncio.sleep(_DRAIN_INTERVAL_S)
        self.stop_accepting()
        # Connections that were accepted need some turns of the event loop to be set up.
        await asyncio.sleep(_DRAIN_INTERVAL_S)
        while self._connection_handlers.connections:
            for protocol in self._connection_handlers.connections:
                protocol.close_if_idle(_DRAIN_IDLE_S)
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(_DRAIN_INTERVAL_S)
        return True

    def count_unsent_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not taken yet."""
        handlers = self._connection_handlers
        if handlers is None:
            return 0
        return sum(protocol.unsent_bytes for protocol in handlers.connections)

    async def close(self) -> None:
        """Close all connections.

        The kernel delivers the answers that are ready, also after the process has
        ended.
        """
        self.stop_accepting()
        if self._connection_handlers is not None:
            await self._hand_over_unsent()
            await self._connection_handlers.shutdown(0.1)

    async def _hand_over_unsent(self) -> None:
        """Write what callers have not read of their answers to the kernel's buffers."""
        for make_room in (
            CallerConnection.remove_kernel_limit,
            CallerConnection.enlarge_kernel_buffer,
        ):
            unsent = [
                c for c in self._connection_handlers.connections if c.unsent_bytes
            ]
            if not unsent:
                return
            for connection in unsent:
                try:
                    make_room(connection)
                except OSError as error:
                    logger.bind(reason=repr(error)).warning("kernel buffer unchanged")
            await asyncio.sleep(_HAND_OVER_S)
        left_bytes = self.count_unsent_bytes()
        if left_bytes:
            logger.bind(unsent_bytes=left_bytes).warning(
                "answers are cut off: the kernel has no room for all unsent bytes"
            )

    async def _handle_counted(self, request: BaseRequest) -> RawResponse:
        self.running += 1
        self._idle.clear()
        connection = request.protocol
        connection.begin_request(request)
        try:
            await connection.wait_for_reader()
            return await self._handler(request)
        finally:
            connection.end_request()
            self.running -= 1
            if not self.running:
                self._idle.set()
