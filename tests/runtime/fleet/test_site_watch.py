"""Reading of changes while the leader broadcasts changes."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from orjson import dumps

from basilwick.core.dispatch.messages import (
    Hello,
    ItemChange,
    LeaderHeartbeat,
    SharedChanges,
)
from basilwick.core.dispatch.site import SiteView
from basilwick.metrics import FleetMetrics
from basilwick.platform.key_value_store import Change, ChangeBatch, Item
from basilwick.runtime.fleet.leader_links import LeaderLink, LinkListener
from basilwick.runtime.fleet.site_watch import SiteWatch
from basilwick.runtime.fleet.stored_state import StoredState


def encode_server(name):
    return dumps(
        {
            "service": "maps",
            "address": f"127.0.0.1:{name[1:]}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "warmupRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
    )


class BlockingListStore:
    """Store whose listings block until they are allowed to return."""

    def __init__(self):
        self.list_allowed = asyncio.Event()
        self.items = {"servers/s1": (encode_server("s1"), 2)}
        self.revision = 2
        self.history = []

    async def list_items(self, prefix, cause, stale=False):
        rows, revision = dict(self.items), self.revision
        await self.list_allowed.wait()
        items = [Item(k, v, r) for k, (v, r) in rows.items() if k.startswith(prefix)]
        return items, revision

    async def watch(self, prefix, after, wait_s, cause):
        changes = [change for change in self.history if change.revision > after]
        return ChangeBatch(changes, self.revision)

    def put(self, name):
        self.revision += 1
        self.items[f"servers/{name}"] = (encode_server(name), self.revision)
        change = Change(f"servers/{name}", encode_server(name), self.revision)
        self.history.append(change)
        return change


@pytest.fixture
def watch_setup():
    now = [0.0]

    def clock():
        return now[0]

    store, view = BlockingListStore(), SiteView()
    link = LeaderLink(Hello("i", "a"), clock)
    listener = LinkListener("127.0.0.1:0", Hello("i", "a"), clock)
    metrics = FleetMetrics()
    watch = SiteWatch(
        store, view, StoredState(), clock, Random(1), link, listener, metrics
    )
    return watch, store, view, now


def make_shared_changes(change, after):
    value = change.value.decode("latin-1")
    rows = (ItemChange(change.key, value, change.revision),)
    return SharedChanges(after, change.revision, False, rows)


async def start_watch(watch, now):
    """Update a starting instance until it has listed all items."""
    while watch.revision == 0:
        await watch._update(now[0])
        now[0] += 0.3


async def test_a_change_broadcast_during_a_listing_is_not_lost(watch_setup):
    """The listing lacked the new server, and no later update added it."""
    watch, store, view, now = watch_setup
    store.list_allowed.set()
    await start_watch(watch, now)
    now[0] = 10.0
    store.list_allowed.clear()
    listing = asyncio.create_task(watch._update(now[0]))
    await asyncio.sleep(0)
    change = store.put("s2")
    watch._apply_shared(make_shared_changes(change, after=2))
    store.list_allowed.set()
    await listing
    await watch._update(now[0])
    assert view.get_server("s2") is not None
    assert {s.name for s in view.list_servers("maps")} == {"s1", "s2"}


async def test_broadcast_changes_are_applied(watch_setup):
    watch, store, view, now = watch_setup
    store.list_allowed.set()
    await start_watch(watch, now)
    watch._apply_shared(make_shared_changes(store.put("s2"), after=2))
    assert view.get_server("s2") is not None
    assert watch._complete_heartbeat(LeaderHeartbeat(2)).revision == 3
