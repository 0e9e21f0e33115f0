"""Decides whether requests for a range of keys can be sent to its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.ranges.owner_policy import OwnerPolicy
    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds

__all__ = ["describe_owner"]

#: Time in seconds before the end of its grant at which an owner gets no more requests.
_SERVING_MARGIN_S = 0.15
#: Shortest time in seconds after which a range without an owner is asked for again.
_MIN_WAIT_S = 0.2
#: Time in seconds after which a range is asked for again whose move can't go on. It
#: waits for the platform's service, which is usually away for seconds.
_STALLED_WAIT_S = 1.0


def describe_owner(
    key_range: KeyRange,
    owner_policy: OwnerPolicy,
    now: MonotonicSeconds,
    can_move: bool = True,
) -> KeyOwner:
    """Return the owner of a range, or when one is expected to serve it.

    Parameters
    ----------
    can_move : bool, default=True
        Whether moves go on; requests don't wait for one that can't.
    """
    key_owner = _describe_present_owner(key_range, owner_policy, now)
    if key_owner.moving and not can_move:
        return KeyOwner(None, available_in_s=_STALLED_WAIT_S)
    return key_owner


def _describe_present_owner(
    key_range: KeyRange, owner_policy: OwnerPolicy, now: MonotonicSeconds
) -> KeyOwner:
    if key_range.phase in (Phase.OWNED, Phase.STORING):
        if key_range.owner is not None and not owner_policy.may_own(key_range.owner):
            return KeyOwner(None, moving=True)
        if now < key_range.serving_until - _SERVING_MARGIN_S:
            return KeyOwner(key_range.owner)
        if not key_range.confirmed:
            # Nothing is granted until the grants of a lost leader have ended.
            wait_s = key_range.latest_grant_end - now
            return KeyOwner(None, available_in_s=max(_MIN_WAIT_S, wait_s))
        return KeyOwner(None, moving=not key_range.failures, available_in_s=0.3)
    if key_range.phase in (Phase.FENCING, Phase.RELEASING):
        return KeyOwner(None, moving=True)
    if key_range.phase is Phase.UNOWNED:
        return KeyOwner(None)
    wait_s = key_range.latest_grant_end - now
    return KeyOwner(None, available_in_s=max(_MIN_WAIT_S, wait_s))
