"""Writes that the assigner decides on, for single situations."""

from __future__ import annotations

from collections import Counter
from math import inf
from random import Random

import pytest
from attrs import evolve

from basilwick.core.assigner import Assigner, AssignerView, StoredBlock
from basilwick.core.assignment import BlockState
from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
    ServiceRecord,
)
from basilwick.core.timing import MOVE_WAIT_S


def _build_servers(count=7, data_centres=("dc-a",), **changes):
    return {
        f"{dc}-{n}": ServerRecord(f"{dc}-{n}", "clue", dc, f"127.0.0.1:{n}", **changes)
        for dc in data_centres
        for n in range(count)
    }


def _build_view(blocks=None, data_centres=("dc-a",), **facts):
    return AssignerView(
        service=facts.pop("service", ServiceRecord("clue")),
        data_centre="dc-a",
        data_centres={name: DataCentreRecord(name) for name in data_centres},
        servers=facts.pop("servers", None) or _build_servers(data_centres=data_centres),
        blocks=blocks or {},
        active_at=facts.pop("active_at", lambda block, generation: inf),
        **facts,
    )


def _apply(view, actions):
    blocks = dict(view.blocks)
    for action in actions:
        known = blocks.get(action.document.id)
        assert action.expected == (known.revision if known else 0)
        blocks[action.document.id] = StoredBlock(
            action.document, action.document.generation
        )
    return evolve(view, blocks=blocks)


def _decide(view, now=0.0, assigner=None):
    return (assigner or Assigner()).decide(view, now, Random(1))


def _count_shards(view):
    return Counter(
        ownership.owner
        for stored in view.blocks.values()
        for ownership in stored.document.shards.values()
    )


def test_new_service_is_spread_evenly():
    # Placement of each block by itself gives the first servers too many shards.
    view = _build_view()
    view = _apply(view, _decide(view))
    counts = _count_shards(view)
    assert sum(counts.values()) == 192
    assert max(counts.values()) <= 1.25 * 192 / 7


def test_shards_of_one_lost_server_move_in_one_write_for_each_block():
    # A second wave starts after the wait of the first and misses the 2 s.
    service = ServiceRecord("clue", blocks=4, shards_per_block=200)
    view = _build_view(service=service)
    view = _apply(view, _decide(view))
    actions = _decide(evolve(view, lost={"dc-a-0": 0.0}))
    assert len(actions) == len({action.document.id for action in actions}) <= 4
    assert _count_shards(_apply(view, actions))["dc-a-0"] == 0


def test_loss_of_several_servers_is_paced_and_hottest_first():
    # All shards of a rack at once overload the servers that are left.
    service = ServiceRecord("clue", blocks=4, shards_per_block=100)
    view = _build_view(service=service)
    view = _apply(view, _decide(view))
    lost = {f"dc-a-{n}": 0.0 for n in range(3)}
    loads = {shard: float(shard) for shard in range(400)}
    after = _apply(view, _decide(evolve(view, lost=lost, shard_loads=loads)))
    left, moved = [], []
    for stored in after.blocks.values():
        for shard, ownership in stored.document.shards.items():
            if ownership.owner in lost:
                left.append(shard)
            elif ownership.moved_from:
                moved.append((ownership.owner, shard))
    limit = max(8, -(-max(_count_shards(view)[name] for name in lost) // 4))
    assert max(Counter(owner for owner, _ in moved).values()) <= limit
    assert max(left) < min(shard for _, shard in moved)


def test_draining_server_is_emptied_in_waves():
    # A planned move must not crowd the receivers.
    view = _build_view(servers=_build_servers(3))
    view = _apply(view, _decide(view))
    servers = {
        **view.servers,
        "dc-a-0": evolve(view.servers["dc-a-0"], state=ServerState.DRAINING),
    }
    view = evolve(view, servers=servers)
    left = _count_shards(view)["dc-a-0"]
    while left:
        view = _apply(view, _decide(view))
        assert left - _count_shards(view)["dc-a-0"] == min(left, 16)
        assert _decide(view) == [], "a wave began while another was in flight"
        left = _count_shards(view)["dc-a-0"]
        ended = {id_: stored.document.generation for id_, stored in view.blocks.items()}
        view = evolve(
            view,
            active_at=lambda id_, generation, ended=ended: (
                -1.0 if generation <= ended[id_] else inf
            ),
        )


@pytest.mark.parametrize(("checks", "settles"), [(True, True), (False, False)])
def test_acknowledged_revocation_settles_early_only_for_checking_servers(
    checks, settles
):
    # The word of a server that checks nothing must not shorten the wait.
    view = _build_view(servers=_build_servers(3, checks_grants=checks))
    view = _apply(view, _decide(view))
    servers = {
        **view.servers,
        "dc-a-0": evolve(view.servers["dc-a-0"], state=ServerState.DRAINING),
    }
    view = evolve(view, servers=servers)
    moved = _decide(view)
    view = _apply(view, moved)
    revoked = {
        (action.document.id, "dc-a-0"): action.document.generation for action in moved
    }
    settled = _decide(evolve(view, revoked=revoked))
    assert bool(settled) is settles


def test_block_is_handed_over_in_three_steps():
    # The new home must not assign owners while the old ones may have rights.
    data_centres = ("dc-a", "dc-b")
    view = _build_view(data_centres=data_centres)
    view = _apply(view, _decide(view))
    records = {
        **view.data_centres,
        "dc-a": DataCentreRecord("dc-a", DataCentreStatus.OUT),
    }
    view = evolve(view, data_centres=records)
    releasing = _decide(view)
    assert {a.document.state for a in releasing} == {BlockState.RELEASING}
    view = _apply(view, releasing)
    at_b = evolve(view, data_centre="dc-b")
    assert {a.document.home for a in _decide(at_b)} <= {"dc-b"}
    ids = {action.document.id for action in releasing}
    assert not ids & {a.document.id for a in _decide(at_b)}
    view = _apply(view, _decide(evolve(view, active_at=lambda *_: -1.0)))
    at_b = evolve(view, data_centre="dc-b")
    activated = {a.document.id for a in _decide(at_b) if a.document.state == "active"}
    assert ids <= activated


def test_block_is_taken_only_after_the_autonomy_term():
    # A data centre that is cut off continues to serve for that long.
    data_centres = ("dc-a", "dc-b")
    view = _build_view(data_centres=data_centres)
    at_b = evolve(view, data_centre="dc-b")
    view = _apply(_apply(view, _decide(view)), _decide(at_b))
    out = DataCentreRecord("dc-b", DataCentreStatus.OUT, autonomy_s=50.0)
    view = evolve(
        view,
        data_centres={**view.data_centres, "dc-b": out},
        out_seen_at={"dc-b": 10.0},
        autonomy_s={"dc-b": 100.0},
    )
    assert _decide(view, 112.9) == []
    taken = _decide(view, 113.1)
    assert taken
    assert {a.document.home for a in taken} == {"dc-a"}
    stopped = evolve(out, confirmed_stopped=True)
    view = evolve(view, data_centres={**view.data_centres, "dc-b": stopped})
    assert len(_decide(view, 11.0)) == len(taken)


def test_hot_key_gets_its_own_owner_and_goes_back():
    # No move of whole shards helps when one key is most of a server's load.
    assigner = Assigner()
    view = _build_view()
    view = _apply(view, _decide(view))
    loads = dict.fromkeys(range(192), 1.0)
    hot = evolve(
        view, shard_loads={**loads, 7: 60.0}, hot_keys={7 + 192 * 5: (7, 30.0)}
    )
    assert _decide(hot, 0.0, assigner) == []
    view = _apply(hot, _decide(hot, 31.0, assigner))
    document = view.blocks["clue", 0].document
    assert document.hot[7 + 192 * 5].moved_from == document.shards[7].owner
    view = evolve(
        view, shard_loads=loads, hot_keys={}, active_at=lambda *_: 31.0 + MOVE_WAIT_S
    )
    for now in range(33, 120):
        view = _apply(view, _decide(view, float(now), assigner))
    assert view.blocks["clue", 0].document.hot == {}


def test_nothing_is_written_while_the_platform_is_down():
    # Writes that pile up would all be sent at its return.
    assert _decide(_build_view(platform_reachable=False)) == []


def test_writes_of_other_services_do_not_count():
    # Their shards have the same numbers and would be taken for load of this service.
    view = _build_view()
    view = _apply(view, _decide(view))
    others = {
        ("other", n): evolve(
            stored.document.activate("dc-a", dict.fromkeys(range(192), "dc-a-0")),
            service="other",
        )
        for (_, n), stored in view.blocks.items()
    }
    loads = dict.fromkeys(range(192), 1.0)
    view = evolve(view, shard_loads=loads)
    assigner, crowded = Assigner(), Assigner()
    for now in (0.0, 31.0, 62.0):
        expected = _decide(view, now, assigner)
        assert _decide(evolve(view, writing=others), now, crowded) == expected
