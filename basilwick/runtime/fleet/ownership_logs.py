"""Log lines about orders and handovers of key ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import Order, OrderResult, RangeHandover
    from basilwick.core.types import ServiceName

__all__ = ["log_failed_order", "log_handover"]


def log_failed_order(service: ServiceName, order: Order, result: OrderResult) -> None:
    """Log an order that a server did not carry out."""
    logger.bind(
        service=service,
        server=order.server,
        order=type(order).__name__,
        first=order.first,
        last=order.last,
        fence=order.fence,
        result=result.value,
    ).warning("order without effect")


def log_handover(service: ServiceName, handover: RangeHandover) -> None:
    """Log that a range went to its next owner."""
    logger.bind(
        service=service,
        first=handover.first,
        last=handover.last,
        former=handover.former,
        owner=handover.owner,
        reason=handover.reason.value,
        fence=handover.fence,
    ).info("keys handed over")
