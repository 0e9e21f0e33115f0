"""Links of an instance to the leader, and from other instances while it leads."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from basilwick.core.dispatch.leader_strength import Strength
from basilwick.core.dispatch.messages import (
    Assigned,
    CancelRequest,
    ChangesPart,
    ChangesRequest,
    DispatchRequest,
    Hello,
    LeaderHeartbeat,
    LeaderResigned,
    LeavingReport,
    RateLimitReport,
    Refused,
    SendFinished,
    SharedChanges,
    TermEnded,
    TermQuery,
)
from basilwick.core.dispatch.packed_changes import PartCollector
from basilwick.core.ranges.earlier_terms import ProcessIdentity, Term
from basilwick.runtime.fleet.change_sender import (
    PACKED_CHANGES_VERSION,
    ChangeSender,
    reads_packed_changes,
)
from basilwick.runtime.fleet.heartbeat_timing import (
    MIN_HEARTBEAT_INTERVAL_S,
    TransitDelay,
    compute_heartbeat_interval,
)
from basilwick.runtime.fleet.loops import run_periodically
from basilwick.transport.link import (
    LINK_VERSION,
    Link,
    connect_link,
    encode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.dispatcher import DispatchDecision
    from basilwick.core.dispatch.messages import LinkMessage
    from basilwick.core.dispatch.packed_changes import PackedChanges
    from basilwick.core.dispatch.server_statements import LeavingServer
    from basilwick.core.types import InstanceName, MonotonicSeconds, ServerName
    from basilwick.runtime.fleet.dispatch_runner import DispatchRunner

__all__ = ["LeaderLink", "LinkListener"]

#: Time in seconds beyond the heartbeat interval after which a silent leader counts as
#: unreachable.
_HEARTBEAT_GRACE_S = 0.25
#: Time in seconds without any message after which a link is closed and reopened.
_LINK_TIMEOUT_S = 1.0
#: Interval in seconds between connection attempts, and between checks of a link with
#: pending requests.
_RETRY_INTERVAL_S = 0.1
#: Link version from which a leader reads what servers state in their responses.
_STATEMENTS_VERSION = 2
#: Interval in seconds between checks of a link without pending requests.
_IDLE_CHECK_INTERVAL_S = 0.3


class LinkListener:
    """Accepts links of other instances and serves them while this instance leads.

    Parameters
    ----------
    address : str
        IP address and port to listen on.
    hello : Hello
        Describes this instance.
    clock : callable
        Local clock in seconds.
    """

    def __init__(
        self, address: str, hello: Hello, clock: Callable[[], MonotonicSeconds]
    ):
        self._hello = hello
        self._clock = clock
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._links: set[Link] = set()
        self._runner: DispatchRunner | None = None
        #: Sends the linked instances changes of the platform's service.
        self.changes = ChangeSender()
        #: Adds this instance's state of the platform's service to a heartbeat.
        self.complete_heartbeat: Callable[[LeaderHeartbeat], LeaderHeartbeat] = (
            lambda heartbeat: heartbeat
        )

        #: Called with the identity of an earlier term that has ended.
        self.on_term_ended: Callable[[str], None] = lambda _: None

    @property
    def instance_count(self) -> int:
        """Number of linked instances, including this one."""
        return len(self._links) + 1

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self._handle_message, self._handle_close),
            self._host,
            self._port,
        )

    async def close(self) -> None:
        """Close all links and stop listening."""
        self.set_leader_runner(None)
        if self._server is not None:
            self._server.close()

    def _make_heartbeat(self) -> LeaderHeartbeat:
        cores = [self._hello.cores, *(link.peer_hello.cores for link in self._links)]
        interval_s = compute_heartbeat_interval(self.instance_count)
        heartbeat = LeaderHeartbeat(
            self.instance_count, max_cores=max(cores), interval_s=interval_s
        )
        return self.complete_heartbeat(heartbeat)

    @property
    def links(self) -> list[Link]:
        """Links of the other instances."""
        return list(self._links)

    def list_strengths(self) -> dict[InstanceName, Strength]:
        """Return the strength of each linked instance's machine."""
        hellos = [link.peer_hello for link in self._links]
        return {h.instance: Strength(h.cores, h.link_mbps) for h in hellos}

    def announce_resignation(self, successor: InstanceName = "") -> None:
        """Tell the linked instances, before their links close, to elect a leader."""
        for link in self._links:
            if reads_packed_changes(link):
                link.send(LeaderResigned(successor))

    def set_leader_runner(self, runner: DispatchRunner | None) -> None:
        """Serve links with a runner while this instance leads; close them if None."""
        self._runner = runner
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if runner is None:
            self.changes.close()
            for link in list(self._links):
                link.close()
            return
        self._task = asyncio.create_task(
            run_periodically("beats", 0.0, self._send_heartbeats)
        )

    def query_term(self, term: Term) -> None:
        """Ask the instance that held an earlier term, if linked, whether it ended.

        An instance of a build without link version 3 may not ignore the message.
        """
        process = term.process
        query = TermQuery(
            term.writer, process.instance, process.address, process.incarnation
        )
        for link in self._links:
            named = link.peer_hello.instance == process.instance
            if named and reads_packed_changes(link):
                link.send(query)

    def _handle_message(self, link: Link, message: LinkMessage) -> None:
        runner = self._runner
        if runner is None:
            link.close()
            return
        if isinstance(message, DispatchRequest):
            runner.submit(link, message, partial(_send_decision, link))
        elif isinstance(message, SendFinished):
            runner.finish(link, message)
        elif isinstance(message, RateLimitReport):
            runner.record_rate_limit(message)
        elif isinstance(message, LeavingReport):
            runner.record_leaving(message)
        elif isinstance(message, CancelRequest):
            runner.cancel(link, message.number)
        elif isinstance(message, TermEnded):
            self.on_term_ended(message.writer)
        elif isinstance(message, ChangesRequest):
            self.changes.request_missing(link, message.after)
        elif isinstance(message, Hello):
            link.peer_hello = message
            self._links.add(link)
            link.send(self._make_heartbeat())
            logger.bind(peer=message.instance).info("instance linked")

    def _handle_close(self, link: Link) -> None:
        self._links.discard(link)
        self.changes.remove_link(link)
        if self._runner is not None:
            self._runner.remove_peer(link)

    async def _send_heartbeats(self) -> float:
        """Send a heartbeat on each link; returns the seconds until the next one."""
        heartbeat = self._make_heartbeat()
        earlier_line = encode_message(heartbeat)
        line = encode_message(evolve(heartbeat, sent_at=self._clock()))
        for link in list(self._links):
            link.send_line(line if reads_packed_changes(link) else earlier_line)
        return heartbeat.interval_s


def _send_decision(link: Link, decision: DispatchDecision | None) -> None:
    if decision is not None:
        link.send(decision)


class LeaderLink:
    """Link to the current leader.

    Parameters
    ----------
    hello : Hello
        Describes this instance.
    clock : callable
        Local clock in seconds.
    """

    def __init__(self, hello: Hello, clock: Callable[[], MonotonicSeconds]):
        self._hello = hello
        self._heartbeat: LeaderHeartbeat | None = None
        self._heartbeat_at: MonotonicSeconds = float("-inf")
        self._clock = clock
        self._address: str | None = None
        self._version = 1
        self._link: Link | None = None
        self._last_message_at: MonotonicSeconds = float("-inf")
        self._replies: dict[int, Callable[[DispatchDecision | None], None]] = {}
        self._task: asyncio.Task[None] | None = None
        #: Number of linked instances, as of the leader's last heartbeat.
        self.instance_count = 1
        #: Most processor cores of an instance, as of the leader's last heartbeat.
        self.max_cores = 0.0
        #: Whether the leader's address refused the last connection.
        self.connection_refused = False
        #: Called with the changes that the leader broadcasts.
        self.on_changes: Callable[[SharedChanges], None] | None = None
        #: Called with changes that the leader has packed.
        self.on_packed_changes: Callable[[PackedChanges], None] | None = None
        self._parts = PartCollector()
        self._delay = TransitDelay()
        #: Last resignation of a leader, and the local time at which it arrived.
        self.resignation: LeaderResigned | None = None
        self.resigned_at: MonotonicSeconds = float("-inf")
        #: Local time at which packed changes were requested or a part of them arrived.
        self.transfer_at: MonotonicSeconds = float("-inf")
        #: Returns the rate limits of servers that a new leader is told.
        self.list_rate_limits: Callable[[], dict[ServerName, float]] = dict
        #: Returns whether an earlier term is known here to have ended.
        self.knows_term_end: Callable[[Term], bool] = lambda _: False
        #: Returns the servers that have stated that they leave; a new leader is told.
        self.list_leaving: Callable[[], list[LeavingServer]] = list

    @property
    def heartbeat(self) -> tuple[LeaderHeartbeat | None, MonotonicSeconds]:
        """Last heartbeat, None if the link isn't alive, and when it was sent.

        It is None for a leader of an earlier build too, whose revisions leave out the
        era of the platform's service. The local time of sending leaves out the shortest
        time that a heartbeat of this link was on its way.
        """
        comparable = self.alive and self._version >= PACKED_CHANGES_VERSION
        return (self._heartbeat if comparable else None), self._heartbeat_at

    @property
    def alive(self) -> bool:
        """Whether a message of the leader arrived within the heartbeat timeout."""
        interval_s = (
            MIN_HEARTBEAT_INTERVAL_S
            if self._heartbeat is None
            else self._heartbeat.interval_s
        )
        timeout_s = interval_s + _HEARTBEAT_GRACE_S
        return self._link is not None and self.last_message_age_s < timeout_s

    @property
    def has_leader_address(self) -> bool:
        """Whether another instance is known to lead."""
        return self._address is not None

    @property
    def sends_missing_changes(self) -> bool:
        """Whether the leader answers requests for missing changes."""
        return self.alive and self._version >= PACKED_CHANGES_VERSION

    @property
    def last_message_age_s(self) -> float:
        """Seconds since the last message of the leader."""
        return self._clock() - self._last_message_at

    async def start(self) -> None:
        """Start maintaining a link to the leader."""
        self._task = asyncio.create_task(
            run_periodically("link", _RETRY_INTERVAL_S, self._maintain_link)
        )

    async def close(self) -> None:
        """Close the link."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

    def set_leader_address(self, address: str | None, version: int = 1) -> None:
        """Switch to the link of another leader, or to no link.

        Parameters
        ----------
        version : int
            Link version of the leader's build.
        """
        self._version = version
        if address == self._address:
            return
        self._address = address
        self.connection_refused = False
        if self._link is not None:
            self._link.close()

    def submit(
        self, request: DispatchRequest, reply: Callable[[DispatchDecision | None], None]
    ) -> None:
        """Request a decision of the leader."""
        if self._link is None:
            reply(None)
            return
        self._replies[request.number] = reply
        if self._version < _STATEMENTS_VERSION:
            request = evolve(request, unwanted_servers=(), pause_left_s=0.0)
        self._link.send(request)

    def finish(self, finished: SendFinished) -> None:
        """Report the outcome of a send."""
        if self._version < _STATEMENTS_VERSION:
            finished = SendFinished(
                finished.number, finished.outcome, finished.latency_s
            )
        if self._link is not None:
            self._link.send(finished)

    def request_changes(self, after: int) -> None:
        """Ask the leader for the changes after a revision, -1 for all items."""
        self.transfer_at = self._clock()
        if self._link is not None:
            self._link.send(ChangesRequest(after))

    def cancel(self, number: int) -> None:
        """Withdraw a dispatch request, or the send that was assigned to it."""
        self._replies.pop(number, None)
        if self._link is not None:
            self._link.send(CancelRequest(number))

    def _handle_message(self, link: Link, message: LinkMessage) -> None:
        if link is not self._link:
            return
        self._last_message_at = self._clock()
        if isinstance(message, LeaderHeartbeat):
            self._heartbeat = message
            self._heartbeat_at = self._last_message_at - self._delay.estimate(
                message, self._last_message_at
            )
            self.instance_count = message.instance_count
            self.max_cores = message.max_cores
        elif isinstance(message, SharedChanges):
            if self.on_changes is not None:
                self.on_changes(message)
        elif isinstance(message, ChangesPart):
            self._collect_part(message)
        elif isinstance(message, LeaderResigned):
            self.resignation, self.resigned_at = message, self._last_message_at
        elif isinstance(message, TermQuery):
            self._answer_query(link, message)
        elif isinstance(message, Assigned | Refused):
            reply = self._replies.pop(message.number, None)
            if reply is None:
                link.send(CancelRequest(message.number))
            else:
                reply(message)

    def _answer_query(self, link: Link, query: TermQuery) -> None:
        """State the end of a term if it is certain; otherwise the leader asks again."""
        process = ProcessIdentity(query.instance, query.address, query.incarnation)
        if self.knows_term_end(Term(query.writer, process)):
            link.send(TermEnded(query.writer))

    def _collect_part(self, part: ChangesPart) -> None:
        self.transfer_at = self._last_message_at
        try:
            changes = self._parts.add(part)
        except ValueError as error:
            logger.bind(reason=str(error)).warning("ignored changes of the leader")
            return
        if changes is not None and self.on_packed_changes is not None:
            self.on_packed_changes(changes)

    def _handle_close(self, link: Link) -> None:
        if link is not self._link:
            return
        self._link = self._heartbeat = None
        self._parts.clear()
        self._delay = TransitDelay()
        self.transfer_at = float("-inf")
        logger.bind(dependency="leader", address=self._address).warning(
            "lost the link to the leader"
        )
        self._fail_pending()

    def _fail_pending(self) -> None:
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(None)

    async def _maintain_link(self) -> float:
        """Open, check or close the link; returns the seconds until the next check."""
        if self._link is None and self._address is not None:
            await self._connect(self._address)
        elif self._link is not None and self._replies and not self.alive:
            # The pending requests fall back to the local dispatcher.
            self._fail_pending()
        if self._link is not None and self.last_message_age_s > _LINK_TIMEOUT_S:
            self._link.close()
        idle = self._link is not None and not self._replies
        return _IDLE_CHECK_INTERVAL_S if idle else _RETRY_INTERVAL_S

    async def _connect(self, address: str) -> None:
        try:
            link = await connect_link(address, self._handle_message, self._handle_close)
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
        self._last_message_at = self._clock()
        if self._version >= PACKED_CHANGES_VERSION:
            link.send(evolve(self._hello, link_version=LINK_VERSION))
        else:
            link.send(self._hello)
        if self._version >= _STATEMENTS_VERSION:
            for server, rate_limit in self.list_rate_limits().items():
                link.send(RateLimitReport(server, rate_limit))
            for leaving in self.list_leaving():
                link.send(LeavingReport(leaving.name, leaving.started_ms))
        logger.bind(dependency="leader", address=address).info("linked to the leader")
