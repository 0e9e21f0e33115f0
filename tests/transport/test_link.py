"""Messages and links between instances."""

from __future__ import annotations

import asyncio
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT

import pytest

from basilwick.core.dispatch.messages import (
    Assigned,
    CancelRequest,
    ChangesPart,
    ChangesRequest,
    DispatchRequest,
    Hello,
    ItemChange,
    LeaderHeartbeat,
    LeavingReport,
    RateLimitReport,
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
        Hello("i", "a", 0.4, 3),
        ChangesRequest(-1),
        ChangesPart(1, 0, 2, 4, 9, False, True, "YQ=="),
        CancelRequest(3),
        SendFinished(4, SendOutcome.SHED, 0.5),
        SendFinished(4, SendOutcome.OK, 0.5, 13.5),
        SendFinished(4, SendOutcome.WITHDRAWN, 0.0, None, 0.0, True),
        RateLimitReport("s", 13.5),
        LeavingReport("s", 1780345773000),
        DispatchRequest(1, "s", 5, 2, 0.2, 1.0, unwanted_servers=("a",)),
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
    "line", [b"", b"{}", b"[]", b"[4]", b'["beat"]', b'["done",1,"odd",0.1]', b"x"]
)
def test_malformed_lines_are_rejected(line):
    with pytest.raises(ValueError, match="no message of a link"):
        decode_message(line)


def test_messages_of_a_later_build_are_read_as_far_as_they_are_known():
    """Instances lost the leader while a new build was rolled out."""
    assert decode_message(b'["odd",1,{"a":2}]') is None
    later = decode_message(b'["done",4,"ok",0.5,13.5,0.0,false,-1,0,0,0,"new",[1]]')
    assert later == SendFinished(4, SendOutcome.OK, 0.5, 13.5)


def test_a_report_without_a_rate_limit_has_the_form_of_earlier_builds():
    """Builds with link version 1 close a link on values that they don't know."""
    finished = SendFinished(4, SendOutcome.OK, 0.5)
    assert encode_message(finished) == b'["done",4,"ok",0.5]\n'
    assert decode_message(b'["done",4,"ok",0.5]') == finished


async def test_a_link_stays_open_after_a_message_of_a_later_build():
    received = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Link(lambda _, message: received.append(message), lambda _: None),
        "127.0.0.1",
        0,
    )
    port = server.sockets[0].getsockname()[1]
    link = await connect_link(f"127.0.0.1:{port}", lambda *_: None, lambda _: None)
    link._transport.write(b'["odd",1]\n')
    link.send(CancelRequest(3))
    async with asyncio.timeout(2):
        while not received:
            await asyncio.sleep(0.01)
    assert received == [CancelRequest(3)]
    link.close()
    server.close()


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


async def test_both_ends_of_a_link_notice_a_peer_that_vanished():
    """The slots of an instance that vanished without a reset stayed taken."""
    accepted = []

    def accept():
        accepted.append(Link(lambda *_: None, lambda _: None))
        return accepted[-1]

    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    link = await connect_link(address, lambda *_: None, lambda _: None)
    while not accepted:
        await asyncio.sleep(0.01)
    for end in (link, accepted[0]):
        sock = end._transport.get_extra_info("socket")
        assert 0 < sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) <= 3000
        end.close()
    server.close()
