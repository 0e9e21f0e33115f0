"""Whether requests for a range of keys can be sent to its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.ranges.owner_policy import OwnerPolicy
    from basilwick.core.ranges.table import KeyRange
    from basilwick.core.types import MonotonicSeconds

__all__ = ["describe_owner"]

#: Time in seconds by which a range stops being served before its grant ends.
_SERVING_MARGIN_S = 0.15


def describe_owner(
    item: KeyRange, servers: OwnerPolicy, now: MonotonicSeconds
) -> KeyOwner:
    """Return the owner of a range, or when there will be one."""
    if item.phase in (Phase.OWNED, Phase.STORING):
        if item.owner is not None and not servers.may_own(item.owner):
            return KeyOwner(None, moving=True)
        if now < item.serving_until - _SERVING_MARGIN_S:
            return KeyOwner(item.owner)
        return KeyOwner(None, moving=not item.failures, available_in_s=0.3)
    if item.phase in (Phase.FENCING, Phase.RELEASING):
        return KeyOwner(None, moving=True)
    if item.phase is Phase.UNOWNED:
        return KeyOwner(None)
    return KeyOwner(None, available_in_s=max(0.2, item.latest_grant_end - now))
