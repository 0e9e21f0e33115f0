"""The control decisions of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from basilwick.core.assigner import Assigner
from basilwick.core.assignment import parse_block_key
from basilwick.core.assignments import Assignments
from basilwick.core.configuration import Changes, Configuration, Entry
from basilwick.core.confirmation import Confirmations
from basilwick.core.events import (
    Action,
    ChangesFetched,
    Event,
    GrantsAnswered,
    LeaveRequested,
    MessageReceived,
    PlatformAnswered,
    ProbeAnswered,
    SendMessage,
    Tick,
    WriteAnswered,
)
from basilwick.core.heartbeats import HeartbeatSchedule
from basilwick.core.membership import Membership
from basilwick.core.messages import Announcement, Heartbeat, MemberSummary, Summary
from basilwick.core.queries import RoutingQueries
from basilwick.core.replication import ChangeFlow
from basilwick.core.roster import Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from basilwick.core.routing import Peer
    from basilwick.core.types import (
        MonotonicSeconds,
        Revision,
    )
    from basilwick.core.writes import AssignerDecision

__all__ = ["ControlNode", "Identity"]


@frozen
class Identity:
    """Who the own instance is and where it is reached.

    Attributes
    ----------
    peer : Peer
        Name, incarnation, data centre and forward address.
    peer_address : str
        Address for control traffic.
    seeds : tuple of str
        Peer addresses to contact before any other instance is known.
    """

    peer: Peer
    peer_address: str
    seeds: tuple[str, ...] = ()


class ControlNode(RoutingQueries):
    """Composes membership, confirmations, configuration, assigners and grants.

    It does no input or output: `handle` takes an event with the local time and returns
    the actions to carry out, whose results come back as events.

    Parameters
    ----------
    identity : Identity
        The own instance.
    create_assigner : callable, optional
        Returns the assigner of a service.
    """

    def __init__(
        self,
        identity: Identity,
        create_assigner: Callable[[], AssignerDecision] = Assigner,
    ):
        peer, address = identity.peer, identity.peer_address
        configuration = Configuration()
        membership = Membership(peer)
        super().__init__(
            peer,
            configuration,
            Confirmations(address, peer.incarnation),
            membership,
            Roster(peer, membership, configuration),
        )
        self.identity = identity
        self.successor = ""
        self._assignments = Assignments(
            peer.data_centre,
            configuration,
            self.confirmations,
            self.roster,
            self.servers,
            create_assigner,
        )
        self._flow = ChangeFlow(configuration)
        self._heartbeats = HeartbeatSchedule(address, peer.incarnation)
        self._handlers = {
            Tick: self._handle_tick,
            MessageReceived: self._handle_message,
            PlatformAnswered: self._handle_platform_answer,
            WriteAnswered: self._handle_write_answer,
            GrantsAnswered: self._handle_grants,
            ProbeAnswered: self._handle_probe,
            ChangesFetched: self._handle_fetched,
            LeaveRequested: self._handle_leave,
        }

    def handle(self, event: Event, now: MonotonicSeconds, rng: Random) -> list[Action]:
        """Take an event into account and return the actions that follow.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Local monotonic time in seconds.
        rng : random.Random
            Source of all random choices.
        """
        self._rng = rng
        version = self.confirmations.own_version
        actions = self._handlers[type(event)](event, now, rng)
        if self.confirmations.own_version != version or self._heartbeats.is_due(now):
            # A new generation is listed at once, because a move waits for a majority.
            actions.extend(self._send_heartbeats(now))
        return actions

    def _handle_tick(self, event: Tick, now: float, rng: Random) -> list[Action]:
        self.membership.remove_silent(now)
        self._update_ready(now)
        self.roster.refresh(now)
        needs_read = not self.ready and (
            self.configuration.revision == 0
            or (self.confirmations.is_witness and not self.confirmations.witness_ready)
        )
        return [
            *self._flow.decide_calls(self.roster.is_watcher, needs_read, now),
            *self._flow.decide_fetch(now),
            *self._send_summaries(now, rng),
            *self._decide_writes(now, rng),
            *self.servers.decide_calls(now),
        ]

    def _handle_message(
        self, event: MessageReceived, now: float, rng: Random
    ) -> list[Action]:
        message = event.message
        if isinstance(message, Heartbeat):
            return self._handle_heartbeat(message, now)
        if isinstance(message, Announcement):
            return self._handle_announcement(message, now)
        self.membership.record_summary(message, now)
        if message.data_centre == self.self_peer.data_centre or self.roster.is_watcher:
            self._flow.record_lead(message.config_revision, message.peer_address, now)
        return []

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Action]:
        if heartbeat.data_centre != self.self_peer.data_centre:
            return []
        self._heartbeats.record(heartbeat)
        self.membership.record_heartbeat(heartbeat, now)
        self.confirmations.record_heartbeat(heartbeat, now, self.configuration.revision)
        self.servers.record_reports(heartbeat, now)
        self._flow.record_lead(heartbeat.config_revision, heartbeat.peer_address, now)
        return []

    def _handle_announcement(
        self, announcement: Announcement, now: float
    ) -> list[Action]:
        is_own = announcement.data_centre == self.self_peer.data_centre
        applied = self.configuration.apply(
            Changes(
                announcement.revision,
                announcement.entries,
                snapshot=False,
                since=announcement.since,
            )
        )
        self._handle_applied_entries(applied, now)
        if is_own or not applied:
            return []
        # The watcher that receives changes of another data centre forwards them.
        return self._announce(applied, announcement.since, announcement.revision, now)

    def _handle_platform_answer(
        self, event: PlatformAnswered, now: float, rng: Random
    ) -> list[Action]:
        since = self.configuration.revision
        applied, complete = self._flow.record_answer(event, now, rng)
        self._handle_applied_entries(applied, now)
        if complete:
            self.confirmations.record_platform_read(event.started_at)
        if not applied or not event.is_watch:
            return []
        revision = self.configuration.revision if complete else 0
        return self._announce(applied, since if complete else 0, revision, now)

    def _handle_write_answer(
        self, event: WriteAnswered, now: float, rng: Random
    ) -> list[Action]:
        self._assignments.finish_write(event.key, event.write_id)
        self._flow.record_write(event.is_known, now, rng)
        if event.revision is not None:
            entry = Entry(event.key, event.value, event.revision)
        elif event.current is not None:
            entry = event.current
        else:
            return []
        applied = self.configuration.apply_entries([entry])
        self._handle_applied_entries(applied, now)
        return self._announce(applied, 0, 0, now) if applied else []

    def _handle_fetched(
        self, event: ChangesFetched, now: float, rng: Random
    ) -> list[Action]:
        self._handle_applied_entries(self._flow.record_fetch(event.changes), now)
        return []

    def _handle_grants(
        self, event: GrantsAnswered, now: float, rng: Random
    ) -> list[Action]:
        self.servers.handle_grants(event, now)
        return []

    def _handle_probe(
        self, event: ProbeAnswered, now: float, rng: Random
    ) -> list[Action]:
        self.servers.handle_probe(event, now)
        return []

    def _handle_leave(
        self, event: LeaveRequested, now: float, rng: Random
    ) -> list[Action]:
        self.roster.self_leaving = True
        self.successor = self.roster.choose_successor(now)
        self.roster.refresh(now)
        return self._send_heartbeats(now)

    def _handle_applied_entries(self, entries: Iterable[Entry], now: float) -> None:
        """Bring what is derived from documents up to date."""
        own = self.self_peer.data_centre
        for entry in entries:
            block = parse_block_key(entry.key)
            if block is None:
                continue
            document = self.configuration.blocks[block].document
            is_ours = own in (document.home, document.released_from)
            generation = document.generation if is_ours else None
            self.confirmations.set_own_generation(block, generation, now)
        self.confirmations.set_record(self.configuration.data_centres.get(own))
        self._assignments.record_statuses(now)
        self.roster.refresh(now)

    def _update_ready(self, now: float) -> None:
        if self.ready or self.configuration.revision == 0:
            return
        if self.self_peer.data_centre not in self.configuration.data_centres:
            return
        homed = self.confirmations.own_generations
        self.roster.self_ready = not homed or any(
            self.confirmations.get_permission_end(block, generation, now) > now
            for block, generation in homed.items()
        )

    def _decide_writes(self, now: float, rng: Random) -> list[Action]:
        if not self.ready or not self._flow.may_call(now):
            return []
        return self._assignments.decide(now, rng)

    def _announce(
        self, entries: Iterable[Entry], since: Revision, revision: Revision, now: float
    ) -> list[Action]:
        """Push changes to the own data centre and a watcher of each other one."""
        own = self.self_peer.data_centre
        message = Announcement(own, tuple(entries), since, revision)
        return [
            SendMessage(address, message)
            for address in (*self._list_contacts(), *self._list_remote_watchers())
        ]

    def _send_heartbeats(self, now: float) -> list[Action]:
        confirmations, peer = self.confirmations, self.self_peer
        contacts = self._list_contacts()
        heartbeat = Heartbeat(
            instance=peer.name,
            incarnation=peer.incarnation,
            data_centre=peer.data_centre,
            peer_address=self.identity.peer_address,
            forward_address=peer.forward_address,
            sent_at=now,
            ready=self.ready,
            leaving=self.roster.self_leaving,
            witness_ready=confirmations.witness_ready,
            config_revision=self.configuration.revision,
            platform_age=confirmations.get_platform_age(now),
            generations_version=(
                confirmations.own_version + 1 if confirmations.is_witness else 0
            ),
            successor=self.successor,
            observations=self.servers.list_observations(now),
            revocations=self.servers.list_revocations(),
            loads=self.servers.list_loads(now),
        )
        return list(
            self._heartbeats.send(
                heartbeat,
                confirmations.own_generations,
                confirmations.list_seen_versions(),
                contacts,
                now,
            )
        )

    def _send_summaries(self, now: float, rng: Random) -> list[Action]:
        own, address = self.self_peer.data_centre, self.identity.peer_address
        targets: list[str] = []
        if self.roster.is_first_watcher:
            targets.extend(self._list_remote_watchers())
        if self.roster.is_watcher or self.confirmations.is_witness:
            targets.extend(self._list_contacts())
        if not targets:
            return []
        members = (self._summarize_self(), *self.membership.summarize(now))
        summary = Summary(own, address, self.configuration.revision, members)
        return list(self._heartbeats.send_summary(summary, targets, now, rng))

    def _summarize_self(self) -> MemberSummary:
        peer = self.self_peer
        return MemberSummary(
            instance=peer.name,
            incarnation=peer.incarnation,
            data_centre=peer.data_centre,
            peer_address=self.identity.peer_address,
            forward_address=peer.forward_address,
            ready=self.ready,
            leaving=self.roster.self_leaving,
            silent_for=0.0,
            successor=self.successor,
        )

    def _list_contacts(self) -> list[str]:
        """Return the peer addresses of the own data centre to talk to."""
        known = self.membership.list_known(self.self_peer.data_centre)
        addresses = {
            *(member.peer_address for member in known),
            *self.confirmations.witnesses,
            *self.identity.seeds,
        }
        return sorted(addresses - {self.identity.peer_address})

    def _list_remote_watchers(self) -> list[str]:
        """Return one peer address in each other data centre."""
        addresses = []
        for name, record in sorted(self.configuration.data_centres.items()):
            if name == self.self_peer.data_centre:
                continue
            watchers = self.roster.list_watchers(name)
            member = self.membership.get_member(watchers[0]) if watchers else None
            if member is not None:
                addresses.append(member.peer_address)
            else:
                # Before any of its members is known, its witnesses are.
                addresses.extend(seat.peer_address for seat in record.witnesses)
        return addresses
