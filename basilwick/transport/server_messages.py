"""Requests to backend servers, and what becomes of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.messages import SendOutcome
    from basilwick.transport.answer_stream import AnswerStream
    from basilwick.transport.exchange import ByteStream

__all__ = ["ResponseMetadata", "SendFailure", "ServerAnswer", "ServerRequest"]


class ResponseMetadata(Protocol):
    """Values that the client reads from the header fields of an answer."""

    request_id: bytes
    not_run: bool
    identity_conflict: bool


@frozen
class ServerRequest:
    """An encoded request to a server.

    Attributes
    ----------
    head : bytes
        Encoded request line and header fields, up to the empty line.
    body : bytes or ByteStream
        Body; the head gives its length unless it is chunked.
    request_id : bytes
        Identity that the answer must repeat; empty to skip this check. It is sent on a
        connection that has carried no request with the same identity. The answer to a
        request without one is certain only if the request is exclusive.
    idempotent : bool
        Whether it may be sent again when its outcome is unknown.
    chunked : bool
        Whether the body is sent with chunked transfer encoding, because its length is
        unknown.
    exclusive : bool
        Whether it is sent on a new connection that carries no other request, so that
        no duplicate of another answer can be taken for its answer.
    reuse_only : bool
        Whether it is sent only on a connection that carried an earlier request, so that
        it cannot reach a server process that started since.
    may_write : callable
        Called immediately before the write; if it returns False, the request is not
        written and its outcome is `SendOutcome.WITHDRAWN`.
    """

    method: str
    head: bytes
    body: bytes | ByteStream
    request_id: bytes
    idempotent: bool
    chunked: bool = False
    exclusive: bool = False
    reuse_only: bool = False
    may_write: Callable[[], bool] = lambda: True


@frozen
class ServerAnswer:
    """Answer of a server to a request.

    Attributes
    ----------
    fields : list of pairs of bytes
        Header fields that are forwarded to the caller.
    length : int or None
        Value of the answer's Content-Length, None without one.
    connection : int
        Number of the connection that carried it, in this process.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes | AnswerStream
    length: int | None
    metadata: ResponseMetadata
    latency_s: float
    connection: int = 0

    def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        if not isinstance(self.body, bytes):
            self.body.close()


@frozen
class SendFailure:
    """A request that got no usable answer.

    Attributes
    ----------
    may_have_run : bool
        Whether a byte of the request may have reached the server.
    """

    outcome: SendOutcome
    may_have_run: bool
    detail: str
