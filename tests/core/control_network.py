"""Several control nodes joined by an in-memory network and platform."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field
from control_assertions import (
    RevisionCheck,
    assert_acknowledged_writes_kept,
    assert_one_owner,
)
from orjson import dumps

from basilwick.core.assigner_view import WriteBlock
from basilwick.core.assignment import BlockDocument, parse_block_key
from basilwick.core.configuration import Changes, Entry
from basilwick.core.control import ControlNode, Identity
from basilwick.core.events import (
    ChangesFetched,
    CompareAndSwap,
    FetchChanges,
    MessageReceived,
    PlatformAnswered,
    ReadPlatform,
    SendMessage,
    Tick,
    WatchPlatform,
    WriteAnswered,
)
from basilwick.core.ownership import Ownership
from basilwick.core.records import record_key
from basilwick.core.routing import Peer
from basilwick.core.timing import TICK_INTERVAL_S

SHARDS = 4
TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.005


class MoveOffRetiredServers:
    """Creates missing blocks and moves shards off servers that are not active."""

    def decide(self, view, now, rng):
        here = [s for s in view.servers.values() if s.data_centre == view.data_centre]
        usable = sorted(s.name for s in here if s.state == "active")
        if not usable:
            return
        for index in range(view.service.blocks):
            block = (view.service.name, index)
            write_id = f"{rng.getrandbits(64):x}"
            stored = view.blocks.get(block)
            if stored is None:
                first = index * view.service.shards_per_block
                shards = range(first, first + view.service.shards_per_block)
                owned = {n: Ownership(usable[n % len(usable)], 1) for n in shards}
                document = BlockDocument(
                    *block, 1, view.data_centre, owned, write_id=write_id
                )
                yield WriteBlock(document, 0, "created")
                continue
            moves = {
                shard: usable[(shard + stored.document.generation) % len(usable)]
                for shard, ownership in stored.document.shards.items()
                if ownership.owner not in usable
            }
            if moves and stored.document.home == view.data_centre:
                moved = stored.document.move_shards(moves, write_id=write_id)
                yield WriteBlock(moved, stored.revision, "moved")


@define
class MemoryPlatform:
    """Key-value service; a watch sees only the newest value of each key."""

    entries: dict = field(factory=dict)
    history: list = field(factory=list)
    down: bool = False
    lost_answers: float = 0.0
    calls: list = field(factory=list)

    @property
    def revision(self):
        return len(self.history)

    def put_record(self, **record):
        record = {"schema": 2, **record}
        key = record_key(record["kind"], record["name"])
        self.write(key, dumps(record))

    def write(self, key, value):
        entry = Entry(key, value, self.revision + 1)
        self.history.append(entry)
        self.entries[key] = entry
        return entry

    def list_changes(self, since):
        entries = [e for e in self.entries.values() if e.revision > since]
        return Changes(self.revision, entries, snapshot=since == 0, since=since)


@define
class Host:
    """A node with its clock, its random numbers and its faults."""

    name: str
    node: ControlNode
    rng: Random
    incarnation: str
    rate: float = 1.0
    offset: float = 0.0
    started_at: float = 0.0
    paused: bool = False
    waiting: list = field(factory=list)

    def read_clock(self, time):
        return self.offset + self.rate * time


class Network:
    """Delivers actions and events in the order of a common simulated time."""

    def __init__(self, seed, delay_s=0.002, loss=0.0):
        self.rng = Random(seed)
        self.time = 0.0
        self.platform = MemoryPlatform()
        self.hosts = {}
        self.acknowledged = []
        self.max_delay_s = delay_s
        self.loss = loss
        self.cut = set()
        self.platform_cut = set()
        self.served = 0
        self._next_check_at = 0.0
        self._names = []
        self._revisions = RevisionCheck()
        self._queue = []
        self._order = count()
        self._starts = count()

    # Set-up and faults.

    def start_host(self, name, data_centre="dc-a", rate=1.0, seeds=()):
        incarnation = f"{name}#{next(self._starts)}"
        peer = Peer(name, incarnation, data_centre, f"{name}:forward")
        seeds = tuple(self.find_address(seed) for seed in seeds)
        identity = Identity(peer, self.find_address(name), seeds)
        node = ControlNode(identity, self.assigner)
        host = Host(name, node, Random(self.rng.random()), incarnation, rate)
        # Clocks of different machines have unrelated readings.
        host.offset = self.rng.uniform(1, 1e6)
        self.hosts[name] = host
        self._schedule(self.rng.uniform(0, TICK_INTERVAL_S), self._tick, host)
        return host

    assigner = MoveOffRetiredServers

    def find_address(self, name):
        """Return the address of a host, which its restarts keep."""
        if name not in self._names:
            self._names.append(name)
        return f"10.0.0.{self._names.index(name)}:7000"

    def _find_host(self, address):
        number = address.rpartition(":")[0].rpartition(".")[2]
        return self._names[int(number)]

    def stop_host(self, name):
        del self.hosts[name]

    def pause(self, name):
        self.hosts[name].paused = True

    def resume(self, name):
        host = self.hosts[name]
        host.paused = False
        waiting, host.waiting = host.waiting, []
        for event in waiting:
            self._handle(host, event)

    def partition(self, *groups):
        """Cut all links between hosts of different groups; no groups heal all."""
        self.cut = {
            (a, b)
            for group in groups
            for other in groups
            if other is not group
            for a in group
            for b in other
        }

    # Running.

    def run(self, seconds):
        """Advance, checking the invariants every CHECK_INTERVAL_S."""
        end = self.time + seconds
        while self._queue and self._queue[0][0] <= end:
            self.time, _, action, arguments = heappop(self._queue)
            action(*arguments)
            if self.time >= self._next_check_at:
                self.check()
        self.time = end
        self.check()
        assert_acknowledged_writes_kept(self.platform.history, self.acknowledged)

    def run_until(self, condition, seconds):
        """Advance until a condition holds, and return the time that took."""
        start = self.time
        while not condition():
            assert self.time - start < seconds, f"not reached within {seconds} s"
            self.run(0.01)
        return self.time - start

    def check(self):
        """Check that each shard has at most one owner and nothing goes back."""
        self._next_check_at = self.time + CHECK_INTERVAL_S
        nodes = [(h.name, h.node, h.read_clock(self.time)) for h in self.hosts.values()]
        self.served = assert_one_owner(nodes)
        for host in self.hosts.values():
            self._revisions.check(host.incarnation, host.node)

    def _schedule(self, delay, action, *arguments):
        heappush(self._queue, (self.time + delay, next(self._order), action, arguments))

    def _delay(self):
        return self.rng.uniform(0.0002, self.max_delay_s)

    def _tick(self, host):
        if self.hosts.get(host.name) is not host:
            return
        if not host.paused:
            self._handle(host, Tick())
        self._schedule(TICK_INTERVAL_S / host.rate, self._tick, host)

    def _handle(self, host, event):
        if self.hosts.get(host.name) is not host:
            return
        if host.paused:
            host.waiting.append(event)
            return
        now = host.read_clock(self.time)
        for action in host.node.handle(event, now, host.rng):
            self._carry_out(host, action, now)

    def _carry_out(self, host, action, now):
        if isinstance(action, SendMessage):
            self._send(host, action.peer_address, MessageReceived(action.message))
        elif isinstance(action, FetchChanges):
            self._schedule(self._delay(), self._fetch, host, action)
        elif isinstance(action, ReadPlatform):
            self._call(host, self._read, now)
        elif isinstance(action, WatchPlatform):
            self._call(
                host, self._watch, action.since, now, self.time + action.timeout_s
            )
        elif isinstance(action, CompareAndSwap):
            self._call(host, self._swap, action)

    def _send(self, host, address, event):
        target = self._find_host(address)
        if (host.name, target) in self.cut or self.rng.random() < self.loss:
            return
        self._schedule(self._delay(), self._deliver, target, event)

    def _deliver(self, target, event):
        if target in self.hosts:
            self._handle(self.hosts[target], event)

    def _fetch(self, host, action):
        target = self._find_host(action.peer_address)
        peer = self.hosts.get(target)
        changes = None
        reachable = (host.name, target) not in self.cut
        if peer is not None and not peer.paused and reachable:
            changes = peer.node.configuration.changes_since(action.since)
        event = ChangesFetched(action.peer_address, changes)
        self._schedule(self._delay(), self._handle, host, event)

    def _call(self, host, method, *arguments):
        self.platform.calls.append((self.time, host.name, method.__name__))
        self._schedule(self._delay(), method, host, *arguments)

    def _is_out(self, host):
        return self.platform.down or host.name in self.platform_cut

    def _read(self, host, started_at):
        changes = None if self._is_out(host) else self.platform.list_changes(0)
        delay = self._delay() if changes else TIMEOUT_S
        event = PlatformAnswered(started_at, changes, is_watch=False)
        self._schedule(delay, self._handle, host, event)

    def _watch(self, host, since, started_at, until):
        waits = self.platform.revision <= since and self.time < until
        if waits and not self._is_out(host):
            self._schedule(0.01, self._watch, host, since, started_at, until)
            return
        changes = None if self._is_out(host) else self.platform.list_changes(since)
        event = PlatformAnswered(started_at, changes, is_watch=True)
        self._schedule(self._delay(), self._handle, host, event)

    def _swap(self, host, action):
        key, write_id, value = action.key, action.write_id, action.value
        stored = self.platform.entries.get(key)
        unknown = WriteAnswered(key, write_id, value, is_known=False)
        if self._is_out(host):
            self._schedule(TIMEOUT_S, self._handle, host, unknown)
            return
        if (stored.revision if stored else 0) != action.expected:
            event = WriteAnswered(key, write_id, value, current=stored)
        else:
            entry = self.platform.write(key, value)
            event = WriteAnswered(key, write_id, value, revision=entry.revision)
        if self.rng.random() < self.platform.lost_answers:
            self._schedule(TIMEOUT_S, self._handle, host, unknown)
            return
        if event.revision is not None:
            self.acknowledged.append(write_id)
        self._schedule(self._delay(), self._handle, host, event)


def start_data_centre(
    seed, hosts=("a-0", "a-1", "a-2"), witnesses=3, blocks=2, servers=3, **options
):
    """Return a network of one data centre whose shards are all served."""
    network = Network(seed, **options)
    names = list(hosts)
    put_data_centre(network, "dc-a", names[:witnesses])
    for number in range(servers):
        put_server(network, f"s-{number}")
    network.platform.put_record(
        kind="service", name="clue", blocks=blocks, shards_per_block=SHARDS
    )
    for name in names:
        network.start_host(name)
    network.run_until(lambda: network.served == blocks * SHARDS, 10)
    network.run_until(lambda: all(h.node.ready for h in network.hosts.values()), 2)
    network.run(0.5)
    return network


def put_data_centre(network, name, witnesses, **fields):
    seats = [{"name": w, "peer_address": network.find_address(w)} for w in witnesses]
    network.platform.put_record(
        kind="data_centre", name=name, witnesses=seats, **fields
    )


def put_server(network, name, data_centre="dc-a", **fields):
    network.platform.put_record(
        kind="server", name=name, service="clue", data_centre=data_centre,
        address="127.0.0.1:1", **fields,
    )  # fmt: skip


def list_owners(network, name="a-0"):
    """Return the owner of each shard by the documents of one host."""
    blocks = network.hosts[name].node.configuration.blocks
    return {
        shard: ownership.owner
        for stored in blocks.values()
        for shard, ownership in stored.document.shards.items()
    }


def count_generations(network):
    """Return the generation of each block in the platform."""
    return {
        block: BlockDocument.decode(entry.value).generation
        for key, entry in network.platform.entries.items()
        if (block := parse_block_key(key)) is not None
    }
