"""Handles a caller's request: finds a server, sends the request and responds."""

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
from basilwick.logs import log_request_line
from basilwick.platform.http_messages import encode_request_head, read_request_metadata
from basilwick.runtime.fleet.answer_owner import AnswerOwner
from basilwick.runtime.fleet.caller_body_reader import (
    BodyRejectedError,
    CallerBody,
    CallerBodyReader,
)
from basilwick.runtime.fleet.response_recorder import ResponseRecorder, was_not_run
from basilwick.transport.exchange import Answer
from basilwick.transport.http_server import RawResponse
from basilwick.transport.server_messages import SendFailure, ServerAnswer, ServerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web import BaseRequest

    from basilwick.core.caller_budget import CallerBudget
    from basilwick.core.dispatch.dispatcher import DispatchDecision
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

#: Time in seconds after the caller's deadline at which delivery of a response that was
#: ready in time is abandoned.
_DELIVERY_GRACE_S = 5.0
#: Part of the caller's timeout in seconds reserved for returning the response.
_RESPONSE_MARGIN_S = 0.01
#: Retry-After in seconds while the instance has not received a configuration yet.
_NO_CONFIGURATION_RETRY_S = 0.3
#: Largest age in seconds of the known changes at which a request without a route is
#: answered 404. With older ones, the route may have been added since.
_MAX_NO_ROUTE_AGE_S = 1.5
#: Retry-After in seconds for a route whose definition is invalid. The route works again
#: once operators publish a corrected version.
_UNUSABLE_ROUTE_RETRY_S = 2.0
#: Servers that are obtained for one attempt, and Retry-After in seconds if none of them
#: wants requests.
_MAX_ASSIGNMENTS = 3
_UNWANTED_RETRY_S = 0.3
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
#: Statuses that promise a caller that its request has not run and never will. A caller
#: then repeats also a request that is not idempotent.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: An instance opens at most this fraction (1/n) of a server's connection limit, but may
#: always open two connections.
_CONNECTION_LIMIT_DIVISOR = 4


@define(eq=False)
class _RequestContext:
    """State of a caller's request that is being handled.

    Attributes
    ----------
    deadline, target_at : float
        Local times after which a response is useless, and at which the route's target
        latency is reached.
    may_have_run : bool
        Whether a server may have executed an earlier attempt.
    in_flight : bool
        Whether an attempt has been sent to a server and has not ended.
    caller_disconnected : bool
        Whether the caller has closed its connection.
    answers : AnswerOwner
        Owns the servers' answers.
    sends : list of str
        Server, number of the connection and status or outcome of each attempt.
    """

    raw: BaseRequest
    metadata: RequestMetadata
    route: Route
    service: str
    arrived_at: MonotonicSeconds
    deadline: MonotonicSeconds
    target_at: MonotonicSeconds
    answers: AnswerOwner
    body: CallerBody = field(factory=CallerBody)
    attempts: int = 0
    tried_servers: tuple[str, ...] = ()
    may_have_run: bool = False
    in_flight: bool = False
    caller_disconnected: bool = False
    sends: list[str] = field(factory=list)
    reason: str = ""

    @property
    def idempotent(self) -> bool:
        return self.route.operation is Operation.IDEMPOTENT


class CallerRequestHandler:
    """Handles callers' requests.

    Parameters
    ----------
    view : SiteView
        Routes and services.
    dispatcher : FailoverDispatcher
        Selects the server of each attempt.
    client : ServerClient
        Sends requests to servers.
    clock : callable
        Local clock in seconds.
    metrics : FleetMetrics
        Counts and measures requests.
    data_centre : str
        Data centre of this instance.
    get_changes_age : callable
        Returns the seconds since all changes of the configuration were known.
    budget : CallerBudget
        Counts the bodies that are buffered.
    """

    def __init__(
        self,
        view: SiteView,
        dispatcher: FailoverDispatcher,
        client: ServerClient,
        clock: Callable[[], MonotonicSeconds],
        metrics: FleetMetrics,
        data_centre: str,
        get_changes_age: Callable[[], float],
        budget: CallerBudget,
    ):
        self._view = view
        self._dispatcher = dispatcher
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._data_centre = data_centre
        self._get_changes_age = get_changes_age
        self._routes = RouteTable()
        self._wait_estimator = CallerWaitEstimator()
        self._response_sizes = ResponseSizeEstimator()
        self._recorder = ResponseRecorder(view, metrics, clock)
        self._tasks: set[asyncio.Task[Answer]] = set()
        self._body_reader = CallerBodyReader(budget=budget)

    async def handle(self, raw: BaseRequest) -> RawResponse:
        """Handle a request and send the response."""
        arrived_at = self._clock()
        metadata = read_request_metadata(raw.raw_headers)
        answers = AnswerOwner()
        try:
            answer = await self._process(raw, metadata, arrived_at, answers)
            response = RawResponse(raw)
            if not raw.content.is_eof():
                response.keep_alive = False
            await self._deliver(response, answer, arrived_at, metadata)
            return response
        finally:
            answers.close()

    async def _deliver(
        self,
        response: RawResponse,
        answer: Answer,
        arrived_at: MonotonicSeconds,
        metadata: RequestMetadata,
    ) -> None:
        """Send an answer; the connection is closed unless it can be sent whole."""
        now = self._clock()
        time_left_s = None
        deadline = max(now, arrived_at + (metadata.time_left_s or 0.0))
        if answer.deadline is not None:
            time_left_s = max(0.0, answer.deadline - now)
            deadline = max(deadline, answer.deadline)
        log = logger.bind(request=metadata.request_id.decode("latin-1"))
        try:
            async with asyncio.timeout(deadline + _DELIVERY_GRACE_S - now):
                await response.send(answer, time_left_s)
        except TimeoutError:
            log.warning("the caller did not read its answer; closing the connection")
            response.abort()
        if response.failure:
            log.bind(reason=response.failure).warning(
                "an answer was cut off; closing the caller's connection"
            )

    async def _process(
        self,
        raw: BaseRequest,
        metadata: RequestMetadata,
        arrived_at: MonotonicSeconds,
        answers: AnswerOwner,
    ) -> Answer:
        configuration = self._view.configuration
        if configuration is None:
            return _make_unavailable_response(_NO_CONFIGURATION_RETRY_S)
        if configuration.version != self._routes.version:
            self._routes.load(configuration)
            self._response_sizes.retain_routes(configuration.routes)
        route = self._routes.find(raw.headers.get("Host", ""), raw.raw_path)
        if route is None:
            return self._reject_without_route(raw, metadata, configuration.version)
        if not route.targets:
            return self._reject_unusable_route(route, metadata, configuration.version)
        timeout_s = route.timeout_s
        elapsed_s = 0.0
        if metadata.time_left_s is not None:
            elapsed_s = self._wait_estimator.estimate_elapsed(
                route.name, metadata.time_left_s, arrived_at
            )
            timeout_s = min(timeout_s, metadata.time_left_s - _RESPONSE_MARGIN_S)
        context = _RequestContext(
            raw,
            metadata,
            route,
            self._routes.choose_service(route),
            arrived_at,
            arrived_at + timeout_s,
            arrived_at + route.target_latency_s - elapsed_s,
            answers,
        )
        answer = await self._run_shielded(context)
        self._record_response(context, answer)
        return answer

    async def _run_shielded(self, context: _RequestContext) -> Answer:
        """Handle a request in a task of its own.

        When the caller disconnects, the task is cancelled unless an attempt of a
        non-idempotent request is in flight.
        """
        task = asyncio.create_task(self._route_and_release_body(context))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            context.caller_disconnected = True
            if context.idempotent or not context.in_flight:
                task.cancel()
            raise

    async def _route_and_release_body(self, context: _RequestContext) -> Answer:
        try:
            return await self._send_with_retries(context)
        finally:
            self._body_reader.release(context.body)

    async def _send_with_retries(self, context: _RequestContext) -> Answer:
        try:
            async with asyncio.timeout(max(0.0, context.deadline - self._clock())):
                max_body_bytes = self._view.configuration.limits.body_bytes
                context.body = await self._body_reader.load(context.raw, max_body_bytes)
        except TimeoutError:
            context.reason = "the body did not arrive in time"
            return _make_unavailable_response(0.1, close=True)
        except BodyRejectedError as error:
            context.reason = "the body is unreadable or too large"
            return Answer(error.status, [(b"Connection", b"close")])
        if context.deadline <= self._clock():
            context.reason = "the caller's time had passed"
            return _make_unavailable_response(0.1)
        failed_response: ServerAnswer | None = None
        while (
            context.attempts < context.route.max_attempts
            and not context.caller_disconnected
        ):
            context.attempts += 1
            decision, dispatch_client = await self._obtain_server(context)
            if isinstance(decision, Refused):
                context.reason = decision.reason
                self._metrics.count_refused_request(
                    context.service, context.route.priority, decision.reason
                )
                if failed_response is not None:
                    break
                return self._make_failure_response(context, decision.retry_after_s)
            result = await self._send_attempt(context, decision, dispatch_client)
            if isinstance(result, ServerAnswer) and not was_not_run(result):
                if failed_response is not None:
                    failed_response.close()
                if not context.idempotent and result.status in _NOT_RUN_STATUSES:
                    return _replace_unproven_refusal(context, result)
                if result.status < 500 or not context.idempotent:
                    return _make_response(context, result)
                failed_response = result
            elif isinstance(result, SendFailure):
                context.reason = result.detail
                context.may_have_run |= result.may_have_run
                if result.outcome is SendOutcome.TIMEOUT:
                    return Answer(_GATEWAY_TIMEOUT)
                if context.may_have_run and not context.idempotent:
                    return Answer(_BAD_GATEWAY)
            else:
                result.close()
                context.reason = "the server did not run the request"
            if not context.body.replayable:
                break
        if failed_response is not None:
            return _make_response(context, failed_response)
        return self._make_failure_response(context, 0.1)

    def _make_failure_response(
        self, context: _RequestContext, retry_after_s: float
    ) -> Answer:
        """Return the response to a request for which no further attempt is made."""
        if context.may_have_run:
            return Answer(_BAD_GATEWAY)
        return _make_unavailable_response(retry_after_s)

    async def _obtain_server(
        self, context: _RequestContext
    ) -> tuple[DispatchDecision, DispatchClient]:
        """Return a server that nothing known here forbids, or a refusal.

        A leader may choose a server although this instance knows more.
        """
        for _ in range(_MAX_ASSIGNMENTS):
            request = self._make_dispatch_request(context)
            large_response = self._response_sizes.may_be_large(context.route)
            decision, client = await self._dispatcher.decide(request, large_response)
            if isinstance(decision, Refused):
                return decision, client
            if self._view.may_send(decision.server, self._clock()):
                return decision, client
            leaving = self._view.states_leaving(decision.server)
            client.finish(
                SendFinished(
                    decision.number, SendOutcome.WITHDRAWN, 0.0, leaving=leaving
                )
            )
        reason = "servers that were chosen want no requests"
        return Refused(decision.number, _UNWANTED_RETRY_S, reason), client

    def _make_dispatch_request(self, context: _RequestContext) -> DispatchRequest:
        now = self._clock()
        pauses = self._view.list_pauses(now)
        return DispatchRequest(
            0,
            context.service,
            context.metadata.key,
            context.route.priority,
            context.target_at - now,
            context.deadline - now,
            context.attempts,
            context.tried_servers,
            tuple(context.route.home_regions),
            self._data_centre,
            context.body.size + self._response_sizes.estimate(context.route),
            tuple(pauses),
            min(pauses.values(), default=0.0),
        )

    async def _send_attempt(
        self,
        context: _RequestContext,
        decision: Assigned,
        dispatch_client: DispatchClient,
    ) -> ServerAnswer | SendFailure:
        context.tried_servers += (decision.server,)
        context.in_flight = True
        result = None
        sent_at = self._clock()
        try:
            result = await self._send_to_server(context, decision)
            context.sends.append(_describe_send(decision.server, result))
            return result
        finally:
            context.in_flight = False
            finished = self._recorder.record(
                decision.server, decision.number, result, sent_at
            )
            if finished.outcome is SendOutcome.OK:
                streamed = not isinstance(result.body, bytes)
                size_bytes = _get_body_size(result.body)
                self._response_sizes.record(context.route, size_bytes, streamed)
            self._dispatcher.observe_send(decision.server, finished, dispatch_client)
            dispatch_client.finish(finished)

    async def _send_to_server(
        self, context: _RequestContext, decision: Assigned
    ) -> ServerAnswer | SendFailure:
        time_left_s = context.deadline - self._clock()
        raw = context.raw
        head = encode_request_head(
            raw.method,
            raw.raw_path.encode("utf-8", "surrogateescape"),
            raw.headers.get("Host", "").encode("utf-8", "surrogateescape"),
            raw.raw_headers,
            decision.server,
            time_left_s,
            context.body.framing,
        )
        request = ServerRequest(
            raw.method,
            head,
            context.body.content,
            context.metadata.request_id,
            context.idempotent,
            chunked=not context.body.replayable and context.body.content.length is None,
            exclusive=not context.metadata.request_id,
        )
        spec = self._view.get_service(context.service)
        max_connections = (
            spec.max_connections // _CONNECTION_LIMIT_DIVISOR if spec else 0
        )
        result = await self._client.send(
            decision.address, request, max(0.0, time_left_s), max(2, max_connections)
        )
        if isinstance(result, ServerAnswer):
            context.answers.add(result)
        return result

    def _record_response(self, context: _RequestContext, answer: Answer) -> None:
        elapsed_s = self._clock() - context.arrived_at
        self._metrics.observe_request(context.service, answer.status, elapsed_s)
        log_request_line(
            "request answered",
            request=context.metadata.request_id.decode("latin-1"),
            route=context.route.name,
            service=context.service,
            key=context.metadata.key,
            version=self._routes.version,
            status=answer.status,
            attempts=context.attempts,
            servers=context.tried_servers,
            sends=context.sends,
            reason=context.reason,
            time_left_ms=round((context.metadata.time_left_s or 0.0) * 1000),
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    def _reject_unusable_route(
        self, route: Route, metadata: RequestMetadata, version: int
    ) -> Answer:
        """Refuse a request whose route has an invalid definition."""
        log_request_line(
            "request has an unusable route",
            request=metadata.request_id.decode("latin-1"),
            route=route.name,
            version=version,
            status=_SERVICE_UNAVAILABLE,
        )
        return _make_unavailable_response(_UNUSABLE_ROUTE_RETRY_S)

    def _reject_without_route(
        self, raw: BaseRequest, metadata: RequestMetadata, version: int
    ) -> Answer:
        """Answer a request that has no route in the known configuration."""
        age_s = self._get_changes_age()
        answer = Answer(404)
        if age_s > _MAX_NO_ROUTE_AGE_S:
            answer = _make_unavailable_response(_NO_CONFIGURATION_RETRY_S)
        log_request_line(
            "request has no route",
            request=metadata.request_id.decode("latin-1"),
            host=raw.headers.get("Host", "")[:100],
            path=raw.raw_path[:100],
            version=version,
            changes_age_ms=round(age_s * 1000),
            status=answer.status,
        )
        return answer


def _make_unavailable_response(retry_after_s: float, close: bool = False) -> Answer:
    fields = [(b"Retry-After", b"%.3f" % retry_after_s)]
    if close:
        fields.append((b"Connection", b"close"))
    return Answer(_SERVICE_UNAVAILABLE, fields)


def _describe_send(server: str, result: ServerAnswer | SendFailure) -> str:
    """Return what the log tells of one attempt."""
    if isinstance(result, SendFailure):
        return f"{server} {result.outcome}"
    return f"{server} {result.connection} {result.status}"


def _get_body_size(body: bytes | ByteStream) -> int:
    """Return the length of a body in bytes, 0 if it is unknown."""
    return len(body) if isinstance(body, bytes) else body.length or 0


def _replace_unproven_refusal(context: _RequestContext, answer: ServerAnswer) -> Answer:
    """Return a failure that promises nothing, in place of a status that would.

    The server's header fields are left out: its signature belongs to its own status.
    """
    if not isinstance(answer.body, bytes):
        answer.body.close()
    context.reason = f"a server answered {answer.status} and may have run the request"
    return Answer(_BAD_GATEWAY)


def _make_response(context: _RequestContext, answer: ServerAnswer) -> Answer:
    return Answer(
        answer.status, answer.fields, answer.body, answer.length, context.deadline
    )
