"""Keys at a change of leader, and of servers that start anew."""

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
    """Move a block whose new owner accepts it, before the end of the move is stored."""
    leader = model.holder
    model.move(leader, block, server)
    for _ in range(4):
        model.tick(leader)
        model.store(leader)
        for flight in list(model.flights):
            model.deliver(flight)
        model.advance(0.01)
    assert model.find_owner(block) == server
    assert any(entry.former for entry in model.stored)


def follow_partition(model, former, seconds):
    """Let a second leader act beside one without the store, until a time has passed."""
    for _ in range(round(seconds / 0.05)):
        model.take_over()
        for leader in model.leaders:
            model.renew(leader)
            model.tick(leader)
        for flight in list(model.flights):
            model.deliver(flight)
        for leader in model.leaders:
            model.store(leader)
        model.check()
        model.advance(0.05)
    assert model.holder is not former


def test_a_chain_of_leaders_does_not_prolong_the_wait_for_a_reached_former_owner(model):
    """Each further leader stored it as not reached; the next one waited 7 s more."""
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    model.store(model.holder)
    assert model.stored[0].former_reached
    for _ in range(2):
        model.holder.alive = False
        model.take_over()
        model.holder.control.dirty = True
        model.tick(model.holder)
        model.store(model.holder)
    assert model.stored[0].former_reached
    model.run(model.times.reached_owner_wait_s + 0.3)
    assert model.find_owner(0) == "s2"


def leave_only(model, leader, name):
    """Cut a leader off with one server, so that no other one tells it of fences."""
    leader.contact = False
    leader.unreached = set(model.servers) - {name}


def test_a_completed_move_is_not_taken_up_by_the_next_leader(model):
    """A stored former owner made the next leader give it the block again."""
    model.move(model.holder, 0, "s2")
    model.run(1.0)
    assert model.find_owner(0) == "s2"
    model.holder.alive = False
    model.take_over()
    model.run(0.3)
    assert model.find_owner(0) == "s2"


@pytest.mark.parametrize("registered", [True, False])
def test_a_completed_move_whose_end_is_not_stored_leaves_its_owner_the_keys(
    model, registered
):
    """The earlier leader goes on renewing them; the next one gave them to another."""
    former = model.holder
    complete_move(model, 0, "s2")
    former.contact = False
    model.servers["s2"].in_use = registered
    model.advance(model.times.lease_s)
    model.take_over()
    model.holder.unreached.add("s2")
    follow_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, "s2")


def test_a_former_owner_that_no_leader_reached_is_waited_for_by_the_third_one(model):
    """The second leader's stored move hid that the first one still renews it."""
    former = model.holder
    name = model.find_owner(0)
    former.contact = False
    model.advance(model.times.lease_s)
    model.take_over()
    second = model.holder
    second.unreached.add(name)
    follow_partition(model, former, 1.5)
    assert model.stored[0].former == name
    second.alive = False
    model.take_over()
    model.holder.unreached.add(name)
    follow_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, name)


@pytest.mark.parametrize("registered", [True, False])
def test_a_completed_move_leaves_its_owner_the_keys_in_a_cut_off_data_centre(
    model, registered
):
    """The earlier leader reaches only the new owner, and learns of no later fence."""
    former = model.holder
    complete_move(model, 0, "s2")
    leave_only(model, former, "s2")
    model.servers["s2"].in_use = registered
    model.advance(model.times.lease_s)
    model.take_over()
    model.holder.unreached.add("s2")
    follow_partition(model, former, model.times.autonomy_s + 6.0)
    assert not former.control.deposed
    assert model.find_owner(0) not in (None, "s2")


def test_a_former_owner_that_only_the_first_leader_reaches_is_waited_for(model):
    """The third leader relied on the second one, which had not reached it either."""
    former = model.holder
    name = model.find_owner(0)
    leave_only(model, former, name)
    model.advance(model.times.lease_s)
    model.take_over()
    second = model.holder
    second.unreached.add(name)
    follow_partition(model, former, 1.5)
    assert model.stored[0].former == name
    second.alive = False
    model.take_over()
    model.holder.unreached.add(name)
    follow_partition(model, former, model.times.autonomy_s + 6.0)
    assert not former.control.deposed
    assert model.find_owner(0) not in (None, name)


def test_a_stored_move_waits_for_the_holds_of_the_former_leader(model):
    """The next leader can't know which of two servers holds the block."""
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    model.store(model.holder)
    former = model.holder
    former.alive = False
    model.take_over()
    model.run(1.0)
    assert model.find_owner(0) is None
    model.run(model.times.lease_s + model.times.max_ttl_after_send_s)
    assert model.find_owner(0) == "s2"


def test_a_leader_without_lease_renews_but_does_not_move(model):
    former = model.holder
    former.contact = False
    model.advance(1.0)
    model.move(former, 0, "s2")
    model.tick(former)
    model.advance(1.0)
    model.tick(former)
    assert model.flights
    assert {f.order.grant_ttl_s for f in model.flights} == {model.times.grant_ttl_s}
    assert all(isinstance(f.order, GrantOrder) for f in model.flights)
    former.storing = None
    model.check()


def test_keys_of_a_server_that_a_new_leader_never_reached_wait_longer(model):
    """The earlier leader may go on renewing them without the store."""
    lost = model.find_owner(0)
    model.holder.alive = False
    model.servers[lost].reachable = False
    model.take_over()
    model.run(model.times.autonomy_s)
    assert model.find_owner(0) is None
    model.run(model.times.max_ttl_after_send_s + 0.5)
    assert model.find_owner(0) not in (None, lost)


def test_a_restarted_server_gets_its_keys_anew(model):
    owner = model.find_owner(0)
    server = model.servers[owner]
    server.latest_grant_end = [0.0] * BLOCKS
    model.holder.control.handle_server_restart(owner, model.now)
    assert model.find_owner(0) is None
    model.run(0.2)
    assert model.find_owner(0) == owner


def test_a_restarted_server_may_hold_what_it_accepted_before_the_restart_is_known(
    model,
):
    """The next owner was granted the keys that the new process had just accepted."""
    former = model.servers[model.find_owner(0)]
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    model.store(model.holder)
    model.tick(model.holder)
    (raised,) = [f for f in model.flights if f.order.first == 0]
    former.restart()
    model.deliver(raised)
    assert former.latest_grant_end[0] > model.now
    model.run(0.5)
    assert model.find_owner(0) == "s2"


def test_a_restarted_server_that_an_earlier_leader_renews_keeps_its_keys(model):
    """The new process knows no fences, and accepts the earlier leader's renewals."""
    former = model.holder
    name = model.find_owner(0)
    former.contact = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.holder.unreached.add(name)
    model.servers[name].restart()
    follow_partition(model, former, model.times.autonomy_s + 6.0)
    assert model.find_owner(0) not in (None, name)


def test_a_leader_without_lease_does_not_renew_a_process_that_started_later(model):
    """It would take keys that a later leader has given to another server since."""
    former = model.holder
    name = model.find_owner(0)
    former.contact = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.tick(model.holder)
    for flight in list(model.flights):
        model.deliver(flight)
    model.move(model.holder, 0, "s2")
    for _ in range(4):
        model.tick(model.holder)
        model.store(model.holder)
        for flight in list(model.flights):
            model.deliver(flight)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    follow_partition(model, former, 3.0)
    assert model.find_owner(0) == "s2"


def test_a_restarted_former_owner_of_a_move_is_asked_again(model):
    """Its keys must not wait for a hold when the new process answers."""
    name = model.find_owner(0)
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    model.store(model.holder)
    model.tick(model.holder)
    (raised,) = [f for f in model.flights if f.order.first == 0]
    model.deliver(raised)
    model.tick(model.holder)
    model.servers[name].restart()
    model.run(0.3)
    assert model.find_owner(0) == "s2"


def test_a_restarted_server_that_is_not_reached_is_waited_for_like_an_unreached_one(
    model,
):
    """An earlier leader may renew the new process; the keys were free at once."""
    name = model.find_owner(0)
    taken_over_at = model.holder.control.taken_over_at
    model.servers[name].restart()
    model.holder.unreached.add(name)
    while model.now < taken_over_at + model.times.unreached_owner_wait_s - 0.2:
        model.run(0.1)
        assert model.find_owner(0) in (None, name)
    model.run(1.0)
    assert model.find_owner(0) not in (None, name)


def test_a_restarted_owner_is_granted_its_keys_with_a_new_fence(model):
    """With the former fence it would accept a late grant from before its restart."""
    name = model.find_owner(0)
    before = model.servers[name].seen[0]
    model.servers[name].restart()
    model.run(0.2)
    assert model.servers[name].seen[0] > before


def test_a_restart_takes_back_that_the_former_owner_of_a_stored_move_was_reached(model):
    """The next leader would wait for it for the lease and one hold only."""
    name = model.find_owner(0)
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    model.store(model.holder)
    assert model.stored[0].former_reached
    model.servers[name].restart()
    model.tick(model.holder)
    model.store(model.holder)
    assert model.stored[0].former == name
    assert not model.stored[0].former_reached


def test_a_new_owner_that_has_not_accepted_counts_as_not_reached(model):
    """It may hold grants of an earlier leader that it would renew."""
    model.move(model.holder, 0, "s2")
    model.holder.unreached.add("s2")
    model.run(0.3)
    item = model.holder.control.table.find(0)
    assert item.owner == "s2"
    assert not item.owner_reached
    assert not item.settled


def test_a_leader_without_lease_that_meets_a_later_fence_sends_nothing_more(model):
    """A server that starts anew forgets the later fence and would accept the grant."""
    former = model.holder
    server = model.servers[model.find_owner(0)]
    former.contact = False
    model.advance(model.times.lease_s)
    model.take_over()
    model.tick(model.holder)
    for flight in list(model.flights):
        model.deliver(flight)
    model.advance(model.times.renewal_interval_s)
    model.tick(former)
    (renewal,) = [f for f in model.flights if f.order.first == 0]
    model.deliver(renewal)
    assert former.control.deposed
    server.restart()
    model.advance(model.times.renewal_interval_s)
    model.tick(former)
    assert not [flight for flight in model.flights if flight.leader is former]


def test_a_leader_without_lease_leaves_stored_moves_alone(model):
    """Its raise would reach the former owner after the next leader's grants."""
    former = model.holder
    model.move(former, 0, "s2")
    model.tick(former)
    model.store(former)
    former.contact = False
    model.advance(2.5)
    model.tick(former)
    firsts = {flight.order.first for flight in model.flights}
    assert 0 not in firsts


def test_an_order_decided_with_the_lease_reaches_no_process_after_its_end(model):
    """It may be written 0.6 s after its decision, but the lease's margin is 0.3 s."""
    former = model.holder
    name = model.find_owner(0)
    model.advance(1.6)
    model.tick(former)
    (renewal,) = [f for f in model.flights if f.order.first == 0]
    assert not renewal.order.requires_same_process
    model.advance(0.36)
    model.take_over()
    assert model.holder is not former
    model.move(model.holder, 0, "s2")
    for _ in range(8):
        model.tick(model.holder)
        model.move(model.holder, 0, "s2")
        model.store(model.holder)
        for flight in list(model.flights):
            if flight.leader is not former:
                model.deliver(flight)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    assert model.now < renewal.sent_at + model.times.order_timeout_s
    model.deliver(renewal)
    model.check()


def test_a_renewal_that_a_move_overtook_reaches_no_later_process(model):
    """It still waited for its connection when the range had been released."""
    name = model.find_owner(0)
    model.advance(model.times.renewal_interval_s)
    model.move(model.holder, 0, "s2")
    model.tick(model.holder)
    (renewal,) = [f for f in model.flights if f.order.first == 0]
    model.store(model.holder)
    for _ in range(4):
        model.tick(model.holder)
        for flight in list(model.flights):
            if flight is not renewal:
                model.deliver(flight)
    assert model.find_owner(0) == "s2"
    model.servers[name].restart()
    model.deliver(renewal)
    model.check()
