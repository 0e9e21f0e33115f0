"""Tests of the platform client against a fake platform with injected faults."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random

import pytest

from basilwick.core.errors import PlatformUnavailableError, TooLargeError
from basilwick.fakes.platform import FakePlatform, PlatformFaults
from basilwick.platform.budget import Backoff, CallBudget, CallKind, TokenBucket
from basilwick.platform.http import MAX_VALUE_BYTES, HttpPlatformClient
from basilwick.platform.service import Committed, Conflict

KEY = "blocks/clue/0"


@asynccontextmanager
async def _connect(clients=1, **settings):
    fake = FakePlatform(**settings)
    await fake.start()
    platforms = [
        HttpPlatformClient(fake.address, rng=Random(i)) for i in range(clients)
    ]
    for platform in platforms:
        await platform.start()
    try:
        yield fake, *platforms
    finally:
        for platform in platforms:
            await platform.close()
        await fake.close()


async def test_lost_response_is_resolved_by_the_write_id():
    # A write that took effect must not be reported as a conflict.
    async with _connect() as (fake, platform):
        fake.faults.lose_write_answers = True
        assert await platform.compare_and_swap(KEY, b"1", 0, "w1") == Committed(1)
        assert fake.calls["POST kv"] == 1


async def test_write_overwritten_after_a_lost_response_is_not_repeated():
    # A blind retry would undo what another writer wrote in between.
    async with _connect() as (fake, platform):

        def _overwrite(key):
            fake.store.after_write = None
            fake.store.write(key, "2", "other")

        fake.store.after_write = _overwrite
        fake.faults.lose_write_answers = True
        result = await platform.compare_and_swap(KEY, b"1", 0, "w1")
        assert isinstance(result, Conflict)
        assert result.current.value == b"2"
        assert fake.store.read(KEY).write_id == "other"


async def test_slow_write_that_takes_effect_after_its_retry_is_not_a_conflict():
    # A first attempt that takes effect late must not make the client's own write look
    # like that of another writer.
    async with _connect() as (fake, platform):
        fake.faults.delay_s = 1.3
        write = asyncio.create_task(platform.compare_and_swap(KEY, b"1", 0, "w1"))
        await asyncio.sleep(1.1)
        fake.faults.delay_s = 0.0
        assert await write == Committed(1)
        await asyncio.sleep(0.4)
        assert fake.store.read(KEY).revision == 1


async def test_slow_platform_still_commits_and_lists():
    # If the platform always responds after the timeout, no write must be left without a
    # known outcome.
    async with _connect() as (fake, platform):
        fake.faults.delay_s = 2.5
        assert await platform.compare_and_swap(KEY, b"1", 0, "w1") == Committed(1)
        assert (await platform.list_entries("blocks/")).entries[0].value == b"1"
        assert fake.store.read(KEY).revision == 1


async def test_write_with_unknown_outcome_is_reported_as_unavailable():
    # An outage must not look like a refused write.
    async with _connect() as (fake, platform):
        fake.faults.down = True
        with pytest.raises(PlatformUnavailableError):
            await platform.compare_and_swap(KEY, b"1", 0, "w1")
        fake.faults.down = False
        with pytest.raises(TooLargeError):
            await platform.compare_and_swap(KEY, bytes(MAX_VALUE_BYTES + 1), 0, "w2")


async def test_reads_are_consistent():
    # A read must not return a value that was replaced before the read began.
    async with _connect() as (fake, platform):
        fake.store.write(KEY, "1")
        fake.store.write(KEY, "2")
        fake.faults.stale_reads = True
        assert (await platform.get(KEY)).value == b"2"
        listed = await platform.list_entries(["blocks/", "records/"])
        assert [entry.value for entry in listed.entries] == [b"2"]


async def test_watch_older_than_the_log_returns_a_snapshot():
    # Otherwise a watcher would never get the changes that were compacted while it was
    # disconnected.
    async with _connect() as (fake, platform):
        fake.store.log_length = 2
        for number in range(4):
            fake.store.write(f"records/server/s{number}", "{}")
        changes = await platform.watch("records/", 1, 1.0)
        assert changes.snapshot
        assert len(changes.entries) == 4
        changes = await platform.watch("records/", 2, 1.0)
        assert (changes.snapshot, changes.since, len(changes.entries)) == (False, 2, 2)


async def test_expired_lease_is_not_renewed():
    # A holder that was paused must not continue after another could have taken over.
    async with _connect(2) as (_, first, second):
        lease = await first.acquire_lease("seat", "a", 0.3)
        assert await second.acquire_lease("seat", "b", 0.3) is None
        assert await first.renew_lease(lease)
        await asyncio.sleep(0.4)
        assert await first.renew_lease(lease) is None
        taken = await second.acquire_lease("seat", "b", 5.0)
        await first.release_lease(lease)
        assert await second.renew_lease(taken)


async def test_list_of_instances_lags_behind():
    # The list must not be taken for the current membership.
    async with _connect() as (fake, platform):
        now = asyncio.get_running_loop().time()
        line = {"data_centre": "dc-a", "leaving": False, "peer_address": "127.0.0.1:9"}
        fake.store.set_instance("a", line, now - 5.0)
        fake.store.set_instance("a", None, now - 1.0)
        assert await platform.list_instances() == []
        fake.faults.instance_lag_s = 2.0
        assert [found.name for found in await platform.list_instances()] == ["a"]


async def test_calls_are_spread_when_the_platform_returns():
    # Instances must not all call at the moment at which an outage ends. The target is a
    # spread over 2 s, so no 0.2 s may contain more than half of the first calls.
    async with _connect(48) as (fake, *platforms):
        fake.faults.down = True
        responded_at = []

        async def _watch_until_response(platform):
            while True:
                try:
                    await platform.watch("records/", 0, 5.0)
                    responded_at.append(asyncio.get_running_loop().time())
                    return
                except PlatformUnavailableError:
                    pass

        fake.store.write("records/server/a", "{}")
        tasks = [
            asyncio.create_task(_watch_until_response(platform))
            for platform in platforms
        ]
        await asyncio.sleep(4.0)
        calls = fake.calls.total()
        # Delays grow to 2 s, so an outage of 4 s takes far fewer calls than 15 each.
        assert calls < 48 * 15
        fake.faults = PlatformFaults()
        async with asyncio.timeout(3.0):
            await asyncio.gather(*tasks)
        responded_at.sort()
        busiest = max(
            sum(start <= time < start + 0.2 for time in responded_at)
            for start in responded_at
        )
        assert busiest <= 24


def test_delays_after_failures_are_bounded_and_end_with_success():
    # The delay must not keep growing during an outage of many hours.
    backoff = Backoff(Random(1))
    now = 0.0
    for _ in range(2000):
        now += backoff.get_delay(now)
        backoff.record_failure(now)
        assert backoff.get_delay(now) <= 2.0
    backoff.record_success()
    assert backoff.get_delay(now) == 0.0


def test_budget_limits_the_rate_of_reads_and_writes_separately():
    # One busy instance must not exhaust the rate of the platform, nor writes the budget
    # for reads.
    budget = CallBudget(TokenBucket(10, 5), TokenBucket(10, 5))
    waits = [budget.reserve(CallKind.WRITE, 0.0, 2.0) for _ in range(100)]
    granted = [wait for wait in waits if wait is not None]
    assert len(granted) == 25
    assert max(granted) == pytest.approx(2.0)
    assert budget.reserve(CallKind.READ, 0.0, 2.0) == 0.0


async def test_calls_refused_by_rate_limit_are_retried():
    # A short throttling must not appear as an outage.
    async with _connect() as (fake, platform):
        fake.faults.reads_per_s = 20.0
        for _ in range(30):
            await platform.get(KEY)
        assert fake.calls["GET kv"] >= 30
