"""Links of an instance: to the leader, and from the others while it leads."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from basilwick.core.dispatch.messages import (
    Assigned,
    CancelRequest,
    DispatchRequest,
    Hello,
    LeaderHeartbeat,
    Refused,
    SendFinished,
    SharedChanges,
)
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.transport.link import Link, connect_link, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.dispatcher import DispatchDecision
    from basilwick.core.dispatch.messages import LinkMessage
    from basilwick.core.types import MonotonicSeconds
    from basilwick.runtime.fleet.dispatch_runner import DispatchRunner

__all__ = ["LeaderLink", "LinkListener"]

#: Shortest interval in seconds between the leader's signs of life. It grows with the
#: number of linked instances, so that their sum stays below a bound.
MIN_HEARTBEAT_INTERVAL_S = 0.1
_BEATS_PER_S = 600.0
_LONGEST_BEAT_INTERVAL_S = 0.4
#: A leader that sent nothing for this long beyond the interval, in seconds, is not
#: asked.
_SILENT_AFTER_S = 0.25
#: A link that carried nothing for this long, in seconds, is opened anew.
_DEAD_AFTER_S = 1.0
#: Shared changes with more bytes than this are not passed on; the other instances read
#: them by themselves.
_MAX_SHARED_BYTES = 256 << 10
#: Interval in seconds between attempts to reach the leader, and between looks at a link
#: on which nothing is waited for.
_RETRY_INTERVAL_S = 0.1
_CALM_INTERVAL_S = 0.3


class LinkListener:
    """Takes the links of other instances and answers them while this one leads.

    Parameters
    ----------
    address : str
        IP number and port.
    hello : Hello
        Introduces this instance.
    """

    def __init__(self, address: str, hello: Hello):
        self._hello = hello
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._links: set[Link] = set()
        self._desk: DispatchRunner | None = None
        #: Adds what this instance knows of the platform's service to a sign of life.
        self.complete_heartbeat: Callable[[LeaderHeartbeat], LeaderHeartbeat] = (
            lambda heartbeat: heartbeat
        )

    @property
    def instances(self) -> int:
        """Number of linked instances, with this one."""
        return len(self._links) + 1

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self._take, self._drop), self._host, self._port
        )

    async def close(self) -> None:
        """Close all links."""
        self.set_leader_runner(None)
        if self._server is not None:
            self._server.close()

    def _make_beat(self) -> LeaderHeartbeat:
        cores = [self._hello.cores, *(link.peer.cores for link in self._links)]
        interval_s = compute_heartbeat_interval(self.instances)
        heartbeat = LeaderHeartbeat(
            self.instances, max_cores=max(cores), interval_s=interval_s
        )
        return self.complete_heartbeat(heartbeat)

    def broadcast_changes(self, changes: SharedChanges) -> None:
        """Pass changes of the platform's service on to all linked instances."""
        line = encode_message(changes)
        if len(line) > _MAX_SHARED_BYTES:
            logger.bind(bytes=len(line), revision=changes.revision).info(
                "changes are too large to be passed on"
            )
            return
        for link in list(self._links):
            link.send_line(line)

    def set_leader_runner(self, runner: DispatchRunner | None) -> None:
        """Answer with a desk, or with none any more."""
        self._desk = runner
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if runner is None:
            for link in list(self._links):
                link.close()
            return
        self._task = asyncio.create_task(run_periodically("beats", 0.0, self._beat))

    def _take(self, link: Link, message: LinkMessage) -> None:
        runner = self._desk
        if runner is None:
            link.close()
            return
        if isinstance(message, DispatchRequest):
            runner.submit(link, message, partial(_reply, link))
        elif isinstance(message, SendFinished):
            runner.finish(link, message)
        elif isinstance(message, CancelRequest):
            runner.cancel(link, message.number)
        elif isinstance(message, Hello):
            link.peer = message
            self._links.add(link)
            link.send(self._make_beat())
            logger.bind(peer=message.instance).info("instance linked")

    def _drop(self, link: Link) -> None:
        self._links.discard(link)
        if self._desk is not None:
            self._desk.remove_peer(link)

    async def _beat(self) -> float:
        """Send a sign of life; returns the time in seconds to the next one."""
        heartbeat = self._make_beat()
        line = encode_message(heartbeat)
        for link in list(self._links):
            link.send_line(line)
        return heartbeat.interval_s


def compute_heartbeat_interval(instances: int) -> float:
    """Return the interval in seconds between signs of life to a number of instances."""
    return min(
        _LONGEST_BEAT_INTERVAL_S,
        max(MIN_HEARTBEAT_INTERVAL_S, instances / _BEATS_PER_S),
    )


def _reply(link: Link, decision: DispatchDecision | None) -> None:
    if decision is not None:
        link.send(decision)


class LeaderLink:
    """Link to the present leader.

    Parameters
    ----------
    hello : Hello
        Introduces this instance.
    clock : callable
        Local clock in seconds.
    """

    def __init__(self, hello: Hello, clock: Callable[[], MonotonicSeconds]):
        self._hello = hello
        self._beat: LeaderHeartbeat | None = None
        self._beat_at: MonotonicSeconds = float("-inf")
        self._clock = clock
        self._address: str | None = None
        self._link: Link | None = None
        self._heard_at: MonotonicSeconds = float("-inf")
        self._replies: dict[int, Callable[[DispatchDecision | None], None]] = {}
        self._task: asyncio.Task[None] | None = None
        #: Number of instances that the leader last told.
        self.instances = 1
        #: Processor cores of the strongest instance, as the leader last told.
        self.max_cores = 0.0
        #: Whether the leader's address refused the last connection.
        self.connection_refused = False
        #: Takes the changes that the leader passes on.
        self.on_changes: Callable[[SharedChanges], None] | None = None

    @property
    def heartbeat(self) -> tuple[LeaderHeartbeat | None, MonotonicSeconds]:
        """Last sign of life on a link that is alive, and when it came."""
        return (self._beat if self.alive else None), self._beat_at

    @property
    def alive(self) -> bool:
        """Whether the leader was heard lately."""
        interval_s = (
            MIN_HEARTBEAT_INTERVAL_S if self._beat is None else self._beat.interval_s
        )
        silent_after_s = interval_s + _SILENT_AFTER_S
        return self._link is not None and self.last_message_age_s < silent_after_s

    @property
    def last_message_age_s(self) -> float:
        """Seconds since the leader was heard."""
        return self._clock() - self._heard_at

    async def start(self) -> None:
        """Begin to keep a link to the leader."""
        self._task = asyncio.create_task(
            run_periodically("link", _RETRY_INTERVAL_S, self._keep)
        )

    async def close(self) -> None:
        """Close the link."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

    def set_leader_address(self, address: str | None) -> None:
        """Keep a link to another leader, or to none."""
        if address == self._address:
            return
        self._address = address
        self.connection_refused = False
        if self._link is not None:
            self._link.close()

    def submit(
        self, ask: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Ask the leader."""
        if self._link is None:
            reply(None)
            return
        self._replies[ask.number] = reply
        self._link.send(ask)

    def finish(self, done: SendFinished) -> None:
        """Report the end of a send."""
        if self._link is not None:
            self._link.send(done)

    def cancel(self, number: int) -> None:
        """Withdraw an ask."""
        self._replies.pop(number, None)
        if self._link is not None:
            self._link.send(CancelRequest(number))

    def _take(self, link: Link, message: LinkMessage) -> None:
        if link is not self._link:
            return
        self._heard_at = self._clock()
        if isinstance(message, LeaderHeartbeat):
            self._beat, self._beat_at = message, self._heard_at
            self.instances = message.instances
            self.max_cores = message.max_cores
        elif isinstance(message, SharedChanges):
            if self.on_changes is not None:
                self.on_changes(message)
        elif isinstance(message, Assigned | Refused):
            reply = self._replies.pop(message.number, None)
            if reply is None:
                link.send(CancelRequest(message.number))
            else:
                reply(message)

    def _drop(self, link: Link) -> None:
        if link is not self._link:
            return
        self._link = self._beat = None
        logger.bind(dependency="leader", address=self._address).warning(
            "lost the link to the leader"
        )
        self._fail_waiting()

    def _fail_waiting(self) -> None:
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(None)

    async def _keep(self) -> float:
        """Look after the link; returns the time in seconds to the next look."""
        if self._link is None and self._address is not None:
            await self._connect(self._address)
        elif self._link is not None and self._replies and not self.alive:
            # Those who wait decide by themselves while the leader is silent.
            self._fail_waiting()
        if self._link is not None and self.last_message_age_s > _DEAD_AFTER_S:
            self._link.close()
        calm = self._link is not None and not self._replies
        return _CALM_INTERVAL_S if calm else _RETRY_INTERVAL_S

    async def _connect(self, address: str) -> None:
        try:
            link = await connect_link(address, self._take, self._drop)
        except ConnectionRefusedError:
            self.connection_refused = True
            return
        except OSError:
            self.connection_refused = False
            return
        if address != self._address:
            link.close()
            return
        self.connection_refused = False
        self._link = link
        self._heard_at = self._clock()
        link.send(self._hello)
        logger.bind(dependency="leader", address=address).info("linked to the leader")
