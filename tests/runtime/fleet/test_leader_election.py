"""End of a term of leadership, and start of the next term."""

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
    """End the lease of the leader record and return its number."""
    lease = site.store.read(LEADER_KEY)["lease"]
    await site.instances[0]._store.end_lease(lease, "test")
    return lease


async def wait_for_new_term(site, former_lease):
    """Wait until the instance leads again with another lease."""
    (instance,) = site.instances

    def has_new_lease():
        record = site.store.read(LEADER_KEY)
        return record is not None and record["lease"] != former_lease

    await wait_until(has_new_lease)
    await wait_until(
        lambda: instance._role and "maps" in instance._role._range_managers
    )


async def test_a_new_term_discards_outdated_decisions(site):
    """The former term's ranges were used although another leader had moved keys since.

    The other leader had led and ended while the lease of this instance was over.
    """
    (instance,) = site.instances
    former_fences = instance._role._range_managers["maps"].controller.fences
    moved = {"reserved": 500_000, "ranges": [[0, 65_535, "map1", ""]]}
    await site.store.put(RANGES_KEY, moved)
    await wait_for_new_term(site, await end_lease(site))
    controller = instance._role._range_managers["maps"].controller
    assert controller.fences is not former_fences
    assert controller.fences.next_fence >= moved["reserved"]
    assert {item.owner for item in controller.table.ranges} == {"map1"}


async def test_a_new_term_gives_no_authority_to_the_former_role(site):
    """A former role went on renewing grants for longer than a later leader waits."""
    (instance,) = site.instances
    authority = instance._role._authority
    assert authority.may_move_ranges()
    await wait_for_new_term(site, await end_lease(site))
    assert not authority.may_renew_grants()
    assert not authority.may_move_ranges()
    assert instance._role._authority.may_move_ranges()


async def test_keys_are_served_soon_after_a_new_term_starts(site):
    """The instance must not wait its random election delay to start a new term."""
    (instance,) = site.instances

    async def wait_forever():
        await asyncio.Event().wait()

    instance._election._defer_to_stronger = wait_forever
    await wait_for_new_term(site, await end_lease(site))
    await site.wait_until_served(2.0)


async def test_an_instance_without_lease_resigns_while_writes_fail(site):
    (instance,) = site.instances
    former_role = instance._role

    async def fail(*_, **__):
        raise PlatformUnavailableError("cut off; nothing is written")

    write, instance._store.write = instance._store.write, fail
    lease = await end_lease(site)
    await wait_until(lambda: not instance._election.leading)
    await wait_until(lambda: instance._role is None)
    instance._store.write = write
    await wait_for_new_term(site, lease)
    assert instance._role is not None
    assert instance._role is not former_role


async def test_an_instance_without_lease_resigns_despite_an_unreadable_record(
    site,
):
    """The instance continued the grants of its former term for 9 s."""
    (instance,) = site.instances
    await end_lease(site)
    await site.store.put(LEADER_KEY, ["unreadable"])
    await wait_until(lambda: not instance._election.leading)
    await site.store.remove(LEADER_KEY)
    await wait_until(lambda: instance._election.leading)


def block_renewals(instance):
    """Block lease renewals until released; they then report that the lease has ended.

    Returns an event that is set when a renewal starts, and one that releases it.
    """
    renewal_started, renewal_released = asyncio.Event(), asyncio.Event()

    async def renew(*_):
        renewal_started.set()
        await renewal_released.wait()
        return False

    instance._store.renew_lease = renew
    return renewal_started, renewal_released


async def test_an_instance_that_withdraws_during_a_renewal_writes_no_record(site):
    """No instance could lead until the lease of the withdrawn leader's record ended."""
    (instance,) = site.instances
    renewal_started, renewal_released = block_renewals(instance)
    await renewal_started.wait()
    await instance._election.withdraw()
    renewal_released.set()
    await asyncio.sleep(0.5)
    assert not instance._election.leading
    assert site.store.read(LEADER_KEY) is None


async def test_an_instance_that_withdraws_starts_no_term_after_its_lease_ended(site):
    """The next leader had to wait for the lease of an instance that was stopping."""
    (instance,) = site.instances

    async def fail(*_, **__):
        raise PlatformUnavailableError("cut off; nothing is removed")

    instance._store.remove = fail
    renewal_started, renewal_released = block_renewals(instance)
    await renewal_started.wait()
    await instance._election.withdraw()
    await end_lease(site)
    renewal_released.set()
    await asyncio.sleep(0.5)
    assert not instance._election.leading
    assert site.store.read(LEADER_KEY) is None


def block_close(role):
    """Block the close of a role until the returned event is set."""
    may_close = asyncio.Event()
    close = role.close

    async def close_when_allowed():
        await may_close.wait()
        await close()

    role.close = close_when_allowed
    return may_close


async def test_a_role_that_starts_while_the_former_one_closes_is_kept(site):
    """The new role was lost: nothing closed it, and the leader had no role."""
    (instance,) = site.instances
    former_role = instance._role
    may_close = block_close(former_role)
    ending = asyncio.create_task(instance._election.step_down("test"))
    await asyncio.sleep(1.0)
    may_close.set()
    await ending
    await wait_until(lambda: instance._election.leading)
    role = instance._role
    assert role is not None
    assert role is not former_role
    await site.wait_until_served(2.0)
    await instance._election.step_down("test")
    assert all(task.done() for task in role._tasks)


async def test_the_end_of_a_term_keeps_the_record_of_the_next_term(site):
    """The end removed the new term's record, so that a second leader could start."""
    (instance,) = site.instances
    may_close = block_close(instance._role)
    ending = asyncio.create_task(instance._election.step_down("test"))
    await asyncio.sleep(1.0)
    may_close.set()
    await ending
    await wait_until(lambda: instance._election.leading)
    assert site.store.read(LEADER_KEY)["instance"] == instance._state.leader.instance


async def test_a_stop_during_an_outage_cancels_orders_in_progress(site):
    """The stop didn't wait until the role was closed, and interrupted the close.

    The outage of the key-value service ends late in the stop, so the role closes late.
    """
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
    assert instance._election.leading
    site.store.down = False
    await stop
    site.instances.clear()
    assert all(order.done() for order in orders)
    assert not manager._tasks


async def test_a_leader_whose_lease_may_have_ended_takes_over_no_service(site):
    """Its write deposed the leader that had taken over the service in the meantime."""
    (instance,) = site.instances
    renewal_started, _ = block_renewals(instance)
    await renewal_started.wait()
    instance._role._authority.lease_renewed_at = float("-inf")
    changed = make_configuration(2)
    for resource in changed["resources"]:
        if resource["metadata"].get("name") == "desk":
            resource["specification"]["sharded"] = True
    await site.store.put("op/config", changed)
    await wait_until(lambda: instance._view.configuration.version == 2)
    await asyncio.sleep(0.5)
    assert await instance._store.get(get_ranges_key("desk"), "test") is None
