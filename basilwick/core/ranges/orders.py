"""Orders to servers about key ranges, and the times and fences that they carry."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, frozen

if TYPE_CHECKING:
    from basilwick.core.types import ServerName

__all__ = [
    "FenceBlock",
    "GrantOrder",
    "HandOver",
    "HandOverReason",
    "Order",
    "OrderResult",
    "OwnerTimes",
    "ReleaseOrder",
]


class OrderResult(StrEnum):
    """How a server answered an order."""

    OK = "ok"
    #: It has seen a higher fence.
    CONFLICT = "conflict"
    #: No answer; the order may be carried out later.
    LOST = "lost"
    #: The order was not sent, because no connection could be had.
    UNSENT = "unsent"
    #: The order was not sent, because its time had passed before it could be.
    EXPIRED = "expired"


@frozen
class OwnerTimes:
    """Time limits of the ownership protocol, in seconds.

    Attributes
    ----------
    hold_s : float
        Time for which a grant is in force.
    renewal_s : float
        Interval between renewals.
    order_timeout_s : float
        Longest wait for an answer to a grant.
    lease_s : float
        Time for which a leader may begin and go on with moves after it renewed its
        lease.
    autonomy_s : float
        Time for which a leader goes on renewing without the platform's service.
    clock_margin : float
        Largest share by which a server's clock runs slow.
    slack_s : float
        Further time granted to delays.
    """

    hold_s: float = 3.0
    renewal_s: float = 0.8
    order_timeout_s: float = 0.6
    lease_s: float = 2.0
    autonomy_s: float = 9.0
    clock_margin: float = 0.02
    slack_s: float = 0.1

    @property
    def answered_hold_s(self) -> float:
        """Longest time from the answer to a grant to its end."""
        return self.hold_s * (1.0 + self.clock_margin) + self.slack_s

    @property
    def longest_hold_s(self) -> float:
        """Longest time from the send of a grant to its end."""
        return self.order_timeout_s + self.answered_hold_s

    @property
    def unreached_hold_s(self) -> float:
        """Longest time from a takeover to the end of any grant of earlier leaders."""
        return self.autonomy_s + self.longest_hold_s

    @property
    def unfinished_hold_s(self) -> float:
        """Longest time from a takeover to the end of grants sent with a lease only."""
        return self.lease_s + self.longest_hold_s


@define
class FenceBlock:
    """Fences that a leader has reserved."""

    following: int
    end: int

    @property
    def left(self) -> int:
        """Number of fences that were not taken yet."""
        return self.end - self.following

    def take(self) -> int:
        """Return a fence that was never used."""
        if self.following >= self.end:
            raise ValueError(f"all fences below {self.end} are used; reserve more")
        self.following += 1
        return self.following - 1


@frozen
class GrantOrder:
    """Grant of a range to a server.

    Attributes
    ----------
    to_former_owner : bool
        Whether it goes to the former owner of a move with a higher fence, so that the
        next step of the move depends on its answer.
    same_process : bool
        Whether it must reach the process that earlier orders reached. A server that
        started anew would accept it whatever later leaders have done.
    """

    number: int
    server: ServerName
    first: int
    last: int
    fence: int
    hold_s: float
    hand_over: str | None = None
    to_former_owner: bool = False
    same_process: bool = False


@frozen
class ReleaseOrder:
    """Request to a server to finish its work on a range."""

    number: int
    server: ServerName
    first: int
    last: int
    fence: int


Order: TypeAlias = GrantOrder | ReleaseOrder


class HandOverReason(StrEnum):
    """Why a range could go to its next owner."""

    #: Nobody owned it.
    FREE = "nobody owned them"
    #: The former owner answered the release.
    RELEASED = "released"
    #: All grants that the former owner may have had are over.
    HOLD_ENDED = "hold ended"


@frozen
class HandOver:
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
    reason: HandOverReason
    fence: int
