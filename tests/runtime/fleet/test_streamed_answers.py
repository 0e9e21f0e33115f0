"""Time limits of answers that are streamed to their callers."""

from __future__ import annotations

import asyncio
from socket import SO_RCVBUF, SOL_SOCKET, socket

import pytest
import pytest_asyncio
from attrs import define
from fleet_site import HOST, FleetSite, make_configuration, wait_until

from basilwick.fakes.streamed_bodies import StreamedBody

#: Route timeout in seconds, and the caller's own time in milliseconds.
TIMEOUT_S = 0.8
CALLER_MS = 1500
#: Time in seconds after a limit within which callers must see the end of an answer.
TOLERANCE_S = 0.5
LARGE = 96 << 10


@pytest_asyncio.fixture
async def site():
    site = FleetSite()
    try:
        await site.start()
        change = {"pathPrefix": "/slow/", "kind": "safe", "service": "desk"}
        change["timeoutMs"] = round(TIMEOUT_S * 1000)
        await site.store.put("op/config", make_configuration(2, slow=change))
        for index in range(len(site.instances)):
            async with asyncio.timeout(5):
                while (await site.send("GET", "/slow/x", index)).status != 200:
                    await asyncio.sleep(0.05)
        yield site
    finally:
        await site.close()


def stream_from_all(site, **options):
    """Let all servers send the same kind of body; returns the body."""
    body = StreamedBody(**options)
    for server in site.servers:
        server.streamed_body = body
    return body


@define
class Received:
    """What a caller received.

    Attributes
    ----------
    reset : bool
        Whether the connection was reset, which ends no answer in good order.
    """

    head: bytes
    body: bytes
    elapsed_s: float
    reset: bool = False

    @property
    def whole(self):
        """Whether the answer looks complete."""
        if b"Transfer-Encoding: chunked" in self.head:
            return self.body.endswith(b"0\r\n\r\n")
        for line in self.head.split(b"\r\n"):
            if line.startswith(b"Content-Length: "):
                return len(self.body) >= int(line.partition(b": ")[2])
        return not self.reset


async def call(
    site, version="1.1", pause_s=0.0, deadline_ms=CALLER_MS, wait_s=10.0, buffer=0
):
    """Send a request on a connection of its own and read until the connection ends.

    Parameters
    ----------
    pause_s : float
        Time in seconds for which the caller reads nothing after its request.
    buffer : int
        Size in bytes of the caller's receive buffer, 0 for the system's default.
    """
    loop = asyncio.get_running_loop()
    sock = socket()
    if buffer:
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, buffer)
    sock.setblocking(False)
    host, _, port = site.caller_addresses[0].rpartition(":")
    await loop.sock_connect(sock, (host, int(port)))
    fields = f"Host: {HOST}\r\nX-Request-Id: c\r\nConnection: close\r\n"
    if deadline_ms is not None:
        fields += f"X-Request-Deadline-Ms: {deadline_ms}\r\n"
    started = loop.time()
    request = f"GET /slow/x HTTP/{version}\r\n{fields}\r\n"
    await loop.sock_sendall(sock, request.encode())
    data = b""
    reset = False
    await asyncio.sleep(pause_s)
    try:
        async with asyncio.timeout(wait_s):
            while piece := await loop.sock_recv(sock, 1 << 20):
                data += piece
    except ConnectionResetError:
        reset = True
    finally:
        sock.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return Received(head, body, loop.time() - started, reset)


def count_open_connections(site):
    """Return the number of connections to servers that carry a request."""
    return sum(
        pool.open - len(pool._idle)
        for instance in site.instances
        for pool in instance._client._pools.values()
    )


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("interval_s", [0.0, 0.05], ids=["fast", "slow"])
async def test_an_endless_answer_is_cut_at_the_time_limit_of_its_route(
    site, version, interval_s
):
    """Callers waited for its end until 5 s after their own time."""
    body = stream_from_all(site, interval_s=interval_s)
    calls = [call(site, version) for _ in range(4)]
    for received in await asyncio.gather(*calls):
        assert received.head.startswith(b"HTTP/1.1 200 ")
        assert TIMEOUT_S - 0.1 < received.elapsed_s < TIMEOUT_S + TOLERANCE_S
        assert not received.whole
    await wait_until(lambda: not body.running, TOLERANCE_S)
    assert count_open_connections(site) == 0


async def test_an_answer_that_its_server_sends_too_slowly_is_cut(site):
    """A server that sent for longer than the limit held its callers until the end."""
    body = stream_from_all(site, size=2 << 20, sized=True, interval_s=0.1)
    received = await call(site)
    assert received.elapsed_s < TIMEOUT_S + TOLERANCE_S
    assert not received.whole
    await wait_until(lambda: not body.running, TOLERANCE_S)


async def test_an_endless_answer_is_cut_at_the_time_of_its_caller(site):
    """The caller's own time was ignored once the answer had begun."""
    stream_from_all(site)
    received = await call(site, deadline_ms=400)
    assert received.elapsed_s < 0.4 + TOLERANCE_S
    assert not received.whole


async def test_an_endless_answer_to_a_caller_that_reads_nothing_is_cut(site):
    """The server went on sending while the instance waited for the caller."""
    body = stream_from_all(site)
    calling = asyncio.create_task(call(site, pause_s=TIMEOUT_S + 1.0))
    await asyncio.sleep(TIMEOUT_S + TOLERANCE_S)
    assert body.running == 0
    assert count_open_connections(site) == 0
    assert not (await calling).whole


@pytest.mark.parametrize("sized", [True, False], ids=["sized", "chunked"])
@pytest.mark.parametrize("size", [LARGE, 3 * LARGE])
async def test_an_answer_that_is_ready_in_time_is_delivered_to_a_slow_caller(
    site, sized, size
):
    """A whole answer was cut because its caller read it after the time limit."""
    stream_from_all(site, size=size, sized=sized)
    received = await call(site, pause_s=TIMEOUT_S + 0.7, buffer=4096)
    assert received.whole
    assert received.body.count(b"z") == size


async def test_a_streamed_answer_within_its_time_is_delivered_whole(site):
    """An answer that was sent slowly, but in time, was cut."""
    stream_from_all(site, size=8 * LARGE, interval_s=0.01)
    received = await call(site)
    assert received.whole
    assert received.body.count(b"z") == 8 * LARGE


async def test_an_answer_to_a_caller_without_a_time_is_delivered_after_5_s(site):
    """The time for the delivery began with the request and was over before it."""
    change = {"pathPrefix": "/slow/", "kind": "safe", "service": "desk"}
    change["timeoutMs"] = 9000
    await site.store.put("op/config", make_configuration(3, slow=change))
    await asyncio.sleep(0.5)
    stream_from_all(site, size=4 * LARGE, interval_s=0.03)
    for server in site.servers:
        server.service_time_s = 5.3
    received = await call(site, deadline_ms=None)
    assert received.head.startswith(b"HTTP/1.1 200 ")
    assert received.whole
