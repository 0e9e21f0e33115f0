"""Messages and links between instances."""

from __future__ import annotations

import asyncio

import pytest

from basilwick.core.dispatch.messages import (
    Assigned,
    CancelRequest,
    DispatchRequest,
    Hello,
    ItemChange,
    LeaderHeartbeat,
    Refused,
    SendFinished,
    SendOutcome,
    SharedChanges,
)
from basilwick.transport.link import (
    Link,
    connect_link,
    decode_message,
    encode_message,
)


@pytest.mark.parametrize(
    "message",
    [
        Hello("i", "a"),
        DispatchRequest(1, "s", 5, 2, 0.2, 1.0, 2),
        CancelRequest(3),
        SendFinished(4, SendOutcome.SHED, 0.5),
        Assigned(5, "s", "10.0.0.1:1"),
        Refused(6, 0.5, "no room"),
        LeaderHeartbeat(10, 7, 0.25, 3),
        SharedChanges(4, 6, True, (ItemChange("k", "\x00\xff", 5),)),
        SharedChanges(4, 6, False, (ItemChange("k", None, 6),)),
    ],
)
def test_messages_survive_encoding_and_decoding(message):
    decoded = decode_message(encode_message(message))
    assert type(decoded) is type(message)
    assert encode_message(decoded) == encode_message(message)


def test_values_of_shared_changes_keep_every_byte():
    value = bytes(range(256)).decode("latin-1")
    message = SharedChanges(4, 6, True, (ItemChange("k", value, 5),))
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "line", [b"", b"{}", b"[]", b'["odd"]', b'["beat"]', b'["done",1,"odd",0.1]', b"x"]
)
def test_malformed_lines_are_rejected(line):
    with pytest.raises(ValueError, match="no message of a link"):
        decode_message(line)


async def test_a_link_that_receives_invalid_data_is_closed():
    closed = asyncio.Event()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Link(lambda *_: None, lambda _: None), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    link = await connect_link(
        f"127.0.0.1:{port}", lambda *_: None, lambda _: closed.set()
    )
    link._transport.write(b"no message\n")
    await asyncio.wait_for(closed.wait(), 2)
    server.close()


@pytest.mark.parametrize(
    "line",
    [
        b'["ask",1,"s",5,2,"soon",1.0]',
        b'["ask","1","s",5,2,0.2,1.0]',
        b'["ask",1,"s",5,2,0.2,1.0,1,"tried"]',
        b'["done",4,"shed","long"]',
        b'["beat",10,7,null]',
        b'["send",5,[],"10.0.0.1:1"]',
    ],
)
def test_messages_with_values_of_wrong_types_are_rejected(line):
    """A deadline that isn't a number broke all later decisions on waiting requests."""
    with pytest.raises(ValueError, match="no message"):
        decode_message(line)
