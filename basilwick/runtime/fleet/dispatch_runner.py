"""Runs a dispatcher: takes asks, passes on decisions as they come."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from basilwick.runtime.fleet.loops import run_periodically

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    from basilwick.core.dispatch.dispatcher import DispatchDecision, Dispatcher
    from basilwick.core.dispatch.messages import DispatchRequest, SendFinished
    from basilwick.core.types import MonotonicSeconds

__all__ = ["DispatchRunner", "DispatchClient", "LocalDispatchClient"]

#: Interval in seconds at which waiting requests are looked at.
_INTERVAL_S = 0.02


class DispatchClient(Protocol):
    """Where an instance asks for servers."""

    def submit(
        self, ask: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Ask; the reply is None if the port was lost."""

    def finish(self, done: SendFinished) -> None:
        """Report the end of a send."""

    def cancel(self, number: int) -> None:
        """Withdraw an ask."""


class DispatchRunner:
    """Connects a dispatcher with those who ask it.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides.
    clock : callable
        Local clock in seconds.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], MonotonicSeconds]):
        self.dispatcher = dispatcher
        self._clock = clock
        self._replies: dict[Hashable, Callable[[DispatchDecision | None], None]] = {}
        self._peers: dict[Hashable, set[Hashable]] = {}
        #: Set while requests wait for a decision.
        self._waiting = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look at waiting requests."""
        self._task = asyncio.create_task(
            run_periodically("dispatch", _INTERVAL_S, self._look)
        )

    async def close(self) -> None:
        """Stop; those who wait get no decision."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(None)

    def submit(
        self,
        peer: Hashable,
        ask: DispatchRequest,
        reply: Callable[[DispatchDecision | None], None],
    ) -> None:
        """Take an ask of a peer."""
        request_id = (peer, ask.number)
        self._peers.setdefault(peer, set()).add(request_id)
        self._replies[request_id] = reply
        decision = self.dispatcher.submit(request_id, ask, self._clock())
        if decision is None:
            self._waiting.set()
        else:
            self._deliver([(request_id, decision)])

    def finish(self, peer: Hashable, done: SendFinished) -> None:
        """Take the end of a peer's send."""
        request_id = (peer, done.number)
        self._peers.get(peer, set()).discard(request_id)
        self._deliver(self.dispatcher.finish(request_id, done, self._clock()))

    def cancel(self, peer: Hashable, number: int) -> None:
        """Withdraw an ask or a send of a peer."""
        request_id = (peer, number)
        self._peers.get(peer, set()).discard(request_id)
        self._replies.pop(request_id, None)
        self._deliver(self.dispatcher.cancel(request_id, self._clock()))

    def remove_peer(self, peer: Hashable) -> None:
        """Withdraw all asks and sends of a peer that is gone."""
        for request_id in self._peers.pop(peer, set()):
            self._replies.pop(request_id, None)
            self._deliver(self.dispatcher.cancel(request_id, self._clock()))

    def advance(self) -> None:
        """Decide on waiting requests now."""
        self._deliver(self.dispatcher.advance(self._clock()))

    def _deliver(self, decisions: Iterable[tuple[Hashable, DispatchDecision]]) -> None:
        for request_id, decision in decisions:
            reply = self._replies.pop(request_id, None)
            if reply is not None:
                reply(decision)

    async def _look(self) -> None:
        # An instance that decides nothing by itself is not woken up.
        if not self._replies:
            self._waiting.clear()
        await self._waiting.wait()
        self.advance()


class LocalDispatchClient:
    """A desk as one of its peers sees it.

    Parameters
    ----------
    desk : Desk
        Decides.
    peer : hashable
        Who asks.
    """

    def __init__(self, runner: DispatchRunner, peer: Hashable):
        self.runner = runner
        self._peer = peer

    def submit(
        self, ask: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Ask."""
        self.runner.submit(self._peer, ask, reply)

    def finish(self, done: SendFinished) -> None:
        """Report the end of a send."""
        self.runner.finish(self._peer, done)

    def cancel(self, number: int) -> None:
        """Withdraw an ask."""
        self.runner.cancel(self._peer, number)
