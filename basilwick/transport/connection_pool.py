"""Pool of persistent HTTP connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from basilwick.transport.connection import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.types import MonotonicSeconds

__all__ = ["ConnectionPool", "NoIdleConnectionError", "PoolClosedError"]

#: Timeout in seconds for opening a connection, which usually takes about 1 ms.
CONNECT_TIMEOUT_S = 0.4
#: Time in seconds after which an idle connection is not reused. It stays below common
#: server timeouts of 15 s, so that no server closes a connection while a request is
#: sent on it.
_IDLE_LIMIT_S = 12.0
#: Time in seconds within which no server process can end and another one listen at its
#: address, so that a connection opened in this time reaches the same process.
_SAME_PROCESS_WITHIN_S = 0.05


class PoolClosedError(ConnectionError):
    """The pool was closed before a connection could be used."""


class NoIdleConnectionError(ConnectionError):
    """The pool has no idle connection, and the caller does not accept a new one."""


class ConnectionPool:
    """Persistent connections to one address.

    Parameters
    ----------
    address : str
        IP number and port.
    max_connections : int
        Largest number of open connections, which only `open_new` exceeds.
    clock : callable
        Local monotonic clock in seconds.
    tcp_user_timeout_s : float, optional
        Time in seconds after which the kernel closes a connection whose data the peer
        doesn't accept (TCP_USER_TIMEOUT), even if this process is stopped.
    on_unrequested : callable, optional
        Called with a connection when data arrives that no request asked for.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        clock: Callable[[], MonotonicSeconds],
        tcp_user_timeout_s: float | None = None,
        on_unrequested: Callable[[HttpConnection], None] = lambda _: None,
    ):
        self._on_unrequested = on_unrequested
        self.address = address
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self.max_connections = max_connections
        self._clock = clock
        self._tcp_user_timeout_s = tcp_user_timeout_s
        self._loop = asyncio.get_running_loop()
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._opening = 0
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._closed = False

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def acquire(
        self, idle_limit_s: float = _IDLE_LIMIT_S, identity: bytes = b""
    ) -> HttpConnection:
        """Return an idle or new connection for one request.

        Waits while all connections are in use and the bound is reached.

        Parameters
        ----------
        idle_limit_s : float
            Longest time in seconds for which a reused connection may have been idle.
        identity : bytes, optional
            Identity of the request. The connection has carried no other request with
            the same identity.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        while True:
            if self._closed:
                raise PoolClosedError("the pool is closed")
            connection = self._take_idle(idle_limit_s, identity)
            if connection is not None:
                return connection
            if len(self._open) + self._opening < self.max_connections:
                return await self._connect()
            if self._idle:
                # None of the idle connections suits the request.
                self._discard(self._idle.pop(0))
                return await self._connect()
            waiter = self._loop.create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_one()
                raise

    async def acquire_idle(self, idle_limit_s: float = _IDLE_LIMIT_S) -> HttpConnection:
        """Return an idle connection; opens none.

        An idle connection carried an earlier request, or replaces one that did.

        Raises
        ------
        OSError
            If no connection is idle.
        """
        connection = None if self._closed else self._take_idle(idle_limit_s)
        if connection is None:
            raise NoIdleConnectionError("no connection is idle")
        return connection

    async def replace(self, connection: HttpConnection) -> None:
        """Open a connection in place of one that the peer closes after an answer.

        The peer's process has just answered, so the new connection reaches the same
        process. One that takes too long to open gives no such guarantee and is closed.
        """
        received_at = connection.received_at
        successor = await self.open_new()
        fresh = self._clock() - received_at < _SAME_PROCESS_WITHIN_S
        self.release(successor, reusable=fresh)

    async def open_new(self) -> HttpConnection:
        """Open a connection, even if the pool then exceeds its bound.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        if self._closed:
            raise PoolClosedError("the pool is closed")
        return await self._connect()

    def release(self, connection: HttpConnection, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if reusable and not self._closed and connection.end_exchange():
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            self._discard(connection)
        self._wake_one()

    def discard_silent(self, since: MonotonicSeconds) -> None:
        """Close idle connections that received nothing after a time.

        Connections to one address often stop receiving at the same time, when a
        firewall or address translator on the path loses its state.
        """
        remaining = []
        for connection in self._idle:
            if connection.received_at > since:
                remaining.append(connection)
            else:
                self._discard(connection)
        self._idle = remaining

    def retire(self) -> None:
        """Close idle connections now, and each other one when its request ends."""
        self._closed = True
        for connection in self._idle:
            self._discard(connection)
        self._idle.clear()
        while self._waiters:
            self._wake_one()

    def close(self) -> None:
        """Close all connections."""
        self._closed = True
        for connection in self._open:
            connection.abort_transport()
        self._open.clear()
        self._idle.clear()
        while self._waiters:
            self._wake_one()

    def _take_idle(
        self, idle_limit_s: float, identity: bytes = b""
    ) -> HttpConnection | None:
        # The server is least likely to have closed the most recently used connection.
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            fresh = self._clock() - connection.idle_since < idle_limit_s
            if not fresh or not connection.usable:
                self._discard(self._idle.pop(index))
            elif not connection.has_carried(identity):
                return self._idle.pop(index)
        return None

    def _discard(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        connection.abort_transport()

    async def _connect(self) -> HttpConnection:
        self._opening += 1
        connection = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: HttpConnection(
                        self._loop, self._clock, self._on_unrequested
                    ),
                    self._host,
                    self._port,
                )
        except TimeoutError as error:
            raise ConnectionError(
                f"the connection was not established within {CONNECT_TIMEOUT_S} s"
            ) from error
        finally:
            self._opening -= 1
            if connection is None:
                self._wake_one()
        if self._closed:
            connection.abort_transport()
            raise PoolClosedError(
                "the pool was closed while a connection was being opened"
            )
        if self._tcp_user_timeout_s is not None:
            connection.set_user_timeout(self._tcp_user_timeout_s)
        connection.received_at = self._clock()
        self._open.add(connection)
        return connection

    def _wake_one(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
