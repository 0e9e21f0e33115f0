"""Orders to servers that are under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import Order
    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds

__all__ = ["PendingOrder"]


@frozen
class PendingOrder:
    """Order without an answer yet.

    Attributes
    ----------
    sent_at : float
        Local time of the send.
    previous_grant_end : float
        Latest end of the grants sent before.
    """

    item: KeyRange
    order: Order
    sent_at: MonotonicSeconds
    previous_grant_end: MonotonicSeconds
