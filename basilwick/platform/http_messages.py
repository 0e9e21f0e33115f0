"""Header fields and requests of the HTTP protocol of callers and backend servers."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from attrs import frozen
from orjson import dumps

from basilwick.core.dispatch.load_report import make_load_report
from basilwick.core.dispatch.messages import UNLIMITED_RATE
from basilwick.transport.exchange import encode_headers, is_hop_by_hop_field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.dispatch.load_report import LoadReport
    from basilwick.core.ranges.orders import GrantOrder, ReleaseOrder

__all__ = [
    "ResponseMetadata",
    "RequestMetadata",
    "encode_grant",
    "encode_release",
    "encode_request_head",
    "read_response_metadata",
    "read_request_metadata",
]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-request-deadline-ms"
_EXPECTED_INSTANCE = b"x-expected-instance"
_KEY = b"x-shard-key"
_NOT_RUN = b"x-not-executed"
_WARM_UP_LEFT = b"x-warmup-remaining-ms"
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_LOAD = b"x-server-load"
_RETRY_AFTER = b"retry-after"
_HANDOVER_TOKEN = b"x-handover"
_MS = 0.001
_MAX_KEY = 65_535
#: Largest number of digits of a key, with leading zeros. Python refuses to convert
#: texts of thousands of digits.
_MAX_KEY_DIGITS = 20
#: Figures of a stated load; later ones are left for extensions. Largest number of
#: digits of each.
_LOAD_FIGURES = 4
_MAX_LOAD_DIGITS = 6
#: Longest duration in seconds that makes sense; a longer one is a fault of its sender.
_MAX_DURATION_S = 86_400.0


@frozen
class RequestMetadata:
    """Metadata that a caller gives in the header fields of its request.

    Attributes
    ----------
    request_id : bytes
        Identifier of the request; each attempt of the caller has another one. Empty
        if not given or if several differ.
    time_left_s : float or None
        Seconds for which the caller waits for the response, None if not given,
        unreadable or longer than a day.
    key : int
        Key of a partitioned service, -1 if there is none or it is out of range.
    """

    request_id: bytes
    time_left_s: float | None
    key: int


@frozen
class ResponseMetadata:
    """Metadata that a server gives in the header fields of its response.

    Attributes
    ----------
    request_id : bytes
        Identifier of the request that the response belongs to, empty if not given or
        if several differ.
    not_run : bool
        Whether the server states that it did not run the request.
    warm_up_left_s : float
        Seconds for which the server stays cold, 0 if not given, unreadable or longer
        than a day.
    handover_token : str or None
        Token with which the next owner of released keys starts warm.
    rate_limit : float or None
        Requests per second that the server takes from all instances together,
        `UNLIMITED_RATE` if it states no limit, None if the limit is unreadable.
    leaving : bool
        Whether the server states that it leaves.
    retry_after_s : float
        Seconds for which the server wants no requests, 0 if not given, unreadable or
        longer than a day.
    identity_conflict : bool
        Whether the response gives identifiers that differ.
    load : LoadReport or None
        Load that the server states, None if not given or unreadable.
    """

    request_id: bytes
    not_run: bool
    warm_up_left_s: float
    handover_token: str | None
    rate_limit: float | None
    leaving: bool = False
    retry_after_s: float = 0.0
    identity_conflict: bool = False
    load: LoadReport | None = None


def read_request_metadata(fields: Iterable[tuple[bytes, bytes]]) -> RequestMetadata:
    """Read the metadata of a caller's request.

    Unreadable fields count as absent, and so do a key above 65,535 and a deadline that
    is no finite number or is longer than a day. A negative deadline counts as 0.
    """
    request_id = b""
    identity_conflict = False
    time_left_s = None
    key = -1
    for name, value in fields:
        field_name = name.lower()
        if field_name == _REQUEST_ID:
            identity_conflict |= request_id not in (b"", value)
            request_id = value
        elif field_name == _DEADLINE:
            time_left_s = _parse_duration_s(value, _MS, None)
        elif field_name == _KEY:
            key = _parse_key(value, key)
    if identity_conflict:
        # It isn't known which one the server repeats.
        request_id = b""
    return RequestMetadata(request_id, time_left_s, key)


def read_response_metadata(fields: Iterable[tuple[bytes, bytes]]) -> ResponseMetadata:
    """Read the metadata of a server's response.

    A duration that is unreadable or longer than a day counts as absent, and a negative
    one as 0. A rate limit above `UNLIMITED_RATE` counts as that.
    """
    values = {}
    rate_limit: float | None = UNLIMITED_RATE
    leaving = False
    retry_after_s = 0.0
    identity_conflict = False
    for name, value in fields:
        field_name = name.lower()
        if field_name == _REQUEST_ID:
            identity_conflict |= values.get(_REQUEST_ID, value) != value
        values[field_name] = value
        if field_name == _RATE_LIMIT and rate_limit is not None:
            rate_limit = _parse_rate_limit(value, rate_limit)
        elif field_name == _LEAVING:
            leaving |= value.strip() == b"1"
        elif field_name == _RETRY_AFTER:
            retry_after_s = max(retry_after_s, _parse_duration_s(value, 1.0, 0.0))
    handover_token = values.get(_HANDOVER_TOKEN)
    return ResponseMetadata(
        b"" if identity_conflict else values.get(_REQUEST_ID, b""),
        _NOT_RUN in values,
        _parse_duration_s(values.get(_WARM_UP_LEFT, b""), _MS, 0.0),
        None if handover_token is None else handover_token.decode("latin-1"),
        rate_limit,
        leaving,
        retry_after_s,
        identity_conflict,
        _parse_load(values[_LOAD]) if _LOAD in values else None,
    )


def encode_request_head(
    method: str,
    target: bytes,
    host: bytes,
    fields: Iterable[tuple[bytes, bytes]],
    server: str,
    time_left_s: float,
    framing: bytes,
) -> bytes:
    """Encode the request line and the header fields of a request to a server.

    Parameters
    ----------
    fields : iterable of pairs of bytes
        Header fields of the caller.
    server : str
        Name of the only server that should run the request.
    time_left_s : float
        Seconds after which the response is useless.
    framing : bytes
        Encoded header fields that give the length of the body.
    """
    forwarded = [
        pair
        for pair in fields
        if not is_hop_by_hop_field(pair[0].lower())
        and pair[0].lower() not in (_DEADLINE, _EXPECTED_INSTANCE)
    ]
    return b"".join(
        (
            method.encode(),
            b" ",
            target,
            b" HTTP/1.1\r\nHost: ",
            host,
            b"\r\n",
            encode_headers(forwarded),
            b"X-Request-Deadline-Ms: %d\r\n" % max(1, int(time_left_s / _MS)),
            b"X-Expected-Instance: ",
            server.encode(),
            b"\r\n",
            framing,
            b"\r\n",
        )
    )


def encode_grant(order: GrantOrder, host: str) -> bytes:
    """Encode a whole grant request."""
    body = {
        "source": order.first,
        "to": order.last,
        "fence": order.fence,
        "holdMs": round(order.grant_ttl_s / _MS),
    }
    if order.handover_token is not None:
        body["handover"] = order.handover_token
    return _encode_order("/grant", host, order.server, dumps(body))


def encode_release(order: ReleaseOrder, host: str) -> bytes:
    """Encode a whole release request."""
    body = {"source": order.first, "to": order.last, "fence": order.fence}
    return _encode_order("/release", host, order.server, dumps(body))


def _encode_order(path: str, host: str, server: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json"
    # Another server may have the address by now. It would run an order that has the
    # identifier of a request as if it were that request.
    head += f"\r\nX-Expected-Instance: {server}"
    return head.encode() + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def _parse_rate_limit(value: bytes, upper_bound: float) -> float | None:
    """Return a stated rate limit up to a bound, None if it is unreadable."""
    rate_limit = _parse_number(value)
    if rate_limit is None or rate_limit < 0.0:
        return None
    return min(rate_limit, upper_bound)


def _parse_load(value: bytes) -> LoadReport | None:
    """Return a stated load, None if a count is unreadable."""
    figures = [_parse_figure(text) for text in value.split(b",", _LOAD_FIGURES)]
    if len(figures) < _LOAD_FIGURES - 1:
        return None
    running, waiting, slots, *slowdown_percents = figures[:_LOAD_FIGURES]
    return make_load_report(running, waiting, slots, *slowdown_percents)


def _parse_figure(text: bytes) -> int:
    """Return a number of few digits, -1 for any other text."""
    digits = text.strip()
    readable = digits.isdigit() and len(digits) <= _MAX_LOAD_DIGITS
    return int(digits) if readable else -1


def _parse_key(value: bytes, default: int) -> int:
    if not value.isdigit() or len(value) > _MAX_KEY_DIGITS:
        return default
    key = int(value)
    return key if key <= _MAX_KEY else default


def _parse_duration_s(
    value: bytes, unit_s: float, default: float | None
) -> float | None:
    """Return a duration in seconds, 0 for a negative one.

    Returns the default if it is no finite number or above the longest duration.
    """
    number = _parse_number(value)
    if number is None or number * unit_s > _MAX_DURATION_S:
        return default
    return max(0.0, number * unit_s)


def _parse_number(value: bytes) -> float | None:
    """Return a finite number, None if the text is none."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if isfinite(number) else None
