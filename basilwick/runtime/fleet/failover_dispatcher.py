"""Chooses whom an instance asks where a request goes."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from attrs import evolve

from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import Assigned, Refused
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner, LocalDispatchClient

if TYPE_CHECKING:
    from basilwick.core.dispatch.dispatcher import DispatchDecision
    from basilwick.core.dispatch.messages import DispatchRequest
    from basilwick.core.types import MonotonicSeconds, ServiceName
    from basilwick.runtime.fleet.dispatch_runner import DispatchClient
    from basilwick.runtime.fleet.leader_election import StoredState
    from basilwick.runtime.fleet.leader_links import LeaderLink

__all__ = ["FailoverDispatcher", "StoredOwners"]

#: Time in seconds added to a request's own for the leader's refusal to arrive.
_REPLY_SLACK_S = 0.05
#: Time in seconds after which a caller of a stopping instance comes back; another
#: instance takes its new connection.
_STOPPING_RETRY_S = 0.05


class StoredOwners:
    """Owners of keys as the leader last stored them."""

    def __init__(self, state: StoredState):
        self._state = state

    def find_owner(
        self, service: ServiceName, key: int, now: MonotonicSeconds
    ) -> KeyOwner:
        """Return the stored owner of a key."""
        table = self._state.tables.get(service)
        if table is None:
            return KeyOwner(None)
        return KeyOwner(table.find(key).owner)


class FailoverDispatcher:
    """Asks the leader, or decides with a safe share while it can't be reached.

    Parameters
    ----------
    link : LeaderLink
        Link to the leader.
    fallback : Desk
        Decides without the leader.
    """

    def __init__(self, link: LeaderLink, fallback: DispatchRunner):
        self._link = link
        self._fallback = LocalDispatchClient(fallback, "self")
        self._own: LocalDispatchClient | None = None
        self._numbers = count(1)
        self._waiting: dict[int, asyncio.Future[DispatchDecision | None]] = {}
        self._refusing = False

    def refuse_waiting(self) -> None:
        """Refuse requests that wait for a server, and all later ones, at once."""
        self._refusing = True
        for number, future in self._waiting.items():
            if not future.done():
                future.set_result(_refuse_at_stop(number))

    def set_leader_runner(self, runner: DispatchRunner | None) -> None:
        """Decide with the desk of the leader, which this instance is, or was."""
        self._own = None if runner is None else LocalDispatchClient(runner, "self")

    async def decide(
        self, ask: DispatchRequest
    ) -> tuple[DispatchDecision, DispatchClient]:
        """Return the decision on a request, and where its end is reported."""
        ask = evolve(ask, number=next(self._numbers))
        port = self._choose_port()
        if self._refusing:
            return _refuse_at_stop(ask.number), port
        decision = await self._ask(port, ask)
        if decision is None and port is not self._fallback:
            port = self._fallback
            decision = await self._ask(port, ask)
        if decision is None:
            decision = Refused(ask.number, 0.1, "no decision in time")
        return decision, port

    def _choose_port(self) -> DispatchClient:
        if self._own is not None:
            return self._own
        if self._link.alive:
            return self._link
        self._fallback.runner.dispatcher.share.warm_up_fraction = 1.0 / max(
            8, self._link.instances
        )
        return self._fallback

    async def _ask(
        self, port: DispatchClient, ask: DispatchRequest
    ) -> DispatchDecision | None:
        future: asyncio.Future[DispatchDecision | None] = (
            asyncio.get_running_loop().create_future()
        )

        def reply(decision: DispatchDecision | None) -> None:
            if not future.done():
                future.set_result(decision)
            elif isinstance(decision, Assigned):
                port.cancel(ask.number)

        self._waiting[ask.number] = future
        port.submit(ask, reply)
        try:
            async with asyncio.timeout(ask.time_left_s + _REPLY_SLACK_S):
                decision = await future
            if self._refusing and isinstance(decision, Refused):
                port.cancel(ask.number)
            return decision
        except TimeoutError:
            port.cancel(ask.number)
            return Refused(ask.number, 0.1, "no decision in time")
        except asyncio.CancelledError:
            port.cancel(ask.number)
            raise
        finally:
            del self._waiting[ask.number]


def _refuse_at_stop(number: int) -> Refused:
    return Refused(number, _STOPPING_RETRY_S, "the instance is stopping")
