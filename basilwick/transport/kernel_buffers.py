"""Send buffers of the kernel."""

from __future__ import annotations

from array import array
from fcntl import ioctl
from socket import IPPROTO_TCP, SO_SNDBUF, SOL_SOCKET, TCP_NOTSENT_LOWAT
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from asyncio import BaseTransport, Transport

__all__ = ["count_unacknowledged", "enlarge_buffer", "limit_unsent", "remove_limit"]

#: Unsent bytes that the kernel buffers for a caller. One write of the event loop fills
#: them again, so that a fast caller waits for none.
_MAX_UNSENT_BYTES = 64 << 10
#: Value of TCP_NOTSENT_LOWAT that removes this limit.
_NO_LIMIT = 0


def limit_unsent(transport: BaseTransport) -> None:
    """Limit the bytes that the kernel buffers for a caller that does not read.

    It would buffer megabytes, and the machine's memory includes them.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, _MAX_UNSENT_BYTES)


def remove_limit(transport: BaseTransport) -> None:
    """Let the kernel take as many unsent bytes as its send buffer holds."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, _NO_LIMIT)


def enlarge_buffer(transport: BaseTransport, unsent_bytes: int) -> None:
    """Make room in the full send buffer of the kernel for unsent bytes."""
    sock = transport.get_extra_info("socket")
    used_bytes = sock.getsockopt(SOL_SOCKET, SO_SNDBUF)
    sock.setsockopt(SOL_SOCKET, SO_SNDBUF, used_bytes + unsent_bytes)


def count_unacknowledged(transport: Transport) -> int:
    """Return the written bytes that the kernel of the peer has not received."""
    sock = transport.get_extra_info("socket")
    queued_bytes = array("i", [0])
    try:
        ioctl(sock.fileno(), TIOCOUTQ, queued_bytes)
    except OSError as error:
        logger.bind(reason=repr(error)).warning("can't read a send queue's length")
    return queued_bytes[0] + transport.get_write_buffer_size()
