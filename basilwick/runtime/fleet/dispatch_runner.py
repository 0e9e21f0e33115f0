"""Runs a dispatcher: accepts dispatch requests and delivers the decisions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, TypeAlias

from basilwick.core.dispatch.messages import Refused
from basilwick.runtime.fleet.loops import run_periodically

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    from basilwick.core.dispatch.dispatcher import DispatchDecision, Dispatcher
    from basilwick.core.dispatch.messages import (
        DispatchRequest,
        LeavingReport,
        RateLimitReport,
        SendFinished,
    )
    from basilwick.core.types import MonotonicSeconds

__all__ = ["DispatchRunner", "DispatchClient", "LocalDispatchClient"]

#: Interval in seconds at which the dispatcher decides on waiting requests.
_ADVANCE_INTERVAL_S = 0.02

#: Peer and number of a request.
_RequestId: TypeAlias = "tuple[Hashable, int]"


class DispatchClient(Protocol):
    """Interface through which an instance requests decisions of a dispatcher."""

    def submit(
        self, request: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Request a decision; `reply` gets None if the dispatcher is unreachable."""

    def finish(self, finished: SendFinished) -> None:
        """Report the outcome of a send."""

    def cancel(self, number: int) -> None:
        """Withdraw a dispatch request, or the send that was assigned to it."""


class DispatchRunner:
    """Runs a dispatcher for this instance and, on the leader, for the linked ones.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions.
    clock : callable
        Local clock in seconds.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], MonotonicSeconds]):
        self.dispatcher = dispatcher
        self._clock = clock
        self._replies: dict[Hashable, Callable[[DispatchDecision | None], None]] = {}
        #: Requests of each peer that wait or were assigned and have not ended.
        self._request_ids: dict[Hashable, set[_RequestId]] = {}
        #: Set when a request has to wait for its decision.
        self._has_waiting = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start deciding on waiting requests."""
        self._task = asyncio.create_task(
            run_periodically(
                "dispatch", _ADVANCE_INTERVAL_S, self._advance_when_waiting
            )
        )

    async def close(self) -> None:
        """Stop; the waiting requests get None instead of a decision."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._request_ids.clear()
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(None)

    def submit(
        self,
        peer: Hashable,
        request: DispatchRequest,
        reply: Callable[[DispatchDecision | None], None],
    ) -> None:
        """Accept a dispatch request of a peer."""
        request_id = (peer, request.number)
        self._request_ids.setdefault(peer, set()).add(request_id)
        self._replies[request_id] = reply
        decision = self.dispatcher.submit(request_id, request, self._clock())
        if decision is None:
            self._has_waiting.set()
        else:
            self._deliver([(request_id, decision)])

    def finish(self, peer: Hashable, finished: SendFinished) -> None:
        """Record the outcome of a peer's send."""
        request_id = (peer, finished.number)
        self._forget(request_id)
        self._deliver(self.dispatcher.finish(request_id, finished, self._clock()))

    def record_rate_limit(self, report: RateLimitReport) -> None:
        """Record the rate limit of a server that a peer knows."""
        self.dispatcher.record_rate_limit(report, self._clock())

    def record_leaving(self, report: LeavingReport) -> None:
        """Record a server that a peer knows to leave."""
        self.dispatcher.record_leaving(report)

    def cancel(self, peer: Hashable, number: int) -> None:
        """Withdraw a dispatch request or a send of a peer."""
        request_id = (peer, number)
        self._forget(request_id)
        self._replies.pop(request_id, None)
        self._deliver(self.dispatcher.cancel(request_id, self._clock()))

    def remove_peer(self, peer: Hashable) -> None:
        """Withdraw all dispatch requests and sends of a disconnected peer."""
        for request_id in self._request_ids.pop(peer, set()):
            self._replies.pop(request_id, None)
            self._deliver(self.dispatcher.cancel(request_id, self._clock()))

    def advance(self) -> None:
        """Decide on waiting requests now."""
        self._deliver(self.dispatcher.advance(self._clock()))

    def _forget(self, request_id: _RequestId) -> None:
        """Remove a request that has ended."""
        peer = request_id[0]
        request_ids = self._request_ids.get(peer)
        if request_ids is None:
            return
        request_ids.discard(request_id)
        if not request_ids:
            del self._request_ids[peer]

    def _deliver(
        self, decisions: Iterable[tuple[_RequestId, DispatchDecision]]
    ) -> None:
        for request_id, decision in decisions:
            if isinstance(decision, Refused):
                # No end of a refused request is reported.
                self._forget(request_id)
            reply = self._replies.pop(request_id, None)
            if reply is not None:
                reply(decision)

    async def _advance_when_waiting(self) -> None:
        # An instance with no waiting requests sleeps instead of polling.
        if not self._replies:
            self._has_waiting.clear()
        await self._has_waiting.wait()
        self.advance()


class LocalDispatchClient:
    """Dispatch client of a runner in the same process.

    Parameters
    ----------
    runner : DispatchRunner
        Makes the decisions.
    peer : hashable
        Name of the client, which keeps its requests apart from those of other peers.
    """

    def __init__(self, runner: DispatchRunner, peer: Hashable):
        self.runner = runner
        self._peer = peer

    def submit(
        self, request: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Request a decision."""
        self.runner.submit(self._peer, request, reply)

    def finish(self, finished: SendFinished) -> None:
        """Report the outcome of a send."""
        self.runner.finish(self._peer, finished)

    def cancel(self, number: int) -> None:
        """Withdraw a dispatch request, or the send that was assigned to it."""
        self.runner.cancel(self._peer, number)
