"""Requests as a backend server reads them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from attrs import define

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ["Order", "RefusedError", "read_order"]


@define
class RefusedError(Exception):
    """The server runs nothing of a request."""

    status: int
    reason: str


@define
class Order:
    """What a request asks the server to run."""

    service: str
    shard: int
    shard_text: str
    key: str
    fence: int
    token: str
    expires_at_ms: float | None
    deadline_at: float | None


def read_order(request: web.Request, arrived_at: float) -> Order:
    """Read what a request asks for from its path and headers."""
    headers = request.headers
    shard_text = headers.get("Basilwick-Shard", "")
    service, _, shard = shard_text.partition("/")
    # Paths are /v1/<service>/<key>[/<rest>].
    parts = request.raw_path.partition("?")[0].split("/")
    expires_at = headers.get("Basilwick-Expires-At")
    deadline_ms = headers.get("Basilwick-Deadline-Ms")
    return Order(
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
