"""Requests decisions of the leader, with a local dispatcher as the fallback."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from attrs import evolve

from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import Assigned, Refused
from basilwick.runtime.fleet.dispatch_runner import DispatchRunner, LocalDispatchClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.dispatcher import DispatchDecision
    from basilwick.core.dispatch.messages import DispatchRequest, SendFinished
    from basilwick.core.dispatch.stop_admission import StopAdmission
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName
    from basilwick.runtime.fleet.dispatch_runner import DispatchClient
    from basilwick.runtime.fleet.leader_links import LeaderLink
    from basilwick.runtime.fleet.stored_state import StoredState

__all__ = ["FailoverDispatcher", "StoredOwners"]

#: Time in seconds beyond a request's deadline in which the leader's refusal may arrive.
_REPLY_GRACE_S = 0.05
#: Retry-After in seconds of an instance that is stopping. The caller's new connection
#: goes to another instance.
_STOPPING_RETRY_S = 0.05


class StoredOwners:
    """Owners of keys as the leader last stored them in the platform's service."""

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
    """Obtains decisions from the leader, or from a fallback while it is unreachable.

    The fallback uses only a share of the servers' capacity, which stays safe although
    the instances don't coordinate.

    Parameters
    ----------
    link : LeaderLink
        Link to the leader.
    fallback : DispatchRunner
        Makes the decisions without the leader.
    clock : callable
        Local clock in seconds.
    """

    def __init__(
        self,
        link: LeaderLink,
        fallback: DispatchRunner,
        clock: Callable[[], MonotonicSeconds],
    ):
        self._link = link
        self._fallback = LocalDispatchClient(fallback, "self")
        self._leader_client: LocalDispatchClient | None = None
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[DispatchDecision | None]] = {}
        self._stopping = False
        self._clock = clock
        #: Decides on requests once the instance stops.
        self._stop_admission: StopAdmission | None = None

    def begin_stop(self, admission: StopAdmission) -> None:
        """Refuse from now on what a stopping instance does not accept."""
        self._stop_admission = admission

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for a server, and all later ones."""
        self._stopping = True
        for number, future in self._pending.items():
            if not future.done():
                future.set_result(_make_stopping_refusal(number))

    def set_leader_runner(self, runner: DispatchRunner | None) -> None:
        """Set the runner to use while this instance leads, None when it stops."""
        self._leader_client = (
            None if runner is None else LocalDispatchClient(runner, "self")
        )

    async def decide(
        self, request: DispatchRequest, large_response: bool = False
    ) -> tuple[DispatchDecision, DispatchClient]:
        """Return the decision and the client that the outcome is reported to.

        Parameters
        ----------
        large_response : bool, default=False
            Whether the response may be too large to be buffered.
        """
        request = evolve(request, number=next(self._numbers))
        client = self._choose_client()
        if self._stopping or not self._accepts(request, large_response):
            return _make_stopping_refusal(request.number), client
        decision = await self._submit(client, request)
        if decision is None and client is not self._fallback:
            client = self._fallback
            decision = await self._submit(client, request)
        if decision is None:
            decision = Refused(request.number, 0.1, "no decision in time")
        return decision, client

    def observe_send(
        self, server: ServerName, finished: SendFinished, client: DispatchClient
    ) -> None:
        """Keep the load that a server stated for the fallback's later decisions.

        Parameters
        ----------
        client : DispatchClient
            Client of the dispatcher that chose the server; the fallback learns the end
            of its own sends without this.
        """
        report = finished.load_report
        if report is None or client is self._fallback:
            return
        load = self._fallback.runner.dispatcher.get_load(server)
        load.observe(finished.outcome, finished.latency_s, self._clock(), report)

    def _accepts(self, request: DispatchRequest, large_response: bool) -> bool:
        """Return whether the request can be answered before the instance ends."""
        if self._stop_admission is None:
            return True
        now = self._clock()
        deadline = now + request.time_left_s
        return self._stop_admission.accepts(now, deadline, large_response)

    def _choose_client(self) -> DispatchClient:
        if self._leader_client is not None:
            return self._leader_client
        if self._link.alive:
            return self._link
        self._fallback.runner.dispatcher.share.rate_fraction = 1.0 / max(
            8, self._link.instance_count
        )
        return self._fallback

    async def _submit(
        self, client: DispatchClient, request: DispatchRequest
    ) -> DispatchDecision | None:
        future: asyncio.Future[DispatchDecision | None] = (
            asyncio.get_running_loop().create_future()
        )

        def reply(decision: DispatchDecision | None) -> None:
            if not future.done():
                future.set_result(decision)
            elif isinstance(decision, Assigned):
                client.cancel(request.number)

        self._pending[request.number] = future
        client.submit(request, reply)
        try:
            async with asyncio.timeout(request.time_left_s + _REPLY_GRACE_S):
                decision = await future
            if self._stopping and isinstance(decision, Refused):
                client.cancel(request.number)
            return decision
        except TimeoutError:
            client.cancel(request.number)
            return Refused(request.number, 0.1, "no decision in time")
        except asyncio.CancelledError:
            client.cancel(request.number)
            raise
        finally:
            del self._pending[request.number]


def _make_stopping_refusal(number: int) -> Refused:
    return Refused(number, _STOPPING_RETRY_S, "the instance is stopping")
