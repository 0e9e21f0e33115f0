"""Pool of kept HTTP connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from basilwick.transport.connection import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.types import MonotonicSeconds

__all__ = ["ConnectionPool", "NoKeptConnectionError", "PoolClosedError"]

#: Longest time in seconds to open a connection; one takes about 1 ms.
CONNECT_TIMEOUT_S = 0.4
#: Idle connections are not used after this time, before common server limits of 15 s
#: close them under a request.
_IDLE_LIMIT_S = 12.0


class PoolClosedError(ConnectionError):
    """The pool was closed while a connection was wanted."""


class NoKeptConnectionError(ConnectionError):
    """A kept connection was wanted, and there is none."""


class ConnectionPool:
    """Kept connections to one address.

    Parameters
    ----------
    address : str
        IP number and port.
    bound : int
        Largest number of open connections.
    clock : callable
        Local monotonic clock in seconds.
    unacknowledged_s : float, optional
        Time in seconds after which the kernel gives a connection up whose bytes the
        peer doesn't take, even if this process doesn't run.
    """

    def __init__(
        self,
        address: str,
        bound: int,
        clock: Callable[[], MonotonicSeconds],
        unacknowledged_s: float | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self.bound = bound
        self._clock = clock
        self._unacknowledged_s = unacknowledged_s
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

    async def acquire(self, idle_limit_s: float = _IDLE_LIMIT_S) -> HttpConnection:
        """Return a connection for one request.

        Parameters
        ----------
        idle_limit_s : float
            Longest time in seconds for which the connection may have been unused.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        while True:
            if self._closed:
                raise PoolClosedError("the pool is closed")
            connection = self._take_idle(idle_limit_s)
            if connection is not None:
                return connection
            if len(self._open) + self._opening < self.bound:
                return await self._connect()
            await self._wait_for_release()

    async def acquire_kept(self, idle_limit_s: float = _IDLE_LIMIT_S) -> HttpConnection:
        """Return a connection that carried an earlier request; opens none.

        Raises
        ------
        OSError
            If no connection is open.
        """
        while self._open and not self._closed:
            connection = self._take_idle(idle_limit_s)
            if connection is not None:
                return connection
            if self._open:
                await self._wait_for_release()
        raise NoKeptConnectionError("no connection to this address is open")

    async def _wait_for_release(self) -> None:
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_one()
            raise

    async def open_new(self) -> HttpConnection:
        """Return a connection that carried no request, beyond the bound if need be.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        if self._closed:
            raise PoolClosedError("the pool is closed")
        return await self._connect()

    def release(self, connection: HttpConnection, reusable: bool) -> None:
        """Give a connection back; one that is not reusable is closed."""
        if reusable and connection.usable and not self._closed:
            connection.end_exchange()
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            self._open.discard(connection)
            connection.abort_transport()
        self._wake_one()

    def discard_unheard(self, since: MonotonicSeconds) -> None:
        """Close idle connections that received nothing after a time.

        Connections often go silent together, when a firewall or address translator on
        the way loses its state.
        """
        kept = []
        for connection in self._idle:
            if connection.received_at > since:
                kept.append(connection)
            else:
                self._open.discard(connection)
                connection.abort_transport()
        self._idle = kept

    def retire(self) -> None:
        """Close idle connections now and the others when their requests end."""
        self._closed = True
        for connection in self._idle:
            self._open.discard(connection)
            connection.abort_transport()
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

    def _take_idle(self, idle_limit_s: float) -> HttpConnection | None:
        # The most recently used connection is the least likely to be closed.
        while self._idle:
            connection = self._idle.pop()
            fresh = self._clock() - connection.idle_since < idle_limit_s
            if fresh and connection.usable:
                return connection
            self._open.discard(connection)
            connection.abort_transport()
        return None

    async def _connect(self) -> HttpConnection:
        self._opening += 1
        connection = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: HttpConnection(self._loop, self._clock),
                    self._host,
                    self._port,
                )
        except TimeoutError as error:
            raise ConnectionError("no connection within 0.4 s") from error
        finally:
            self._opening -= 1
            if connection is None:
                self._wake_one()
        if self._closed:
            connection.abort_transport()
            raise PoolClosedError("the pool was closed while a connection was opened")
        if self._unacknowledged_s is not None:
            connection.limit_unacknowledged(self._unacknowledged_s)
        connection.received_at = self._clock()
        self._open.add(connection)
        return connection

    def _wake_one(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
