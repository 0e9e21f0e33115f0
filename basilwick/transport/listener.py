"""Caller and forward ports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from orjson import dumps

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.transport.exchange import Answer, Request
from basilwick.transport.handover import LEDGER_PATH, MAX_MESSAGE_BYTES
from basilwick.transport.http_server import HttpServer, RawResponse, answer_refusal
from basilwick.transport.parsing import (
    check_key,
    load_body,
    parse_forwarded,
    parse_request,
    parse_resource,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web import BaseRequest

    from basilwick.core.types import MonotonicSeconds

__all__ = ["CallerListener", "ForwardListener", "RequestService"]

_TOKENS_PREFIX = "/tokens/"
#: Interval of interim answers on the forward port, by which the forwarding instance
#: distinguishes a waiting request from a silent connection or instance.
INTERIM_INTERVAL_S = 0.05
_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
_JSON = [(b"Content-Type", b"application/json")]
DEFAULT_MAX_BODY_BYTES = 64 << 20


class RequestService(Protocol):
    """Interface of the request path that the ports use."""

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""

    def get_default_deadline_ms(self, service: str) -> int | None:
        """Return the deadline of requests that name none."""

    def issue_token(self, service: str, key: str) -> str | Refusal:
        """Return a token for an at-most-once operation."""

    async def handle(self, request: Request) -> Answer | Refusal:
        """Answer a request, or refuse it."""

    def adopt_ledger(self, body: bytes) -> bool:
        """Take over the ledger of a leaving instance."""


class _Listener:
    def __init__(
        self,
        address: str,
        service: RequestService,
        clock: Callable[[], MonotonicSeconds],
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ):
        self._service = service
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._server = HttpServer(address, self._serve)
        self._stopping = False

    @property
    def address(self) -> str:
        """IP number and port that the port listens on."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    def stop_accepting(self) -> None:
        """Refuse new connections, and new requests with ``shutting_down``."""
        self._stopping = True
        self._server.stop_accepting()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request runs; returns whether that came about in time."""
        return await self._server.wait_idle(timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    async def _serve(self, raw: BaseRequest) -> RawResponse:
        raise NotImplementedError

    async def _run(
        self, raw: BaseRequest, request: Request, response: RawResponse, check: bool
    ) -> None:
        try:
            async with asyncio.timeout(max(0.0, request.deadline - self._clock())):
                result = await load_body(raw, request, self._max_body_bytes, check)
                if result is None:
                    result = await self._service.handle(request)
                if isinstance(result, Refusal):
                    result = answer_refusal(request.resolve_outcome(result))
                await response.send(result)
        except TimeoutError:
            if response.started:
                # The caller reads too slowly, or the server stopped within its answer.
                response.abort()
            else:
                await response.send(answer_refusal(_refuse_late(request)))
        if not isinstance(request.body, bytes) and not raw.content.is_eof():
            response.keep_alive = False


class CallerListener(_Listener):
    """Takes callers' requests.

    Parameters
    ----------
    address : str
        IP number and port.
    service : RequestService
        Request path.
    clock : callable
        Local monotonic clock in seconds.
    max_body_bytes : int, optional
        Largest request body.
    """

    async def _serve(self, raw: BaseRequest) -> RawResponse:
        path = raw.raw_path
        if not path.startswith("/v1/"):
            return await _respond(raw, self._answer_other(raw, path))
        if self._stopping:
            refusal = _refuse_leaving("Basilwick-Token" in raw.headers)
            return await _respond(raw, answer_refusal(refusal), keep_alive=False)
        service = path[4:].partition("/")[0]
        request = parse_request(
            raw, self._service.get_default_deadline_ms(service), self._clock()
        )
        if isinstance(request, Refusal):
            return await _respond(raw, answer_refusal(request))
        response = RawResponse(raw)
        await self._run(raw, request, response, check=True)
        return response

    def _answer_other(self, raw: BaseRequest, path: str) -> Answer:
        if path == "/health":
            return Answer(200, _JSON, b'{"status":"running"}')
        if path == "/ready":
            ready = self._service.ready and not self._stopping
            return Answer(200 if ready else 503, _JSON, dumps({"ready": ready}))
        if not path.startswith(_TOKENS_PREFIX) or raw.method != "POST":
            message = f"nothing answers {raw.method[:20]} {path[:100]!r}"
            return answer_refusal(make_refusal(ErrorKind.BAD_REQUEST, message))
        resource = parse_resource(path, _TOKENS_PREFIX)
        if not isinstance(resource, Refusal):
            resource = self._service.issue_token(*resource)
        if isinstance(resource, Refusal):
            return answer_refusal(resource)
        return Answer(200, _JSON, dumps({"token": resource}))


class ForwardListener(_Listener):
    """Takes requests that other instances forward.

    Parameters
    ----------
    address : str
        IP number and port.
    service : RequestService
        Request path.
    clock : callable
        Local monotonic clock in seconds.
    shared_key : str
        Key that requests must present.
    max_body_bytes : int, optional
        Largest request body.
    """

    def __init__(
        self,
        address: str,
        service: RequestService,
        clock: Callable[[], MonotonicSeconds],
        shared_key: str,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ):
        super().__init__(address, service, clock, max_body_bytes)
        self._shared_key = shared_key.encode()

    async def _serve(self, raw: BaseRequest) -> RawResponse:
        identity = raw.headers.get("Basilwick-Attempt", "")
        echo = f"Basilwick-Attempt: {identity}\r\n".encode()
        if raw.raw_path == LEDGER_PATH:
            return await self._adopt(raw, echo)
        request = parse_forwarded(raw, self._shared_key, self._clock())
        if self._stopping and not isinstance(request, Refusal):
            request = _refuse_leaving(request.token is not None)
        if isinstance(request, Refusal):
            return await _respond(raw, answer_refusal(request), echo)
        response = RawResponse(raw, extra_fields=echo)
        interim = asyncio.get_running_loop().call_later(
            INTERIM_INTERVAL_S, self._send_interim, raw, response
        )
        try:
            await self._run(raw, request, response, check=False)
        finally:
            interim.cancel()
        return response

    def _send_interim(self, raw: BaseRequest, response: RawResponse) -> None:
        if not response.started and raw.transport is not None:
            raw.transport.write(_INTERIM)
            asyncio.get_running_loop().call_later(
                INTERIM_INTERVAL_S, self._send_interim, raw, response
            )

    async def _adopt(self, raw: BaseRequest, echo: bytes) -> RawResponse:
        refusal = check_key(raw, self._shared_key)
        if refusal is not None:
            return await _respond(raw, answer_refusal(refusal), echo)
        body = bytearray()
        async for chunk in raw.content.iter_any():
            body += chunk
            if len(body) > MAX_MESSAGE_BYTES:
                refusal = make_refusal(ErrorKind.TOO_LARGE, "the ledger is too large")
                return await _respond(raw, answer_refusal(refusal), echo)
        adopted = self._service.adopt_ledger(bytes(body))
        return await _respond(raw, Answer(204 if adopted else 409), echo)


async def _respond(
    raw: BaseRequest, answer: Answer, extra_fields: bytes = b"", keep_alive: bool = True
) -> RawResponse:
    response = RawResponse(raw, keep_alive, extra_fields)
    await response.send(answer)
    return response


def _refuse_leaving(has_token: bool) -> Refusal:
    # The operation of a token may have run at an earlier request.
    outcome = Outcome.UNKNOWN if has_token else Outcome.NOT_RUN
    return make_refusal(
        ErrorKind.SHUTTING_DOWN, "the instance is leaving", outcome=outcome
    )


def _refuse_late(request: Request) -> Refusal:
    return request.resolve_outcome(
        make_refusal(
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed while the request was sent or waited",
            outcome=Outcome.NOT_RUN,
        )
    )
