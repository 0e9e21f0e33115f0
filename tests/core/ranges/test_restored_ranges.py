"""Ranges after the key-value service was restored from a copy."""

from __future__ import annotations

from ownership_model import BLOCK_KEYS, BLOCKS, FENCES_PER_ERA, build_model


def make_running_model():
    model = build_model()
    model.take_over()
    model.run(1.0)
    return model


def list_owners(model):
    return [model.find_owner(block) for block in range(BLOCKS)]


def test_a_leader_that_kept_its_lease_goes_on_at_once():
    model = make_running_model()
    owners = list_owners(model)
    model.take_copy()
    model.restore()
    for _ in range(20):
        model.run(0.1)
        assert list_owners(model) == owners
    assert model.state.certain_era == 1
    assert model.state.reserved_end > FENCES_PER_ERA


def test_a_leader_that_was_without_its_lease_serves_on_and_moves_again():
    model = make_running_model()
    owners = list_owners(model)
    leader = model.lease_holder
    model.take_copy()
    leader.store_reachable = False
    model.run(3.0)
    model.restore()
    leader.store_reachable = True
    target = next(name for name in model.servers if name != owners[0])
    model.run(0.5)
    model.move(leader, 0, target)
    for _ in range(20):
        model.run(0.1)
        assert list_owners(model) == owners
        assert model.state.certain_era == 0
    model.run(2.0)
    assert model.state.certain_era == 1
    model.move(leader, 0, target)
    model.run(1.0)
    assert model.find_owner(0) == target


def test_a_later_leader_refuses_with_the_time_until_it_grants():
    """Requests waited for keys that could not be granted for 12.8 s."""
    model = make_running_model()
    model.take_copy()
    model.lease_holder.alive = False
    model.restore()
    model.lease_holder.alive = False
    model.take_over()
    model.run(1.0)
    owner = model.lease_holder.controller.find_owner("service", BLOCK_KEYS, model.now)
    assert owner.server is None
    assert not owner.moving
    wait_s = model.times.unreached_owner_wait_s
    assert wait_s - 2.0 < owner.available_in_s < wait_s
    model.run(wait_s + 1.0)
    assert None not in list_owners(model)
    assert model.state.certain_era == 1


def test_a_leader_younger_than_the_copy_serves_on():
    model = make_running_model()
    model.take_copy()
    model.lease_holder.alive = False
    model.take_over()
    model.run(14.0)
    owners = list_owners(model)
    leader = model.lease_holder
    model.restore()
    for _ in range(40):
        model.run(0.1)
        assert model.lease_holder is leader
        assert list_owners(model) == owners
    assert model.state.certain_era == 1
