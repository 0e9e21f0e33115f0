"""Ownership protocol with one leader: moves, lost orders and conflicts of fences."""

from __future__ import annotations

import pytest
from ownership_model import BLOCK_KEYS, BLOCKS, build_model

from basilwick.core.ranges.orders import (
    GrantOrder,
    HandoverReason,
    OrderResult,
    ReleaseOrder,
)
from basilwick.core.ranges.table import Phase


@pytest.fixture
def model():
    model = build_model()
    model.take_over()
    model.run(1.0)
    return model


def test_all_keys_get_owners(model):
    owners = [model.find_owner(block) for block in range(BLOCKS)]
    assert None not in owners
    assert set(owners) == {"s0", "s1", "s2", "s3"}


def test_move_hands_a_block_over_with_its_token(model):
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    model.tick(model.lease_holder)
    (fencing_grant,) = [f for f in model.in_flight if f.order.first == 0]
    model.deliver(fencing_grant)
    model.tick(model.lease_holder)
    (release,) = [f for f in model.in_flight if isinstance(f.order, ReleaseOrder)]
    model.deliver(release)
    model.tick(model.lease_holder)
    grants = [f.order for f in model.in_flight if isinstance(f.order, GrantOrder)]
    (grant,) = [order for order in grants if order.first == 0]
    assert (grant.server, grant.handover_token) == ("s2", "token")
    assert grant.fence > fencing_grant.order.fence
    model.run(0.5)
    assert model.find_owner(0) == "s2"


def test_handovers_are_reported_with_their_reason(model):
    controller = model.lease_holder.controller
    controller.drain_handovers()
    former = model.find_owner(0)
    model.move(model.lease_holder, 0, "s2")
    model.run(0.5)
    (entry,) = controller.drain_handovers()
    assert (entry.first, entry.last) == (0, BLOCK_KEYS - 1)
    assert (entry.former, entry.owner) == (former, "s2")
    assert entry.reason is HandoverReason.RELEASED
    assert not controller.drain_handovers()


def test_a_late_renewal_cannot_bring_back_a_released_block(model):
    """A server must refuse a renewal that arrives after it released the block."""
    model.advance(model.times.renewal_interval_s)
    model.tick(model.lease_holder)
    renewal = next(f for f in model.in_flight if f.order.first == 0)
    model.delay(renewal)
    model.run(0.4)
    model.move(model.lease_holder, 0, "s2")
    model.run(0.5)
    assert model.find_owner(0) == "s2"
    model.apply_delayed(renewal)
    model.check()


def test_a_lost_renewal_that_arrives_after_an_answered_one_is_waited_for(model):
    """If the next renewal had the same fence, the server would accept the lost one.

    It would then hold the keys longer than the leader expects.
    """
    owner = model.servers[model.find_owner(0)]
    model.advance(model.times.renewal_interval_s)
    model.tick(model.lease_holder)
    lost = next(f for f in model.in_flight if f.order.first == 0)
    model.delay(lost)
    model.advance(0.25)
    model.tick(model.lease_holder)
    for pending in list(model.in_flight):
        model.deliver(pending)
    model.apply_delayed(lost)
    model.lease_holder.unreachable_servers.add(owner.name)
    model.run(model.times.max_ttl_after_send_s + 1.0)
    assert model.find_owner(0) not in (None, owner.name)


def test_an_unreachable_server_is_replaced_after_its_grant_expires(model):
    lost = model.find_owner(0)
    model.servers[lost].reachable = False
    began_at = model.now
    while model.find_owner(0) in (None, lost):
        model.run(0.1)
        assert model.now < began_at + 2 * model.times.max_ttl_after_send_s
    assert (
        model.now >= began_at + model.times.grant_ttl_s - model.times.renewal_interval_s
    )


def test_a_leaving_server_keeps_its_keys_until_they_are_taken_over(model):
    leaving = model.find_owner(0)
    model.servers[leaving].registered = False
    model.run(0.5)
    assert model.find_owner(0) not in (None, leaving)


def test_a_conflict_is_retried_with_a_higher_fence(model):
    owner = model.find_owner(0)
    highest_fences = model.servers[owner].highest_fences
    model.servers[owner].highest_fences = [fence + 1 for fence in highest_fences]
    model.run(1.0)
    assert model.find_owner(0) == owner
    assert not model.lease_holder.controller.deposed


def test_fences_of_a_later_leader_depose_an_earlier_one(model):
    for server in model.servers.values():
        server.highest_fences = [10_000_000] * BLOCKS
    model.run(2.0)
    assert model.lease_holder.controller.deposed


def test_an_unsent_grant_does_not_prolong_the_wait(model):
    controller = model.lease_holder.controller
    key_range = controller.table.find(0)
    before = key_range.latest_grant_end
    model.advance(model.times.renewal_interval_s)
    model.tick(model.lease_holder)
    pending = next(f for f in model.in_flight if f.order.first == 0)
    model.answer(pending, OrderResult.UNSENT)
    assert key_range.latest_grant_end == before


def test_neighbouring_ranges_of_one_owner_are_merged(model):
    owner = model.find_owner(0)
    other = next(name for name in model.servers if name != owner)
    model.move(model.lease_holder, 0, other)
    model.run(0.5)
    ranges = len(model.lease_holder.controller.table.ranges)
    model.move(model.lease_holder, 0, owner)
    model.run(1.0)
    assert len(model.lease_holder.controller.table.ranges) < ranges
    assert all(
        r.phase is Phase.OWNED for r in model.lease_holder.controller.table.ranges
    )
    assert model.lease_holder.controller.table.find(0).last >= BLOCK_KEYS


def test_a_release_without_answer_does_not_free_the_block(model):
    model.move(model.lease_holder, 0, "s2")
    model.tick(model.lease_holder)
    model.store(model.lease_holder)
    model.tick(model.lease_holder)
    (fencing_grant,) = [f for f in model.in_flight if f.order.first == 0]
    model.deliver(fencing_grant)
    owner = fencing_grant.order.server
    for _ in range(4):
        model.tick(model.lease_holder)
        releases = [f for f in model.in_flight if isinstance(f.order, ReleaseOrder)]
        for pending in releases:
            model.in_flight.remove(pending)
            model.answer(pending, OrderResult.UNKNOWN)
        model.advance(0.25)
    held = model.servers[owner].held_until[0]
    grants = [f.order for f in model.in_flight if isinstance(f.order, GrantOrder)]
    assert held > model.now
    assert not [order for order in grants if order.server == "s2" and not order.first]


def test_renewals_go_on_when_the_reserved_fences_are_used_up(model):
    """One range that needed a fence stopped the orders of all ranges of the service."""
    controller = model.lease_holder.controller
    controller.fences.end = controller.fences.next_fence
    model.move(model.lease_holder, 0, "s2")
    model.run(model.times.max_ttl_after_send_s)
    assert None not in [model.find_owner(block) for block in range(2, BLOCKS)]
