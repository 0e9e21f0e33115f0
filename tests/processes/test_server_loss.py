"""Backend servers as processes that are killed or stopped under load."""

from __future__ import annotations

from asyncio import sleep
from time import monotonic

import pytest
from process_site import (
    TARGET_S,
    assert_served_again,
    list_keys_of,
    run_load,
    run_process_site,
)

from basilwick.testing import assert_at_most_once, assert_one_owner


@pytest.mark.parametrize("lost", ["clue-checks-0", "clue-plain"])
async def test_keys_of_a_killed_server_are_served_again_in_time(tmp_path, lost):
    # Guards against keys that stay with a lost server, an operation that is repeated
    # at the new owner, and a new owner that starts before the old one's rights end.
    async with run_process_site(tmp_path) as site:
        async with run_load(site.addresses) as callers:
            await sleep(1.5)
            assert list_keys_of(callers, lost), f"{lost} owned no key before the kill"
            lost_at = monotonic()
            await site.servers[lost].kill()
            await sleep(TARGET_S + 1.0)
        runs = site.read_runs()
        assert_at_most_once(runs)
        assert_one_owner(runs)
        assert_served_again(callers, lost_at, without=lost)


async def test_stopped_server_runs_nothing_old_after_another_owner(tmp_path):
    # Guards against requests left in the sockets of a stopped server, and grants that
    # it held, which would still run there after its keys went to another owner.
    lost = "clue-checks-0"
    async with run_process_site(tmp_path) as site:
        async with run_load(site.addresses) as callers:
            await sleep(1.5)
            moved = list_keys_of(callers, lost)
            assert moved, f"{lost} owned no key before the stop"
            lost_at = monotonic()
            site.servers[lost].pause()
            await sleep(TARGET_S + 1.0)
            resumed_at = monotonic()
            site.servers[lost].resume()
            await sleep(2.0)
        runs = site.read_runs()
        assert_at_most_once(runs)
        assert_one_owner(runs)
        assert_served_again(callers, lost_at, without=lost)
        # Every key that runs there again does so under a fence above all others.
        highest = {}
        for run in runs:
            if run.server != lost and run.at < resumed_at:
                highest[run.key] = max(run.fence, highest.get(run.key, 0))
        assert moved <= highest.keys(), "some keys had no other owner during the stop"
        old = [
            run
            for run in runs
            if run.server == lost
            and run.at >= resumed_at
            and run.fence <= highest.get(run.key, 0)
        ]
        assert not old, f"{lost} ran {len(old)} old requests: {old[:5]}"
