"""Takeover and storage of the ranges of a service."""

from __future__ import annotations

import asyncio
from time import monotonic
from types import SimpleNamespace

import pytest

from basilwick.core.errors import PlatformUnavailableError
from basilwick.core.ranges.orders import OwnershipTimings
from basilwick.core.ranges.table import Phase, StoredRange
from basilwick.platform.key_value_store import Item, WriteResult
from basilwick.runtime.fleet.leader_authority import DeposedError
from basilwick.runtime.fleet.range_manager import RangeManager
from basilwick.runtime.fleet.stored_ranges import decode_ranges


class RacingStore:
    """Store that lets all leaders read the ranges before any of them writes."""

    era = 0
    may_be_restored = False

    def __init__(self, readers):
        self.item = None
        self._all_read = asyncio.Barrier(readers)

    async def get(self, key, cause):
        item = self.item
        if cause == "read ranges":
            await self._all_read.wait()
        return item

    async def write(self, key, value, revision, cause):
        if revision != (self.item.revision if self.item else 0):
            return WriteResult.CONFLICT, 0
        self.item = Item(key, value, revision + 1)
        return WriteResult.DONE, revision + 1


async def test_two_leaders_never_reserve_the_same_fences():
    """Both wrote the same value, and each took the other's write for its own."""
    store = RacingStore(2)
    managers = [
        RangeManager(
            SimpleNamespace(service="maps"),
            None,
            store,
            None,
            OwnershipTimings(),
            monotonic,
            None,
        )
        for _ in range(2)
    ]
    starts = [manager.start() for manager in managers]
    results = await asyncio.gather(*starts, return_exceptions=True)
    assert {type(result) for result in results} == {DeposedError, type(None)}


class DelayedWriteStore:
    """Store that can apply a write late, after reporting that it got no answer."""

    era = 0
    may_be_restored = False

    def __init__(self):
        self.item = None
        self.delayed_write = None
        self.delay_next_write = False

    async def get(self, key, cause):
        return self.item

    async def write(self, key, value, revision, cause):
        if self.delay_next_write:
            self.delay_next_write = False
            self.delayed_write = value, revision
            raise PlatformUnavailableError("no answer")
        if revision != (self.item.revision if self.item else 0):
            return WriteResult.CONFLICT, 0
        self.item = Item(key, value, revision + 1)
        return WriteResult.DONE, revision + 1

    def apply_delayed_write(self):
        value, revision = self.delayed_write
        assert revision == self.item.revision
        self.item = Item(self.item.key, value, revision + 1)


async def test_a_delayed_write_of_the_same_term_is_no_conflict():
    """The leader took its own earlier write for a write of another leader."""
    store = DelayedWriteStore()
    manager = RangeManager(
        SimpleNamespace(service="maps"),
        None,
        store,
        None,
        OwnershipTimings(),
        monotonic,
        None,
    )
    await manager.start()
    store.delay_next_write = True
    with pytest.raises(PlatformUnavailableError):
        await manager._save([StoredRange(0, 65535, "m0")])
    store.apply_delayed_write()
    # A move started before the write was retried.
    await manager._save([StoredRange(0, 65535, "m1", "m0")])
    stored = decode_ranges(store.item.value)
    assert stored.ranges == [StoredRange(0, 65535, "m1", "m0")]


async def test_a_long_term_reserves_more_fences():
    """After 100,000 fencing tokens a leader sent no more orders but kept its lease."""
    store = DelayedWriteStore()
    authority = SimpleNamespace(
        may_renew_grants=lambda: True,
        may_move_ranges=lambda: False,
        era=0,
        uncertain=False,
    )
    selector = SimpleNamespace(service="maps", list_eligible_owners=lambda now: [])
    manager = RangeManager(
        selector, None, store, None, OwnershipTimings(), monotonic, authority
    )
    await manager.start()
    fences = manager.controller.fences
    first_end = fences.end
    fences.next_fence = first_end - 10
    manager.tick()
    await asyncio.gather(*manager._tasks)
    stored = decode_ranges(store.item.value)
    assert fences.end == stored.reserved_end > first_end


class RestoredStore(DelayedWriteStore):
    """Store without ranges, as a process finds it that starts in a given era."""

    def __init__(self, era):
        super().__init__()
        self.era = era
        self.may_be_restored = era > 1


async def start_without_ranges(era):
    """Return the manager of a leader that finds no stored ranges."""
    manager = RangeManager(
        SimpleNamespace(service="maps"),
        None,
        RestoredStore(era),
        None,
        OwnershipTimings(),
        monotonic,
        None,
    )
    await manager.start()
    return manager


async def test_a_process_that_starts_after_a_return_takes_no_lost_ranges_for_none():
    """It granted all keys anew, with the first fences, while lost grants held."""
    manager = await start_without_ranges(era=2)
    manager.controller.assign_unowned(["m0"], monotonic())
    assert [r.phase for r in manager.controller.table.ranges] == [Phase.UNOWNED]
    assert manager.controller.fences.next_fence >= 2 << 32
    assert decode_ranges(manager._store.item.value).era == 0


@pytest.mark.parametrize("era", [0, 1])
async def test_a_first_start_grants_keys_at_once(era):
    """A service without eras states 0, and one that was never restored 1."""
    manager = await start_without_ranges(era)
    manager.controller.assign_unowned(["m0"], monotonic())
    assert [r.phase for r in manager.controller.table.ranges] == [Phase.STORING]
    assert manager.controller.fences.next_fence == 1
    assert decode_ranges(manager._store.item.value).era == era
