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
