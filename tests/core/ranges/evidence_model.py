"""Model of the evidence that earlier terms, and processes of servers, have ended.

Each term is held by a process of an instance. Questions about terms and their answers
are lost or arrive late. Processes stop for a while, or end and start again. A server's
address can be used by another one. Some leaders are of a build that stores no terms.
"""

from __future__ import annotations

from itertools import count

from attrs import define, evolve, field
from ownership_model import ModelServer, SiteModel

from basilwick.core.ranges.earlier_terms import (
    EarlierTerms,
    OwnTerms,
    ProcessIdentity,
    Term,
)
from basilwick.core.ranges.orders import GrantOrder, OrderResult

_incarnations = count(1)


@define(eq=False)
class ModelProcess:
    """One process of an instance."""

    instance: str
    own_terms: OwnTerms
    alive: bool = True
    #: Whether the process is stopped, as by SIGSTOP or by a suspended machine.
    stopped: bool = False
    #: Leaders of this process, of which at most the last one is alive.
    leaders: list = field(factory=list)


@define(eq=False)
class LeaderTerms:
    """Own term of a leader and the earlier ones; `stored` is its build's list."""

    process: ModelProcess
    term: Term
    is_earlier_build: bool
    earlier: EarlierTerms | None = None


def start_process(instance):
    identity = ProcessIdentity(instance, f"{instance}:1", str(next(_incarnations)))
    return ModelProcess(instance, OwnTerms(identity))


@define(eq=False)
class EvidenceModel(SiteModel):
    """Site in which evidence shortens waits."""

    processes: dict[str, ModelProcess] = field(
        factory=lambda: {name: start_process(name) for name in ("i0", "i1", "i2")}
    )
    terms: dict[int, LeaderTerms] = field(factory=dict)
    queries: list = field(factory=list)
    answers: list = field(factory=list)
    #: Answers of servers that are on their way.
    late_answers: list = field(factory=list)
    process_answers: list = field(factory=list)
    #: For each server that has ended, the one that listens at its address.
    occupants: dict[str, str] = field(factory=dict)
    #: Servers that leaders can't reach which begin now.
    cut_servers: set[str] = field(factory=set)
    #: Whether the site has asked for it that evidence shortens waits.
    uses_evidence: bool = True
    #: Faults for a check of the checker itself.
    states_live_terms: bool = False
    takes_silence_for_end: bool = False
    #: How often evidence shortened waits.
    shortened: int = 0
    ended_servers: int = 0

    # Leaders

    def begin_term(self, instance, is_earlier_build=False):
        """Begin a takeover by an instance; returns None if it can't."""
        process = self.processes[instance]
        if process.stopped or any(leader.alive for leader in process.leaders):
            return None
        leader = self.begin_take_over()
        if leader is None:
            return None
        leader.unreachable_servers = set(self.cut_servers)
        term = process.own_terms.begin()
        process.leaders.append(leader)
        terms = LeaderTerms(process, term, is_earlier_build)
        self.terms[leader.name] = terms
        over_at = leader.taken_over_at + self.times.unreached_owner_wait_s
        read = leader.read
        stored = read.terms if read.writer is not None else ()
        outdated = leader.certain_era < leader.era
        writer = self.get_writer(read)
        terms.earlier = EarlierTerms.restore(
            None if outdated else stored, writer, over_at
        )
        return leader

    def get_writer(self, value):
        return self.terms[value.writer.name].term.writer if value.writer else ""

    def make_value(self, leader, ranges):
        terms = self.terms[leader.name]
        stored = None
        if not terms.is_earlier_build:
            stored = terms.earlier.list_stored(terms.term)
        return evolve(super().make_value(leader, ranges), terms=stored)

    def finish_take_over(self, leader):
        started = leader.controller is not None
        super().finish_take_over(leader)
        if leader.controller is None or started:
            return
        terms = self.terms[leader.name]
        leader.controller.uses_evidence = (
            self.uses_evidence and not terms.is_earlier_build
        )
        if terms.earlier.all_ended:
            leader.controller.end_earlier_terms(self.now)

    def handle_restore(self, leader):
        super().handle_restore(leader)
        if leader.uncertain:
            over_at = self.now + self.times.unreached_owner_wait_s
            self.terms[leader.name].earlier.suspect_lost_term(over_at)

    def tick(self, leader):
        if self.is_stopped(leader):
            return
        if leader.running and self.terms[leader.name].earlier.expire(self.now):
            leader.controller.dirty = True
        super().tick(leader)

    def renew(self, leader):
        if not self.is_stopped(leader):
            super().renew(leader)

    def store(self, leader, answered=True):
        if not self.is_stopped(leader):
            super().store(leader, answered)

    def isolate(self, leader, server):
        """Cut a leader off from the store, with one server that no other reaches."""
        leader.store_reachable = False
        leader.unreachable_servers = set(self.servers) - {server}
        self.cut_servers.add(server)
        for other in self.leaders:
            if other is not leader:
                other.unreachable_servers.add(server)

    def end_isolation(self):
        """Mend the cuts between all leaders and servers."""
        self.cut_servers.clear()
        for leader in self.leaders:
            leader.unreachable_servers.clear()

    def is_stopped(self, leader):
        return self.terms[leader.name].process.stopped

    def close_role(self, leader):
        """End the term of a leader that no longer leads; its process lives on."""
        terms = self.terms[leader.name]
        if not leader.alive and terms.process.alive and not terms.process.stopped:
            terms.process.own_terms.end(terms.term)

    def restart_instance(self, instance):
        """End an instance's process and start another at its address."""
        process = self.processes[instance]
        process.alive = False
        for leader in process.leaders:
            leader.alive = False
        self.processes[instance] = start_process(instance)

    # Evidence of ended terms

    def query_terms(self, leader):
        """Ask the instances of the earlier terms; the questions may arrive late."""
        terms = self.terms[leader.name]
        if not leader.running or terms.is_earlier_build or self.is_stopped(leader):
            return
        for term in terms.earlier.remaining:
            if terms.process.own_terms.knows_end(term) or self.takes_silence_for_end:
                self.record_end(leader, term.writer)
            else:
                process = self.processes[term.process.instance]
                self.queries.append((leader, term, process))

    def deliver_query(self, query):
        self.queries.remove(query)
        leader, term, process = query
        if not process.alive or process.stopped:
            return
        if self.states_live_terms or process.own_terms.knows_end(term):
            self.answers.append((leader, term.writer))

    def deliver_answer(self, answer):
        self.answers.remove(answer)
        leader, writer = answer
        if leader.running and not self.is_stopped(leader):
            self.record_end(leader, writer)

    def record_end(self, leader, writer):
        earlier = self.terms[leader.name].earlier
        if earlier.record_end(writer) and earlier.all_ended:
            self.shortened += leader.controller.end_earlier_terms(self.now)
            leader.controller.dirty = True

    # Servers whose address is used again

    def replace_server(self, name, successor):
        """End a server's process; another server starts at its address."""
        server, other = self.servers[name], self.servers[successor]
        server.restart()
        other.restart()
        other.reachable = other.registered = True
        self.occupants.pop(successor, None)
        self.occupants[name] = successor

    def start_server(self, name):
        """Start a server that has ended again, in place of the one at its address."""
        other = self.servers[self.occupants.pop(name)]
        other.restart()
        other.registered = other.reachable = False
        self.servers[name].restart()

    def deliver(self, pending, answered=True, late=False):
        """Deliver an order; another server at the address answers that it is not it."""
        server = self.servers[pending.order.server]
        if server.name not in self.occupants:
            super().deliver(pending, answered)
            return
        self.in_flight.remove(pending)
        if self.reject_unsendable(pending, server):
            return
        order = pending.order
        same_process = isinstance(order, GrantOrder) and order.requires_same_process
        if not answered or same_process:
            self.answer(pending, OrderResult.UNKNOWN)
        elif late:
            self.late_answers.append(pending)
        else:
            self.answer_ended(pending)

    def answer_ended(self, pending):
        if pending in self.late_answers:
            self.late_answers.remove(pending)
        in_time = self.now < pending.sent_at + self.times.order_timeout_s
        self.ended_servers += in_time
        self.answer(pending, OrderResult.ENDED if in_time else OrderResult.UNKNOWN)

    def ask_for_process(self, leader, name):
        """Ask at a lost server's address; the answer arrives at once or late."""
        reaches = name in self.occupants and name not in leader.unreachable_servers
        if not leader.running or not reaches:
            return
        if name in leader.controller.table.list_awaited_owners():
            self.process_answers.append((leader, name, self.now))

    def answer_process(self, answer):
        self.process_answers.remove(answer)
        leader, name, asked_at = answer
        if leader.running and self.now < asked_at + self.times.order_timeout_s:
            leader.controller.end_server_process(name, asked_at)
            self.ended_servers += 1

    def advance(self, seconds):
        for pending in list(self.late_answers):
            if self.now + seconds >= pending.sent_at + self.times.order_timeout_s:
                self.answer_ended(pending)
        super().advance(seconds)

    def delay(self, pending):
        """An order to an ended server reaches nobody who would carry it out."""
        if pending.order.server not in self.occupants:
            super().delay(pending)
            return
        self.in_flight.remove(pending)
        if not self.reject_unsendable(pending, self.servers[pending.order.server]):
            self.answer(pending, OrderResult.UNKNOWN)


def build_evidence_model():
    names = [f"s{index}" for index in range(5)]
    return EvidenceModel({name: ModelServer(name) for name in names})
