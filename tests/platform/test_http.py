"""Client of the platform against the stand-in with faults."""

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


async def test_lost_answer_is_resolved_by_write_identity():
    # Guards against a write that took effect and is reported as a conflict.
    async with _connect() as (fake, platform):
        fake.faults.lose_write_answers = True
        assert await platform.compare_and_swap(KEY, b"1", 0, "w1") == Committed(1)
        assert fake.calls["POST kv"] == 1


async def test_lost_answer_then_overtaken_by_another_writer_is_not_rewritten():
    # Guards against a blind repeat that undoes what another writer did in between.
    async with _connect() as (fake, platform):

        def _overtake(key):
            fake.store.after_write = None
            fake.store.write(key, "2", "other")

        fake.store.after_write = _overtake
        fake.faults.lose_write_answers = True
        result = await platform.compare_and_swap(KEY, b"1", 0, "w1")
        assert isinstance(result, Conflict)
        assert result.current.value == b"2"
        assert fake.store.read(KEY).write_id == "other"


async def test_slow_write_that_takes_effect_after_its_repeat_is_not_a_conflict():
    # Guards against a late first attempt that makes the own write look like another's.
    async with _connect() as (fake, platform):
        fake.faults.delay_s = 1.3
        write = asyncio.create_task(platform.compare_and_swap(KEY, b"1", 0, "w1"))
        await asyncio.sleep(1.1)
        fake.faults.delay_s = 0.0
        assert await write == Committed(1)
        await asyncio.sleep(0.4)
        assert fake.store.read(KEY).revision == 1


async def test_slow_platform_still_commits_and_lists():
    # Guards against a platform that answers later than the timeout, so that no write
    # ever has a known outcome.
    async with _connect() as (fake, platform):
        fake.faults.delay_s = 2.5
        assert await platform.compare_and_swap(KEY, b"1", 0, "w1") == Committed(1)
        assert (await platform.list_entries("blocks/")).entries[0].value == b"1"
        assert fake.store.read(KEY).revision == 1


async def test_write_without_known_outcome_is_reported_as_such():
    # Guards against an outage that looks like a refused write.
    async with _connect() as (fake, platform):
        fake.faults.down = True
        with pytest.raises(PlatformUnavailableError):
            await platform.compare_and_swap(KEY, b"1", 0, "w1")
        fake.faults.down = False
        with pytest.raises(TooLargeError):
            await platform.compare_and_swap(KEY, bytes(MAX_VALUE_BYTES + 1), 0, "w2")


async def test_reads_ask_for_consistent_answers():
    # Guards against a decision on a value that was replaced before the read began.
    async with _connect() as (fake, platform):
        fake.store.write(KEY, "1")
        fake.store.write(KEY, "2")
        fake.faults.stale_reads = True
        assert (await platform.get(KEY)).value == b"2"
        listed = await platform.list_entries(["blocks/", "records/"])
        assert [entry.value for entry in listed.entries] == [b"2"]


async def test_watch_older_than_the_log_returns_a_snapshot():
    # Guards against a watcher that never learns what was compacted while it was away.
    async with _connect() as (fake, platform):
        fake.store.log_length = 2
        for number in range(4):
            fake.store.write(f"records/server/s{number}", "{}")
        changes = await platform.watch("records/", 1, 1.0)
        assert changes.snapshot
        assert len(changes.entries) == 4
        changes = await platform.watch("records/", 2, 1.0)
        assert (changes.snapshot, changes.since, len(changes.entries)) == (False, 2, 2)


async def test_lapsed_lease_is_not_renewed():
    # Guards against a paused holder that goes on after another could have taken over.
    async with _connect(2) as (_, first, second):
        lease = await first.acquire_lease("seat", "a", 0.3)
        assert await second.acquire_lease("seat", "b", 0.3) is None
        assert await first.renew_lease(lease)
        await asyncio.sleep(0.4)
        assert await first.renew_lease(lease) is None
        taken = await second.acquire_lease("seat", "b", 5.0)
        await first.release_lease(lease)
        assert await second.renew_lease(taken)


async def test_list_of_instances_lags():
    # Guards against code that takes the list for the present membership.
    async with _connect() as (fake, platform):
        now = asyncio.get_running_loop().time()
        line = {"data_centre": "dc-a", "leaving": False, "peer_address": "127.0.0.1:9"}
        fake.store.set_instance("a", line, now - 5.0)
        fake.store.set_instance("a", None, now - 1.0)
        assert await platform.list_instances() == []
        fake.faults.instance_lag_s = 2.0
        assert [found.name for found in await platform.list_instances()] == ["a"]


async def test_calls_are_spread_when_the_platform_returns():
    # Guards against instances that all call at the moment at which an outage ends. The
    # target is a spread over 2 s, so no 0.2 s holds more than half of the first calls.
    async with _connect(48) as (fake, *platforms):
        fake.faults.down = True
        returned = []

        async def _follow(platform):
            while True:
                try:
                    await platform.watch("records/", 0, 5.0)
                    returned.append(asyncio.get_running_loop().time())
                    return
                except PlatformUnavailableError:
                    pass

        fake.store.write("records/server/a", "{}")
        tasks = [asyncio.create_task(_follow(platform)) for platform in platforms]
        await asyncio.sleep(4.0)
        calls = fake.calls.total()
        # Delays grow to 2 s, so an outage of 4 s takes far fewer calls than 15 each.
        assert calls < 48 * 15
        fake.faults = PlatformFaults()
        async with asyncio.timeout(3.0):
            await asyncio.gather(*tasks)
        returned.sort()
        busiest = max(
            sum(start <= time < start + 0.2 for time in returned) for start in returned
        )
        assert busiest <= 24


def test_delays_after_failures_are_bounded_and_end_with_success():
    # Guards against a delay that keeps growing through a night's outage.
    backoff = Backoff(Random(1))
    now = 0.0
    for _ in range(2000):
        now += backoff.get_delay(now)
        backoff.record_failure(now)
        assert backoff.get_delay(now) <= 2.0
    backoff.record_success()
    assert backoff.get_delay(now) == 0.0


def test_budget_bounds_the_rate_and_leaves_reads_when_writes_are_used_up():
    # Guards against one busy instance that uses up the platform's rate.
    budget = CallBudget(TokenBucket(10, 5), TokenBucket(10, 5))
    waits = [budget.reserve(CallKind.WRITE, 0.0, 2.0) for _ in range(100)]
    granted = [wait for wait in waits if wait is not None]
    assert len(granted) == 25
    assert max(granted) == pytest.approx(2.0)
    assert budget.reserve(CallKind.READ, 0.0, 2.0) == 0.0


async def test_refusals_by_rate_are_retried():
    # Guards against a short throttling that surfaces as an outage.
    async with _connect() as (fake, platform):
        fake.faults.reads_per_s = 20.0
        for _ in range(30):
            await platform.get(KEY)
        assert fake.calls["GET kv"] >= 30
