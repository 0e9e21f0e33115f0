"""Chooses the owners of key ranges by the measured load and capacity of servers."""

from __future__ import annotations

from bisect import bisect_left
from itertools import pairwise
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.ranges.key_load import KeyLoad
from basilwick.core.ranges.placement import Move, OwnedSpan, ServerCapacity, plan_moves
from basilwick.core.ranges.table import Phase

if TYPE_CHECKING:
    from basilwick.core.dispatch.dispatcher import Dispatcher
    from basilwick.core.dispatch.site import ServerEntry, SiteView
    from basilwick.core.ranges.table import RangeTable
    from basilwick.core.types import MonotonicSeconds, ServerName, ServiceName

__all__ = ["OwnerSelector"]


#: Number of ranges per server above which small ranges are merged.
_MAX_RANGES_PER_SERVER = 4
#: A plan has at most this many merges, or this many per server if that is more.
_MIN_MERGE_LIMIT = 6
_MERGES_PER_SERVER = 0.25
#: Requests per second and number of keys up to which a range is merged with its
#: neighbour.
_MAX_MERGE_RATE = 3.0
_MAX_MERGE_KEYS = 128
#: Utilization up to which a server may receive ranges for a merge.
_MAX_MERGE_UTILIZATION = 0.8


@define(eq=False)
class OwnerSelector:
    """Chooses the owners of ranges of one partitioned service.

    Parameters
    ----------
    service : str
        Name of the service.
    view : SiteView
        Servers of the site.
    dispatcher : Dispatcher
        Source of the measured latencies of servers.
    load : KeyLoad
        Request rates of the keys.
    """

    service: ServiceName
    view: SiteView
    dispatcher: Dispatcher
    load: KeyLoad = field(factory=KeyLoad)
    #: Utilization of each server that may receive keys, as of the last plan.
    _utilization: dict[ServerName, float] = field(factory=dict)

    def may_own(self, server: ServerName) -> bool:
        """Return whether a server may keep its ranges."""
        return self.view.is_usable(server)

    def choose_owner(self, excluded: ServerName | None) -> ServerName | None:
        """Return the server with the lowest utilization, None if there is none."""
        candidates = [
            entry.name for entry in self._list_candidates(0.0) if entry.name != excluded
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda name: self._utilization.get(name, 0.0))
        # Spreads further ranges over other servers until the load is measured again.
        self._utilization[best] = self._utilization.get(best, 0.0) + 0.05
        return best

    def list_eligible_owners(self, now: MonotonicSeconds) -> list[ServerName]:
        """Return the servers that may receive ranges."""
        return [entry.name for entry in self._list_candidates(now)]

    def plan(self, table: RangeTable, now: MonotonicSeconds) -> list[Move]:
        """Return the moves that balance the load and merge small ranges."""
        capacities = self._list_capacities(now)
        spans = [
            OwnedSpan(key_range.first, key_range.last, key_range.owner)
            for key_range in table.ranges
            if key_range.phase is Phase.OWNED and key_range.owner is not None
        ]
        rates = self.load.list_rates(now)
        self._update_utilization(table, rates, capacities)
        moves = plan_moves(spans, rates, capacities)
        if len(table.ranges) > _MAX_RANGES_PER_SERVER * len(capacities):
            moves += self._plan_merges(spans, rates, moves)
        return moves

    def _plan_merges(
        self,
        spans: list[OwnedSpan],
        rates: list[tuple[int, float]],
        moves: list[Move],
    ) -> list[Move]:
        """Return moves of small spans with little load to the owner of a neighbour.

        Fewer ranges save work of the leader, which renews the grant of each range.
        """
        moved_spans = {(move.first, move.last) for move in moves}
        max_merges = max(
            _MIN_MERGE_LIMIT, int(_MERGES_PER_SERVER * len(self._utilization))
        )
        merges: list[Move] = []
        just_merged = False
        for lower, upper in pairwise(spans):
            adjoining = lower.last + 1 == upper.first and lower.owner != upper.owner
            if just_merged or not adjoining:
                just_merged = False
                continue
            source, target = lower, upper.owner
            if upper.last - upper.first < lower.last - lower.first:
                source, target = upper, lower.owner
            start = bisect_left(rates, (source.first, 0.0))
            end = bisect_left(rates, (source.last + 1, 0.0))
            rate = sum(rate for _, rate in rates[start:end])
            busy = self._utilization.get(target, 1.0) > _MAX_MERGE_UTILIZATION
            overlaps = any(
                source.first <= a and b <= source.last for a, b in moved_spans
            )
            small = (
                rate <= _MAX_MERGE_RATE and source.last - source.first < _MAX_MERGE_KEYS
            )
            if small and not busy and not overlaps:
                merges.append(Move(source.first, source.last, target))
                just_merged = True
                if len(merges) == max_merges:
                    break
        return merges

    def _list_candidates(self, now: MonotonicSeconds) -> list[ServerEntry]:
        entries = self.view.list_servers(self.service)
        unblocked = [
            entry
            for entry in entries
            if now >= self.dispatcher.get_load(entry.name).blocked_until
        ]
        warm = [entry for entry in unblocked if not self.view.is_cold(entry.name, now)]
        return warm or unblocked or entries

    def _list_capacities(self, now: MonotonicSeconds) -> list[ServerCapacity]:
        entries = self._list_candidates(now)
        latencies_s = {
            entry.name: self.dispatcher.get_load(entry.name).steady_latency_s
            for entry in entries
        }
        # A server without measurements counts as the fastest one, so that it gets work
        # and is measured.
        fastest_s = min(filter(None, latencies_s.values()), default=None)
        if fastest_s is None:
            fastest_s = self.dispatcher.get_typical_latency_s(self.service)
        return [
            ServerCapacity(
                entry.name,
                entry.slots,
                latencies_s[entry.name] or fastest_s,
                self.view.get_max_rate(entry.name, now),
            )
            for entry in entries
        ]

    def _update_utilization(
        self,
        table: RangeTable,
        rates: list[tuple[int, float]],
        capacities: list[ServerCapacity],
    ) -> None:
        load = dict.fromkeys((c.server for c in capacities), 0.0)
        for key, rate in rates:
            owner = table.find(key).owner
            if owner in load:
                load[owner] += rate
        self._utilization = {
            c.server: load[c.server] / c.requests_per_s for c in capacities
        }
