"""Fake backend server that owns keys."""

from __future__ import annotations

import asyncio
from collections import deque
from hashlib import sha256
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any
from uuid import uuid4
from weakref import WeakKeyDictionary

from aiohttp import web
from attrs import asdict, define, evolve, field, fields_dict
from orjson import dumps, loads

from basilwick.fakes.backend_requests import ParsedRequest, RefusedError, parse_request
from basilwick.fakes.grants import GrantTable
from basilwick.fakes.runs import RunRecord
from basilwick.fakes.warmth import Warmth

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["BackendFaults", "FakeBackend"]

_FREEZE_POLL_S = 0.005
_NOT_RUN = {"Basilwick-Run": "not-run"}


@define
class BackendFaults:
    """Faults that the fake server injects.

    Attributes
    ----------
    slowdown : float
        Factor on the service time of every request.
    frozen : bool
        Whether the server accepts connections but does not respond. Afterwards it
        processes everything that arrived meanwhile, like a process resumed by SIGCONT.
    draining : bool
        Whether the server refuses new requests while it completes the running ones.
    shedding : float
        Fraction of requests that the server refuses with 429.
    load_lag_s : float
        Age of the values that ``/load`` reports, in seconds.
    load_report : dict, optional
        Values that ``/load`` reports instead of the measured ones.
    cut_answer_bytes : int
        Bytes of a second answer to each request, with status 500, that the server
        sends before its answer to the next request on the connection; 0 for none.
    """

    slowdown: float = 1.0
    frozen: bool = False
    draining: bool = False
    shedding: float = 0.0
    load_lag_s: float = 0.0
    load_report: dict[str, Any] | None = None
    cut_answer_bytes: int = 0


class _LimitingProtocol(asyncio.Protocol):
    """Closes connections above a limit and passes the others to the HTTP protocol."""

    def __init__(self, server: web.Server, limit: int):
        self._http = server
        self._limit = limit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if len(self._http.connections) >= self._limit:
            transport.close()
            return
        protocol = self._http()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)


@define(eq=False)
class FakeBackend:
    """Backend server that responds to every request after a service time.

    Parameters
    ----------
    name : str
        Name reported in responses.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    service_time_s : float
        Service time of a request on a warm server, in seconds.
    slots : int
        Number of requests that run concurrently.
    connections : int
        Maximum number of connections; further ones are closed.
    checks_grants : bool
        Whether requests without a valid grant or with another fence are refused.
    reports_clock : bool
        Whether the server reports its clock and refuses requests that expired by it.
    cold : bool
        Whether the server starts cold.
    runs_path : Path, optional
        File that preserves the record of runs across restarts.
    faults : BackendFaults
        Current faults; can be changed while the server runs.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    service_time_s: float = 0.001
    slots: int = 4
    connections: int = 120
    checks_grants: bool = False
    reports_clock: bool = False
    cold: bool = False
    runs_path: Path | None = None
    faults: BackendFaults = field(factory=BackendFaults)
    incarnation: str = ""
    record: RunRecord = field(init=False)
    warmth: Warmth = field(init=False)
    grants: GrantTable = field(init=False)
    _rng: Random = field(factory=Random)
    _free_slots: asyncio.Semaphore = field(init=False)
    _running_count: int = 0
    _waiting_count: int = 0
    _load_history: deque[tuple[float, dict[str, Any]]] = field(factory=deque)
    _clock_start: float = 0.0
    _server: asyncio.Server | None = None
    _runner: web.AppRunner | None = None
    #: Identity of the last attempt that each connection carried.
    _last_attempts: WeakKeyDictionary[asyncio.BaseTransport, str] = field(
        factory=WeakKeyDictionary
    )

    def __attrs_post_init__(self) -> None:
        self.record = RunRecord(self.name, self.runs_path)

    @property
    def address(self) -> str:
        """IP address and port that the server listens on."""
        return f"{self.host}:{self.port}"

    @property
    def clock_ms(self) -> float:
        """Monotonic clock of the server, with a new origin for each incarnation."""
        return (monotonic() - self._clock_start) * 1000

    async def start(self) -> None:
        """Start listening as a new incarnation without grants."""
        self.incarnation = uuid4().hex
        # A random origin exposes code that mixes up the clocks of two machines.
        self._clock_start = monotonic() - self._rng.uniform(0, 1_000_000)
        self.grants = GrantTable()
        self.warmth = Warmth(self.slots, 0.0 if self.cold else 1.0)
        self._free_slots = asyncio.Semaphore(self.slots)
        self.record.open()
        app = web.Application(client_max_size=1 << 30)
        app.on_response_prepare.append(_echo_attempt)
        app.router.add_get("/grants", self._report_grants)
        app.router.add_put("/grants", self._apply_grants)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/runs", self._report_runs)
        app.router.add_get("/warmth", self._report_warmth)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        http = self._runner.server
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _LimitingProtocol(http, self.connections), self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()
        self.record.close()

    def reset_warmth(self) -> None:
        """Make the server cold without telling callers."""
        self.warmth = Warmth(self.slots, 0.0)

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Change the given faults; ``cold`` makes the server cold once."""
        if changes.pop("cold", False):
            self.reset_warmth()
        unknown = set(changes) - set(fields_dict(BackendFaults))
        if unknown:
            raise ValueError(f"no faults {sorted(unknown)}; see BackendFaults")
        self.faults = evolve(self.faults, **changes)

    async def _wait_while_frozen(self) -> None:
        # Polled because tests set the attribute directly.
        while self.faults.frozen:  # noqa: ASYNC110
            await asyncio.sleep(_FREEZE_POLL_S)

    async def _handle(self, request: web.Request) -> web.Response:
        frozen_on_arrival = self.faults.frozen
        work = asyncio.ensure_future(self._process(request))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            # A process that was stopped can start to process a request before it
            # notices that the connection was closed.
            if not (frozen_on_arrival or self.faults.frozen):
                work.cancel()
            raise

    async def _process(self, request: web.Request) -> web.Response:
        await self._wait_while_frozen()
        arrived_at = monotonic()
        headers = {"Basilwick-Attempt": request.headers.get("Basilwick-Attempt", "")}
        self._write_cut_answer(request)
        try:
            parsed = parse_request(request, arrived_at)
            self._check_admission(parsed)
            digest = sha256()
            body_bytes = 0
            async for chunk in request.content.iter_chunked(65536):
                body_bytes += len(chunk)
                digest.update(chunk)
            await self._run(parsed)
        except RefusedError as refused:
            return _respond(
                {"refused": refused.reason}, refused.status, headers | _NOT_RUN
            )
        await self._wait_while_frozen()
        if self.reports_clock:
            headers["Basilwick-Clock-Ms"] = str(int(self.clock_ms))
        answer = {
            "server": self.name,
            "path": request.raw_path,
            "fence": request.headers.get("Basilwick-Fence"),
            "token": parsed.token,
            "body_bytes": body_bytes,
            "body_sha256": digest.hexdigest(),
        }
        return _respond(answer, headers=headers)

    def _write_cut_answer(self, request: web.Request) -> None:
        """Send the start of a second answer to the connection's last request."""
        transport = request.transport
        if transport is None:
            return
        last = self._last_attempts.get(transport)
        if last is not None:
            head = f"HTTP/1.1 500 Late\r\nBasilwick-Attempt: {last}\r\n\r\n"
            transport.write(head.encode()[: self.faults.cut_answer_bytes])
        attempt = request.headers.get("Basilwick-Attempt", "")
        self._last_attempts[transport] = attempt

    def _check_admission(self, parsed: ParsedRequest) -> None:
        if self.faults.draining:
            raise RefusedError(503, "draining")
        if self.faults.shedding and self._rng.random() < self.faults.shedding:
            raise RefusedError(429, "shedding load")
        if self.warmth.check_overload(self._running_count + self._waiting_count):
            self.warmth.record_overload()
            raise RefusedError(503, "cold")
        if self._running_count + self._waiting_count >= self.connections:
            raise RefusedError(429, "queue is full")
        self._check_authorization(parsed)

    def _check_authorization(self, parsed: ParsedRequest) -> None:
        if parsed.deadline_at is not None and monotonic() >= parsed.deadline_at:
            raise RefusedError(409, "deadline passed")
        clock_ms = self.clock_ms
        expires_at_ms = parsed.expires_at_ms if self.reports_clock else None
        if expires_at_ms is not None and clock_ms >= expires_at_ms:
            raise RefusedError(409, "request expired")
        if not self.checks_grants:
            return
        reason = self.grants.find_refusal_reason(
            parsed.service, parsed.shard, parsed.key, parsed.fence, clock_ms
        )
        if reason is not None:
            raise RefusedError(409, reason)

    async def _run(self, parsed: ParsedRequest) -> None:
        self._waiting_count += 1
        self._record_load()
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting_count -= 1
        self._running_count += 1
        try:
            await self._wait_while_frozen()
            # The deadline or the grant may have expired in the queue, so check again.
            self._check_authorization(parsed)
            # The run is recorded before the service time: if the connection is lost
            # from here on, the operation has run, which is the harder case for the
            # router.
            self.record.add(parsed.shard_text, parsed.key, parsed.fence, parsed.token)
            factor = self.faults.slowdown * self.warmth.get_slowdown(
                self._running_count + self._waiting_count
            )
            await asyncio.sleep(self.service_time_s * factor)
            self.warmth.record_success()
        finally:
            self._running_count -= 1
            self._free_slots.release()
            self._record_load()

    def _record_load(self) -> None:
        if self.faults.load_lag_s:
            self._load_history.append((monotonic(), self._describe_load()))
            self._drop_old_loads()

    def _drop_old_loads(self) -> None:
        """Drop the loads before the newest one that is old enough to report."""
        before = monotonic() - self.faults.load_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= before:
            self._load_history.popleft()

    def _describe_load(self) -> dict[str, Any]:
        return {
            "in_flight": self._running_count,
            "queue": self._waiting_count,
            "temperature": self.warmth.describe(),
        }

    async def _report_load(self, request: web.Request) -> web.Response:
        await self._wait_while_frozen()
        if self.faults.load_report is not None:
            return _respond(self.faults.load_report)
        if self.faults.load_lag_s and self._load_history:
            self._drop_old_loads()
            return _respond(self._load_history[0][1])
        return _respond(self._describe_load())

    async def _report_grants(self, request: web.Request) -> web.Response:
        await self._wait_while_frozen()
        if not (self.checks_grants or self.reports_clock):
            return _respond({}, status=404)
        return _respond(
            {
                "clock_ms": int(self.clock_ms),
                "incarnation": self.incarnation,
                "checks": self.checks_grants,
                "digest": self.grants.digest,
            }
        )

    async def _apply_grants(self, request: web.Request) -> web.Response:
        await self._wait_while_frozen()
        if self.checks_grants:
            self.grants.apply(loads(await request.read()))
        return await self._report_grants(request)

    async def _report_runs(self, request: web.Request) -> web.Response:
        return _respond(self.record.describe())

    async def _report_warmth(self, request: web.Request) -> web.Response:
        return _respond(asdict(self.warmth))

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(loads(await request.read()))
        except ValueError as error:
            return _respond({"error": str(error)}, status=400)
        return _respond({})


def _respond(
    data: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        body=dumps(data),
        status=status,
        content_type="application/json",
        headers=headers,
    )


async def _echo_attempt(request: web.Request, response: web.StreamResponse) -> None:
    attempt = request.headers.get("Basilwick-Attempt")
    if attempt is not None:
        response.headers["Basilwick-Attempt"] = attempt
