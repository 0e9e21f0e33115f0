"""Servers that state a rate limit for all instances together."""

from __future__ import annotations

import pytest
import pytest_asyncio
from fleet_site import FleetSite
from loguru import logger


@pytest_asyncio.fixture
async def site():
    site = FleetSite(instance_count=3)
    try:
        await site.start()
        yield site
    finally:
        await site.close()


@pytest.fixture
def records():
    log_records = []
    sink = logger.add(lambda message: log_records.append(message.record), level="INFO")
    yield log_records
    logger.remove(sink)


async def test_a_stated_rate_limit_shows_in_log_and_metrics(site, records):
    """Nothing told that a server had stated a limit, nor what it got after that."""
    for server in site.servers:
        if server.service == "desk":
            server.rate_limit = "6.5"
    for index in range(6):
        await site.order(index % 3)
    (instance, *_) = site.instances
    instance.metrics.set_rate_limits(instance._view.list_rate_limits())
    metrics = instance.metrics.render().decode()
    assert 'basilwick_server_rate_limit{server="desk0"} 6.5' in metrics
    assert 'basilwick_rate_limited_requests_total{server="desk' in metrics
    changes = [
        r["extra"] for r in records if r["message"] == "server rate limit changed"
    ]
    assert {(c["former"], c["rate_limit"]) for c in changes} == {("none", 6.5)}
