"""Carries out the actions of the control decisions and reports their results."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.configuration import DOCUMENT_PREFIXES
from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.events import (
    ChangesFetched,
    CompareAndSwap,
    FetchChanges,
    GetGrants,
    GrantsAnswered,
    LeaveRequested,
    MessageReceived,
    PlatformAnswered,
    ProbeAnswered,
    ProbeServer,
    PutGrants,
    ReadPlatform,
    SendMessage,
    Tick,
    WatchPlatform,
    WriteAnswered,
)
from basilwick.core.messages import Heartbeat
from basilwick.core.timing import TICK_INTERVAL_S
from basilwick.platform.service import Committed, Conflict
from basilwick.transport.peers import PeerLinks, PeerServer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random
    from typing import Any

    from basilwick.core.control import ControlNode
    from basilwick.core.events import Action, Event
    from basilwick.core.messages import Message
    from basilwick.platform.service import PlatformService
    from basilwick.runtime.server_calls import ServerCalls

__all__ = ["ControlLoop"]

#: Idle links and finished tasks are looked for once in this many ticks.
_SWEEP_TICKS = 100


class ControlLoop:
    """Runs a control node: timers, control connections and platform calls.

    Parameters
    ----------
    node : ControlNode
        Decisions of the instance.
    platform : PlatformService
        The platform's key-value service.
    servers : ServerCalls
        Carries out calls to backend servers that are not requests.
    shared_key : str
        Key of the peer port.
    rng : random.Random
        Source of the decisions' random choices.
    clock : callable, optional
        Local monotonic clock in seconds.
    record : callable, optional
        Takes every event with its local time, for a replay.

    Attributes
    ----------
    ready : asyncio.Event
        Set once the node is ready.
    """

    def __init__(
        self,
        node: ControlNode,
        platform: PlatformService,
        servers: ServerCalls,
        shared_key: str,
        rng: Random,
        clock: Callable[[], float] = monotonic,
        record: Callable[[Event, float], None] | None = None,
    ):
        self.node = node
        self._platform = platform
        self._servers = servers
        self._rng = rng
        self._clock = clock
        self._record = record
        self._links = PeerLinks(shared_key)
        self._server = PeerServer(
            node.identity.peer_address,
            shared_key,
            self._receive,
            node.configuration.changes_since,
        )
        self._ticker: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ready = asyncio.Event()

    async def start(self) -> None:
        """Listen for other instances and begin to decide."""
        await self._server.start()
        self._ticker = asyncio.create_task(self._tick())

    async def leave(self, notice_s: float) -> None:
        """Announce that the instance is leaving, and wait until others act on it.

        Parameters
        ----------
        notice_s : float
            Time to wait in seconds.
        """
        self.handle(LeaveRequested())
        await asyncio.sleep(notice_s)

    async def close(self) -> None:
        """Stop deciding and close all control connections."""
        tasks = [*self._tasks, *([self._ticker] if self._ticker else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.close()
        await self._server.close()

    def handle(self, event: Event) -> None:
        """Pass an event to the decisions and carry out the actions."""
        now = self._clock()
        if self._record is not None:
            self._record(event, now)
        for action in self.node.handle(event, now, self._rng):
            self._carry_out(action, now)
        if self.node.ready:
            self.ready.set()

    async def _tick(self) -> None:
        ticks = 0
        while True:
            # A fault in one decision must not end all later ones: without ticks the
            # instance would neither renew its rights nor leave its duties to others.
            try:
                self.handle(Tick())
            except Exception:
                logger.exception("control decision failed")
            ticks += 1
            if ticks % _SWEEP_TICKS == 0:
                self._links.close_idle()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _receive(self, message: Message) -> None:
        if (
            isinstance(message, Heartbeat)
            and message.echoed_incarnation == self.node.self_peer.incarnation
        ):
            self._links.confirm(message.peer_address, message.echoed_at)
        self.handle(MessageReceived(message))

    def _carry_out(self, action: Action, now: float) -> None:
        if isinstance(action, SendMessage):
            self._links.send(action.peer_address, action.message)
        elif isinstance(action, ReadPlatform):
            self._spawn(self._read(now))
        elif isinstance(action, WatchPlatform):
            self._spawn(self._watch(action, now))
        elif isinstance(action, CompareAndSwap):
            self._spawn(self._write(action))
        elif isinstance(action, FetchChanges):
            self._spawn(self._fetch(action))
        elif isinstance(action, GetGrants | PutGrants):
            self._spawn(self._renew(action, now))
        elif isinstance(action, ProbeServer):
            self._spawn(self._probe(action))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("control action failed")

    async def _read(self, started_at: float) -> None:
        changes = None
        try:
            changes = await self._platform.list_entries(DOCUMENT_PREFIXES)
        except PlatformUnavailableError as error:
            logger.warning("platform read failed: {}", error)
        self.handle(PlatformAnswered(started_at, changes, is_watch=False))

    async def _watch(self, action: WatchPlatform, started_at: float) -> None:
        changes = None
        try:
            changes = await self._platform.watch(
                DOCUMENT_PREFIXES, action.since, action.timeout_s
            )
        except PlatformUnavailableError as error:
            logger.warning("platform watch failed: {}", error)
        self.handle(PlatformAnswered(started_at, changes, is_watch=True))

    async def _write(self, action: CompareAndSwap) -> None:
        revision, current, is_known = None, None, True
        try:
            result = await self._platform.compare_and_swap(
                action.key, action.value, action.expected, action.write_id
            )
        except PlatformUnavailableError as error:
            logger.warning("write of {} has no known outcome: {}", action.key, error)
            is_known = False
        else:
            if isinstance(result, Committed):
                revision = result.revision
                logger.info(
                    "wrote key={} revision={} reason={}",
                    action.key,
                    revision,
                    action.reason,
                )
            elif isinstance(result, Conflict):
                current = result.current
        self.handle(
            WriteAnswered(
                action.key, action.write_id, action.value, revision, current, is_known
            )
        )

    async def _fetch(self, action: FetchChanges) -> None:
        changes = await self._links.fetch_changes(action.peer_address, action.since)
        self.handle(ChangesFetched(action.peer_address, changes))

    async def _renew(self, action: GetGrants | PutGrants, started_at: float) -> None:
        grant = action.grant if isinstance(action, PutGrants) else None
        reply = await self._servers.exchange_grant(action.server, grant)
        self.handle(GrantsAnswered(action.server, started_at, grant, reply))

    async def _probe(self, action: ProbeServer) -> None:
        succeeded = await self._servers.probe(action.server)
        self.handle(ProbeAnswered(action.server, succeeded))
