"""Orders to servers about key ranges, and the times and fences that they carry."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, frozen

if TYPE_CHECKING:
    from basilwick.core.types import ServerName

__all__ = [
    "FenceReservation",
    "GrantOrder",
    "RangeHandover",
    "HandoverReason",
    "Order",
    "OrderResult",
    "OwnershipTimings",
    "ReleaseOrder",
]


class OrderResult(StrEnum):
    """How a server answered an order."""

    OK = "ok"
    #: It has seen a higher fence.
    CONFLICT = "conflict"
    #: No answer; the order may be carried out later.
    UNKNOWN = "lost"
    #: The order was not sent, because no connection could be had.
    UNSENT = "unsent"
    #: The order was not sent, because its time had passed before it could be.
    EXPIRED = "expired"


@frozen
class OwnershipTimings:
    """Time limits of the ownership protocol, in seconds.

    Attributes
    ----------
    grant_ttl_s : float
        Time for which a grant is in force.
    renewal_interval_s : float
        Interval between renewals.
    order_timeout_s : float
        Longest wait for an answer to a grant.
    lease_s : float
        Time for which a leader may begin and go on with moves after it renewed its
        lease.
    autonomy_s : float
        Time for which a leader goes on renewing without the platform's service.
    max_clock_drift : float
        Largest share by which a server's clock runs slow.
    delay_margin_s : float
        Further time granted to delays.
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
        """Longest time from the answer to a grant to its end."""
        return self.grant_ttl_s * (1.0 + self.max_clock_drift) + self.delay_margin_s

    @property
    def max_ttl_after_send_s(self) -> float:
        """Longest time from the send of a grant to its end."""
        return self.order_timeout_s + self.max_ttl_after_answer_s

    @property
    def unreached_owner_wait_s(self) -> float:
        """Longest time from a takeover to the end of any grant of earlier leaders."""
        return self.autonomy_s + self.max_ttl_after_send_s

    @property
    def reached_owner_wait_s(self) -> float:
        """Longest time from a takeover to the end of grants sent with a lease only."""
        return self.lease_s + self.max_ttl_after_send_s


@define
class FenceReservation:
    """Fences that a leader has reserved."""

    next_fence: int
    end: int

    @property
    def remaining(self) -> int:
        """Number of fences that were not taken yet."""
        return self.end - self.next_fence

    def take(self) -> int:
        """Return a fence that was never used."""
        if self.next_fence >= self.end:
            raise ValueError(f"all fences below {self.end} are used; reserve more")
        self.next_fence += 1
        return self.next_fence - 1


@frozen
class GrantOrder:
    """Grant of a range to a server.

    Attributes
    ----------
    to_former_owner : bool
        Whether it goes to the former owner of a move with a higher fence, so that the
        next step of the move depends on its answer.
    requires_same_process : bool
        Whether it must reach the process that earlier orders reached. A server that
        started anew would accept it whatever later leaders have done.
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
    """Request to a server to finish its work on a range."""

    number: int
    server: ServerName
    first: int
    last: int
    fence: int


Order: TypeAlias = GrantOrder | ReleaseOrder


class HandoverReason(StrEnum):
    """Why a range could go to its next owner."""

    #: Nobody owned it.
    UNOWNED = "nobody owned them"
    #: The former owner answered the release.
    RELEASED = "released"
    #: All grants that the former owner may have had are over.
    GRANT_EXPIRED = "hold ended"


@frozen
class RangeHandover:
    """A range that went from one owner to the next.

    Attributes
    ----------
    former : str or None
        Server that owned it before.
    fence : int
        Fence from which the next owner's grants take theirs.
    """

    first: int
    last: int
    former: ServerName | None
    owner: ServerName
    reason: HandoverReason
    fence: int
