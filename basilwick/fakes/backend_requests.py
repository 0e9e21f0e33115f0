"""Parsing of the requests that a fake backend server receives."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from attrs import define

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ["ParsedRequest", "RefusedError", "parse_request"]


@define
class RefusedError(Exception):
    """Raised when the server refuses a request before any part of it has run."""

    status: int
    reason: str


@define
class ParsedRequest:
    """Fields of a request that the server uses, from its path and headers."""

    service: str
    shard: int
    shard_text: str
    key: str
    fence: int
    token: str
    expires_at_ms: float | None
    deadline_at: float | None


def parse_request(request: web.Request, arrived_at: float) -> ParsedRequest:
    """Parse the path and headers of a request."""
    headers = request.headers
    shard_text = headers.get("Basilwick-Shard", "")
    service, _, shard = shard_text.partition("/")
    # Paths are /v1/<service>/<key>[/<rest>].
    parts = request.raw_path.partition("?")[0].split("/")
    expires_at = headers.get("Basilwick-Expires-At")
    deadline_ms = headers.get("Basilwick-Deadline-Ms")
    return ParsedRequest(
        service=service,
        shard=int(shard or -1),
        shard_text=shard_text,
        key=unquote(parts[3]) if len(parts) > 3 else "",
        fence=int(headers.get("Basilwick-Fence", 0)),
        token=headers.get("Basilwick-Token", ""),
        expires_at_ms=None if expires_at is None else float(expires_at),
        deadline_at=None
        if deadline_ms is None
        else arrived_at + float(deadline_ms) / 1000,
    )
