"""Answers to requests of callers that can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.http_exceptions import LineTooLong

from basilwick.core.errors import ErrorKind, make_refusal
from basilwick.transport.raw_response import ErrorResponse

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

__all__ = ["HeadTooLargeError", "make_error_response"]

_HEAD_TOO_LARGE = 431


class HeadTooLargeError(Exception):
    """The bytes of a request head exceed the limit."""


def make_error_response(
    request: BaseRequest, error: BaseException | None
) -> ErrorResponse:
    """Return the refusal of a request that can't be read."""
    if isinstance(error, HeadTooLargeError):
        refusal = make_refusal(ErrorKind.TOO_LARGE, str(error))
        return ErrorResponse(request, refusal, _HEAD_TOO_LARGE)
    kind = ErrorKind.BAD_REQUEST
    text = "the request cannot be read"
    if isinstance(error, LineTooLong) or "too many headers" in str(error).lower():
        kind = ErrorKind.TOO_LARGE
        text = "a header or the path is too long"
    return ErrorResponse(request, make_refusal(kind, text))
