"""Ownership protocol across changes of the leader and restarts of servers."""

from __future__ import annotations

import pytest
from ownership_model import BLOCKS, build_model

from basilwick.core.ranges.orders import GrantOrder


@pytest.fixture
def model():
    model = build_model()
    model.take_over()
    model.run(1.0)
    return model


def complete_move(model, block, server):
    """Move a block until its new owner accepts it; the completion isn't stored yet."""
    leader = model.lease_holder
    model.move(leader, block, server)
    for _ in range(4):
        model.tick(leader)
        model.store(leader)
        for pending in list(model.in_flight):
            model.deliver(pending)
        model.advance(0.01)
    assert model.find_owner(block) == server
    assert any(entry.former for entry in model.stored)


def run_during_partition(model, former, seconds):
    """Run a second leader beside one that can't reach the store."""
    for _ in range(round(seconds / 0.05)):
        model.take_over()
        for leader in model.leaders:
            model.renew(leader)
            model.tick(leader)
        for pending in list(model.in_flight):
            model.deliver(pending)
        for leader in model.leaders:
            model.store(leader)
        model.check()
        model.advance(0.05)
    assert model.lease_holder is not former


def test_a_chain_of_leaders_does_not_prolong_the_wait_for_a_reached_former_owner(model):
    """Each further leader stored it as not reached, so the next waited 7 s longer."""
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    assert model.stored[0].former_reached
    for _ in range(2):
        model.lease_holder.alive = False
        model.take_over()
        model.lease_holder.controller.dirty = True
        model.tick(model.lease_holder)
        model.store(model.lease_holder)
    assert model.stored[0].former_reached
    model.run(model.times.reached_owner_wait_s + 0.3)
    assert model.find_owner(0) == "s2"


def isolate_with_server(model, leader, name):
    """Isolate a leader with one server, so that no other reports a later fence."""
    leader.store_reachable = False
    leader.unreachable_servers = set(model.servers) - {name}


def test_a_completed_move_is_not_resumed_by_the_next_leader(model):
    """The former owner was still stored, so the next leader granted it the block."""
    model.move(model.lease_holder, 0, "s2")
    model.run(1.0)
    assert model.find_owner(0) == "s2"
    model.lease_holder.alive = False
    model.take_over()
    model.run(0.3)
    assert model.find_owner(0) == "s2"


@pytest.mark.parametrize("registered", [True, False])
def test_the_new_owner_of_a_move_with_unstored_completion_is_waited_for(
    model, registered
):
    """The next leader reassigned the keys while the earlier one still renewed them."""
    former = model.lease_holder
    complete_move(model, 0, "s2")
    former.store_reachable = False
    model.servers["s2"].registered = registered
    model.advance(model.times.lease_s)
    model.take_over()
    model.lease_holder.unreachable_servers.add("s2")
    run_during_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, "s2")


def test_the_third_leader_waits_for_a_former_owner_that_the_second_never_reached(model):
    """The second leader's stored move hid that the first one still renews the grant."""
    former = model.lease_holder
    name = model.find_owner(0)
    former.store_reachable = False
    model.advance(model.times.lease_s)
    model.take_over()
    second = model.lease_holder
    second.unreachable_servers.add(name)
    run_during_partition(model, former, 1.5)
    assert model.stored[0].former == name
    second.alive = False
    model.take_over()
    model.lease_holder.unreachable_servers.add(name)
    run_during_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, name)


@pytest.mark.parametrize("registered", [True, False])
def test_the_new_owner_of_a_move_in_an_isolated_data_centre_is_waited_for(
    model, registered
):
    """The earlier leader reaches only the new owner, so it learns of no later fence."""
    former = model.lease_holder
    complete_move(model, 0, "s2")
    isolate_with_server(model, former, "s2")
    model.servers["s2"].registered = registered
    model.advance(model.times.lease_s)
    model.take_over()
    model.lease_holder.unreachable_servers.add("s2")
    run_during_partition(model, former, model.times.autonomy_s + 6.0)
    assert not former.controller.deposed
    assert model.find_owner(0) not in (None, "s2")


def test_a_former_owner_that_only_the_first_leader_reaches_is_waited_for(model):
    """The third leader relied on the second, which hadn't reached the server either."""
    former = model.lease_holder
    name = model.find_owner(0)
    isolate_with_server(model, former, name)
    model.advance(model.times.lease_s)
    model.take_over()
    second = model.lease_holder
    second.unreachable_servers.add(name)
    run_during_partition(model, former, 1.5)
    assert model.stored[0].former == name
    second.alive = False
    model.take_over()
    model.lease_holder.unreachable_servers.add(name)
    run_during_partition(model, former, model.times.autonomy_s + 6.0)
    assert not former.controller.deposed
    assert model.find_owner(0) not in (None, name)


def test_a_stored_move_waits_for_the_grants_of_the_former_leader(model):
    """The next leader can't know which of the two servers holds the block."""
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    former = model.lease_holder
    former.alive = False
    model.take_over()
    model.run(1.0)
    assert model.find_owner(0) is None
    model.run(model.times.lease_s + model.times.max_ttl_after_send_s)
    assert model.find_owner(0) == "s2"


def test_a_leader_without_lease_renews_but_does_not_move(model):
    former = model.lease_holder
    former.store_reachable = False
    model.advance(1.0)
    model.move(former, 0, "s2")
    model.tick(former)
    model.advance(1.0)
    model.tick(former)
    assert model.in_flight
    assert {f.order.grant_ttl_s for f in model.in_flight} == {model.times.grant_ttl_s}
    assert all(isinstance(f.order, GrantOrder) for f in model.in_flight)
    former.pending_store = None
    model.check()


def test_keys_of_a_server_that_a_new_leader_never_reached_wait_longer(model):
    """The earlier leader may continue to renew their grants without the store."""
    lost = model.find_owner(0)
    model.lease_holder.alive = False
    model.servers[lost].reachable = False
    model.take_over()
    model.run(model.times.autonomy_s)
    assert model.find_owner(0) is None
    model.run(model.times.max_ttl_after_send_s + 0.5)
    assert model.find_owner(0) not in (None, lost)


def test_a_restarted_server_is_granted_its_keys_again(model):
    owner = model.find_owner(0)
    server = model.servers[owner]
    server.held_until = [0.0] * BLOCKS
    model.lease_holder.controller.handle_server_restart(owner, model.now)
    assert model.find_owner(0) is None
    model.run(0.2)
    assert model.find_owner(0) == owner


def test_a_restarted_server_may_hold_what_it_accepted_before_the_restart_is_known(
    model,
):
    """The next owner was granted keys that the new process had just been granted."""
    former = model.servers[model.find_owner(0)]
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    model.tick(model.lease_holder)
    (fencing_grant,) = [f for f in model.in_flight if f.order.first == 0]
    former.restart()
    model.deliver(fencing_grant)
    assert former.held_until[0] > model.now
    model.run(0.5)
    assert model.find_owner(0) == "s2"


def test_a_restarted_server_that_an_earlier_leader_renews_is_waited_for(model):
    """The new process knows no fences and accepts the earlier leader's renewals."""
    former = model.lease_holder
    name = model.find_owner(0)
    former.store_reachable = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.lease_holder.unreachable_servers.add(name)
    model.servers[name].restart()
    run_during_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, name)


def test_a_leader_without_lease_does_not_renew_a_process_that_started_later(model):
    """The process would hold keys that a later leader has moved to another server."""
    former = model.lease_holder
    name = model.find_owner(0)
    former.store_reachable = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.tick(model.lease_holder)
    for pending in list(model.in_flight):
        model.deliver(pending)
    model.move(model.lease_holder, 0, "s2")
    for _ in range(4):
        model.tick(model.lease_holder)
        model.store(model.lease_holder)
        for pending in list(model.in_flight):
            model.deliver(pending)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    run_during_partition(model, former, 3.0)
    assert model.find_owner(0) == "s2"


def test_a_restarted_former_owner_of_a_move_is_asked_again(model):
    """When the new process answers, the move must not wait for grants to expire."""
    name = model.find_owner(0)
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    model.tick(model.lease_holder)
    (fencing_grant,) = [f for f in model.in_flight if f.order.first == 0]
    model.deliver(fencing_grant)
    model.tick(model.lease_holder)
    model.servers[name].restart()
    model.run(0.3)
    assert model.find_owner(0) == "s2"


def test_a_restarted_server_that_is_not_reached_is_waited_for_like_an_unreached_one(
    model,
):
    """The keys were reassigned at once, but an earlier leader may renew the grants."""
    name = model.find_owner(0)
    taken_over_at = model.lease_holder.controller.taken_over_at
    model.servers[name].restart()
    model.lease_holder.unreachable_servers.add(name)
    while model.now < taken_over_at + model.times.unreached_owner_wait_s - 0.2:
        model.run(0.1)
        assert model.find_owner(0) in (None, name)
    model.run(1.0)
    assert model.find_owner(0) not in (None, name)


def test_a_restarted_owner_is_granted_its_keys_with_a_new_fence(model):
    """With the previous fence it would accept a late grant from before its restart."""
    name = model.find_owner(0)
    before = model.servers[name].highest_fences[0]
    model.servers[name].restart()
    model.run(0.2)
    assert model.servers[name].highest_fences[0] > before


def test_a_restart_clears_former_reached_of_a_stored_move(model):
    """Otherwise the next leader would wait only for the lease and one grant."""
    name = model.find_owner(0)
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    assert model.stored[0].former_reached
    model.servers[name].restart()
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    assert model.stored[0].former == name
    assert not model.stored[0].former_reached


def test_a_new_owner_that_has_not_accepted_counts_as_not_reached(model):
    """It may hold grants of an earlier leader, which that leader may renew."""
    model.move(model.lease_holder, 0, "s2")
    model.lease_holder.unreachable_servers.add("s2")
    model.run(0.3)
    key_range = model.lease_holder.controller.table.find(0)
    assert key_range.owner == "s2"
    assert not key_range.owner_reached
    assert not key_range.settled


def test_a_leader_without_lease_that_meets_a_later_fence_sends_nothing_more(model):
    """A restarted server has lost the later fence and would accept its next grant."""
    former = model.lease_holder
    server = model.servers[model.find_owner(0)]
    former.store_reachable = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.tick(model.lease_holder)
    for pending in list(model.in_flight):
        model.deliver(pending)
    model.advance(model.times.renewal_interval_s)
    model.tick(former)
    (renewal,) = [f for f in model.in_flight if f.order.first == 0]
    model.deliver(renewal)
    assert former.controller.deposed
    server.restart()
    model.advance(model.times.renewal_interval_s)
    model.tick(former)
    assert not [pending for pending in model.in_flight if pending.leader is former]


def test_a_leader_without_lease_leaves_stored_moves_alone(model):
    """Its grant with a raised fence would arrive after the next leader's grants."""
    former = model.lease_holder
    model.move(former, 0, "s2")
    model.tick(former)
    model.store(former)
    former.store_reachable = False
    model.advance(2.5)
    model.tick(former)
    firsts = {pending.order.first for pending in model.in_flight}
    assert 0 not in firsts


def test_an_order_decided_with_the_lease_reaches_no_process_after_its_end(model):
    """The order may be written for 0.6 s, but the margin of the lease is only 0.3 s."""
    former = model.lease_holder
    name = model.find_owner(0)
    model.advance(1.6)
    model.tick(former)
    (renewal,) = [f for f in model.in_flight if f.order.first == 0]
    assert not renewal.order.requires_same_process
    model.advance(0.36)
    model.take_over()
    assert model.lease_holder is not former
    model.move(model.lease_holder, 0, "s2")
    for _ in range(8):
        model.tick(model.lease_holder)
        model.move(model.lease_holder, 0, "s2")
        model.store(model.lease_holder)
        for pending in list(model.in_flight):
            if pending.leader is not former:
                model.deliver(pending)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    assert model.now < renewal.sent_at + model.times.order_timeout_s
    model.deliver(renewal)
    model.check()


def test_a_renewal_overtaken_by_a_move_reaches_no_later_process(model):
    """It was still waiting for a connection when the range had been released."""
    name = model.find_owner(0)
    model.advance(model.times.renewal_interval_s)
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    (renewal,) = [f for f in model.in_flight if f.order.first == 0]
    model.store(model.lease_holder)
    for _ in range(4):
        model.tick(model.lease_holder)
        for pending in list(model.in_flight):
            if pending is not renewal:
                model.deliver(pending)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    model.deliver(renewal)
    model.check()
