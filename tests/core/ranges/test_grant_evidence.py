"""Waits that end early on evidence that terms and server processes have ended."""

from __future__ import annotations

import pytest
from evidence_model import build_evidence_model
from ownership_model import BLOCKS


@pytest.fixture
def model():
    model = build_evidence_model()
    lead(model, "i0")
    model.run(2.5)
    return model


def lead(model, instance):
    leader = model.begin_term(instance)
    model.finish_take_over(leader)
    return leader


def run(model, seconds):
    """Run without faults; questions about terms and answers arrive at once."""
    for _ in range(round(seconds / 0.05)):
        for leader in model.leaders:
            model.query_terms(leader)
        for query in list(model.queries):
            model.deliver_query(query)
        for answer in list(model.answers):
            model.deliver_answer(answer)
        model.run(0.05)


def lose_leader_and_server(model):
    """Lose the leader and the server of block 0; returns the next leader."""
    lost = model.find_owner(0)
    model.servers[lost].reachable = model.servers[lost].registered = False
    model.lease_holder.alive = False
    return lead(model, "i1")


def has_owners(model):
    return all(model.find_owner(block) is not None for block in range(BLOCKS))


def test_keys_have_owners_5_s_after_a_leader_that_resigned(model):
    """Keys of a server lost with its leader had no owner for 12.8 s."""
    model.lease_holder.alive = False
    model.close_role(model.lease_holder)
    lose_leader_and_server(model)
    run(model, 4.9)
    assert has_owners(model)


def test_keys_have_owners_5_s_after_the_process_of_the_leader_was_replaced(model):
    model.restart_instance("i0")
    lose_leader_and_server(model)
    run(model, 4.9)
    assert has_owners(model)


@pytest.mark.parametrize("cause", ["stopped", "earlier build", "not asked for"])
def test_without_evidence_all_earlier_grants_are_waited_out(model, cause):
    """A stopped leader goes on renewing, and a build without the list may lead."""
    if cause == "stopped":
        model.processes["i0"].stopped = True
    elif cause == "not asked for":
        model.uses_evidence = False
    elif cause == "earlier build":
        model.lease_holder.alive = False
        leader = model.begin_term("i2", is_earlier_build=True)
        model.finish_take_over(leader)
        model.run(0.5)
        assert model.state.value.terms is None
    if cause != "stopped":
        for leader in model.leaders:
            leader.alive = False
            model.close_role(leader)
    lose_leader_and_server(model)
    run(model, model.times.unreached_owner_wait_s - 0.2)
    assert not has_owners(model)
    run(model, 1.0)
    assert has_owners(model)


def test_the_next_leader_need_not_ask_again(model):
    """A list that only grew made each later leader ask for terms long ended."""
    model.restart_instance("i0")
    leader = lose_leader_and_server(model)
    run(model, 0.5)
    assert model.state.value.terms == [model.terms[leader.name].term]


def test_the_next_owner_of_a_move_is_waited_for_no_longer_than_its_grants(model):
    """Its leader may have completed the move and renewed the next owner's grant."""
    leader = model.lease_holder
    model.move(leader, 0, "s3" if model.find_owner(0) != "s3" else "s0")
    model.tick(leader)
    model.store(leader)
    assert any(entry.former for entry in model.stored)
    for server in model.servers.values():
        server.reachable = False
    model.restart_instance("i0")
    lead(model, "i1")
    run(model, 0.2)
    moved = model.lease_holder.controller.table.find(0)
    bound = model.now + model.times.max_ttl_after_send_s
    assert moved.target_latest_grant_end <= bound
    assert moved.latest_grant_end <= bound


def replace_owner(model):
    """Replace the server of block 0 by another at its address; returns both."""
    lost = model.find_owner(0)
    others = {model.find_owner(block) for block in range(BLOCKS)}
    successor = next(name for name in model.servers if name not in others)
    model.replace_server(lost, successor)
    return lost, successor


def test_keys_of_an_ended_process_are_not_waited_for(model):
    """Its address answered for another server, yet its grants were waited out."""
    lost, _ = replace_owner(model)
    run(model, 1.5)
    assert has_owners(model)
    assert model.find_owner(0) != lost


def test_an_ended_process_shows_nothing_while_a_lost_leader_may_lead(model):
    """The lost leader may have granted its keys to any server."""
    controller = model.lease_holder.controller
    controller.suspect_other_leader(model.now)
    replace_owner(model)
    run(model, 1.5)
    assert not has_owners(model)


def test_an_ended_process_shows_nothing_while_an_earlier_leader_may_have_its_lease(
    model,
):
    """The earlier leader granted the keys to the server's next process meanwhile."""
    model.restart_instance("i0")
    lead(model, "i1")
    model.run(0.2)
    replace_owner(model)
    run(model, 1.5)
    assert not has_owners(model)
