"""The way of a request from the listener to a backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.core.hashing import compute_key_hash, rank_candidates
from basilwick.core.retries import RetryPolicy
from basilwick.core.server_limiter import RequestResult, ResultKind, Ticket
from basilwick.logs import log_request_line
from basilwick.runtime.operation_path import OperationPath
from basilwick.runtime.send_right import SendRight
from basilwick.runtime.server_limits import HedgeSlot, ServerLimits
from basilwick.transport.answer_stream import AnswerStream
from basilwick.transport.backend import BackendClient
from basilwick.transport.exchange import Answer
from basilwick.transport.forward import ForwardClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from basilwick.core.operations import OperationLedger
    from basilwick.core.records import ServiceRecord
    from basilwick.core.routing import Location, Peer, RoutingView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import Metrics
    from basilwick.transport.exchange import Request

__all__ = ["RequestPath"]

#: Interval in seconds at which held requests look for a change.
_HOLD_INTERVAL_S = 0.01
#: Requests held for a shard without an active owner; each keeps a connection and up to
#: 64 KB of body.
_HOLD_BOUND = 1024
#: Time in seconds before a server that refused a connection is tried again.
_RECONNECT_DELAY_S = 0.1
_MAX_HOPS = 2
_REFRESH_INTERVAL_S = 0.5
_NEUTRAL = RequestResult(ResultKind.NEUTRAL)


class RequestPath:
    """Routes requests and sends those of the servers it is the gateway of.

    Parameters
    ----------
    view : RoutingView
        Control decisions.
    clock : callable
        Local monotonic clock in seconds.
    rng : random.Random
        Source of jitter.
    ledger : OperationLedger
        At-most-once ledger of this instance.
    metrics : Metrics
        Counters of the instance.
    shared_key : str
        Key of the forward ports.
    """

    def __init__(
        self,
        view: RoutingView,
        clock: Callable[[], MonotonicSeconds],
        rng: Random,
        ledger: OperationLedger,
        metrics: Metrics,
        shared_key: str,
    ):
        self.view = view
        self.clock = clock
        self._rng = rng
        self._metrics = metrics
        self.limits = ServerLimits(clock, metrics)
        self.backends = BackendClient(
            clock,
            view.record_result,
            self.limits.observe_incarnation,
            lambda service: metrics.silent_connections.labels(service).inc(),
        )
        self.forwards = ForwardClient(clock, shared_key)
        self.operations = OperationPath(view, clock, ledger, self.forwards, self.route)
        # Looking a child up by its labels costs more than counting.
        self._to_gateway = metrics.forwards.labels("gateway")
        self._to_next_gateway = metrics.forwards.labels("next_gateway")
        self._policies: dict[str, RetryPolicy] = {}
        self._held = 0
        self._change: asyncio.Future[None] | None = None
        self._refresh_task: asyncio.Task[None] | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.view.ready

    async def start(self) -> None:
        """Start the periodic update of limits."""
        await self.backends.start()
        await self.forwards.start()
        self._refresh_task = asyncio.create_task(self._refresh())

    async def close(self) -> None:
        """Close all connections."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
        await self.operations.close()
        await self.backends.close()
        await self.forwards.close()

    def get_default_deadline_ms(self, service: str) -> int | None:
        """Return the deadline of requests that name none."""
        record = self.view.get_service(service)
        return None if record is None else record.default_deadline_ms

    def issue_token(self, service: str, key: str) -> str | Refusal:
        """Return a token for an at-most-once operation."""
        if self.view.get_service(service) is None:
            return make_refusal(
                ErrorKind.UNKNOWN_SERVICE, f"no service {service[:100]!r}"
            )
        return self.operations.ledger.issue(compute_key_hash(service, key))

    def adopt_ledger(self, body: bytes) -> bool:
        """Take over the ledger of a leaving instance."""
        return self.operations.adopt(body)

    async def handle(self, request: Request) -> Answer | Refusal:
        """Answer a request, or refuse it."""
        service = self.view.get_service(request.service)
        if service is None:
            return make_refusal(
                ErrorKind.UNKNOWN_SERVICE, f"no service {request.service[:100]!r}"
            )
        started_at = self.clock()
        if request.token is not None and not request.ledger_checked:
            result = await self.operations.handle(request, service)
        else:
            result = await self.route(request, service, request.hops == 0)
        if request.hops == 0:
            self._metrics.observe_request(
                service.name,
                request.operation.value,
                result.kind.value if isinstance(result, Refusal) else "ok",
                self.clock() - started_at,
            )
        return result

    async def route(
        self, request: Request, service: ServiceRecord, may_retry: bool
    ) -> Answer | Refusal:
        """Send a request to its owner, directly or through the owner's gateway.

        Only the first instance on the way sends again, so that the layers do not
        multiply each other's retries.
        """
        policy = self._policies.get(service.name)
        if policy is None:
            policy = self._policies[service.name] = RetryPolicy()
        if may_retry:
            policy.record_request()
        attempt = 0
        while True:
            attempt += 1
            result = await self._route_once(request, service, policy)
            if not isinstance(result, Refusal) or not may_retry:
                return result
            if not request.replayable:
                return result
            # An earlier attempt without an answer may have run.
            delay_s = policy.plan_retry(
                request.resolve_outcome(result),
                request.idempotent,
                attempt,
                request.deadline,
                self.clock(),
                self._rng,
            )
            if delay_s is None:
                return result
            self._metrics.retries.labels(service.name, "sent").inc()
            await asyncio.sleep(delay_s)

    async def _route_once(
        self, request: Request, service: ServiceRecord, policy: RetryPolicy
    ) -> Answer | Refusal:
        while True:
            location = await self._find_owner(request, service)
            if isinstance(location, Refusal):
                return location
            gateway = self._choose_gateway(request, location)
            if isinstance(gateway, Refusal):
                return gateway
            if gateway.name != self.view.self_peer.name:
                self._log(location, request, gateway.name, "forwarded")
                self._to_gateway.inc()
                result = await self.forwards.send(gateway, request)
                if not isinstance(result, Refusal):
                    return result
                if result.kind in (
                    ErrorKind.CONNECTION_LOST,
                    ErrorKind.NO_PERMISSION,
                    ErrorKind.SHUTTING_DOWN,
                ):
                    request.unreachable += (gateway.name,)
                if not _was_unreachable(result):
                    return result
                # Nothing was sent, so the next gateway needs no retry budget.
                self._to_next_gateway.inc()
                continue
            result = await self._serve(request, service, location, policy)
            if result is not None:
                return result

    async def _find_owner(
        self, request: Request, service: ServiceRecord
    ) -> Location | Refusal:
        while True:
            location = self.view.locate(service, request.key, self.clock())
            if isinstance(location, Refusal):
                refusal = location
                if refusal.kind is not ErrorKind.NO_OWNER:
                    return refusal
            elif location.owner is not None:
                return location
            else:
                refusal = make_refusal(
                    ErrorKind.NO_OWNER, f"shard {location.shard} has no live owner"
                )
            held = await self._hold(request)
            if held is not None:
                return held if held.kind is ErrorKind.OVERLOADED else refusal

    def _choose_gateway(self, request: Request, location: Location) -> Peer | Refusal:
        own = self.view.self_peer
        gateway = location.gateway
        is_home = location.home == own.data_centre
        if request.hops >= _MAX_HOPS:
            # Any instance of the home data centre may send: permission and fence, not
            # the choice of gateway, keep one owner per key.
            if is_home:
                return own
            return make_refusal(
                ErrorKind.CUT_OFF, f"forwarded twice, but not to {location.home!r}"
            )
        if gateway is not None and gateway.name not in request.unreachable:
            return gateway
        peers = {
            peer.name: peer
            for peer in self.view.list_peers(location.home)
            if peer.name not in request.unreachable
        }
        if is_home:
            peers[own.name] = own
        if not peers:
            return make_refusal(
                ErrorKind.CUT_OFF, f"no instance of {location.home!r} can be reached"
            )
        return peers[rank_candidates(f"gateway\0{location.owner.name}", peers)[0]]

    async def _serve(
        self,
        request: Request,
        service: ServiceRecord,
        location: Location,
        policy: RetryPolicy,
    ) -> Answer | Refusal | None:
        """Send to the owner; None when the request must be routed again."""
        now = self.clock()
        if location.active_at > now:
            # The time can still be brought forward by a confirmed revocation, so the
            # location is looked up again meanwhile.
            return await self._hold(request, min(location.active_at, now + 0.05))
        owner = location.owner
        ticket = await self.limits.acquire(owner, request)
        if isinstance(ticket, Refusal):
            self._log(location, request, owner.name, ticket.kind.value)
            return ticket
        self.view.record_request(location, self.clock())
        right = SendRight(self.view, self.clock, request, service, location)
        result = _NEUTRAL
        answer = None
        try:
            attempt = await self.backends.send(
                owner,
                request,
                right.authorize,
                right.keep_sending,
                HedgeSlot(self.limits, owner, ticket, policy, self._metrics),
            )
            answer, result = attempt.answer, attempt.result
        except asyncio.CancelledError:
            result = RequestResult(ResultKind.NEUTRAL, self.clock() - ticket.started_at)
            raise
        finally:
            if isinstance(answer, Answer) and isinstance(answer.body, AnswerStream):
                # The server works on a streamed answer until its end, so the slot
                # stays taken.
                answer.body.on_end = lambda: self._finish(location, ticket, result)
            else:
                self._finish(location, ticket, result)
        if not isinstance(answer, Refusal):
            self._log(location, request, owner.name, "sent")
            return answer
        self._log(location, request, owner.name, answer.kind.value)
        if right.moved and request.replayable:
            return None
        if _was_unreachable(answer) and request.replayable:
            # The server is gone, or restarts: hold until its keys have moved.
            until = self.clock() + _RECONNECT_DELAY_S * (0.5 + self._rng.random())
            return await self._hold(request, until)
        return answer

    def _finish(
        self, location: Location, ticket: Ticket, result: RequestResult
    ) -> None:
        self.limits.finish(location.owner, ticket, result)
        self.view.record_finish(location)

    async def _hold(self, request: Request, until: float = 0.0) -> Refusal | None:
        """Wait for a time or the next look at the control decisions.

        Returns a refusal when too many requests wait or no time is left.
        """
        if self._held >= _HOLD_BOUND:
            return make_refusal(
                ErrorKind.OVERLOADED,
                f"{_HOLD_BOUND} requests wait for their shards",
                retry_after_s=_RECONNECT_DELAY_S,
            )
        self._held += 1
        try:
            while True:
                if self.clock() + 2 * _HOLD_INTERVAL_S >= request.deadline:
                    return make_refusal(
                        ErrorKind.DEADLINE_EXCEEDED,
                        "the shard did not become active before the deadline",
                    )
                if self._change is None:
                    loop = asyncio.get_running_loop()
                    self._change = loop.create_future()
                    loop.call_later(_HOLD_INTERVAL_S, self._signal_change)
                await asyncio.shield(self._change)
                if self.clock() >= until:
                    return None
        finally:
            self._held -= 1

    def _signal_change(self) -> None:
        change, self._change = self._change, None
        change.set_result(None)

    def _log(
        self, location: Location, request: Request, target: str, reason: str
    ) -> None:
        log_request_line(
            "request routed",
            result=reason,
            service=request.service,
            shard=location.shard,
            generation=location.generation,
            fence=location.fence,
            target=target,
            hops=request.hops,
        )

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(_REFRESH_INTERVAL_S)
            served = [record.name for record in self.view.list_served()]
            for name in self.limits.refresh(served):
                self.backends.remove_server(name)
            self.forwards.drop_unused()
            self._metrics.ledger_entries.set(len(self.operations.ledger))


def _was_unreachable(refusal: Refusal) -> bool:
    return (
        refusal.kind is ErrorKind.CONNECTION_LOST and refusal.outcome is Outcome.NOT_RUN
    )
