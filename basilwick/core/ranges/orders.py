"""Orders to servers about key ranges, their fences, and the protocol's time limits."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, frozen

if TYPE_CHECKING:
    from basilwick.core.types import ServerName

__all__ = [
    "FenceReservation",
    "GrantOrder",
    "HandoverReason",
    "Order",
    "OrderResult",
    "OwnershipTimings",
    "RangeHandover",
    "ReleaseOrder",
]


class OrderResult(StrEnum):
    """Result of an order."""

    #: The server carried the order out.
    OK = "ok"
    #: The server refused the order, because it has seen a higher fence.
    CONFLICT = "conflict"
    #: No answer confirms or refuses the order; the server may still carry it out later.
    UNKNOWN = "lost"
    #: The order was not sent, because no connection was available.
    UNSENT = "unsent"
    #: The order was not sent, because it was withdrawn, its time had passed or the
    #: leader's lease had ended.
    EXPIRED = "expired"
    #: Another process, which started later, answered at the server's address. The
    #: server's process has ended and holds nothing.
    ENDED = "ended"


@frozen
class OwnershipTimings:
    """Time limits of the ownership protocol, in seconds.

    Attributes
    ----------
    grant_ttl_s : float
        Time for which a server holds a range after it accepted a grant.
    renewal_interval_s : float
        Interval between the renewals of a grant.
    order_timeout_s : float
        Longest wait for an answer to a grant.
    lease_s : float
        Duration of the leader's lease; a leader may start and continue moves for this
        time after it renewed its lease.
    autonomy_s : float
        Time for which a leader renews grants without contact to the platform's
        key-value service.
    max_clock_drift : float
        Largest fraction by which a server's clock runs slow.
    delay_margin_s : float
        Additional allowance for delays.
    """

    grant_ttl_s: float = 3.0
    renewal_interval_s: float = 0.8
    order_timeout_s: float = 0.6
    lease_s: float = 2.0
    autonomy_s: float = 9.0
    max_clock_drift: float = 0.02
    delay_margin_s: float = 0.1

    @property
    def max_ttl_after_answer_s(self) -> float:
        """Longest time from the answer to a grant until the grant expires."""
        return self.grant_ttl_s * (1.0 + self.max_clock_drift) + self.delay_margin_s

    @property
    def max_ttl_after_send_s(self) -> float:
        """Longest time from sending a grant until the grant expires."""
        return self.order_timeout_s + self.max_ttl_after_answer_s

    @property
    def unreached_owner_wait_s(self) -> float:
        """Longest time from a takeover until all grants of earlier leaders expire."""
        return self.autonomy_s + self.max_ttl_after_send_s

    @property
    def reached_owner_wait_s(self) -> float:
        """Longest time from a takeover until grants that need the lease expire."""
        return self.lease_s + self.max_ttl_after_send_s


@define
class FenceReservation:
    """Interval of fences (fencing tokens) that a leader has reserved.

    Attributes
    ----------
    next_fence : int
        First unused fence.
    end : int
        Exclusive end of the interval.
    """

    next_fence: int
    end: int

    @property
    def remaining(self) -> int:
        """Number of unused fences."""
        return self.end - self.next_fence

    def take(self) -> int:
        """Return the next unused fence."""
        if self.next_fence >= self.end:
            raise ValueError(f"all fences below {self.end} are used; reserve more")
        self.next_fence += 1
        return self.next_fence - 1


@frozen
class GrantOrder:
    """Grant of a range to a server, or its renewal.

    Attributes
    ----------
    handover_token : str or None
        Token from the former owner's release, with which the server starts warm.
    to_former_owner : bool
        Whether the grant raises the fence of a moving range at its former owner; the
        next step of the move depends on the answer.
    requires_same_process : bool
        Whether the grant may only reach the server process that earlier orders reached.
        A restarted process has lost the fences of later leaders and would accept
        it.
    """

    number: int
    server: ServerName
    first: int
    last: int
    fence: int
    grant_ttl_s: float
    handover_token: str | None = None
    to_former_owner: bool = False
    requires_same_process: bool = False


@frozen
class ReleaseOrder:
    """Request to a server to finish its work on a range and give the range up."""

    number: int
    server: ServerName
    first: int
    last: int
    fence: int


Order: TypeAlias = GrantOrder | ReleaseOrder


class HandoverReason(StrEnum):
    """Reason why a range could be handed to its next owner."""

    #: The range had no owner.
    UNOWNED = "nobody owned them"
    #: The former owner acknowledged the release.
    RELEASED = "released"
    #: All grants that the former owner may have held have expired.
    GRANT_EXPIRED = "hold ended"


@frozen
class RangeHandover:
    """Handover of a range from one owner to the next.

    Attributes
    ----------
    former : str or None
        Former owner, None if the range had no owner.
    owner : str
        New owner.
    fence : int
        Lower bound of the fences of the new owner's grants.
    """

    first: int
    last: int
    former: ServerName | None
    owner: ServerName
    reason: HandoverReason
    fence: int
