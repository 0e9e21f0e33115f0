"""Grants, evidence of loss and revocations of one instance."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve
from orjson import dumps

from basilwick.core.assignment import BlockDocument, Ownership, block_key
from basilwick.core.configuration import Configuration, Entry
from basilwick.core.events import (
    GetGrants,
    GrantsAnswered,
    ProbeAnswered,
    ProbeServer,
    PutGrants,
)
from basilwick.core.grants import GrantReply
from basilwick.core.messages import Heartbeat, ServerObservation
from basilwick.core.records import record_key
from basilwick.core.routing import Location, Peer
from basilwick.core.servers import ServerDuties

BLOCK = ("clue", 0)
PERMISSION_END = 100.5


class _Confirmations:
    def get_permission_end(self, block, generation, now):
        return PERMISSION_END

    def get_active_at(self, block, generation):
        return 0.0


class _Roster:
    def __init__(self, served, names):
        self.served = served
        self.peers = [Peer(name, "i", "dc-a", "127.0.0.1:1") for name in names]

    def list_served(self):
        return self.served

    def list_peers(self, data_centre):
        return self.peers

    def get_gateway(self, server):
        return self.peers[0]


def _build_entries(document):
    records = [
        {"schema": 2, "kind": "service", "name": "clue", "blocks": 1},
        *(
            {
                "schema": 2,
                "kind": "server",
                "name": name,
                "service": "clue",
                "data_centre": "dc-a",
                "address": f"127.0.0.1:{port}",
                "checks_grants": checks,
                "reports_clock": checks,
            }
            for name, port, checks in (("s1", 81, True), ("s2", 82, False))
        ),
    ]
    entries = [
        Entry(record_key(r["kind"], r["name"]), dumps(r), number)
        for number, r in enumerate(records, 1)
    ]
    return [*entries, Entry(block_key(*BLOCK), document.encode(), 10)]


@pytest.fixture
def duties():
    document = BlockDocument(
        "clue", 0, 1, "dc-a", {0: Ownership("s1", 1)}, shard_count=16
    )
    configuration = Configuration()
    configuration.apply_entries(_build_entries(document))
    roster = _Roster(["s1", "s2"], ["a-1", "a-2"])
    result = ServerDuties("a-1", "dc-a", configuration, _Confirmations(), roster)
    result.document = document
    result.configuration = configuration
    return result


def _answer(duties, call, digest="", incarnation="i1", clock_ms=5000.0, now=100.0):
    grant = getattr(call, "grant", None)
    reply = GrantReply(clock_ms, incarnation, True, digest)
    duties.handle_grants(GrantsAnswered(call.server, now, grant, reply), now)


def _decide(duties, now):
    return {call.server: call for call in duties.decide_calls(now)}


def _move_away(duties):
    moved = duties.document.move_shards({0: "s2"})
    entry = Entry(block_key(*BLOCK), moved.encode(), 11)
    duties.configuration.apply_entries([entry])


def _locate(duties):
    owner = duties.configuration.servers["s1"]
    return Location("clue", 0, BLOCK, 0, "dc-a", 1, 1, owner, 0.0, None)


def _acknowledge_release(duties, incarnation="i1"):
    """Let s1 acknowledge the grant that follows the move of its shard."""
    _answer(duties, _decide(duties, 100.0)["s1"])
    _move_away(duties)
    call = _decide(duties, 100.2)["s1"]
    digest = call.grant.content.digest
    _answer(duties, call, digest, incarnation, now=100.2)


def test_grant_ends_with_the_permission_on_the_servers_clock(duties):
    # Guards against a server that serves on after its gateway's right has ended.
    first = _decide(duties, 100.0)
    assert isinstance(first["s1"], GetGrants)
    _answer(duties, first["s1"], clock_ms=5000.0, now=100.0)
    second = _decide(duties, 100.2)["s1"]
    assert isinstance(second, PutGrants)
    assert second.grant.expires_at_ms == 5000 + 500
    assert duties.map_to_server_clock("s1", 100.25) == 5250


def test_server_without_grants_is_only_probed(duties):
    assert isinstance(_decide(duties, 100.0)["s2"], ProbeServer)
    assert duties.map_to_server_clock("s2", 100.0) is None


@pytest.mark.parametrize(("second_observer", "lost"), [(False, False), (True, True)])
def test_loss_needs_a_second_observer(duties, second_observer, lost):
    # Guards against an instance that is cut off by itself and moves all its keys.
    for now in (100.0, 100.2, 100.45):
        duties.handle_probe(ProbeAnswered("s2", False), now)
    if second_observer:
        seen = (ServerObservation("s2", 0.45, True),)
        heartbeat = Heartbeat("a-2", "i", "dc-a", "p", "f", 1.0, observations=seen)
        duties.record_reports(heartbeat, 100.46)
    assert ("s2" in duties.find_lost(100.46)) is lost


def test_recovery_is_reported_and_clears_the_loss_elsewhere(duties):
    # Guards against an assigner that treats a server as lost for good.
    duties.handle_probe(ProbeAnswered("s2", False), 100.0)
    assert duties.list_observations(100.1)[0].failing
    duties.handle_probe(ProbeAnswered("s2", True), 100.2)
    assert not duties.list_observations(100.3)[0].failing
    assert duties.list_observations(110.0) == ()


def test_revocation_waits_for_running_requests(duties):
    # Guards against a new owner that starts while the old one still works on the key.
    duties.record_request(_locate(duties), 100.0, Random(1))
    _acknowledge_release(duties)
    assert duties.list_revocations() == ()
    duties.record_finish(_locate(duties))
    (revocation,) = duties.list_revocations()
    assert (revocation.server, revocation.generation) == ("s1", 2)


def test_restarted_server_has_given_up_nothing(duties):
    # Guards against trust in a fence that the server's new process does not know.
    _acknowledge_release(duties)
    assert duties.collect_revoked() == {(BLOCK, "s1"): 2}
    _answer(duties, _decide(duties, 100.4)["s1"], "", "i2", now=100.4)
    assert duties.collect_revoked() == {}


def test_load_of_gateways_is_merged(duties):
    # Guards against placement that sees only the load of its own gateway.
    location = evolve(_locate(duties), key_hash=16)
    for step in range(20):
        duties.record_request(location, 100.0 + step / 10, Random(1))
    (load,) = duties.list_loads(106.0)
    assert load.server == "s1" and load.shards[0] > 0
    heartbeat = Heartbeat("a-2", "i", "dc-a", "p", "f", 1.0, loads=(load,))
    duties.record_reports(heartbeat, 106.0)
    merged = duties.merge_loads("clue", 106.0).shards[0]
    assert merged == pytest.approx(2 * load.shards[0])
