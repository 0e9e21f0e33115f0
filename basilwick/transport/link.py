"""Links: connections that carry messages between an instance and the leader.

Each message is one line of JSON. A grpclib call would cost several times the processor
time of the decision that it carries.

Instances of different builds are linked while a new build is rolled out. A reader
ignores messages and trailing values that it doesn't know. Builds with link version 1
close the link instead, so they are sent only what they know.
"""

from __future__ import annotations

import asyncio
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Any

from attrs import NOTHING
from attrs import fields as list_fields
from loguru import logger
from orjson import dumps, loads

from basilwick.core.dispatch.messages import (
    Assigned,
    CancelRequest,
    ChangesPart,
    ChangesRequest,
    DispatchRequest,
    Hello,
    ItemChange,
    LeaderHeartbeat,
    LeaderResigned,
    LeavingReport,
    RateLimitReport,
    Refused,
    SendFinished,
    SendOutcome,
    SharedChanges,
    TermEnded,
    TermQuery,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.messages import LinkMessage

__all__ = [
    "LINK_VERSION",
    "Link",
    "connect_link",
    "decode_message",
    "encode_message",
]

#: Version of the messages that this build sends and reads. Version 2 tells the
#: leader what servers state about themselves in responses. Version 3 passes on large
#: changes of the platform's service, and answers requests for missing ones.
LINK_VERSION = 3

_MESSAGE_TYPES = {
    "ask": DispatchRequest,
    "beat": LeaderHeartbeat,
    "cancel": CancelRequest,
    "changes": ChangesPart,
    "done": SendFinished,
    "ended": TermEnded,
    "hello": Hello,
    "leaving": LeavingReport,
    "limit": RateLimitReport,
    "missing": ChangesRequest,
    "refused": Refused,
    "resigned": LeaderResigned,
    "send": Assigned,
    "shared": SharedChanges,
    "term": TermQuery,
}
_TAGS = {message_type: tag for tag, message_type in _MESSAGE_TYPES.items()}
_FIELD_NAMES = {
    message_type: [f.name for f in list_fields(message_type)]
    for message_type in _MESSAGE_TYPES.values()
}
#: Default values of the fields of each message, None for a field without one.
_DEFAULT_VALUES = {
    message_type: [f.default if f.default is not NOTHING else None for f in fields]
    for message_type in _MESSAGE_TYPES.values()
    for fields in [list_fields(message_type)]
}
#: Types that JSON may decode a value to, by the annotation of its field.
_JSON_TYPES = {
    "bool": bool,
    "float": (int, float),
    "float | None": (int, float, type(None)),
    "int": int,
    "str": str,
    "SendOutcome": str,
    "tuple[ItemChange, ...]": list,
    "tuple[str, ...]": list,
}
_VALUE_TYPES = {
    message_type: [_JSON_TYPES[f.type] for f in list_fields(message_type)]
    for message_type in _MESSAGE_TYPES.values()
}
#: Bytes that may be buffered for a peer that doesn't read before its link is aborted.
_MAX_UNREAD_BYTES = 1 << 20
_MAX_LINE_BYTES = 1 << 20
#: Time in seconds after which the kernel closes a link whose data the peer's machine
#: doesn't acknowledge. The leader sends heartbeats more often than that.
_UNACKNOWLEDGED_LIMIT_S = 3.0
#: Timeout in seconds for opening a connection.
_CONNECT_TIMEOUT_S = 0.4


def encode_message(message: LinkMessage) -> bytes:
    """Return a message as a line of JSON.

    Trailing fields with their default values are left out.
    """
    message_type = type(message)
    values: list[Any] = [getattr(message, name) for name in _FIELD_NAMES[message_type]]
    defaults = _DEFAULT_VALUES[message_type]
    while values and values[-1] == defaults[len(values) - 1]:
        values.pop()
    if message_type is SharedChanges:
        values[-1] = [(c.key, c.value, c.revision) for c in message.changes]
    return dumps([_TAGS[message_type], *values]) + b"\n"


def decode_message(line: bytes) -> LinkMessage | None:
    """Decode a line of JSON; returns None for a message of a type unknown here.

    Raises
    ------
    ValueError
        If the line is not a valid message.
    """
    try:
        tag, *values = loads(line)
        message_type = _MESSAGE_TYPES.get(tag)
        if message_type is None and isinstance(tag, str):
            return None
        del values[len(_FIELD_NAMES[message_type]) :]
        for value, expected in zip(values, _VALUE_TYPES[message_type], strict=False):
            if not isinstance(value, expected):
                raise TypeError(f"{value!r} is not of type {expected}")
        if message_type is SendFinished:
            values[1] = SendOutcome(values[1])
        elif message_type is SharedChanges:
            values[-1] = tuple(ItemChange(*row) for row in values[-1])
        return message_type(*values)
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"no message of a link: {line[:100]!r}") from error


class Link(asyncio.Protocol):
    """One end of a connection that carries messages.

    Parameters
    ----------
    on_message : callable
        Called with the link and each message.
    on_close : callable
        Called once with the link when it is closed.
    """

    def __init__(
        self,
        on_message: Callable[[Link, LinkMessage], None],
        on_close: Callable[[Link], None],
    ):
        self._on_message = on_message
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._incomplete_line = b""
        #: First message of the peer, which describes it.
        self.peer_hello: Hello | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport, and let the kernel notice a peer that vanished."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        limit_ms = round(_UNACKNOWLEDGED_LIMIT_S * 1000)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms)

    def data_received(self, data: bytes) -> None:
        """Decode the complete lines and pass their messages on."""
        lines = (self._incomplete_line + data).split(b"\n")
        self._incomplete_line = lines.pop()
        try:
            if len(self._incomplete_line) > _MAX_LINE_BYTES:
                raise ValueError(f"line is longer than {_MAX_LINE_BYTES} bytes")
            for line in lines:
                message = decode_message(line)
                if message is None:
                    logger.bind(line=line[:100]).debug("ignored an unknown message")
                else:
                    self._on_message(self, message)
        except ValueError as error:
            logger.bind(error=str(error)).warning(
                "closing a link that received invalid data"
            )
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link."""
        self._transport = None
        self._on_close(self)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are buffered because the peer or the network is slow."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def closed(self) -> bool:
        """Whether the link no longer carries messages."""
        return self._transport is None or self._transport.is_closing()

    def send(self, message: LinkMessage) -> None:
        """Send a message; does nothing on a closed link."""
        self.send_line(encode_message(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message; does nothing on a closed link."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            transport.abort()
            return
        transport.write(line)

    def close(self) -> None:
        """Close without sending the buffered messages."""
        if self._transport is not None:
            self._transport.abort()


async def connect_link(
    address: str,
    on_message: Callable[[Link, LinkMessage], None],
    on_close: Callable[[Link], None],
) -> Link:
    """Open a link.

    Raises
    ------
    OSError
        If the address can't be reached in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        _, link = await loop.create_connection(
            lambda: Link(on_message, on_close), host, int(port)
        )
    return link
