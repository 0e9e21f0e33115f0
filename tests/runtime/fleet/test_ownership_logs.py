"""Log lines about the owners of keys."""

from __future__ import annotations

import pytest
from fleet_site import FleetSite
from loguru import logger


@pytest.fixture
def records():
    log_records = []
    sink = logger.add(lambda message: log_records.append(message.record), level="INFO")
    yield log_records
    logger.remove(sink)


async def test_each_change_of_an_owner_is_logged_with_its_reason(records):
    """Without these lines no log tells which leader moved a key, and why."""
    site = FleetSite(instance_count=1)
    try:
        await site.start()
    finally:
        await site.close()
    logged = [r["extra"] for r in records if r["message"] == "keys handed over"]
    firsts = [entry for entry in logged if entry["former"] is None]
    assert {entry["owner"] for entry in firsts} == {"map0", "map1", "map2"}
    assert {entry["reason"] for entry in firsts} == {"nobody owned them"}
    assert all(entry["fence"] >= 1 for entry in firsts)
    (takeover,) = [
        r["extra"]
        for r in records
        if r["message"] == "took over the ranges of a service"
    ]
    assert takeover["unfinished_moves"] == 0
