"""Fixtures of the tests of a whole site."""

from __future__ import annotations

import pytest_asyncio
from fleet_site import FleetSite


@pytest_asyncio.fixture
async def site():
    """Start a site with two instances, three partitioned servers and two others."""
    site = FleetSite()
    try:
        await site.start()
        yield site
    finally:
        await site.close()
