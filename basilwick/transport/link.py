"""Connections that carry messages between an instance and the leader.

Each message is one line of JSON: a grpclib call costs several times the processor time
of the decision that it would carry.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import fields as list_fields
from loguru import logger
from orjson import dumps, loads

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

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.messages import LinkMessage

__all__ = ["Link", "connect_link", "decode_message", "encode_message"]

_TYPES = {
    "ask": DispatchRequest,
    "beat": LeaderHeartbeat,
    "cancel": CancelRequest,
    "done": SendFinished,
    "hello": Hello,
    "refused": Refused,
    "send": Assigned,
    "shared": SharedChanges,
}
_TAGS = {kind: tag for tag, kind in _TYPES.items()}
_NAMES = {kind: [f.name for f in list_fields(kind)] for kind in _TYPES.values()}
#: What a decoded value may be, by the annotation of its field.
_JSON_TYPES = {
    "bool": bool,
    "float": (int, float),
    "int": int,
    "str": str,
    "SendOutcome": str,
    "tuple[ItemChange, ...]": list,
    "tuple[str, ...]": list,
}
_VALUE_TYPES = {
    kind: [_JSON_TYPES[f.type] for f in list_fields(kind)] for kind in _TYPES.values()
}
#: A peer that leaves this many bytes unread is given up.
_MAX_UNREAD_BYTES = 1 << 20
_MAX_LINE_BYTES = 1 << 20
#: Longest time in seconds to open a connection.
_CONNECT_TIMEOUT_S = 0.4


def encode_message(message: LinkMessage) -> bytes:
    """Return a message as a line."""
    kind = type(message)
    values: list[Any] = [getattr(message, name) for name in _NAMES[kind]]
    if kind is SharedChanges:
        values[-1] = [(c.key, c.value, c.revision) for c in message.changes]
    return dumps([_TAGS[kind], *values]) + b"\n"


def decode_message(line: bytes) -> LinkMessage:
    """Read a message.

    Raises
    ------
    ValueError
        If the line is no message.
    """
    try:
        tag, *values = loads(line)
        kind = _TYPES[tag]
        for value, expected in zip(values, _VALUE_TYPES[kind], strict=False):
            if not isinstance(value, expected):
                raise TypeError(f"{value!r} is not of type {expected}")
        if kind is SendFinished:
            values[1] = SendOutcome(values[1])
        elif kind is SharedChanges:
            values[-1] = tuple(ItemChange(*row) for row in values[-1])
        return kind(*values)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"no message of a link: {line[:100]!r}") from error


class Link(asyncio.Protocol):
    """One end of a connection that carries messages.

    Parameters
    ----------
    on_message : callable
        Called with the link and each message.
    on_close : callable
        Called once with the link when it has ended.
    """

    def __init__(
        self,
        on_message: Callable[[Link, LinkMessage], None],
        on_close: Callable[[Link], None],
    ):
        self._on_message = on_message
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._rest = b""
        #: What the peer said of itself.
        self.peer: Hello | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on the whole lines."""
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        try:
            if len(self._rest) > _MAX_LINE_BYTES:
                raise ValueError(f"a line has more than {_MAX_LINE_BYTES} bytes")
            for line in lines:
                self._on_message(self, decode_message(line))
        except ValueError as error:
            logger.bind(error=str(error)).warning("closed a link with unreadable data")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._transport = None
        self._on_close(self)

    def send(self, message: LinkMessage) -> None:
        """Send a message; does nothing on a link that has ended."""
        self.send_line(encode_message(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message; does nothing on a link that has ended."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            transport.abort()
            return
        transport.write(line)

    def close(self) -> None:
        """Close without sending what is buffered."""
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
