"""Reads requests of the caller and forward ports."""

from __future__ import annotations

from hmac import compare_digest
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from aiohttp import ClientPayloadError
from aiohttp.web import RequestPayloadError

from basilwick.core.errors import ErrorKind, Refusal, make_refusal
from basilwick.transport.bodies import RequestBody, check_digest, parse_digest
from basilwick.transport.exchange import (
    SMALL_BODY_BYTES,
    Operation,
    Request,
    encode_headers,
    list_forwarded_fields,
)

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from basilwick.core.types import MonotonicSeconds

__all__ = [
    "check_key",
    "load_body",
    "parse_forwarded",
    "parse_request",
    "parse_resource",
]

MAX_KEY_BYTES = 512
MAX_DEADLINE_MS = 120_000
#: Deadline in milliseconds of a request to a service whose record is not known.
_FALLBACK_DEADLINE_MS = 2000
_PREFIX = "/v1/"
_DEFAULT_OPERATIONS = {
    "GET": Operation.IDEMPOTENT,
    "HEAD": Operation.IDEMPOTENT,
    "PUT": Operation.UPLOAD,
    "POST": Operation.AT_MOST_ONCE,
    "DELETE": Operation.AT_MOST_ONCE,
}
_OPERATIONS = {operation.value.encode(): operation for operation in Operation}
_SINGLE_FIELDS = frozenset({b"content-digest", b"content-length", b"expect"})


def parse_resource(path: str, prefix: str) -> tuple[str, str] | Refusal:
    """Return service and decoded key of a path below a prefix."""
    path = path.partition("?")[0]
    parts = path[len(prefix) :].split("/", 2)
    if len(parts) < 2 or not all(parts[:2]):
        return make_refusal(
            ErrorKind.BAD_REQUEST, f"path {path[:100]!r} names no service and key"
        )
    service, key = parts[:2]
    if "%" in key:
        try:
            key = unquote_to_bytes(key).decode()
        except UnicodeDecodeError:
            return make_refusal(
                ErrorKind.BAD_REQUEST, f"key {key[:100]!r} is not UTF-8"
            )
    if len(key) * 4 > MAX_KEY_BYTES:
        length = len(key.encode("utf-8", "surrogateescape"))
        if length > MAX_KEY_BYTES:
            return make_refusal(
                ErrorKind.TOO_LARGE,
                f"the key has {length} bytes, more than {MAX_KEY_BYTES}",
            )
    if not key.isascii() and any("\ud800" <= letter <= "\udfff" for letter in key):
        return make_refusal(
            ErrorKind.BAD_REQUEST, "the key is not percent-encoded UTF-8"
        )
    return service, key


def parse_request(
    raw: BaseRequest, default_deadline_ms: int | None, now: MonotonicSeconds
) -> Request | Refusal:
    """Read the head of a request of the caller port."""
    own = _collect_own_fields(raw)
    if isinstance(own, Refusal):
        return own
    for name in (b"basilwick-hops", b"basilwick-ledger", b"basilwick-unreachable"):
        own.pop(name, None)
    return _build_request(raw, own, default_deadline_ms, now)


def parse_forwarded(
    raw: BaseRequest, shared_key: bytes, now: MonotonicSeconds
) -> Request | Refusal:
    """Read the head of a request of the forward port."""
    own = _collect_own_fields(raw)
    if isinstance(own, Refusal):
        return own
    refusal = check_key(raw, shared_key)
    if refusal is not None:
        return refusal
    request = _build_request(raw, own, None, now)
    if isinstance(request, Refusal):
        return request
    hops = own.get(b"basilwick-hops", b"")
    if hops not in (b"1", b"2"):
        return make_refusal(
            ErrorKind.BAD_REQUEST, f"hop count {hops[:10]!r} is not 1 or 2"
        )
    request.hops = int(hops)
    request.ledger_checked = own.get(b"basilwick-ledger") == b"checked"
    unreachable = own.get(b"basilwick-unreachable")
    if unreachable is not None:
        request.unreachable = tuple(unreachable.decode("latin-1").split(","))
    return request


def check_key(raw: BaseRequest, shared_key: bytes) -> Refusal | None:
    """Refuse a request without the shared key."""
    given = raw.headers.get("Basilwick-Key", "").encode("utf-8", "surrogateescape")
    if compare_digest(given, shared_key):
        return None
    return make_refusal(ErrorKind.UNAUTHORIZED, "the shared key is missing or wrong")


async def load_body(
    raw: BaseRequest, request: Request, max_bytes: int, check: bool
) -> Refusal | None:
    """Read a small body whole, or prepare to pass a larger one on as a stream.

    Parameters
    ----------
    raw : aiohttp.web.BaseRequest
        Request on the wire.
    request : Request
        Request that gets the body.
    max_bytes : int
        Largest body.
    check : bool
        Whether to check the Content-Digest field.
    """
    length = raw.content_length
    if request.operation is Operation.UPLOAD and length is None:
        return make_refusal(ErrorKind.BAD_REQUEST, "an upload needs a Content-Length")
    if not raw.body_exists:
        return None
    if (length or 0) > max_bytes:
        return make_refusal(
            ErrorKind.TOO_LARGE, f"the body has {length} bytes, more than {max_bytes}"
        )
    digest = None
    if check and (text := raw.headers.get("Content-Digest")) is not None:
        digest = parse_digest(text)
        if digest is None:
            return make_refusal(
                ErrorKind.BAD_REQUEST, "Content-Digest has no valid sha-256"
            )
    if raw.headers.get("Expect", "").lower() == "100-continue":
        await raw.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if length is not None and length > SMALL_BODY_BYTES:
        request.body = RequestBody(raw.content, length, digest, raw.transport)
        return None
    body = await _read_small(raw)
    if isinstance(body, Refusal):
        return body
    if length is not None and len(body) < length:
        return make_refusal(
            ErrorKind.BODY_MISMATCH,
            f"the body ended after {len(body)} of {length} bytes",
        )
    if digest is not None and not check_digest(body, digest):
        return make_refusal(
            ErrorKind.BODY_MISMATCH, "the body does not match its Content-Digest"
        )
    request.body = body
    return None


async def _read_small(raw: BaseRequest) -> bytes | Refusal:
    body = b""
    try:
        while chunk := await raw.content.readany():
            body = body + chunk if body else chunk
            if len(body) > SMALL_BODY_BYTES:
                return make_refusal(
                    ErrorKind.TOO_LARGE,
                    f"a body over {SMALL_BODY_BYTES} bytes needs a Content-Length",
                )
    except (RequestPayloadError, ClientPayloadError, ConnectionError) as error:
        return make_refusal(
            ErrorKind.BODY_MISMATCH, f"the body stopped half way: {error!r}"
        )
    return body


def _collect_own_fields(raw: BaseRequest) -> dict[bytes, bytes] | Refusal:
    own: dict[bytes, bytes] = {}
    for name, value in raw.raw_headers:
        name = name.lower()
        if name.startswith(b"basilwick-") or name in _SINGLE_FIELDS:
            if name in own:
                return make_refusal(
                    ErrorKind.BAD_REQUEST, f"header {name.decode()!r} occurs twice"
                )
            own[name] = value
    return own


def _build_request(
    raw: BaseRequest,
    own: dict[bytes, bytes],
    default_deadline_ms: int | None,
    now: MonotonicSeconds,
) -> Request | Refusal:
    method, target = raw.method, raw.raw_path
    if method not in _DEFAULT_OPERATIONS:
        return make_refusal(
            ErrorKind.BAD_REQUEST, f"method {method[:20]!r} is not supported"
        )
    if not target.startswith(_PREFIX):
        return make_refusal(
            ErrorKind.BAD_REQUEST, f"path {target[:100]!r} is not below {_PREFIX}"
        )
    resource = parse_resource(target, _PREFIX)
    if isinstance(resource, Refusal):
        return resource
    deadline_ms = _parse_deadline(own.get(b"basilwick-deadline-ms"))
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    operation = _parse_operation(method, own.get(b"basilwick-operation"))
    if isinstance(operation, Refusal):
        return operation
    token = own.get(b"basilwick-token")
    if token is not None and operation is not Operation.AT_MOST_ONCE:
        return make_refusal(
            ErrorKind.BAD_REQUEST, f"a token does not go with operation {operation}"
        )
    if deadline_ms is None:
        deadline_ms = default_deadline_ms or _FALLBACK_DEADLINE_MS
    return Request(
        method,
        target,
        *resource,
        operation,
        now + deadline_ms / 1000,
        encode_headers(list_forwarded_fields(raw.raw_headers)),
        token=None if token is None else token.decode("latin-1"),
    )


def _parse_deadline(value: bytes | None) -> int | Refusal | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 6 or not 1 <= int(value) <= MAX_DEADLINE_MS:
        return make_refusal(
            ErrorKind.BAD_REQUEST,
            f"deadline {value[:20]!r} is not 1 to {MAX_DEADLINE_MS} ms",
        )
    return int(value)


def _parse_operation(method: str, value: bytes | None) -> Operation | Refusal:
    if value is None:
        return _DEFAULT_OPERATIONS[method]
    operation = _OPERATIONS.get(value)
    if operation is None:
        return make_refusal(
            ErrorKind.BAD_REQUEST,
            f"operation {value[:30]!r} is not idempotent, at-most-once or upload",
        )
    if operation is Operation.UPLOAD and method in ("GET", "HEAD"):
        return make_refusal(ErrorKind.BAD_REQUEST, f"{method} cannot be an upload")
    return operation
