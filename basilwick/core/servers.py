"""What the instance sees of backend servers: grants, evidence of loss and load."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.detection import ServerDetector
from basilwick.core.events import GetGrants, ProbeServer, PutGrants
from basilwick.core.grants import Grant, build_grant, compute_grant_end
from basilwick.core.hashing import rank_candidates
from basilwick.core.hotkeys import LoadMeter, LoadReport, merge_reports
from basilwick.core.messages import Revocation, ServerLoad, ServerObservation
from basilwick.core.timing import GRANT_RENEWAL_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from random import Random

    from basilwick.core.assignment import BlockDocument
    from basilwick.core.configuration import Configuration
    from basilwick.core.confirmation import Confirmations
    from basilwick.core.events import Action, GrantsAnswered, ProbeAnswered
    from basilwick.core.grants import GrantReply
    from basilwick.core.messages import Heartbeat
    from basilwick.core.records import ServerRecord
    from basilwick.core.roster import Roster
    from basilwick.core.routing import Location
    from basilwick.core.types import (
        BlockId,
        Generation,
        InstanceName,
        MonotonicSeconds,
        ServerName,
        ServiceName,
        ShardIndex,
    )

__all__ = ["ServerDuties"]

#: A second instance calls each server this often, so that a loss is confirmed without
#: waiting for the first report.
_OBSERVER_INTERVAL_S = 0.3
#: A recovery is reported for this long, so that one lost heartbeat does not hide it.
_REPORT_RECOVERY_S = 2.0
#: Load reports of a gateway that sent no newer one for this long are dropped.
_LOAD_VALID_S = 15.0
#: A load report is repeated in heartbeats for this long after it changed.
_LOAD_REPEAT_S = 0.25


@define
class _Contact:
    """State of the calls to one server."""

    calling: bool = False
    next_at: MonotonicSeconds = 0.0
    clock_ms: float | None = None
    heard_at: MonotonicSeconds = 0.0
    incarnation: str = ""
    digest: str | None = None
    acknowledged: dict[BlockId, Generation] = field(factory=dict)
    failing_since: MonotonicSeconds | None = None
    recovered_at: MonotonicSeconds = float("-inf")


@define
class _Load:
    """Load report of one gateway for one server, with its arrival."""

    report: LoadReport
    at: MonotonicSeconds


class ServerDuties:
    """Renews grants, watches servers and reports what was seen to other instances.

    Parameters
    ----------
    self_name : str
        Name of the own instance.
    data_centre : str
        Its data centre.
    configuration : Configuration
        Records and block documents.
    confirmations : Confirmations
        Rights of the own instance.
    roster : Roster
        Duties of the instances.
    """

    def __init__(
        self,
        self_name: InstanceName,
        data_centre: str,
        configuration: Configuration,
        confirmations: Confirmations,
        roster: Roster,
    ):
        self._name = self_name
        self._data_centre = data_centre
        self._configuration = configuration
        self._confirmations = confirmations
        self._roster = roster
        self._contacts: dict[ServerName, _Contact] = {}
        self._meters: dict[ServerName, LoadMeter] = {}
        self._loads: dict[tuple[InstanceName, ServerName], _Load] = {}
        self._own_reports: dict[ServerName, _Load] = {}
        self._revoked: dict[tuple[BlockId, ServerName], Generation] = {}
        self._running: Counter[tuple[ServerName, ShardIndex]] = Counter()
        self.detector = ServerDetector()

    def decide_calls(self, now: MonotonicSeconds) -> Iterator[Action]:
        """Return the calls to servers that are due.

        Parameters
        ----------
        now : float
            Local time in seconds.
        """
        served = set(self._roster.list_served())
        for name, record in self._list_local_servers():
            is_gateway = name in served
            if not is_gateway and not self._is_observer(record):
                continue
            contact = self._contacts.setdefault(name, _Contact())
            if contact.calling or now < contact.next_at:
                continue
            contact.calling = True
            if is_gateway:
                contact.next_at = now + GRANT_RENEWAL_INTERVAL_S
                yield self._build_call(record, contact, now)
            else:
                contact.next_at = now + _OBSERVER_INTERVAL_S
                yield ProbeServer(name, record.address)

    def handle_grants(self, event: GrantsAnswered, now: MonotonicSeconds) -> None:
        """Take the answer to a grant, or its absence, into account."""
        contact = self._contacts.setdefault(event.server, _Contact())
        contact.calling = False
        reply = event.reply
        self._record_result(event.server, reply is not None, now, event.started_at)
        if reply is None:
            return
        if reply.incarnation != contact.incarnation:
            # A restarted server has lost its fences: earlier acknowledgements are void.
            self._clear_acknowledged(event.server, contact)
            contact.incarnation = reply.incarnation
        contact.clock_ms, contact.heard_at = reply.clock_ms, now
        contact.digest = reply.digest
        self._acknowledge(event, contact, reply)

    def handle_probe(self, event: ProbeAnswered, now: MonotonicSeconds) -> None:
        """Take the answer to a probe, or its absence, into account."""
        contact = self._contacts.setdefault(event.server, _Contact())
        contact.calling = False
        self._record_result(event.server, event.succeeded, now, now)

    def record_result(
        self, server: ServerName, succeeded: bool, now: MonotonicSeconds
    ) -> None:
        """Count the result of a request as evidence."""
        self._record_result(server, succeeded, now, now)

    def record_request(
        self, location: Location, now: MonotonicSeconds, rng: Random
    ) -> None:
        """Count a request that is about to be sent as load of its shard and key."""
        owner = location.owner
        if owner is None:
            return
        self._running[owner.name, location.shard] += 1
        meter = self._meters.get(owner.name)
        if meter is None:
            service = self._configuration.services[location.service]
            meter = self._meters[owner.name] = LoadMeter(service.shard_count)
        meter.record(location.key_hash, now, rng)

    def record_finish(self, location: Location) -> None:
        """Note that a counted request ended."""
        if location.owner is None:
            return
        unit = (location.owner.name, location.shard)
        self._running[unit] -= 1
        if self._running[unit] <= 0:
            del self._running[unit]

    def map_to_server_clock(
        self, server: ServerName, at: MonotonicSeconds
    ) -> float | None:
        """Return a local time in milliseconds on the server's clock."""
        record = self._configuration.servers.get(server)
        contact = self._contacts.get(server)
        if record is None or not record.reports_clock:
            return None
        if contact is None or contact.clock_ms is None:
            return None
        return compute_grant_end(at, contact.clock_ms, contact.heard_at)

    def record_reports(self, heartbeat: Heartbeat, now: MonotonicSeconds) -> None:
        """Take what another instance saw into account."""
        for seen in heartbeat.observations:
            self.detector.record_result(
                seen.server,
                heartbeat.instance,
                not seen.failing,
                now,
                now - seen.silent_for,
            )
        for revocation in heartbeat.revocations:
            unit = (revocation.block, revocation.server)
            known = self._revoked.get(unit, 0)
            self._revoked[unit] = max(known, revocation.generation)
        for load in heartbeat.loads:
            report = LoadReport(load.shards, load.hot_keys)
            self._loads[heartbeat.instance, load.server] = _Load(report, now)

    def list_observations(self, now: MonotonicSeconds) -> tuple[ServerObservation, ...]:
        """Return failing and newly recovered servers for the next heartbeat."""
        seen = []
        for name, contact in self._contacts.items():
            if contact.failing_since is not None:
                silent_for = now - contact.failing_since
                seen.append(ServerObservation(name, silent_for, True))
            elif now - contact.recovered_at < _REPORT_RECOVERY_S:
                seen.append(ServerObservation(name, 0.0, False))
        return tuple(seen)

    def list_revocations(self) -> tuple[Revocation, ...]:
        """Return what servers gave up, for blocks whose moves are pending."""
        return tuple(
            Revocation(server, block, generation)
            for server in self._roster.list_served()
            for block, generation in self._list_acknowledged(server)
        )

    def list_loads(self, now: MonotonicSeconds) -> tuple[ServerLoad, ...]:
        """Return load reports that changed a moment ago."""
        loads = []
        for name in self._roster.list_served():
            meter = self._meters.get(name)
            if meter is None:
                continue
            report = meter.collect(now)
            known = self._own_reports.get(name)
            if known is None or known.report is not report:
                known = self._own_reports[name] = _Load(report, now)
                self._loads[self._name, name] = known
            if now - known.at < _LOAD_REPEAT_S and report.shards:
                total = sum(report.shards.values())
                loads.append(ServerLoad(name, total, report.shards, report.hot_keys))
        return tuple(loads)

    def find_lost(self, now: MonotonicSeconds) -> dict[ServerName, MonotonicSeconds]:
        """Return the lost servers of the data centre."""
        observers = [peer.name for peer in self._roster.list_peers(self._data_centre)]
        return self.detector.find_lost(observers, now)

    def merge_loads(self, service: ServiceName, now: MonotonicSeconds) -> LoadReport:
        """Return the load of a service as its gateways reported it."""
        servers = self._configuration.servers
        return merge_reports(
            load.report
            for (_, server), load in self._loads.items()
            if now - load.at < _LOAD_VALID_S
            and server in servers
            and servers[server].service == service
        )

    def collect_revoked(self) -> Mapping[tuple[BlockId, ServerName], Generation]:
        """Return up to which generation servers gave up what moved away from them."""
        revoked = dict(self._revoked)
        for revocation in self.list_revocations():
            revoked[revocation.block, revocation.server] = revocation.generation
        return revoked

    def _list_local_servers(self) -> list[tuple[ServerName, ServerRecord]]:
        return [
            (name, record)
            for name, record in self._configuration.servers.items()
            if record.data_centre == self._data_centre and record.state != "out"
        ]

    def _is_observer(self, record: ServerRecord) -> bool:
        gateway = self._roster.get_gateway(record.name)
        others = [
            peer.name
            for peer in self._roster.list_peers(self._data_centre)
            if gateway is None or peer.name != gateway.name
        ]
        return rank_candidates(f"observer\0{record.name}", others)[:1] == [self._name]

    def _build_call(
        self, record: ServerRecord, contact: _Contact, now: MonotonicSeconds
    ) -> Action:
        if not record.checks_grants:
            return ProbeServer(record.name, record.address)
        if contact.clock_ms is None:
            return GetGrants(record.name, record.address)
        ends = {
            document.id: self._confirmations.get_permission_end(
                document.id, document.generation, now
            )
            for document in self._list_own_documents()
        }
        content = build_grant(
            record.name,
            [d for d in self._list_own_documents() if ends[d.id] > now],
            self._confirmations.get_active_at,
            now,
        )
        end = min((ends[block] for block in content.generations), default=now)
        expires_at = compute_grant_end(end, contact.clock_ms, contact.heard_at)
        grant = Grant(content, expires_at, contact.digest)
        return PutGrants(record.name, record.address, grant)

    def _list_own_documents(self) -> Iterable[BlockDocument]:
        return [
            stored.document
            for stored in self._configuration.blocks.values()
            if self._data_centre
            in (stored.document.home, stored.document.released_from)
        ]

    def _acknowledge(
        self, event: GrantsAnswered, contact: _Contact, reply: GrantReply
    ) -> None:
        grant = event.grant
        if grant is None or not reply.checks or reply.digest != grant.content.digest:
            return
        for block, generation in grant.content.generations.items():
            known = contact.acknowledged.get(block, 0)
            contact.acknowledged[block] = max(known, generation)

    def _clear_acknowledged(self, server: ServerName, contact: _Contact) -> None:
        contact.acknowledged.clear()
        for unit in [unit for unit in self._revoked if unit[1] == server]:
            del self._revoked[unit]

    def _list_acknowledged(
        self, server: ServerName
    ) -> Iterator[tuple[BlockId, Generation]]:
        """Return pending blocks that a server gave up and has no running work of."""
        contact = self._contacts.get(server)
        if contact is None:
            return
        for block, generation in contact.acknowledged.items():
            stored = self._configuration.blocks.get(block)
            if stored is None:
                continue
            leaving = _list_leaving(stored.document, server)
            # Work that the old owner still runs would overlap with the new owner's.
            if leaving and not any(self._running.get((server, s)) for s in leaving):
                yield block, generation

    def _record_result(
        self,
        server: ServerName,
        succeeded: bool,
        now: MonotonicSeconds,
        started_at: MonotonicSeconds,
    ) -> None:
        contact = self._contacts.setdefault(server, _Contact())
        if succeeded:
            if contact.failing_since is not None:
                contact.failing_since = None
                contact.recovered_at = now
        elif contact.failing_since is None:
            contact.failing_since = started_at
        self.detector.record_result(server, self._name, succeeded, now, started_at)


def _list_leaving(document: BlockDocument, server: ServerName) -> set[ShardIndex]:
    """Return the shards that left a server, or of which a hot key left it."""
    shards = {
        shard
        for shard, ownership in document.shards.items()
        if ownership.moved_from == server
    }
    hot = {
        document.get_shard(key_hash)
        for key_hash, ownership in document.hot.items()
        if ownership.moved_from == server
    }
    return shards | hot
