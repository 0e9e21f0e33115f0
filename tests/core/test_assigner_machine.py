"""Assigners against a model of the platform, the witnesses and the rights to send.

The model grants every right that the protocol could grant, at the clock rates that make
it last longest, and checks that no key ever has two owners.
"""

from __future__ import annotations

from itertools import zip_longest
from math import inf
from random import Random

import hypothesis.strategies as st
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from basilwick.core.assigner import Assigner, AssignerView, StoredBlock, WriteBlock
from basilwick.core.assignment import BlockState
from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
    ServiceRecord,
)
from basilwick.core.timing import MOVE_WAIT_S, PERMISSION_TERM_S

SERVICE = ServiceRecord("clue", blocks=2, shards_per_block=2)
DATA_CENTRES = ("a", "b", "c")
# Two machines may differ by the margin of 2%.
RATES = {"a": 1.0098, "b": 0.99, "c": 1.0}
SLOWEST, FASTEST = 0.99, 1.0098
AUTONOMY_S = 60.0
HOT_KEYS = {4: (0, 50.0), 7: (3, 50.0)}
PROBES = (*range(4), *HOT_KEYS)

dc_names = st.sampled_from(DATA_CENTRES)
keys = st.sampled_from(PROBES)


@define
class Committed:
    document: object
    at: float


@define
class AssignerState:
    """One of the two assigners of a data centre, with what it knows."""

    assigner: Assigner = field(factory=Assigner)
    blocks: dict = field(factory=dict)
    writing: dict = field(factory=dict)


@define
class Centre:
    assigner_states: tuple = field(factory=lambda: (AssignerState(), AssignerState()))
    connected: bool = True
    stopped_at: float = inf
    learned: dict = field(factory=dict)
    contacts: list = field(factory=list)
    out_seen_at: dict = field(factory=dict)
    records: dict = field(factory=dict)
    lost: dict = field(factory=dict)


class AssignerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.rng = Random(7)
        self.history = {}
        self.records = {n: DataCentreRecord(n, autonomy_s=AUTONOMY_S) for n in "abc"}
        self.servers = {
            f"{dc}{n}": ServerRecord(
                f"{dc}{n}", "clue", dc, "127.0.0.1:1", checks_grants=n < 2
            )
            for dc in DATA_CENTRES
            for n in range(3)
        }
        self.centres = {name: Centre() for name in DATA_CENTRES}
        self.acknowledged = {}
        self.in_flight = []
        self.confirmed = []
        self.loads = {}
        self.hot_keys = {}
        for _ in range(2):
            self.run_normally(1.0)

    def _read_clock(self, dc, at):
        return 1000.0 * RATES[dc] + RATES[dc] * at

    def _get_learned(self, dc, id_, generation):
        times = self.centres[dc].learned.get(id_, [])
        return next((at for known, at in times if known >= generation), inf)

    def _build_view(self, dc, assigner_state):
        centre = self.centres[dc]
        return AssignerView(
            service=SERVICE,
            data_centre=dc,
            data_centres=centre.records,
            servers=self.servers,
            blocks=dict(assigner_state.blocks),
            writing=dict(assigner_state.writing),
            active_at=lambda id_, generation: (
                self._read_clock(dc, self._get_learned(dc, id_, generation))
                + MOVE_WAIT_S
            ),
            out_seen_at=centre.out_seen_at,
            autonomy_s=dict.fromkeys(DATA_CENTRES, AUTONOMY_S),
            lost=centre.lost,
            shard_loads=self.loads,
            hot_keys=self.hot_keys,
            revoked=self.acknowledged,
        )

    def _commit(self, action):
        document = action.document
        entries = self.history.setdefault(document.id, [])
        if action.expected != len(entries):
            return False
        if entries:
            self._check_successor(entries[-1].document, document)
        entries.append(Committed(document, self.now))
        return True

    def _check_successor(self, before, after):
        assert after.generation == before.generation + 1
        for key in PROBES:
            if key % 4 in after.shards:
                old = before.get_ownership(key % 4, key)
                new = after.get_ownership(key % 4, key)
                assert new.fence >= old.fence, "fence fell"
                assert new.fence > old.fence or new.owner == old.owner

    def _list_rights(self, key):
        """Return the servers that an instance somewhere may send the key to now."""
        shard = key % 4
        id_ = ("clue", shard // 2)
        entries = self.history.get(id_, [])
        for entry, following in zip_longest(entries, entries[1:]):
            document = entry.document
            ownership = document.get_ownership(shard, key)
            home = document.home
            if document.state is not BlockState.ACTIVE or not ownership.owner:
                continue
            start, replaced_at = entry.at, following.at if following else inf
            if ownership.moved_from is not None:
                known_at = self._get_learned(home, id_, ownership.fence)
                start = known_at + MOVE_WAIT_S / FASTEST
            superseded_at = self._get_learned(home, id_, document.generation + 1)
            # A holder of this generation read the platform before the next one.
            contacts = [at for at in self.centres[home].contacts if at < replaced_at]
            end = min(
                superseded_at + PERMISSION_TERM_S / SLOWEST,
                max(contacts, default=-inf) + AUTONOMY_S / SLOWEST,
                self.centres[home].stopped_at,
            )
            gave_up = self.acknowledged.get((id_, ownership.owner), 0)
            if not self.servers[ownership.owner].checks_grants:
                gave_up = 0
            if start <= self.now < end and gave_up <= document.generation:
                yield ownership.owner

    @rule(dc=dc_names)
    def learn(self, dc):
        """A majority of the witnesses reads all records and documents."""
        centre = self.centres[dc]
        if not centre.connected:
            return
        for id_, entries in self.history.items():
            times = centre.learned.setdefault(id_, [])
            if not times or times[-1][0] < len(entries):
                times.append((len(entries), self.now))
        centre.records = dict(self.records)
        if centre.records[dc].status is DataCentreStatus.IN:
            centre.contacts.append(self.now)
        for name, record in self.records.items():
            if record.status is DataCentreStatus.IN:
                centre.out_seen_at.pop(name, None)
            else:
                seen_at = self._read_clock(dc, self.now)
                centre.out_seen_at.setdefault(name, seen_at)

    @rule(dc=dc_names, number=st.integers(0, 1))
    def read(self, dc, number):
        """One assigner reads the documents and resolves its writes."""
        if self.centres[dc].connected:
            assigner_state = self.centres[dc].assigner_states[number]
            assigner_state.blocks = {
                id_: StoredBlock(entries[-1].document, len(entries))
                for id_, entries in self.history.items()
            }
            assigner_state.writing = {}

    @rule(dc=dc_names, number=st.integers(0, 1), in_order=st.booleans())
    def decide(self, dc, number, in_order=True):
        if self.centres[dc].stopped_at < inf:
            return
        assigner_state = self.centres[dc].assigner_states[number]
        now = self._read_clock(dc, self.now)
        view = self._build_view(dc, assigner_state)
        actions = assigner_state.assigner.decide(view, now, self.rng)
        ids = [action.document.id for action in actions]
        assert len(ids) == len(set(ids))
        assert not set(ids) & assigner_state.writing.keys()
        for action in actions:
            assert isinstance(action, WriteBlock)
            self.in_flight.append((dc, number, action))
            if in_order:
                assigner_state.writing[action.document.id] = action.document

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 20), answered=st.booleans())
    def deliver(self, index, answered):
        """One write reaches the platform, in any order; its answer may be lost."""
        dc, number, action = self.in_flight.pop(index % len(self.in_flight))
        if not self.centres[dc].connected:
            return
        succeeded = self._commit(action)
        if answered and succeeded:
            self.confirmed.append(action.document)
        if answered:
            self.read(dc, number)

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.9]))
    def run_normally(self, seconds):
        """One assigner of each data centre decides and its writes take effect."""
        for dc in DATA_CENTRES:
            self.learn(dc)
            self.read(dc, 0)
            self.decide(dc, 0)
            while self.in_flight:
                self.deliver(0, True)
        for dc in DATA_CENTRES:
            self.learn(dc)
        self.advance(seconds)

    @rule()
    def run_shortly(self):
        self.run_normally(0.1)

    @rule(seconds=st.sampled_from([0.1, 0.5, 0.82, 1.0, 6.0, 58.0, 70.0]))
    def advance(self, seconds):
        # Rights begin and end within a second of an event.
        begin, end = self.now, self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.1) if self.now < begin + 1.2 else end
            self.check_owners()

    def _find_owner(self, key):
        entries = self.history.get(("clue", key % 4 // 2))
        document = entries[-1].document if entries else None
        return document.get_ownership(key % 4, key).owner if document else ""

    @rule(key=keys)
    def lose_owner(self, key):
        """The owner counts as lost; it may be frozen and its rights still hold."""
        if name := self._find_owner(key):
            self.centres[name[0]].lost[name] = self._read_clock(name[0], self.now)

    @rule(key=keys, state=st.sampled_from([ServerState.DRAINING, ServerState.OUT]))
    def retire_owner(self, key, state):
        if name := self._find_owner(key):
            record = evolve(self.servers[name], state=state)
            self.servers = {**self.servers, name: record}

    @rule(key=keys)
    def move_twice(self, key):
        """Two previous owners; only the second one can acknowledge."""
        self.lose_owner(key)
        self.run_normally(0.1)
        self.retire_owner(key, ServerState.DRAINING)
        self.run_normally(0.1)
        for dc in DATA_CENTRES:
            self.acknowledge(dc, 0)
        self.run_normally(0.1)

    @rule()
    def return_servers(self):
        for centre in self.centres.values():
            centre.lost = {}
        for name, server in self.servers.items():
            record = evolve(server, state=ServerState.ACTIVE)
            self.servers = {**self.servers, name: record}

    @rule(dc=dc_names, number=st.integers(0, 1))
    def acknowledge(self, dc, number):
        """The servers that are not frozen take a grant of what an instance knows.

        Those that check nothing say so as well; their word must not count.
        """
        for name, server in self.servers.items():
            if server.data_centre != dc or name in self.centres[dc].lost:
                continue
            for id_, stored in self.centres[dc].assigner_states[number].blocks.items():
                known = self.acknowledged.get((id_, name), 0)
                generation = stored.document.generation
                self.acknowledged[id_, name] = max(known, generation)

    @rule(hot=st.booleans())
    def change_load(self, hot):
        """Load changes and stays; then hot keys and shards may move for it."""
        self.loads = {0: 60.0, 1: 10.0, 2: 10.0, 3: 60.0} if hot else {0: 10.0, 1: 10.0}
        self.hot_keys = HOT_KEYS if hot else {}
        self.run_normally(6.0)
        self.run_normally(35.0)
        self.run_normally(0.1)

    @rule(dc=dc_names, cut_off=st.booleans())
    def take_out(self, dc, cut_off):
        self.records[dc] = evolve(self.records[dc], status=DataCentreStatus.OUT)
        self.centres[dc].connected &= not cut_off
        for name in DATA_CENTRES:
            self.learn(name)

    @rule(dc=dc_names)
    def bring_back(self, dc):
        if self.centres[dc].stopped_at == inf:
            self.centres[dc].connected = True
            self.records[dc] = evolve(self.records[dc], status=DataCentreStatus.IN)

    @precondition(lambda self: all(c.connected for c in self.centres.values()))
    @rule(dc=dc_names)
    def cut_off(self, dc):
        self.centres[dc].connected = False

    @precondition(lambda self: all(c.connected for c in self.centres.values()))
    @rule(dc=dc_names)
    def stop_for_good(self, dc):
        """Operators switch a data centre off and vouch for it."""
        self.centres[dc].connected = False
        self.centres[dc].stopped_at = min(self.now, self.centres[dc].stopped_at)
        self.records[dc] = evolve(
            self.records[dc], status=DataCentreStatus.OUT, confirmed_stopped=True
        )

    @invariant()
    def check_owners(self):
        for key in PROBES:
            owners = set(self._list_rights(key))
            assert len(owners) <= 1, f"key {key} has owners {owners} at {self.now}"

    @invariant()
    def check_confirmed_writes(self):
        for document in self.confirmed:
            stored = self.history[document.id][document.generation - 1].document
            assert stored == document, "an acknowledged assignment is gone"

    def teardown(self):
        """After all faults every shard gets an owner that can serve it."""
        for dc in DATA_CENTRES:
            self.bring_back(dc)
        self.return_servers()
        alive = [dc for dc in DATA_CENTRES if self.centres[dc].stopped_at == inf]
        if not alive:
            return
        for _ in range(30):
            self.run_normally(1.0)
        for id_ in (("clue", 0), ("clue", 1)):
            document = self.history[id_][-1].document
            assert document.state is BlockState.ACTIVE
            for ownership in document.shards.values():
                assert self.servers[ownership.owner].data_centre == document.home
                assert document.home in alive


TestAssigner = AssignerMachine.TestCase
TestAssigner.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
