"""Orders as HTTP requests to servers, and what the answers tell of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.dispatch.messages import SendOutcome
from basilwick.core.ranges.orders import Order, OrderResult, ReleaseOrder
from basilwick.platform.http_messages import encode_grant, encode_release
from basilwick.transport.server_messages import SendFailure, ServerRequest

if TYPE_CHECKING:
    from basilwick.core.dispatch.site import ServerEntry, SiteView

__all__ = ["classify_answer", "encode_order", "has_successor"]

#: Status with which a server answers an order that names another server.
_STATUS_MISDIRECTED = 421


def has_successor(server: ServerEntry, view: SiteView) -> bool:
    """Return whether a server that started later is registered at the same address."""
    return any(
        other.address == server.address
        and other.name != server.name
        and other.started_ms > server.started_ms
        for other in view.list_servers(server.service)
    )


def encode_order(order: Order, address: str, replaced: bool) -> ServerRequest:
    """Encode an order as an HTTP request to its server.

    Parameters
    ----------
    replaced : bool
        Whether another process may listen at the server's address by now. The order
        then has a connection of its own, so that its answer is certain.
    """
    if isinstance(order, ReleaseOrder):
        data = encode_release(order, address)
        return ServerRequest("POST", data, b"", b"", idempotent=True, exclusive=True)
    return ServerRequest(
        "POST",
        encode_grant(order, address),
        b"",
        b"",
        idempotent=True,
        exclusive=order.to_former_owner or replaced,
        reuse_only=order.requires_same_process,
    )


def classify_answer(answer: object, replaced: bool) -> tuple[OrderResult, str | None]:
    """Return the result of an order, and the handover token of its answer.

    Parameters
    ----------
    replaced : bool
        Whether another process is known to have started later at the server's address,
        and the order had a connection of its own.
    """
    if answer is None:
        return OrderResult.UNSENT, None
    if isinstance(answer, SendFailure):
        if answer.may_have_run:
            return OrderResult.UNKNOWN, None
        expired = answer.outcome is SendOutcome.WITHDRAWN
        return (OrderResult.EXPIRED if expired else OrderResult.UNSENT), None
    if answer.status == 200:
        return OrderResult.OK, answer.metadata.handover_token
    if answer.status == 409:
        return OrderResult.CONFLICT, None
    if answer.status == _STATUS_MISDIRECTED and replaced:
        return OrderResult.ENDED, None
    return OrderResult.UNKNOWN, None
