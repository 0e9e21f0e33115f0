"""Requests and answers, and the encoding of header fields and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import define, field
from orjson import dumps, loads

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal
from basilwick.core.server_limiter import RequestClass
from basilwick.core.types import Operation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilwick.core.types import MonotonicSeconds

__all__ = [
    "Answer",
    "ByteStream",
    "Operation",
    "Request",
    "decode_refusal",
    "encode_headers",
    "encode_refusal",
    "is_hop_by_hop_field",
    "list_forwarded_fields",
]

#: Bodies up to this size are buffered: requests so that they can be sent again, answers
#: so that a connection lost during the body can still be reported as a refusal.
SMALL_BODY_BYTES = 65_536
#: Header fields that concern one connection (hop-by-hop), or that each hop replaces.
_HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
#: Prefix of the product's own header fields, which are not forwarded.
_PRODUCT_FIELD_PREFIX = b"basilwick-"

#: Class under which the server limiter queues each kind of operation.
REQUEST_CLASSES = {
    Operation.IDEMPOTENT: RequestClass.IDEMPOTENT,
    Operation.AT_MOST_ONCE: RequestClass.AT_MOST_ONCE,
    Operation.UPLOAD: RequestClass.UPLOAD,
}


class ByteStream(Protocol):
    """Body that is forwarded in pieces."""

    #: Length in bytes, None if it is unknown before the end of the stream.
    length: int | None

    async def read_chunk(self) -> bytes | Refusal:
        """Return the next piece, empty at the end, or a refusal on failure."""

    def close(self) -> None:
        """Stop reading; closes the connection unless the body has ended."""


@define(eq=False)
class Request:
    """A caller's request.

    Attributes
    ----------
    method, target : str
        Method, and path with query, as the caller sent them.
    service, key : str
        Service and decoded key.
    operation : Operation
        How often the operation may run.
    deadline : float
        Local monotonic time in seconds by which the caller needs the whole answer.
    fields : bytes
        Encoded header fields that are forwarded.
    body : bytes or ByteStream
        Buffered body, or a stream that can be read once.
    token : str or None
        Token of an at-most-once operation.
    ledger_checked : bool
        Whether the issuer of the token has decided that the operation runs.
    hops : int
        Number of times that the request was forwarded.
    unreachable : tuple of str
        Instances that a previous hop could not reach.
    unresolved_attempts : int
        Number of attempts of which a byte may have reached a server, without those that
        the server answered with "not run". An attempt that was answered otherwise still
        counts, because the deadline can pass between the arrival of the answer and its
        delivery to the caller.
    body_started : bool
        Whether reading a streamed body has begun, after which it cannot be sent again.
    """

    method: str
    target: str
    service: str
    key: str
    operation: Operation
    deadline: MonotonicSeconds
    fields: bytes = b""
    body: bytes | ByteStream = b""
    token: str | None = None
    ledger_checked: bool = False
    hops: int = 0
    unreachable: tuple[str, ...] = ()
    unresolved_attempts: int = 0
    body_started: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.operation is Operation.IDEMPOTENT

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again."""
        return isinstance(self.body, bytes) or not self.body_started

    def resolve_outcome(self, refusal: Refusal) -> Refusal:
        """Return a refusal whose outcome accounts for all attempts.

        "Not run" becomes "unknown" if an earlier attempt may have run.
        """
        if self.unresolved_attempts and refusal.outcome is Outcome.NOT_RUN:
            return Refusal(
                refusal.kind, Outcome.UNKNOWN, refusal.message, refusal.retry_after_s
            )
        return refusal


@define(eq=False)
class Answer:
    """Answer of a backend server, or of an instance that forwards one.

    Attributes
    ----------
    status : int
        HTTP status code.
    fields : list of pairs of bytes
        Header fields that are forwarded to the caller.
    body : bytes or ByteStream
        Buffered body, or a stream that can be read once.
    length : int or None
        Value of Content-Length; an answer to HEAD has one without a body.
    deadline : float or None
        Local monotonic time in seconds by which the end of a streamed body must have
        arrived, None without a limit.
    """

    status: int
    fields: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytes | ByteStream = b""
    length: int | None = None
    deadline: MonotonicSeconds | None = None


def is_hop_by_hop_field(name: bytes) -> bool:
    """Return whether a lower-case field name is hop-by-hop or set by each hop."""
    return name in _HOP_BY_HOP_FIELDS


def list_forwarded_fields(
    fields: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the header fields that are forwarded to the next hop."""
    passed = []
    for name, value in fields:
        lower = name.lower()
        if lower not in _HOP_BY_HOP_FIELDS and not lower.startswith(
            _PRODUCT_FIELD_PREFIX
        ):
            passed.append((name, value))
    return passed


def encode_headers(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode header fields as lines of an HTTP/1.1 head."""
    return b"".join([b"%b: %b\r\n" % pair for pair in fields])


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    retry_after_s = refusal.retry_after_s
    return dumps(
        {
            "error": refusal.kind,
            "outcome": refusal.outcome,
            "message": refusal.message,
            "remedy": refusal.remedy,
            "retry_after_ms": None
            if retry_after_s is None
            else round(retry_after_s * 1000),
        }
    )


def decode_refusal(body: bytes) -> Refusal:
    """Decode the JSON body of a refusal from another instance."""
    try:
        data = loads(body)
        retry_after_ms = data["retry_after_ms"]
        return Refusal(
            ErrorKind(data["error"]),
            Outcome(data["outcome"]),
            str(data["message"]),
            None if retry_after_ms is None else retry_after_ms / 1000,
        )
    except (ValueError, KeyError, TypeError) as error:
        return make_refusal(
            ErrorKind.CONNECTION_LOST, f"unreadable refusal of a peer: {error!r}"
        )
