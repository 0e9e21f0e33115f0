"""Client side of the connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import define, field, frozen
from orjson import loads

from basilwick.core.errors import ErrorKind, Refusal, make_refusal
from basilwick.core.retries import compute_hedge_delay
from basilwick.core.server_limiter import RequestResult, ResultKind
from basilwick.core.timing import SERVER_SILENT_AFTER_S
from basilwick.transport.channel import Channel, Reply, SendPlan
from basilwick.transport.exchange import Answer, Operation, Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.records import ServerRecord
    from basilwick.core.types import MonotonicSeconds

__all__ = ["Attempt", "BackendClient", "GrantReply", "HedgeGate"]

_NOT_RUN_RESULTS = {
    409: ResultKind.NEUTRAL,
    429: ResultKind.OVERLOADED,
    503: ResultKind.COLD,
}
_NEUTRAL = RequestResult(ResultKind.NEUTRAL)


@frozen
class Attempt:
    """How a request to a server ended, and what that says about the server."""

    answer: Answer | Refusal
    result: RequestResult


@frozen
class GrantReply:
    """Answer of a server to a grant request.

    Attributes
    ----------
    clock_ms : float or None
        The server's monotonic clock.
    incarnation : str
        Random identity of the server's process.
    checks : bool
        Whether it refuses lower fences and lapsed grants.
    digest : str
        Digest of the grant that it holds.
    sent_at, received_at : float
        Local times of the request and the answer.
    """

    clock_ms: float | None
    incarnation: str
    checks: bool
    digest: str
    sent_at: MonotonicSeconds
    received_at: MonotonicSeconds


class HedgeGate(Protocol):
    """Decides whether a second attempt may be sent."""

    def try_open(self) -> bool:
        """Take the slot and the budget of a second attempt."""

    def close(self, won: bool) -> None:
        """Release the slot; ``won`` tells whether the second attempt answered."""


@define(eq=False)
class _Server:
    channel: Channel
    #: Separate connections, so that grants never wait for a connection behind requests.
    control: Channel


@define(eq=False)
class _Race:
    gate: HedgeGate
    task: asyncio.Task[Reply | Refusal] | None = None
    first: SendPlan | None = None
    won: bool = field(default=False)


class _HedgeWonError(ConnectionError):
    """The second attempt got the answer."""


class BackendClient:
    """Sends requests to backend servers over persistent connections.

    Parameters
    ----------
    clock : callable
        Local monotonic clock in seconds.
    on_result : callable
        Called with server name, success and time as evidence about the server.
    on_incarnation : callable
        Called with server name and incarnation whenever a server reports it.
    on_silent : callable
        Called with the service when a connection went silent.
    """

    def __init__(
        self,
        clock: Callable[[], MonotonicSeconds],
        on_result: Callable[[str, bool, MonotonicSeconds], None] = lambda *_: None,
        on_incarnation: Callable[[str, str], None] = lambda *_: None,
        on_silent: Callable[[str], None] = lambda _: None,
    ):
        self._clock = clock
        self.on_result = on_result
        self.on_incarnation = on_incarnation
        self.on_silent = on_silent
        self._servers: dict[str, _Server] = {}

    async def start(self) -> None:
        """Do nothing; connections are opened at the first request to a server."""

    async def close(self) -> None:
        """Close all connections."""
        for server in self._servers.values():
            server.channel.pool.close()
            server.control.pool.close()

    def remove_server(self, name: str) -> None:
        """Close the connections to a server, each when its request has ended."""
        server = self._servers.pop(name, None)
        if server is not None:
            server.channel.pool.retire()
            server.control.pool.retire()

    def count_connections(self, name: str) -> int:
        """Return the number of open connections to a server."""
        server = self._servers.get(name)
        if server is None:
            return 0
        return server.channel.pool.open + server.control.pool.open

    async def send(
        self,
        record: ServerRecord,
        request: Request,
        authorize: Callable[[], bytes | Refusal],
        keep_sending: Callable[[], bool] = lambda: True,
        gate: HedgeGate | None = None,
    ) -> Attempt:
        """Send a request to a server; an idempotent one may be hedged.

        The result is a refusal with outcome unknown when the answer was lost, and
        ``server_refused`` only by the server's own ``Basilwick-Run: not-run``.
        """
        channel = self._get_server(record).channel
        started_at = self._clock()
        name = record.name
        plan = SendPlan(
            authorize,
            keep_sending,
            on_unanswered=lambda: self.on_result(name, False, self._clock()),
        )
        try:
            if gate is not None and request.idempotent:
                reply = await self._race(channel, request, plan, gate)
            else:
                reply = await channel.attempt(request, plan)
        except asyncio.CancelledError:
            if self._clock() - started_at >= SERVER_SILENT_AFTER_S:
                self.on_result(name, False, self._clock())
            raise
        if isinstance(reply, Refusal):
            if reply.kind is ErrorKind.CONNECTION_LOST:
                self.on_result(name, False, self._clock())
            return Attempt(reply, _NEUTRAL)
        self.on_result(name, True, self._clock())
        return _interpret(record, request, reply)

    async def get_grants(
        self, record: ServerRecord, timeout_s: float = SERVER_SILENT_AFTER_S
    ) -> GrantReply | Refusal:
        """Ask a server for its clock, incarnation and grant."""
        return await self._call_grants(record, "GET", b"", timeout_s)

    async def put_grants(
        self,
        record: ServerRecord,
        body: bytes,
        timeout_s: float = SERVER_SILENT_AFTER_S,
    ) -> GrantReply | Refusal:
        """Give a server its grant, as encoded JSON."""
        return await self._call_grants(record, "PUT", body, timeout_s)

    async def get_load(
        self, record: ServerRecord, timeout_s: float = SERVER_SILENT_AFTER_S
    ) -> dict | Refusal:
        """Ask a server for its load report."""
        return await self._call(record, "GET", "/load", b"", timeout_s)

    async def probe(
        self, record: ServerRecord, timeout_s: float = SERVER_SILENT_AFTER_S
    ) -> bool:
        """Return whether a server answers at all, with whatever status."""
        server = self._get_server(record)
        deadline = self._clock() + timeout_s
        request = Request(
            "GET", "/load", "", "", Operation.AT_MOST_ONCE, deadline, body=b""
        )
        try:
            async with asyncio.timeout(timeout_s):
                # Any answer is a sign of life, also from a server that has no load
                # report and so does not echo.
                reply = await server.control.attempt(
                    request, SendPlan(lambda: b"", lambda: True, checks_echo=False)
                )
        except TimeoutError:
            return False
        return isinstance(reply, Reply)

    def _get_server(self, record: ServerRecord) -> _Server:
        server = self._servers.get(record.name)
        if server is not None and server.channel.address != record.address:
            self.remove_server(record.name)
            server = None
        if server is None:
            max_connections = max(1, record.connections - 1)
            server = self._servers[record.name] = _Server(
                Channel(record.address, max_connections, self._clock),
                Channel(record.address, 1, self._clock),
            )
            service = record.service
            server.channel.on_silent = lambda: self.on_silent(service)
        server.channel.pool.max_connections = max(1, record.connections - 1)
        return server

    async def _race(
        self, channel: Channel, request: Request, plan: SendPlan, gate: HedgeGate
    ) -> Reply | Refusal:
        race = _Race(gate, first=plan)
        plan.start_hedge = lambda: self._start_hedge(channel, request, race)
        plan.hedge_delay_s = compute_hedge_delay(channel.latencies.quantile(0.95))
        try:
            first = await channel.attempt(request, plan)
            if race.task is None or isinstance(first, Reply):
                return first
            second = await race.task
            return second if isinstance(second, Reply) else first
        finally:
            # Ends the reference cycle, which would leave each request to the collector.
            plan.start_hedge = None
            if race.task is not None:
                race.task.cancel()

    def _start_hedge(self, channel: Channel, request: Request, race: _Race) -> None:
        if not race.gate.try_open():
            return
        plan = SendPlan(race.first.authorize, race.first.keep_sending)
        race.task = asyncio.create_task(channel.attempt(request, plan))
        race.task.add_done_callback(lambda task: _end_hedge(task, race))

    async def _call_grants(
        self, record: ServerRecord, method: str, body: bytes, timeout_s: float
    ) -> GrantReply | Refusal:
        sent_at = self._clock()
        data = await self._call(record, method, "/grants", body, timeout_s)
        if isinstance(data, Refusal):
            return data
        try:
            clock_ms = data.get("clock_ms")
            reply = GrantReply(
                None if clock_ms is None else float(clock_ms),
                str(data["incarnation"]),
                bool(data["checks"]),
                str(data["digest"]),
                sent_at,
                self._clock(),
            )
        except (KeyError, TypeError, ValueError) as error:
            return _refuse_reply(record, repr(error))
        self.on_incarnation(record.name, reply.incarnation)
        return reply

    async def _call(
        self,
        record: ServerRecord,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> dict | Refusal:
        server = self._get_server(record)
        deadline = self._clock() + timeout_s
        request = Request(
            method, path, "", "", Operation.AT_MOST_ONCE, deadline, body=body
        )
        plan = SendPlan(lambda: b"", lambda: True)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await server.control.attempt(request, plan)
        except TimeoutError:
            self.on_result(record.name, False, self._clock())
            return _refuse_reply(record, f"no answer within {timeout_s} s")
        succeeded = isinstance(reply, Reply) and isinstance(reply.answer.body, bytes)
        self.on_result(record.name, succeeded, self._clock())
        if not succeeded:
            return reply if isinstance(reply, Refusal) else _refuse_reply(record, path)
        # Evidence that the server answers, for connections that went silent.
        server.channel.answered_at = self._clock()
        if reply.answer.status != 200:
            return _refuse_reply(record, f"status {reply.answer.status}")
        try:
            data = loads(reply.answer.body)
        except ValueError as error:
            return _refuse_reply(record, repr(error))
        return data if isinstance(data, dict) else _refuse_reply(record, "no object")


def _end_hedge(task: asyncio.Task[Reply | Refusal], race: _Race) -> None:
    first = race.first.connection
    answered = not (task.cancelled() or task.exception()) and isinstance(
        task.result(), Reply
    )
    race.gate.close(answered and first is not None)
    if answered and first is not None:
        first.fail(_HedgeWonError("the second attempt got the answer"))


def _refuse_reply(record: ServerRecord, message: str) -> Refusal:
    return make_refusal(
        ErrorKind.CONNECTION_LOST, f"server {record.name!r} at control call: {message}"
    )


def _interpret(record: ServerRecord, request: Request, reply: Reply) -> Attempt:
    answer = reply.answer
    if reply.own_fields.get(b"basilwick-run") != b"not-run":
        kind = ResultKind.SUCCESS
        latency_s = None if request.operation is Operation.UPLOAD else reply.latency_s
        return Attempt(answer, RequestResult(kind, latency_s))
    request.unresolved_attempts -= 1
    if not isinstance(answer.body, bytes):
        answer.body.close()
    retry_after_s = None
    for name, value in answer.fields:
        if name.lower() == b"retry-after" and value.isdigit():
            retry_after_s = float(value)
    kind = _NOT_RUN_RESULTS.get(answer.status, ResultKind.NEUTRAL)
    return Attempt(
        make_refusal(
            ErrorKind.SERVER_REFUSED,
            f"server {record.name!r} refused with status {answer.status}",
            retry_after_s=retry_after_s,
        ),
        RequestResult(kind),
    )
