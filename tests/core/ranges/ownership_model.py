"""Model of servers, store and leaders for tests of the ownership protocol.

Keys are grouped into blocks, which move as wholes. Servers keep fences and holds as the
platform's servers do, and forget both when they start anew. Orders can be lost,
answered or not, and carried out late. One leader may reach servers that another one
doesn't reach.
"""

from __future__ import annotations

from attrs import define, field

from basilwick.core.ranges.controller import RangeController
from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    OrderResult,
    OwnershipTimings,
)
from basilwick.core.ranges.placement import Move
from basilwick.core.ranges.table import KEY_COUNT, RangeTable

BLOCKS = 8
BLOCK_KEYS = KEY_COUNT // BLOCKS
LEASE_MARGIN_S = 0.3
FENCES = 1000


def list_blocks(order):
    return range(order.first // BLOCK_KEYS, order.last // BLOCK_KEYS + 1)


@define(eq=False)
class ModelServer:
    """A server that checks fences and lets grants run out on a slow clock."""

    name: str
    seen: list[int] = field(factory=lambda: [0] * BLOCKS)
    latest_grant_end: list[float] = field(factory=lambda: [0.0] * BLOCKS)
    reachable: bool = True
    in_use: bool = True
    #: Number of starts; the orders of an ended process are gone.
    starts: int = 1

    def restart(self):
        """Start anew, without fences and holds."""
        self.seen = [0] * BLOCKS
        self.latest_grant_end = [0.0] * BLOCKS
        self.starts += 1

    def apply(self, order, arrived_at):
        blocks = list_blocks(order)
        if not isinstance(order, GrantOrder):
            for block in blocks:
                if order.fence >= self.seen[block]:
                    self.latest_grant_end[block] = 0.0
            return OrderResult.OK
        if any(self.seen[block] > order.fence for block in blocks):
            return OrderResult.CONFLICT
        for block in blocks:
            self.seen[block] = order.fence
            self.latest_grant_end[block] = arrived_at + order.grant_ttl_s * 1.02
        return OrderResult.OK


@define(eq=False)
class Flight:
    """An order under way."""

    leader: ModelLeader
    order: object
    sent_at: float
    #: Start of the server that has the order, once it was given up.
    starts: int = 0


@define(eq=False)
class ModelLeader:
    """A leader with its own decisions; `contact` tells whether it reaches the store."""

    name: int
    control: RangeController
    revision: int
    confirmed_at: float
    storing: list | None = None
    contact: bool = True
    alive: bool = True
    #: Servers to which this leader can't open a connection.
    unreached: set[str] = field(factory=set)
    #: Start of each server to which it has a connection from the time of its lease.
    connected: dict[str, int] = field(factory=dict)
    #: Starts of each server that this leader knows.
    starts: dict[str, int] = field(factory=dict)

    def may_write(self, order, lease_s, now):
        """Return whether an order may still be written, as the runtime decides it."""
        lease_free = isinstance(order, GrantOrder) and order.requires_same_process
        in_lease = now < self.confirmed_at + lease_s
        return (lease_free or in_lease) and self.control.is_pending(order)

    def connect(self, server, order):
        """Return whether a connection that an order may use can be had."""
        if server.name in self.unreached:
            return False
        if isinstance(order, GrantOrder) and order.requires_same_process:
            return self.connected.get(server.name) == server.starts
        self.connected[server.name] = server.starts
        return True

    def note_restarts(self, servers, now):
        """Take what the store tells of servers that started anew."""
        for server in servers:
            known = self.starts.setdefault(server.name, server.starts)
            if known != server.starts:
                self.starts[server.name] = server.starts
                self.control.handle_server_restart(server.name, now)


@define(eq=False)
class Model:
    """The whole site; `now` is the time on all clocks."""

    servers: dict[str, ModelServer]
    times: OwnershipTimings = field(factory=OwnershipTimings)
    now: float = 100.0
    stored: list = field(factory=list)
    reserved: int = 1
    revision: int = 0
    leaders: list[ModelLeader] = field(factory=list)
    lease_until: float = 0.0
    holder: ModelLeader | None = None
    flights: list[Flight] = field(factory=list)
    late: list[Flight] = field(factory=list)
    #: Highest fence with which each server had each block.
    had: dict[tuple[str, int], int] = field(factory=dict)

    # What the control asks of servers

    def may_own(self, server):
        return self.servers[server].in_use

    def choose_owner(self, avoid):
        for name, server in self.servers.items():
            if name != avoid and server.in_use and server.reachable:
                return name
        return None

    # Actions

    def take_over(self):
        """Let a new leader begin if the lease has ended or its holder is dead."""
        holder = self.holder
        if holder is not None and holder.alive and self.now < self.lease_until:
            return
        fences = FenceReservation(self.reserved, self.reserved + FENCES)
        self.reserved += FENCES
        self.revision += 1
        leader = ModelLeader(
            len(self.leaders),
            RangeController(
                "service",
                RangeTable.restore(self.stored),
                fences,
                self.times,
                self,
                self.now,
            ),
            self.revision,
            self.now,
        )
        leader.note_restarts(self.servers.values(), self.now)
        self.leaders.append(leader)
        self.holder = leader
        self.lease_until = self.now + self.times.lease_s

    def renew(self, leader):
        reached = leader.alive and leader.contact and leader is self.holder
        if reached and self.now < self.lease_until:
            leader.confirmed_at = self.now
            self.lease_until = self.now + self.times.lease_s

    def tick(self, leader):
        """Let a leader decide as the runtime does."""
        age = self.now - leader.confirmed_at
        if not leader.alive or age >= self.times.autonomy_s:
            return
        holds_lease = age < self.times.lease_s - LEASE_MARGIN_S
        control = leader.control
        if leader.contact:
            leader.note_restarts(self.servers.values(), self.now)
        control.assign_unowned([s for s in self.servers if self.may_own(s)], self.now)
        for order in control.tick(self.now, holds_lease):
            self.flights.append(Flight(leader, order, self.now))
        stored = control.begin_store()
        if stored is not None:
            leader.storing = stored

    def store(self, leader, answered=True):
        """Carry out a leader's pending write."""
        if not leader.alive or leader.storing is None:
            return
        if not leader.contact:
            leader.storing = None
            leader.control.finish_store(False, self.now)
            return
        stored, leader.storing = leader.storing, None
        if leader.revision != self.revision:
            leader.alive = False
            return
        self.revision += 1
        self.stored = stored
        leader.revision = self.revision
        if answered:
            leader.control.finish_store(True, self.now)
        else:
            leader.alive = False

    def move(self, leader, block, server):
        age = self.now - leader.confirmed_at
        if leader.alive and age < self.times.lease_s - LEASE_MARGIN_S:
            first = block * BLOCK_KEYS
            move = Move(first, first + BLOCK_KEYS - 1, server)
            leader.control.move([move], self.now)

    def deliver(self, flight, answered=True):
        """Bring an order to its server, and perhaps the answer back."""
        self.flights.remove(flight)
        server = self.servers[flight.order.server]
        if self.drop(flight, server):
            return
        result = OrderResult.UNKNOWN
        if server.reachable:
            result = self.apply(flight.order, self.now)
        if not answered:
            result = OrderResult.UNKNOWN
        self.answer(flight, result)

    def drop(self, flight, server):
        """Answer an order that is not written; returns whether it is not."""
        leader, order = flight.leader, flight.order
        if not leader.may_write(order, self.times.lease_s, self.now):
            self.answer(flight, OrderResult.EXPIRED)
            return True
        if not leader.connect(server, order):
            self.answer(flight, OrderResult.UNSENT)
            return True
        return False

    def delay(self, flight):
        """Leave an order unanswered; it is carried out later."""
        self.flights.remove(flight)
        server = self.servers[flight.order.server]
        if self.drop(flight, server):
            return
        self.late.append(flight)
        # Its connection is reset, so that it can't reach a process that starts later.
        flight.starts = server.starts
        self.answer(flight, OrderResult.UNKNOWN)

    def apply_late(self, flight):
        self.late.remove(flight)
        # Its time counts from its arrival, at the latest when it was given up.
        arrived_at = flight.sent_at + self.times.order_timeout_s
        if flight.starts == self.servers[flight.order.server].starts:
            self.apply(flight.order, arrived_at)

    def apply(self, order, arrived_at):
        """Carry an order out; the fences of a block must rise from server to server."""
        server = self.servers[order.server]
        result = server.apply(order, arrived_at)
        if result is not OrderResult.OK or not isinstance(order, GrantOrder):
            return result
        for block in list_blocks(order):
            if server.latest_grant_end[block] <= self.now:
                continue
            others = [
                fence
                for (name, b), fence in self.had.items()
                if b == block and name != server.name
            ]
            assert order.fence > max(others, default=0), (
                f"block {block} at {self.now}: {server.name} took it with fence "
                f"{order.fence}, others had it with {others}"
            )
            self.had[server.name, block] = order.fence
        return result

    def answer(self, flight, result):
        if not flight.leader.alive:
            return
        control = flight.leader.control
        if isinstance(flight.order, GrantOrder):
            control.handle_grant_result(flight.order, result, self.now)
        else:
            control.handle_release_result(flight.order, result, "token", self.now)

    def advance(self, seconds):
        """Let time pass; orders without an answer by their time-out are lost."""
        end = self.now + seconds
        for flight in list(self.flights):
            due = flight.sent_at + self.times.order_timeout_s
            if due <= end:
                self.now = max(self.now, due)
                self.delay(flight)
        self.now = end

    def run(self, seconds, step=0.05):
        """Let all go well for a while: everything is delivered at once."""
        for _ in range(round(seconds / step)):
            for leader in self.leaders:
                self.renew(leader)
                self.tick(leader)
                self.store(leader)
            for flight in list(self.flights):
                self.deliver(flight)
            self.check()
            self.advance(step)

    def check(self):
        """Fail if two servers hold a block."""
        for block in range(BLOCKS):
            holders = [
                server.name
                for server in self.servers.values()
                if server.latest_grant_end[block] > self.now
            ]
            assert len(holders) <= 1, f"block {block} at {self.now}: {holders}"

    def find_owner(self, block):
        control = self.holder.control
        return control.find_owner("service", block * BLOCK_KEYS, self.now).server


def build_model(servers=4):
    names = [f"s{index}" for index in range(servers)]
    return Model({name: ModelServer(name) for name in names})
