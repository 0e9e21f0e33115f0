"""The way of a caller's request to a server and back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from basilwick.core.dispatch.caller_waits import CallerWaitEstimator
from basilwick.core.dispatch.messages import (
    DispatchRequest,
    Refused,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.response_sizes import ResponseSizeEstimator
from basilwick.core.dispatch.routes import RouteTable
from basilwick.core.types import Operation
from basilwick.logs import log_decision
from basilwick.platform.http_messages import encode_request_head, read_request_metadata
from basilwick.runtime.fleet.caller_body_reader import (
    BodyRejectedError,
    CallerBody,
    CallerBodyReader,
)
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import RawResponse
from basilwick.transport.server_client import SendFailure, ServerAnswer, ServerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web import BaseRequest

    from basilwick.core.dispatch.messages import Assigned
    from basilwick.core.dispatch.site import Route, SiteView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import FleetMetrics
    from basilwick.platform.http_messages import RequestMetadata
    from basilwick.runtime.fleet.dispatch_runner import DispatchClient
    from basilwick.runtime.fleet.failover_dispatcher import FailoverDispatcher
    from basilwick.transport.exchange import ByteStream
    from basilwick.transport.server_client import ServerClient

__all__ = ["CallerRequestHandler"]

#: Time in seconds after a caller's deadline for which its answer is still delivered.
_DELIVERY_SLACK_S = 5.0
#: Time in seconds kept back for the way of the answer to the caller.
_ANSWER_MARGIN_S = 0.01
#: Time in seconds after which a caller comes back to an instance that knows no
#: configuration yet.
_NO_CONFIGURATION_RETRY_S = 0.3
#: Time in seconds after which a caller of an unusable route comes back; operators mend
#: the route by another version.
_UNUSABLE_ROUTE_RETRY_S = 2.0
_RAN_OUT = 504
_LOST = 502
_NOT_RUN = 503
#: Part of a server's connections that one instance may open.
_CONNECTION_SHARE = 4


@define(eq=False)
class _Call:
    """A caller's request on its way.

    Attributes
    ----------
    deadline, target_at : float
        Local times of the last useful answer and of the target latency.
    may_have_run : bool
        Whether a server may have run an earlier attempt.
    sending : bool
        Whether an attempt is at a server.
    left : bool
        Whether the caller has left.
    """

    raw: BaseRequest
    metadata: RequestMetadata
    route: Route
    service: str
    arrived_at: MonotonicSeconds
    deadline: MonotonicSeconds
    target_at: MonotonicSeconds
    body: CallerBody = field(factory=CallerBody)
    attempts: int = 0
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    sending: bool = False
    left: bool = False
    reason: str = ""

    @property
    def idempotent(self) -> bool:
        return self.route.operation is Operation.IDEMPOTENT


class CallerRequestHandler:
    """Answers callers' requests.

    Parameters
    ----------
    view : SiteView
        Routes and services.
    port : FailoverDispatcher
        Decides where requests go.
    client : ServerClient
        Sends them.
    data_centre : str
        Where this instance is.
    """

    def __init__(
        self,
        view: SiteView,
        port: FailoverDispatcher,
        client: ServerClient,
        clock: Callable[[], MonotonicSeconds],
        metrics: FleetMetrics,
        data_centre: str,
    ):
        self._view = view
        self._port = port
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._data_centre = data_centre
        self._routes = RouteTable()
        self._first_attempts = CallerWaitEstimator()
        self._answer_sizes = ResponseSizeEstimator()
        self._tasks: set[asyncio.Task[Answer]] = set()
        self._bodies = CallerBodyReader()

    async def handle(self, raw: BaseRequest) -> RawResponse:
        """Answer a request."""
        arrived_at = self._clock()
        metadata = read_request_metadata(raw.raw_headers)
        answer = await self._answer(raw, metadata, arrived_at)
        response = RawResponse(raw)
        if not raw.content.is_eof():
            response.keep_alive = False
        ends_at = arrived_at + (metadata.time_left_s or 0.0) + _DELIVERY_SLACK_S
        try:
            async with asyncio.timeout(max(0.0, ends_at - self._clock())):
                await response.send(answer)
        except TimeoutError:
            # Neither a caller that reads nothing nor a server that sends without end
            # may hold a connection for ever.
            logger.bind(request=metadata.request_id.decode("latin-1")).warning(
                "gave up an answer that was not delivered in time"
            )
            response.abort()
        return response

    async def _answer(
        self, raw: BaseRequest, metadata: RequestMetadata, arrived_at: MonotonicSeconds
    ) -> Answer:
        configuration = self._view.configuration
        if configuration is None:
            return _refuse(_NO_CONFIGURATION_RETRY_S)
        if configuration.version != self._routes.version:
            self._routes.load(configuration)
            self._answer_sizes.retain_routes(configuration.routes)
        route = self._routes.find(raw.headers.get("Host", ""), raw.raw_path)
        if route is None:
            self._log_unrouted(raw, metadata, configuration.version)
            return Answer(404)
        if not route.targets:
            return self._refuse_unusable(route, metadata, configuration.version)
        timeout_s = route.timeout_s
        elapsed_s = 0.0
        if metadata.time_left_s is not None:
            elapsed_s = self._first_attempts.estimate_elapsed(
                route.name, metadata.time_left_s, arrived_at
            )
            timeout_s = min(timeout_s, metadata.time_left_s - _ANSWER_MARGIN_S)
        call = _Call(
            raw,
            metadata,
            route,
            self._routes.choose_service(route),
            arrived_at,
            arrived_at + timeout_s,
            arrived_at + route.target_latency_s - elapsed_s,
        )
        answer = await self._run(call)
        self._note(call, answer)
        return answer

    async def _run(self, call: _Call) -> Answer:
        """Route a request; the way goes on without a caller only at a server."""
        task = asyncio.create_task(self._route_and_free(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            call.left = True
            if call.idempotent or not call.sending:
                task.cancel()
            raise

    async def _route_and_free(self, call: _Call) -> Answer:
        try:
            return await self._route(call)
        finally:
            self._bodies.release(call.body)

    async def _route(self, call: _Call) -> Answer:
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                largest = self._view.configuration.limits.body_bytes
                call.body = await self._bodies.load(call.raw, largest)
        except TimeoutError:
            call.reason = "the body did not arrive in time"
            return _refuse(0.1, close=True)
        except BodyRejectedError as error:
            call.reason = "the body is unreadable or too large"
            return Answer(error.status, [(b"Connection", b"close")])
        failed: ServerAnswer | None = None
        while call.attempts < call.route.max_attempts and not call.left:
            call.attempts += 1
            decision, port = await self._port.decide(self._make_ask(call))
            if isinstance(decision, Refused):
                call.reason = decision.reason
                if failed is not None:
                    break
                return self._give_up(call, decision.retry_after_s)
            result = await self._send(call, decision, port)
            if isinstance(result, ServerAnswer) and not _is_not_run(result):
                if result.status < 500 or not call.idempotent:
                    return _pass_on(result)
                failed = result
            elif isinstance(result, SendFailure):
                call.reason = result.detail
                call.may_have_run |= result.may_have_run
                if result.outcome is SendOutcome.TIMEOUT:
                    return Answer(_RAN_OUT)
                if call.may_have_run and not call.idempotent:
                    return Answer(_LOST)
            else:
                call.reason = "the server did not run the request"
            if not call.body.replayable:
                break
        if failed is not None:
            return _pass_on(failed)
        return self._give_up(call, 0.1)

    def _give_up(self, call: _Call, retry_after_s: float) -> Answer:
        """Return the answer to a request that is not sent any more."""
        if call.may_have_run:
            return Answer(_LOST)
        return _refuse(retry_after_s)

    def _make_ask(self, call: _Call) -> DispatchRequest:
        now = self._clock()
        return DispatchRequest(
            0,
            call.service,
            call.metadata.key,
            call.route.priority,
            call.target_at - now,
            call.deadline - now,
            call.attempts,
            call.tried,
            tuple(call.route.home_regions),
            self._data_centre,
            call.body.size + self._answer_sizes.estimate(call.route),
        )

    async def _send(
        self, call: _Call, decision: Assigned, port: DispatchClient
    ) -> ServerAnswer | SendFailure:
        call.tried += (decision.server,)
        call.sending = True
        outcome = SendOutcome.WITHDRAWN
        sent_at = self._clock()
        try:
            result = await self._send_once(call, decision)
            if isinstance(result, SendFailure):
                outcome = result.outcome
            else:
                outcome = _classify(result)
                if outcome is SendOutcome.OK:
                    self._answer_sizes.record(call.route, _measure(result.body))
                if result.metadata.warm_up_left_s:
                    self._view.extend_warm_up(
                        decision.server, result.metadata.warm_up_left_s, self._clock()
                    )
            return result
        finally:
            call.sending = False
            latency_s = self._clock() - sent_at
            port.finish(SendFinished(decision.number, outcome, latency_s))

    async def _send_once(
        self, call: _Call, decision: Assigned
    ) -> ServerAnswer | SendFailure:
        time_left_s = call.deadline - self._clock()
        raw = call.raw
        head = encode_request_head(
            raw.method,
            raw.raw_path.encode("utf-8", "surrogateescape"),
            raw.headers.get("Host", "").encode("utf-8", "surrogateescape"),
            raw.raw_headers,
            decision.server,
            time_left_s,
            call.body.framing,
        )
        request = ServerRequest(
            raw.method,
            head,
            call.body.content,
            call.metadata.request_id,
            call.idempotent,
            chunked=not call.body.replayable and call.body.content.length is None,
        )
        spec = self._view.get_service(call.service)
        connections = spec.max_connections // _CONNECTION_SHARE if spec else 0
        return await self._client.send(
            decision.address, request, max(0.0, time_left_s), max(2, connections)
        )

    def _note(self, call: _Call, answer: Answer) -> None:
        elapsed_s = self._clock() - call.arrived_at
        self._metrics.observe_request(call.service, answer.status, elapsed_s)
        log_decision(
            "request answered",
            request=call.metadata.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service,
            key=call.metadata.key,
            version=self._routes.version,
            status=answer.status,
            attempts=call.attempts,
            servers=call.tried,
            reason=call.reason,
            time_left_ms=round((call.metadata.time_left_s or 0.0) * 1000),
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    def _refuse_unusable(
        self, route: Route, metadata: RequestMetadata, version: int
    ) -> Answer:
        """Refuse a request of a route whose definition can't be used."""
        log_decision(
            "request has an unusable route",
            request=metadata.request_id.decode("latin-1"),
            route=route.name,
            version=version,
            status=_NOT_RUN,
        )
        return _refuse(_UNUSABLE_ROUTE_RETRY_S)

    def _log_unrouted(
        self, raw: BaseRequest, metadata: RequestMetadata, version: int
    ) -> None:
        log_decision(
            "request has no route",
            request=metadata.request_id.decode("latin-1"),
            host=raw.headers.get("Host", "")[:100],
            path=raw.raw_path[:100],
            version=version,
            status=404,
        )


def _refuse(retry_after_s: float, close: bool = False) -> Answer:
    fields = [(b"Retry-After", b"%.3f" % retry_after_s)]
    if close:
        fields.append((b"Connection", b"close"))
    return Answer(_NOT_RUN, fields)


def _measure(body: bytes | ByteStream) -> int:
    """Return the bytes of a body, as far as they are known."""
    return len(body) if isinstance(body, bytes) else body.length or 0


def _is_not_run(answer: ServerAnswer) -> bool:
    return answer.metadata.not_run or answer.status == 421


def _classify(answer: ServerAnswer) -> SendOutcome:
    if answer.status == 421:
        return SendOutcome.MISDIRECTED
    if answer.metadata.not_run:
        return SendOutcome.SHED
    return SendOutcome.FAILED if answer.status >= 500 else SendOutcome.OK


def _pass_on(answer: ServerAnswer) -> Answer:
    return Answer(answer.status, answer.fields, answer.body, answer.length)
