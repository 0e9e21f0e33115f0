"""Handover of the lead from a weak instance to a stronger one."""

from __future__ import annotations

import asyncio

import pytest_asyncio
from fleet_site import FleetSite, make_configuration, wait_until
from test_term_evidence import BULK_ROUTE


@pytest_asyncio.fixture
async def site():
    site = FleetSite(instance_count=0)
    try:
        await site.start()
        await site.add_instance("weak", 1.0, 10.0)
        await wait_until(lambda: site.find_leader() is not None)
        await site.add_instance("equal", 1.1, 10.0)
        await site.add_instance("strong", 2.0, 100.0)
        await wait_until(lambda: all(i._view.configuration for i in site.instances))
        yield site
    finally:
        await site.close()


async def test_a_weak_leader_hands_over_and_the_lead_stays(site):
    """An instance with a weak link led from the first start and refused requests."""
    weak, _, strong = site.instances
    await site.store.put("op/config", make_configuration(2, bulk=BULK_ROUTE))
    await site.wait_until_served()
    await wait_until(lambda: not weak._election.leading, 8.0)
    await wait_until(lambda: site.find_leader() is strong, 2.0)
    await site.wait_until_served(2.0)
    await asyncio.sleep(5.0)
    assert site.find_leader() is strong


async def test_a_weak_leader_leads_on_while_the_key_value_service_is_away(site):
    """Nobody could have succeeded it, and the grants of all keys would have ended."""
    weak, _, _ = site.instances
    await site.store.put("op/config", make_configuration(2, bulk=BULK_ROUTE))
    await wait_until(lambda: all(i._view.has_bulk_routes for i in site.instances))
    site.store.down = True
    await asyncio.sleep(6.0)
    assert weak._election.leading
    assert site.find_leader() is weak


async def test_a_site_without_bulk_routes_keeps_its_leader(site):
    """Keys of lost servers had no owner for 12.8 s more after each handover."""
    weak, _, _ = site.instances
    await site.wait_until_served()
    await asyncio.sleep(6.0)
    assert weak._election.leading
