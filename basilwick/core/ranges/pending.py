"""Orders to servers whose results are awaited."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from basilwick.core.ranges.orders import Order
    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds

__all__ = ["PendingOrder"]


@define(eq=False)
class PendingOrder:
    """Order without a result yet.

    Attributes
    ----------
    sent_at : float
        Local time at which the order was sent.
    previous_grant_end : float
        Latest end of the owner's grants that were sent before this order; evidence of
        the end of earlier terms lowers it.
    """

    key_range: KeyRange
    order: Order
    sent_at: MonotonicSeconds
    previous_grant_end: MonotonicSeconds
