"""Loads that servers state, on a whole site."""

from __future__ import annotations

import asyncio

import pytest
from fleet_site import make_configuration, wait_until


@pytest.mark.parametrize("kind", ["download", "safe"])
async def test_an_instance_that_loses_the_leader_knows_the_stated_loads(site, kind):
    """It chose as if it knew no server, at the moment at which others did the same."""
    files = {"pathPrefix": "/files/", "kind": kind, "service": "desk"}
    await site.store.put("op/config", make_configuration(7, files=files))
    leader = site.find_leader()
    (other,) = [m for m in site.instances if m is not leader]
    await wait_until(lambda: other._view.configuration.version == 7)
    await wait_until(lambda: leader._view.configuration.version == 7)
    index = site.instances.index(other)
    for _ in range(8):
        assert (await site.send("GET", "/files/x", index)).status == 200
    # What the leader knows arrives by the link.
    await asyncio.sleep(0.2)
    stated = {
        instance: [
            dispatcher.get_load(f"desk{number}").stated.report is not None
            for number in range(2)
        ]
        for instance, dispatcher in (
            ("leader", leader._role.runner.dispatcher),
            ("other", other._fallback.dispatcher),
        )
    }
    expected = kind == "download"
    assert any(stated["leader"]) == any(stated["other"]) == expected
    await site.kill(leader)
    responses = [await site.send("GET", "/files/x", index) for _ in range(4)]
    assert [response.status for response in responses] == [200] * 4
    metric = "basilwick_load_report_age_seconds_count"
    await wait_until(lambda: (metric in other.metrics.render().decode()) == expected)
