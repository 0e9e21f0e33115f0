"""Instances as processes that are replaced or killed under load."""

from __future__ import annotations

from asyncio import sleep
from time import monotonic

from process_site import TARGET_S, assert_served_again, run_load, run_process_site

from basilwick.testing import assert_at_most_once, assert_one_owner


async def test_keys_stay_served_when_an_instance_dies_in_an_outage(tmp_path):
    # Guards against duties of a lost instance that pass on only through the platform.
    async with run_process_site(tmp_path) as site:
        # Callers of the lost instance connect to the others.
        async with run_load(site.addresses[1:]) as callers:
            await sleep(1.0)
            await site.set_platform_faults(down=True)
            await sleep(0.5)
            lost_at = monotonic()
            await site.instances["a-0"].kill()
            await sleep(TARGET_S + 1.5)
        runs = site.read_runs()
        assert_at_most_once(runs)
        assert_one_owner(runs)
        assert_served_again(callers, lost_at)
