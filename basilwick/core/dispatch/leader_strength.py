"""Decides when a leader hands over to an instance on a much stronger machine.

Every decision of the site passes the leader's link and processor, so a weak leader
refuses requests while servers are idle. Yet each change of the leader interrupts the
decisions for a moment, so only clear differences count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.types import InstanceName, MonotonicSeconds

__all__ = ["LeaderHandover", "Strength"]

#: Ratios of cores and of link rates from which an instance is much stronger.
_CORES_RATIO = 1.5
_LINK_RATIO = 4.0
#: Least ratio of the other measure. Since 0.9 * 1.5 is above 1, each handover raises
#: the product of both measures, and a chain of handovers can't return to its start.
_MIN_OTHER_RATIO = 0.9
#: Time in seconds for which the stronger instance must have been linked, so that one
#: whose process or link fails again and again does not lead.
_LINKED_S = 4.0
#: Least time in seconds between two handovers by one process. A successor that fails
#: soon leaves the lead to this instance for that time.
_INTERVAL_S = 120.0


@frozen
class Strength:
    """Strength of an instance's machine; 0 if unknown.

    Attributes
    ----------
    cores : float
        Processor cores.
    link_mbps : float
        Rate of its network link in Mbit/s.
    """

    cores: float = 0.0
    link_mbps: float = 0.0

    def is_much_above(self, other: Strength) -> bool:
        """Return whether this machine is much stronger; false if any is unknown."""
        if not min(self.cores, self.link_mbps, other.cores, other.link_mbps) > 0.0:
            return False
        cores_ratio = self.cores / other.cores
        link_ratio = self.link_mbps / other.link_mbps
        return min(cores_ratio, link_ratio) >= _MIN_OTHER_RATIO and (
            cores_ratio >= _CORES_RATIO or link_ratio >= _LINK_RATIO
        )


@define(eq=False)
class LeaderHandover:
    """Chooses the successor of this instance while it leads.

    Parameters
    ----------
    own : Strength
        Strength of this instance.
    """

    own: Strength
    _linked_since: dict[InstanceName, MonotonicSeconds] = field(factory=dict)
    _handed_over_at: MonotonicSeconds = float("-inf")

    def choose_successor(
        self, linked: Mapping[InstanceName, Strength], now: MonotonicSeconds
    ) -> InstanceName | None:
        """Return the strongest instance to hand over to, None if there is none.

        Parameters
        ----------
        linked : mapping of str to Strength
            Instances that are linked now; empty while this instance does not lead.
        """
        self._linked_since = {
            name: self._linked_since.get(name, now) for name in linked
        }
        if now < self._handed_over_at + _INTERVAL_S:
            return None
        candidates = [
            name
            for name, strength in linked.items()
            if strength.is_much_above(self.own)
            and now - self._linked_since[name] >= _LINKED_S
        ]
        return max(
            candidates,
            key=lambda name: (linked[name].link_mbps * linked[name].cores, name),
            default=None,
        )

    def record_handover(self, now: MonotonicSeconds) -> None:
        """Record that this instance resigns in favour of another one."""
        self._handed_over_at = now
        self._linked_since.clear()
