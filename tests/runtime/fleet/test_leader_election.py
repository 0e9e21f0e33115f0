"""Terms of leadership: how one ends, and how the next one begins."""

from __future__ import annotations

import asyncio

import pytest_asyncio
from fleet_site import FleetSite, make_configuration, wait_until

from basilwick.core.errors import PlatformUnavailableError
from basilwick.runtime.fleet.stored_ranges import get_ranges_key

LEADER_KEY = "basilwick/leader"
RANGES_KEY = get_ranges_key("maps")


@pytest_asyncio.fixture
async def site():
    site = FleetSite(instance_count=1)
    try:
        await site.start()
        yield site
    finally:
        await site.close()


async def end_lease(site):
    """End the lease of the leader's record; returns the lease."""
    lease = site.store.read(LEADER_KEY)["lease"]
    await site.instances[0]._store.end_lease(lease, "test")
    return lease


async def wait_regained(site, former):
    """Wait until the instance leads again, under another lease."""
    (instance,) = site.instances

    def is_regained():
        record = site.store.read(LEADER_KEY)
        return record is not None and record["lease"] != former

    await wait_until(is_regained)
    await wait_until(
        lambda: instance._role and "maps" in instance._role._range_managers
    )


async def test_a_regained_record_does_not_revive_decisions_that_were_overtaken(site):
    """Another leader had moved keys and ended while the lease was over."""
    (instance,) = site.instances
    former_fences = instance._role._range_managers["maps"].controller.fences
    moved = {"reserved": 500_000, "ranges": [[0, 65_535, "map1", ""]]}
    await site.store.put(RANGES_KEY, moved)
    await wait_regained(site, await end_lease(site))
    controller = instance._role._range_managers["maps"].controller
    assert controller.fences is not former_fences
    assert controller.fences.next_fence >= moved["reserved"]
    assert {item.owner for item in controller.table.ranges} == {"map1"}


async def test_a_regained_record_gives_no_authority_to_the_former_role(site):
    """A former role renewed grants beyond the time that a later leader waits for."""
    (instance,) = site.instances
    authority = instance._role._authority
    assert authority.may_move_ranges()
    await wait_regained(site, await end_lease(site))
    assert not authority.may_renew_grants()
    assert not authority.may_move_ranges()
    assert instance._role._authority.may_move_ranges()


async def test_keys_are_served_soon_after_the_record_was_regained(site):
    """A new term must not leave the keys without a leader for its random delay."""
    (instance,) = site.instances

    async def wait_forever():
        await asyncio.Event().wait()

    instance._leadership._defer_to_stronger = wait_forever
    await wait_regained(site, await end_lease(site))
    await site.wait_until_served(2.0)


async def test_an_instance_whose_lease_ended_leads_no_more_while_writes_fail(site):
    (instance,) = site.instances
    former = instance._role

    async def fail(*_, **__):
        raise PlatformUnavailableError("cut off; nothing is written")

    write, instance._store.write = instance._store.write, fail
    lease = await end_lease(site)
    await wait_until(lambda: not instance._leadership.leading)
    await wait_until(lambda: instance._role is None)
    instance._store.write = write
    await wait_regained(site, lease)
    assert instance._role is not None
    assert instance._role is not former


async def test_an_instance_whose_lease_ended_leads_no_more_beside_an_unreadable_record(
    site,
):
    """It went on with the grants of its former term for 9 s."""
    (instance,) = site.instances
    await end_lease(site)
    await site.store.put(LEADER_KEY, ["unreadable"])
    await wait_until(lambda: not instance._leadership.leading)
    await site.store.remove(LEADER_KEY)
    await wait_until(lambda: instance._leadership.leading)


def hold_renewals(instance):
    """Let the next renewal wait, and find the lease ended; returns asked, answered."""
    asked, answered = asyncio.Event(), asyncio.Event()

    async def renew(*_):
        asked.set()
        await answered.wait()
        return False

    instance._store.renew_lease = renew
    return asked, answered


async def test_an_instance_that_retires_during_a_renewal_writes_no_record(site):
    """Nobody could lead until the lease of a record without a leader had ended."""
    (instance,) = site.instances
    asked, answered = hold_renewals(instance)
    await asked.wait()
    await instance._leadership.withdraw()
    answered.set()
    await asyncio.sleep(0.5)
    assert not instance._leadership.leading
    assert site.store.read(LEADER_KEY) is None


async def test_an_instance_that_retires_begins_no_term_after_its_lease_ended(site):
    """Its successor waited for the lease of a leader that was about to end."""
    (instance,) = site.instances

    async def fail(*_, **__):
        raise PlatformUnavailableError("cut off; nothing is removed")

    instance._store.remove = fail
    asked, answered = hold_renewals(instance)
    await asked.wait()
    await instance._leadership.withdraw()
    await end_lease(site)
    answered.set()
    await asyncio.sleep(0.5)
    assert not instance._leadership.leading
    assert site.store.read(LEADER_KEY) is None


def hold_close(role):
    """Let the close of a role wait for the event that is returned."""
    may_close = asyncio.Event()
    close = role.close

    async def close_late():
        await may_close.wait()
        await close()

    role.close = close_late
    return may_close


async def test_a_role_that_begins_while_the_former_one_closes_is_not_dropped(site):
    """Nothing closed it, and the leader went on without it."""
    (instance,) = site.instances
    former = instance._role
    may_close = hold_close(former)
    ending = asyncio.create_task(instance._leadership.step_down("test"))
    await asyncio.sleep(1.0)
    may_close.set()
    await ending
    await wait_until(lambda: instance._leadership.leading)
    role = instance._role
    assert role is not None
    assert role is not former
    await site.wait_until_served(2.0)
    await instance._leadership.step_down("test")
    assert all(task.done() for task in role._tasks)


async def test_the_end_of_a_term_leaves_the_record_of_the_next_one(site):
    """It removed the record of the present leader, so that another one could lead."""
    (instance,) = site.instances
    may_close = hold_close(instance._role)
    ending = asyncio.create_task(instance._leadership.step_down("test"))
    await asyncio.sleep(1.0)
    may_close.set()
    await ending
    await wait_until(lambda: instance._leadership.leading)
    assert site.store.read(LEADER_KEY)["instance"] == instance._state.leader.instance


async def test_a_stop_that_ends_an_outage_late_cancels_the_orders_under_way(site):
    """The stop went on as soon as the role began to close, and interrupted that."""
    (instance,) = site.instances
    manager = instance._role._range_managers["maps"]

    async def never_answer(*_):
        await asyncio.Event().wait()

    manager._call_server = never_answer
    await wait_until(lambda: manager._tasks)
    orders = list(manager._tasks)
    site.store.down = True
    stop = asyncio.create_task(instance.close())
    await asyncio.sleep(1.2)
    assert instance._leadership.leading
    site.store.down = False
    await stop
    site.instances.clear()
    assert all(order.done() for order in orders)
    assert not manager._tasks


async def test_a_leader_whose_lease_may_have_ended_takes_over_no_service(site):
    """Its write deposed the leader that had taken the service over meanwhile."""
    (instance,) = site.instances
    asked, _ = hold_renewals(instance)
    await asked.wait()
    instance._role._authority.lease_renewed_at = float("-inf")
    changed = make_configuration(2)
    for resource in changed["resources"]:
        if resource["metadata"].get("name") == "desk":
            resource["specification"]["sharded"] = True
    await site.store.put("op/config", changed)
    await wait_until(lambda: instance._view.configuration.version == 2)
    await asyncio.sleep(0.5)
    assert await instance._store.get(get_ranges_key("desk"), "test") is None
