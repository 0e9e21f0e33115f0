"""Measured capacity and load of the servers of a partitioned service."""

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


#: Ranges of a service, in units of its servers, from which small ones are joined.
_RANGES_PER_SERVER = 4
#: Joins decided at a time, at least and in units of the servers.
_LEAST_JOINS_PER_PLAN = 6
_JOINS_PER_SERVER = 0.25
#: Rate per second and number of keys up to which a range is joined with its neighbour.
_LITTLE_LOAD = 3.0
_SMALL_SPAN = 128
#: Utilization from which a server gets no joined ranges.
_BUSY = 0.8


@define(eq=False)
class OwnerSelector:
    """Chooses owners for one partitioned service by the load of its keys.

    Parameters
    ----------
    service : str
        Name of the service.
    view : SiteView
        Servers of the site.
    dispatcher : Dispatcher
        Measures the servers' work times.
    """

    service: ServiceName
    view: SiteView
    dispatcher: Dispatcher
    load: KeyLoad = field(factory=KeyLoad)
    #: Utilization of each server that may get keys, as of the last plan.
    _utilization: dict[ServerName, float] = field(factory=dict)

    def may_own(self, server: ServerName) -> bool:
        """Return whether a server may keep its ranges."""
        return self.view.is_usable(server)

    def choose_owner(self, avoid: ServerName | None) -> ServerName | None:
        """Return the server with the most room, for a range that needs an owner."""
        candidates = [
            entry.name for entry in self._list_candidates(0.0) if entry.name != avoid
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda name: self._utilization.get(name, 0.0))
        # The next range goes elsewhere until the load is measured again.
        self._utilization[best] = self._utilization.get(best, 0.0) + 0.05
        return best

    def list_eligible_owners(self, now: MonotonicSeconds) -> list[ServerName]:
        """Return the servers that may get ranges."""
        return [entry.name for entry in self._list_candidates(now)]

    def plan(self, table: RangeTable, now: MonotonicSeconds) -> list[Move]:
        """Return the moves that even out the load."""
        capacities = self._list_capacities(now)
        spans = [
            OwnedSpan(item.first, item.last, item.owner)
            for item in table.ranges
            if item.phase is Phase.OWNED and item.owner is not None
        ]
        rates = self.load.list_rates(now)
        self._measure(table, rates, capacities)
        moves = plan_moves(spans, rates, capacities)
        if len(table.ranges) > _RANGES_PER_SERVER * len(capacities):
            moves += self._plan_joins(spans, rates, moves)
        return moves

    def _plan_joins(
        self,
        spans: list[OwnedSpan],
        rates: list[tuple[int, float]],
        moves: list[Move],
    ) -> list[Move]:
        """Return moves that give small spans with little load to a neighbour's owner.

        Each range costs the leader a grant at each renewal.
        """
        taken = {(move.first, move.last) for move in moves}
        most = max(
            _LEAST_JOINS_PER_PLAN, int(_JOINS_PER_SERVER * len(self._utilization))
        )
        joins: list[Move] = []
        joined_before = False
        for lower, upper in pairwise(spans):
            adjoining = lower.last + 1 == upper.first and lower.owner != upper.owner
            if joined_before or not adjoining:
                joined_before = False
                continue
            small, target = lower, upper.owner
            if upper.last - upper.first < lower.last - lower.first:
                small, target = upper, lower.owner
            start = bisect_left(rates, (small.first, 0.0))
            end = bisect_left(rates, (small.last + 1, 0.0))
            rate = sum(rate for _, rate in rates[start:end])
            busy = self._utilization.get(target, 1.0) > _BUSY
            overlaps = any(small.first <= a and b <= small.last for a, b in taken)
            little = rate <= _LITTLE_LOAD and small.last - small.first < _SMALL_SPAN
            if little and not busy and not overlaps:
                joins.append(Move(small.first, small.last, target))
                joined_before = True
                if len(joins) == most:
                    break
        return joins

    def _list_candidates(self, now: MonotonicSeconds) -> list[ServerEntry]:
        entries = self.view.list_servers(self.service)
        reached = [
            entry
            for entry in entries
            if now >= self.dispatcher.get_load(entry.name).blocked_until
        ]
        warm = [entry for entry in reached if not self.view.is_cold(entry.name, now)]
        return warm or reached or entries

    def _list_capacities(self, now: MonotonicSeconds) -> list[ServerCapacity]:
        entries = self._list_candidates(now)
        works = {
            entry.name: self.dispatcher.get_load(entry.name).steady_latency_s
            for entry in entries
        }
        # A server that was not measured counts as quick, so that it is tried.
        quickest_s = min(filter(None, works.values()), default=None)
        if quickest_s is None:
            quickest_s = self.dispatcher.get_typical_latency_s(self.service)
        return [
            ServerCapacity(entry.name, entry.slots, works[entry.name] or quickest_s)
            for entry in entries
        ]

    def _measure(
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
