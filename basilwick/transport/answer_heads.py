"""Checks the heads of servers' answers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from aiohttp import hdrs

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

__all__ = [
    "EarlySuccessError",
    "InvalidStatusError",
    "MergedHeadsError",
    "check_head",
    "is_endless",
    "is_final",
    "is_unsized_success",
]

#: Least and largest status of an answer; those below the first final one are interim.
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
#: Least status above those of a success.
_MIN_REDIRECT_STATUS = 300
#: Status by which a server changes the protocol, for which no request asks.
_SWITCHING_PROTOCOLS = 101
#: Start of an answer. Inside a field or a reason phrase, it shows that a head was cut
#: off and the next one followed.
_STATUS_LINE_START = re.compile(r"HTTP/\d\.\d \d{3}")


class MergedHeadsError(ConnectionError):
    """A head was cut off and another one followed, so neither can be trusted."""


class InvalidStatusError(ConnectionError):
    """The status of an answer is none that HTTP has for its request."""

    def __init__(self, status: int):
        super().__init__(f"the server answered with status {status}")


class EarlySuccessError(ConnectionError):
    """A success without a marked end came before its request was received whole."""

    def __init__(self, status: int):
        super().__init__(
            f"the server answered {status} without a length before it had received the "
            "whole request"
        )


def check_head(message: RawResponseMessage) -> None:
    """Check that a head is one answer of HTTP.

    Raises
    ------
    MergedHeadsError
        If two heads were read as one.
    InvalidStatusError
        If the status is invalid.
    """
    if _contains_status_line(message):
        raise MergedHeadsError("the head of an answer contains another one")
    in_range = _MIN_STATUS <= message.code <= _MAX_STATUS
    if not in_range or message.code == _SWITCHING_PROTOCOLS:
        raise InvalidStatusError(message.code)


def is_final(message: RawResponseMessage) -> bool:
    """Return whether an answer is not an interim one (1xx)."""
    return message.code >= _MIN_FINAL_STATUS


def is_unsized_success(message: RawResponseMessage, payload: StreamReader) -> bool:
    """Return whether a 2xx answer has a body that ends only with its connection."""
    succeeded = _MIN_FINAL_STATUS <= message.code < _MIN_REDIRECT_STATUS
    return succeeded and is_endless(message, payload)


def is_endless(message: RawResponseMessage, payload: StreamReader) -> bool:
    """Return whether an answer ends only with its connection."""
    sized = message.chunked or hdrs.CONTENT_LENGTH in message.headers
    return not sized and not payload.is_eof()


def _contains_status_line(message: RawResponseMessage) -> bool:
    texts = [message.reason or ""]
    texts += [v.decode("latin-1") for _, v in message.raw_headers if b"HTTP/" in v]
    return any(_STATUS_LINE_START.search(text) for text in texts)
