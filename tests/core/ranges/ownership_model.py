"""Model of servers, store and leaders for tests of the ownership protocol.

Keys are grouped into blocks, and each move covers whole blocks. Servers keep fences and
grants as the platform's servers do, and lose both when they restart. An order can be
lost or carried out late, and its answer can be lost. Two leaders may reach different
servers. The store can be put back to a copy, and each leader is a process of its own.
"""

from __future__ import annotations

from attrs import define, field
from store_model import ModelStore, StoredValue

from basilwick.core.ranges.controller import RangeController
from basilwick.core.ranges.orders import (
    FenceReservation,
    GrantOrder,
    OrderResult,
    OwnershipTimings,
)
from basilwick.core.ranges.placement import Move
from basilwick.core.ranges.table import KEY_COUNT, RangeTable
from basilwick.core.ranges.takeover import may_lack_changes

BLOCKS = 8
BLOCK_KEYS = KEY_COUNT // BLOCKS
LEASE_MARGIN_S = 0.3
RESERVED_FENCES = 1000
FENCES_PER_ERA = 1_000_000


def list_blocks(order):
    return range(order.first // BLOCK_KEYS, order.last // BLOCK_KEYS + 1)


@define(eq=False)
class ModelServer:
    """A server that checks fences and whose slow clock makes grants last longer."""

    name: str
    highest_fences: list[int] = field(factory=lambda: [0] * BLOCKS)
    held_until: list[float] = field(factory=lambda: [0.0] * BLOCKS)
    reachable: bool = True
    registered: bool = True
    #: Number of process starts; orders that an earlier process received are discarded.
    starts: int = 1

    def restart(self):
        """Start a new process, which knows no fences and holds no grants."""
        self.highest_fences = [0] * BLOCKS
        self.held_until = [0.0] * BLOCKS
        self.starts += 1

    def apply(self, order, arrived_at):
        blocks = list_blocks(order)
        if not isinstance(order, GrantOrder):
            for block in blocks:
                if order.fence >= self.highest_fences[block]:
                    self.held_until[block] = 0.0
            return OrderResult.OK
        if any(self.highest_fences[block] > order.fence for block in blocks):
            return OrderResult.CONFLICT
        for block in blocks:
            self.highest_fences[block] = order.fence
            self.held_until[block] = arrived_at + order.grant_ttl_s * 1.02
        return OrderResult.OK


@define(eq=False)
class InFlightOrder:
    """An order that a leader has decided on and whose result it awaits."""

    leader: ModelLeader
    order: object
    sent_at: float
    #: Value of the server's `starts` when the leader gave the order up.
    starts: int = 0


@define(eq=False)
class ModelLeader:
    """A leader with its own controller and its own view of the site.

    Attributes
    ----------
    read : StoredValue
        Ranges that the leader read at its takeover.
    revision, revision_era : int
        Revision of the ranges as this leader knows it, and the era of that revision.
    known_era : int
        Era that the latest answer of the store stated.
    term_era, uncertain : int and bool
        Era in which the leader is known to lead, and whether another leader may have
        led in time that is lost.
    era, certain_era : int
        Era that the leader's ranges allow for, and in which they are complete.
    first_era : int
        Era at the takeover.
    controller : RangeController or None
        None until the takeover is written.
    """

    name: int
    read: StoredValue
    taken_over_at: float
    lease_renewed_at: float
    revision: int
    known_era: int
    term_era: int
    first_era: int
    era: int
    revision_era: int
    certain_era: int
    uncertain: bool = False
    reserved_end: int = 0
    controller: RangeController | None = None
    pending_store: list | None = None
    store_reachable: bool = True
    alive: bool = True
    #: Servers to which this leader can't open a connection.
    unreachable_servers: set[str] = field(factory=set)
    #: For each server to which it connected while it had the lease, the value of the
    #: server's `starts` at that time.
    connected_starts: dict[str, int] = field(factory=dict)
    #: For each server, the value of `starts` that this leader knows.
    starts: dict[str, int] = field(factory=dict)

    @property
    def running(self):
        return self.alive and self.controller is not None

    def may_write(self, order, lease_s, now):
        """Return whether an order may still be written, by the runtime's rules."""
        lease_free = isinstance(order, GrantOrder) and order.requires_same_process
        in_lease = now < self.lease_renewed_at + lease_s
        return (lease_free or in_lease) and self.controller.is_pending(order)

    def connect(self, server, order):
        """Return whether there is a connection that an order may use."""
        if server.name in self.unreachable_servers:
            return False
        if isinstance(order, GrantOrder) and order.requires_same_process:
            return self.connected_starts.get(server.name) == server.starts
        self.connected_starts[server.name] = server.starts
        return True

    def note_restarts(self, servers, now):
        """Report server restarts, as read from the store, to the controller."""
        for server in servers:
            known = self.starts.setdefault(server.name, server.starts)
            if known != server.starts:
                self.starts[server.name] = server.starts
                self.controller.handle_server_restart(server.name, now)


@define(eq=False)
class SiteModel:
    """The whole site; `now` is the local time of all leaders."""

    servers: dict[str, ModelServer]
    times: OwnershipTimings = field(factory=OwnershipTimings)
    now: float = 100.0
    service: ModelStore = field(factory=ModelStore)
    #: Whether a process knows that the store was restored before it started.
    knows_earlier_returns: bool = True
    leaders: list[ModelLeader] = field(factory=list)
    lease_until: float = 0.0
    in_flight: list[InFlightOrder] = field(factory=list)
    delayed: list[InFlightOrder] = field(factory=list)
    #: Highest fence with which each server held each block.
    accepted_fences: dict[tuple[str, int], int] = field(factory=dict)

    # Interface of OwnerPolicy

    def may_own(self, server):
        return self.servers[server].registered

    def choose_owner(self, excluded):
        for name, server in self.servers.items():
            if name != excluded and server.registered and server.reachable:
                return name
        return None

    def list_new_owners(self):
        """Return servers among which whole blocks can be divided evenly."""
        registered = [s for s in self.servers if self.may_own(s)]
        count = next(n for n in (4, 2, 1, 0) if n <= len(registered))
        return registered[:count]

    @property
    def state(self):
        return self.service.state

    @property
    def stored(self):
        return self.state.value.ranges if self.state.value else ()

    @property
    def lease_holder(self):
        return self.state.lease_holder

    # Actions

    def take_copy(self):
        self.service.take_copy()

    def restore(self):
        """Put the store back to its copy; the copied lease begins anew."""
        self.service.restore()
        self.lease_until = self.now + self.times.lease_s

    def take_over(self):
        """Start a new leader if the lease has expired or its holder is dead."""
        leader = self.begin_take_over()
        if leader is not None:
            self.finish_take_over(leader)

    def begin_take_over(self):
        """Become the leader and read the ranges; returns None if another one leads."""
        lease_holder = self.lease_holder
        if (
            lease_holder is not None
            and lease_holder.alive
            and self.now < self.lease_until
        ):
            return None
        value = self.state.value or StoredValue()
        era = self.service.era
        may_be_restored = self.knows_earlier_returns and era > 0
        outdated = may_lack_changes(value.certain_era, era, may_be_restored)
        leader = ModelLeader(
            len(self.leaders),
            value,
            self.now,
            self.now,
            self.state.revision,
            known_era=era,
            term_era=era,
            first_era=era,
            era=era,
            revision_era=era,
            certain_era=(value.certain_era or 0) if outdated else era,
        )
        self.leaders.append(leader)
        self.state.lease_holder = leader
        self.lease_until = self.now + self.times.lease_s
        return leader

    def finish_take_over(self, leader):
        """Write the reservation of a leader that has read the ranges, and start it."""
        if not leader.alive or leader.controller is not None:
            return
        outdated = leader.certain_era < leader.era
        first_fence = leader.read.reserved_end
        if outdated:
            first_fence = max(first_fence, leader.era * FENCES_PER_ERA)
        leader.reserved_end = first_fence + RESERVED_FENCES
        # A leader that can't write begins its takeover anew.
        if not leader.store_reachable or not self.write(leader, leader.read.ranges):
            leader.alive = False
            return
        leader.controller = RangeController(
            "service",
            RangeTable.restore(leader.read.ranges),
            FenceReservation(first_fence, leader.reserved_end),
            self.times,
            self,
            leader.taken_over_at,
        )
        if outdated:
            leader.controller.suspect_other_leader(leader.taken_over_at)
        leader.note_restarts(self.servers.values(), self.now)

    def renew(self, leader):
        if not leader.alive or not leader.store_reachable:
            return
        leader.known_era = self.service.era
        if leader is not self.lease_holder and self.may_regain(leader):
            self.state.lease_holder = leader
            self.lease_until = self.now + self.times.lease_s
            self.continue_in_era(leader, certain=False)
            return
        if leader is not self.lease_holder or self.now >= self.lease_until:
            return
        self.lease_until = self.now + self.times.lease_s
        if leader.term_era != self.service.era:
            self.continue_in_era(leader)
        elif leader.alive:
            leader.lease_renewed_at = self.now

    def may_regain(self, leader):
        """Return whether the store's copy has only the record of an earlier leader."""
        holder = self.lease_holder
        returned = leader.term_era < self.service.era
        return returned and (holder is None or holder.name < leader.name)

    def continue_in_era(self, leader, certain=True):
        """Let a leader go on after the store was restored, as the runtime does."""
        age = self.now - leader.lease_renewed_at
        if age >= self.times.autonomy_s:
            leader.alive = False
            return
        leader.term_era = self.service.era
        leader.uncertain = age >= self.times.lease_s or not certain
        leader.lease_renewed_at = self.now

    def handle_restore(self, leader):
        leader.era = leader.term_era
        if leader.uncertain:
            leader.controller.suspect_other_leader(self.now)
        first_fence = max(leader.reserved_end, leader.era * FENCES_PER_ERA)
        leader.reserved_end = first_fence + RESERVED_FENCES
        leader.controller.fences = FenceReservation(first_fence, first_fence)
        leader.controller.dirty = True

    def tick(self, leader):
        """Advance a leader's controller as the runtime does."""
        age = self.now - leader.lease_renewed_at
        if not leader.running or age >= self.times.autonomy_s:
            return
        holds_lease = age < self.times.lease_s - LEASE_MARGIN_S
        controller = leader.controller
        if leader.term_era > leader.era:
            self.handle_restore(leader)
        if leader.certain_era != leader.era and controller.certain:
            leader.certain_era = leader.era
            controller.dirty = True
        if leader.store_reachable:
            leader.note_restarts(self.servers.values(), self.now)
        controller.assign_unowned(self.list_new_owners(), self.now)
        for order in controller.tick(self.now, holds_lease):
            self.in_flight.append(InFlightOrder(leader, order, self.now))
        stored = controller.begin_store()
        if stored is not None:
            leader.pending_store = stored

    def store(self, leader, answered=True):
        """Carry out a leader's pending write; without an answer the leader ends."""
        if not leader.running or leader.pending_store is None:
            return
        stored, leader.pending_store = leader.pending_store, None
        reserved_end = leader.reserved_end
        if not leader.store_reachable or not self.write(leader, stored):
            leader.controller.finish_store(False, self.now)
            return
        if answered:
            fences = leader.controller.fences
            fences.end = max(fences.end, reserved_end)
            leader.controller.finish_store(True, self.now)
        else:
            leader.alive = False

    def lose_store(self, leader, late):
        """Lose the answer to a leader's pending write, or the write until later."""
        if not leader.running or leader.pending_store is None:
            return
        stored, leader.pending_store = leader.pending_store, None
        # A condition of an earlier era than the known one is never sent.
        if leader.revision_era == leader.known_era or not leader.revision:
            value = self.make_value(leader, stored)
            if late:
                self.service.late_writes.append((value, leader.revision))
            else:
                self.service.write(value, leader.revision)
        leader.controller.finish_store(False, self.now)

    def make_value(self, leader, ranges):
        return StoredValue(
            tuple(ranges), leader.certain_era, leader.reserved_end, leader
        )

    def write(self, leader, ranges):
        """Write ranges as the runtime does; returns whether they are stored.

        A leader that finds the value of another one ends.
        """
        value = self.make_value(leader, ranges)
        service = self.service
        for _ in range(3):
            unsent = leader.revision and leader.revision_era != leader.known_era
            written = not unsent and service.write(value, leader.revision)
            answered = service.era == leader.known_era
            leader.known_era = service.era
            stored = service.state.value
            if written or (answered and stored is value):
                leader.revision = service.state.revision
                leader.revision_era = service.era
                return True
            if not answered and not unsent:
                return False
            restored = leader.term_era > leader.first_era
            is_copied = (
                restored and stored is not None and stored.writer is leader.read.writer
            )
            if stored is None and restored:
                leader.revision = 0
                continue
            if stored is None or not (stored.writer is leader or is_copied):
                leader.alive = False
                return False
            leader.revision, leader.revision_era = service.state.revision, service.era
        return False

    def move(self, leader, block, server):
        age = self.now - leader.lease_renewed_at
        if leader.running and age < self.times.lease_s - LEASE_MARGIN_S:
            first = block * BLOCK_KEYS
            move = Move(first, first + BLOCK_KEYS - 1, server)
            leader.controller.move([move], self.now)

    def deliver(self, pending, answered=True):
        """Deliver an order to its server, and the answer unless it is lost."""
        self.in_flight.remove(pending)
        server = self.servers[pending.order.server]
        if self.reject_unsendable(pending, server):
            return
        result = OrderResult.UNKNOWN
        if server.reachable:
            result = self.apply(pending.order, self.now)
        if not answered:
            result = OrderResult.UNKNOWN
        self.answer(pending, result)

    def reject_unsendable(self, pending, server):
        """Report an order that can't be written as expired or unsent.

        Returns whether it was reported.
        """
        leader, order = pending.leader, pending.order
        if not leader.may_write(order, self.times.lease_s, self.now):
            self.answer(pending, OrderResult.EXPIRED)
            return True
        if not leader.connect(server, order):
            self.answer(pending, OrderResult.UNSENT)
            return True
        return False

    def delay(self, pending):
        """Time out an order for the leader; the server may still carry it out later."""
        self.in_flight.remove(pending)
        server = self.servers[pending.order.server]
        if self.reject_unsendable(pending, server):
            return
        self.delayed.append(pending)
        # The connection is reset, so the order can't reach a process that starts later.
        pending.starts = server.starts
        self.answer(pending, OrderResult.UNKNOWN)

    def apply_delayed(self, pending):
        self.delayed.remove(pending)
        # The grant lasts from its arrival, at the latest when the leader gave it up.
        arrived_at = pending.sent_at + self.times.order_timeout_s
        if pending.starts == self.servers[pending.order.server].starts:
            self.apply(pending.order, arrived_at)

    def apply(self, order, arrived_at):
        """Carry an order out; the fence of a block must rise with each new owner."""
        server = self.servers[order.server]
        result = server.apply(order, arrived_at)
        if result is not OrderResult.OK or not isinstance(order, GrantOrder):
            return result
        for block in list_blocks(order):
            if server.held_until[block] <= self.now:
                continue
            others = [
                fence
                for (name, b), fence in self.accepted_fences.items()
                if b == block and name != server.name
            ]
            assert order.fence > max(others, default=0), (
                f"block {block} at {self.now}: {server.name} took it with fence "
                f"{order.fence}, others had it with {others}"
            )
            self.accepted_fences[server.name, block] = order.fence
        return result

    def answer(self, pending, result):
        if not pending.leader.alive:
            return
        controller = pending.leader.controller
        if isinstance(pending.order, GrantOrder):
            controller.handle_grant_result(pending.order, result, self.now)
        else:
            controller.handle_release_result(pending.order, result, "token", self.now)

    def advance(self, seconds):
        """Let time pass; orders that reach their timeout are given up."""
        end = self.now + seconds
        for pending in list(self.in_flight):
            due = pending.sent_at + self.times.order_timeout_s
            if due <= end:
                self.now = max(self.now, due)
                self.delay(pending)
        self.now = end

    def run(self, seconds, step=0.05):
        """Run without faults for a time; everything is delivered at once."""
        for _ in range(round(seconds / step)):
            for leader in self.leaders:
                self.renew(leader)
                self.tick(leader)
                self.store(leader)
            for pending in list(self.in_flight):
                self.deliver(pending)
            self.check()
            self.advance(step)

    def check(self):
        """Fail if two servers hold a block."""
        for block in range(BLOCKS):
            holders = [
                server.name
                for server in self.servers.values()
                if server.held_until[block] > self.now
            ]
            assert len(holders) <= 1, f"block {block} at {self.now}: {holders}"

    def find_owner(self, block):
        controller = self.lease_holder.controller
        return controller.find_owner("service", block * BLOCK_KEYS, self.now).server


def build_model(servers=4):
    names = [f"s{index}" for index in range(servers)]
    return SiteModel({name: ModelServer(name) for name in names})
