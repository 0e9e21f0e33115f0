"""Evidence about backend servers, and their grants and load."""

from __future__ import annotations

from math import inf
from random import Random

from orjson import loads

from basilwick.core.assignment import BlockDocument, Ownership
from basilwick.core.detection import ServerDetector
from basilwick.core.grants import Grant, build_grant, compute_grant_end
from basilwick.core.hotkeys import LoadMeter, merge_reports
from basilwick.fakes.grants import GrantTable

KEY = 10  # Key of shard 0 in a service of two shards.


def _fail(detector, observer, times):
    for now in times:
        detector.record_result("s1", observer, False, now)


def test_failures_of_one_instance_are_not_enough():
    # An instance that is cut off would declare all servers lost.
    detector = ServerDetector()
    _fail(detector, "a", [0.0, 0.15, 0.3, 0.45])
    assert detector.find_lost({"a", "b"}, 0.45) == {}
    assert detector.list_suspected(0.45) == {"s1"}
    _fail(detector, "b", [0.5])
    assert detector.find_lost({"a", "b"}, 0.5) == {"s1": 0.5}
    assert detector.find_lost({"a", "b"}, 9.0) == {"s1": 0.5}


def test_lost_server_that_answers_is_cleared():
    # A server that stays lost after a freeze would never be used again.
    detector = ServerDetector()
    _fail(detector, "a", [0.0, 0.2, 0.45])
    assert detector.find_lost({"a"}, 0.45) == {"s1": 0.45}
    detector.record_result("s1", "b", True, 0.6)
    # This call began before the answer, so it says nothing about the server now.
    detector.record_result("s1", "a", False, 0.7, started_at=0.3)
    assert detector.find_lost({"a"}, 1.2) == {}


def test_slow_server_is_reported_but_not_lost():
    # Treating a slow server as lost moves all its shards at once.
    detector = ServerDetector()
    for step in range(200):
        for server, latency_s in (("s1", 0.5), ("s2", 0.01), ("s3", 0.01)):
            detector.record_result(server, "a", True, step / 100)
            detector.record_latency(server, latency_s, step / 100)
    assert detector.list_stragglers(2.0) == {"s1"}
    assert detector.find_lost({"a"}, 2.0) == {}


def test_server_that_gave_a_hot_key_away_refuses_it():
    # The shard's fence would admit requests for the key from a stale gateway.
    before = BlockDocument("clue", 0, 1, "dc-a", {0: Ownership("s1", 1)}, shard_count=2)
    after = before.move_shards({}, {KEY: "s2"})
    table = GrantTable()
    for document in (before, after, before):
        content = build_grant("s1", [document], lambda *_: inf, 0.0)
        table.apply(loads(Grant(content, 1000).encode()))
    # The last message came from a gateway that did not know the move.
    (entry,) = build_grant("s1", [after], lambda *_: inf, 0.0).blocks
    assert entry["hot"] == {f"{KEY:016x}": 0}
    assert table._blocks["clue", 0].hot == {KEY: 0}


def test_server_learns_the_generation_of_a_block_that_it_left():
    # Without it, a stale gateway could grant the moved shard again.
    document = BlockDocument("clue", 0, 1, "dc-a", {0: Ownership("s1", 1)})
    moved = document.move_shards({0: "s2"})
    content = build_grant("s1", [moved], lambda *_: inf, 0.0)
    assert content.generations == {("clue", 0): 2}
    assert content.blocks[0]["shards"] == {}
    assert b"blocks" not in Grant(content, 1, content.digest).encode()
    waiting = build_grant("s2", [moved], lambda *_: 5.0, 4.9)
    active = build_grant("s2", [moved], lambda *_: 5.0, 5.0)
    assert (waiting.blocks[0]["shards"], active.blocks[0]["shards"]) == ({}, {"0": 2})


def test_delay_of_a_reply_never_lengthens_a_grant():
    assert compute_grant_end(10.8, 500.9, 10.0) == 1300
    assert compute_grant_end(10.8, 500.9, 10.3) == 1000


def test_hot_key_is_found_among_many():
    # Counting every key needs memory without bound.
    meter, rng = LoadMeter(192), Random(3)
    for step in range(60_000):
        now = step / 10_000
        key_hash = 777 if step % 10 == 0 else rng.getrandbits(64)
        meter.record(key_hash, now, rng)
    report = merge_reports([meter.collect(6.0), meter.collect(6.0)])
    shard, rate = report.hot_keys[777]
    assert len(report.hot_keys) <= 32
    assert shard == 777 % 192
    assert 0.7 * 2000 < rate < 1.3 * 2000
    assert max(report.hot_keys, key=lambda key: report.hot_keys[key][1]) == 777
