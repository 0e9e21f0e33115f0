"""Heartbeats of the leader, and what it is told of servers."""

from __future__ import annotations

import asyncio
from time import monotonic

import pytest

from basilwick.core.dispatch.known_items import ItemVersion
from basilwick.core.dispatch.messages import (
    ChangesPart,
    DispatchRequest,
    Hello,
    LeaderHeartbeat,
    LeavingReport,
    RateLimitReport,
    SendFinished,
    SendOutcome,
    SharedChanges,
)
from basilwick.core.dispatch.server_statements import LeavingServer
from basilwick.runtime.fleet.change_sender import ChangeSender
from basilwick.runtime.fleet.heartbeat_timing import (
    TransitDelay,
    compute_heartbeat_interval,
)
from basilwick.runtime.fleet.leader_links import LeaderLink
from basilwick.transport.link import Link, decode_message


@pytest.mark.parametrize("instances", [1, 10, 60, 195, 6_568])
def test_the_heartbeat_rate_is_limited_up_to_the_longest_interval(instances):
    """Ten heartbeats a second to each of 195 instances were 1,950 messages a second."""
    interval_s = compute_heartbeat_interval(instances)
    assert 0.1 <= interval_s <= 0.4
    if interval_s < 0.4:
        assert instances / interval_s <= 600.1


@pytest.mark.parametrize("version", [1, 2])
async def test_a_new_leader_is_told_what_servers_stated(version):
    """A new leader knew nothing, and an earlier build closes links that tell it."""
    received = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Link(lambda _, message: received.append(message), lambda _: None),
        "127.0.0.1",
        0,
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    link = LeaderLink(Hello("i", "a"), monotonic)
    link.list_rate_limits = lambda: {"s": 13.5}
    link.list_leaving = lambda: [LeavingServer("l", 7)]
    link.set_leader_address(address, version)
    await link.start()
    async with asyncio.timeout(2):
        while not received:
            await asyncio.sleep(0.01)
    link.submit(
        DispatchRequest(1, "s", 5, 2, 0.2, 1.0, unwanted_servers=("a",)), lambda _: None
    )
    link.finish(SendFinished(1, SendOutcome.OK, 0.1, 7.0, 0.0, True, 3, 0, 8, 140))
    async with asyncio.timeout(2):
        while not isinstance(received[-1], SendFinished):
            await asyncio.sleep(0.01)
    await link.close()
    server.close()
    reports = [m for m in received if isinstance(m, RateLimitReport)]
    assert reports == ([RateLimitReport("s", 13.5)] if version == 2 else [])
    assert received[-1].rate_limit == (7.0 if version == 2 else None)
    assert received[-1].leaving == (version == 2)
    assert received[-1].running == (3 if version == 2 else -1)
    assert [*received[-2].unwanted_servers] == (["a"] if version == 2 else [])
    leaving = [m for m in received if isinstance(m, LeavingReport)]
    assert leaving == ([LeavingReport("l", 7)] if version == 2 else [])


@pytest.mark.parametrize(("version", "told"), [(1, 0), (2, 0), (3, 3)])
async def test_a_leader_is_told_the_link_version_if_its_build_reads_it(version, told):
    received = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Link(lambda _, message: received.append(message), lambda _: None),
        "127.0.0.1",
        0,
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    link = LeaderLink(Hello("i", "a"), monotonic)
    link.set_leader_address(address, version)
    await link.start()
    async with asyncio.timeout(2):
        while not received:
            await asyncio.sleep(0.01)
    assert received[0].link_version == told
    assert link.sends_missing_changes == (version == 3)
    await link.close()
    server.close()


class RecordingLink:
    """Link that records the messages sent on it."""

    unsent_bytes = 0
    closed = False

    def __init__(self, link_version):
        self.peer_hello = Hello("i", "a", 0.0, link_version)
        self.messages = []

    def send_line(self, line):
        self.messages.append(decode_message(line))


@pytest.mark.parametrize(
    ("size", "earlier_build", "this_build"),
    [
        (100, SharedChanges, SharedChanges),
        (100_000, SharedChanges, ChangesPart),
        (400_000, None, ChangesPart),
    ],
)
def test_builds_side_by_side_get_the_changes_that_they_read(
    size, earlier_build, this_build
):
    links = {version: RecordingLink(version) for version in (0, 3)}
    item = ItemVersion("op/config", b"{" * size, 6)
    shared = SharedChanges(4, 6, False, ())
    ChangeSender().broadcast(links.values(), shared, [item], lambda key: None)
    types = [
        type(link.messages[0]) if link.messages else None for link in links.values()
    ]
    assert types == [earlier_build, this_build]


def test_time_that_a_heartbeat_waits_in_a_full_link_counts_as_age():
    """An instance behind a full link took changes of seconds ago for recent ones."""
    delay = TransitDelay()
    arrivals = [(100.0, 7.02), (100.1, 7.11), (100.2, 8.41), (100.3, 8.42)]
    delays = [
        delay.estimate(LeaderHeartbeat(3, sent_at=sent_at), arrived_at)
        for sent_at, arrived_at in arrivals
    ]
    assert delays == pytest.approx([0.0, 0.0, 1.2, 1.11], abs=0.011)


def test_heartbeats_of_earlier_builds_count_from_their_arrival():
    assert TransitDelay().estimate(LeaderHeartbeat(3), 100.0) == 0.0
