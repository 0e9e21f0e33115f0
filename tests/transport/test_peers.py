"""Control connections between two ends on loopback."""

from __future__ import annotations

from asyncio import CancelledError, sleep, timeout
from socket import socket

import pytest

from basilwick.core.configuration import Changes, Entry
from basilwick.core.messages import Heartbeat
from basilwick.transport.peers import SILENT_AFTER_S, PeerLinks, PeerServer, _Link

HEARTBEAT = Heartbeat(
    "a", "a#1", "dc-a", "127.0.0.1:1", "127.0.0.1:2", sent_at=1.5,
    generations_version=1, generations={("clue", 3): 7},
)  # fmt: skip
CHANGES = Changes(5, [Entry("records/service/clue", b"{}", 5)], True, 0)


@pytest.fixture
async def start_server():
    servers = []

    async def start(received):
        with socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        server = PeerServer(address, "key", received.append, lambda since: CHANGES)
        await server.start()
        servers.append(server)
        return address

    yield start
    for server in servers:
        await server.close()


@pytest.mark.parametrize(("key", "expected"), [("key", [HEARTBEAT]), ("other", [])])
async def test_message_needs_the_shared_key(start_server, key, expected):
    # Guards against control messages from a process without the key.
    received = []
    address = await start_server(received)
    links = PeerLinks(key)
    links.send(address, HEARTBEAT)
    await sleep(0.3)
    changes = await links.fetch_changes(address, 0)
    await links.close()
    assert received == expected
    assert changes == (CHANGES if expected else None)


async def test_closing_ends_a_link_whose_exchange_fails_at_that_moment(monkeypatch):
    # Guards against a close that never ended: grpclib can turn the cancellation of an
    # exchange into a failure, after which the link was opened again.
    async def fail_when_cancelled(link, channel):
        try:
            await sleep(30)
        except CancelledError:
            raise ConnectionError("the stream failed") from None

    monkeypatch.setattr(_Link, "_exchange", fail_when_cancelled)
    links = PeerLinks("key")
    links.send("127.0.0.1:1", HEARTBEAT)
    await sleep(0.05)
    async with timeout(2):
        await links.close()


async def test_silent_connection_is_replaced(start_server):
    # Guards against the reuse of a connection that stays silent: a receiver that
    # confirms nothing must get a new stream, which repeats the elided strings.
    received = []
    address = await start_server(received)
    links = PeerLinks("key")
    first = set()
    for _ in range(int((SILENT_AFTER_S + 0.6) / 0.1)):
        links.send(address, HEARTBEAT)
        await sleep(0.1)
        first.add(links._links[address]._failures)
    await links.close()
    assert first >= {0, 1}
    assert all(message == HEARTBEAT for message in received)
