"""Callers and servers that send numbers which nothing can be done with."""

from __future__ import annotations

import asyncio
from io import BytesIO

import pytest
from orjson import loads

from basilwick.logs import close_logs, configure_logs

NUMBERS = ["nan", "inf", "-inf", "1e30", "1e308", "1e999", "0x10", ""]
NUMBERS += ["9" * 400, "9" * 5000, "-" + "9" * 400]
#: Deadlines in milliseconds that have passed or leave no time to open a connection.
PASSED = ["-1e30", "-1", "0", "10", "10.1", "10.2", "11"]


@pytest.fixture
def log():
    stream = BytesIO()
    configure_logs(stream)
    yield stream
    close_logs()


async def test_absurd_numbers_of_callers_end_nothing(site, log):
    """A deadline of 1e30 ended the log thread; a long key cut off its caller."""
    # Servers that are cold refuse requests that come too fast.
    await asyncio.sleep(1.2)
    for index in (0, 1):
        for number in NUMBERS:
            response = await site.order(index, **{"X-Request-Deadline-Ms": number})
            assert response.status == 200
            assert (await site.read(number, index)).status == 503
        for key in (0, 40_000):
            assert (await site.read(key, index)).status == 200
    await asyncio.sleep(0.3)
    lines = [loads(line) for line in log.getvalue().splitlines()]
    messages = [line["message"] for line in lines]
    assert messages.count("request answered") >= 2 * (2 * len(NUMBERS) + 2)
    assert "log line can't be encoded" not in messages
    assert all(0 <= line.get("time_left_ms", 0) <= 86_400_000 for line in lines)


@pytest.mark.parametrize("number", ["-1", "9" * 400, "9" * 5000, "1e3", "nan", ""])
async def test_absurd_lengths_of_callers_end_nothing(site, number):
    """A length that can't be read must not end more than its own connection."""
    host, port = site.caller_addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, port)
    head = "POST /order/x HTTP/1.1\r\nHost: site.example\r\n"
    writer.write(f"{head}Content-Length: {number}\r\n\r\n".encode())
    async with asyncio.timeout(5.0):
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
    writer.close()
    assert (await site.order()).status == 200


async def test_callers_without_time_take_no_server_out_of_service(site):
    """Two requests with a passed deadline made both servers count as unreachable."""
    # Servers that are cold refuse requests that come too fast.
    await asyncio.sleep(1.2)
    for index in (0, 1):
        for number in PASSED:
            response = await site.order(index, **{"X-Request-Deadline-Ms": number})
            assert response.status in (503, 504)
            assert (await site.order(index)).status == 200
