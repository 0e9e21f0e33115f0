"""Requests with tokens: at the issuer, or on the way to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.core.hashing import compute_key_hash
from basilwick.core.operations import Begin, StoredAnswer, Token, parse_token
from basilwick.logs import log_request_line
from basilwick.transport.exchange import Answer
from basilwick.transport.handover import decode_handover, encode_handover

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilwick.core.operations import OperationLedger
    from basilwick.core.records import ServiceRecord
    from basilwick.core.routing import Peer, RoutingView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.exchange import Request
    from basilwick.transport.forward import ForwardClient

__all__ = ["OperationPath"]


class OperationPath:
    """Runs an operation with a token at most once.

    Parameters
    ----------
    view : RoutingView
        Control decisions.
    clock : callable
        Local monotonic clock in seconds.
    ledger : OperationLedger
        Decides whether an operation runs.
    forwards : ForwardClient
        Way to other issuers.
    route : callable
        Sends a request to its owner.
    """

    def __init__(
        self,
        view: RoutingView,
        clock: Callable[[], MonotonicSeconds],
        ledger: OperationLedger,
        forwards: ForwardClient,
        route: Callable[[Request, ServiceRecord, bool], Awaitable[Answer | Refusal]],
    ):
        self.ledger = ledger
        self._view = view
        self._clock = clock
        self._forwards = forwards
        self._route = route
        self._tasks: dict[Token, asyncio.Task[Answer | Refusal]] = {}

    async def close(self) -> None:
        """Cancel the operations that still run."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def adopt(self, body: bytes) -> bool:
        """Take over an encoded ledger; False when it cannot be taken."""
        try:
            books = decode_handover(body)
        except ValueError as error:
            logger.warning("ledger of a leaving instance refused: {}", error)
            return False
        results = [self.ledger.adopt(book, self._clock()) for book in books]
        return all(results)

    async def hand_over(self, successor: Peer | None, timeout_s: float) -> bool:
        """End running operations, then give the ledger to the successor.

        Parameters
        ----------
        successor : Peer or None
            Instance that was announced; without one the ledger ends.
        timeout_s : float
            Longest time in seconds for the running operations and the message.
        """
        self.ledger.stop()
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s / 2)
        books = self.ledger.hand_over(self._clock())
        if successor is None:
            return False
        acknowledged = await self._forwards.hand_over(
            successor, encode_handover(books), timeout_s / 2
        )
        logger.info(
            "ledger handed over successor={} operations={} acknowledged={}",
            successor.name,
            sum(len(book.entries) for book in books),
            acknowledged,
        )
        return acknowledged

    async def handle(
        self, request: Request, service: ServiceRecord
    ) -> Answer | Refusal:
        """Answer a request with a token."""
        token = parse_token(request.token)
        if token is None:
            return make_refusal(ErrorKind.TOKEN_INVALID, "the token cannot be read")
        if self.ledger.holds(token):
            return await self._run_or_join(request, service, token)
        holder = self._find_holder(token) if request.hops == 0 else None
        if holder is None:
            return make_refusal(
                ErrorKind.TOKEN_SUPERSEDED,
                f"instance {token.issuer!r} that issued the token is gone",
            )
        # The operation may have run at an earlier request with this token, of which
        # only the issuer knows, so nothing but its word means "not run".
        request.unresolved_attempts += 1
        result = await self._forwards.send(holder, request)
        if isinstance(result, Refusal):
            if result.kind in (ErrorKind.CONNECTION_LOST, ErrorKind.DEADLINE_EXCEEDED):
                return evolve(result, outcome=Outcome.UNKNOWN)
            request.unresolved_attempts -= 1
        return result

    def _find_holder(self, token: Token) -> Peer | None:
        peer = self._view.find_peer(token.issuer)
        if peer is not None and peer.incarnation == token.incarnation:
            return peer
        return self._view.find_successor(token.issuer, token.incarnation)

    async def _run_or_join(
        self, request: Request, service: ServiceRecord, token: Token
    ) -> Answer | Refusal:
        key_hash = compute_key_hash(request.service, request.key)
        decision = self.ledger.begin(token, key_hash, self._clock())
        log_request_line(
            "token decided",
            result=decision.value if isinstance(decision, Begin) else "repeated",
            service=request.service,
            issuer=token.issuer,
            sequence=token.sequence,
        )
        if isinstance(decision, Refusal):
            return decision
        if isinstance(decision, StoredAnswer):
            return _restore(decision)
        if decision is Begin.RUN:
            # A task of its own: the operation goes on when this caller leaves, and
            # its answer is kept for the repeat.
            task = asyncio.create_task(self._run(request, service, token))
            self._tasks[token] = task
            task.add_done_callback(lambda _: self._tasks.pop(token, None))
            try:
                return await asyncio.shield(task)
            except asyncio.CancelledError:
                task.add_done_callback(_close_unread)
                raise
        # The operation runs already, so nothing that ends this wait means "not run".
        request.unresolved_attempts += 1
        result = await asyncio.shield(self._tasks[token])
        if isinstance(result, Answer) and not isinstance(result.body, bytes):
            return make_refusal(
                ErrorKind.TOKEN_EVICTED, "the answer is too large for repeats"
            )
        return result

    async def _run(
        self, request: Request, service: ServiceRecord, token: Token
    ) -> Answer | Refusal:
        request.ledger_checked = True
        result: Answer | Refusal = make_refusal(
            ErrorKind.CONNECTION_LOST, "the instance stopped while the operation ran"
        )
        try:
            async with asyncio.timeout(max(0.0, request.deadline - self._clock())):
                result = await self._route(request, service, True)
        except TimeoutError:
            result = make_refusal(
                ErrorKind.DEADLINE_EXCEEDED, "the operation took too long"
            )
        finally:
            if isinstance(result, Refusal):
                result = request.resolve_outcome(result)
            if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
                self.ledger.release(token)
            else:
                self.ledger.finish(token, _store(result), self._clock())
        return result


def _store(result: Answer | Refusal) -> StoredAnswer | Refusal:
    if isinstance(result, Refusal):
        return result
    if not isinstance(result.body, bytes):
        return make_refusal(ErrorKind.TOKEN_EVICTED, "the answer was too large to keep")
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in result.fields
    )
    return StoredAnswer(result.status, fields, result.body)


def _restore(stored: StoredAnswer) -> Answer:
    fields = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in stored.headers
    ]
    return Answer(stored.status, fields, stored.body)


def _close_unread(task: asyncio.Task[Answer | Refusal]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, Answer) and not isinstance(result.body, bytes):
        result.body.close()
