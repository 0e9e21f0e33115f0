"""Chooses the owners of key ranges by the measured load and capacity of servers."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.ranges.failing_owners import FailingOwners
from basilwick.core.ranges.first_placement import (
    SpareCapacity,
    plan_interleaved_shares,
    plan_spare_shares,
)
from basilwick.core.ranges.key_load import KeyLoad, list_between
from basilwick.core.ranges.placement import Move, OwnedSpan, ServerCapacity, plan_moves
from basilwick.core.ranges.server_arrivals import ServerArrivals
from basilwick.core.ranges.table import KEY_COUNT, Phase
from basilwick.core.ranges.uneven_demand import find_excess_keys, plan_uneven_moves

if TYPE_CHECKING:
    from basilwick.core.dispatch.dispatcher import Dispatcher
    from basilwick.core.dispatch.server_load import ServerLoad
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
#: Load that is expected on the keys of a range beyond what was measured, for all keys
#: together: as a share of the measured load, and at least as a share of the servers'
#: capacity. Otherwise one server would get all ranges without recent requests.
_UNSEEN_LOAD = 0.25
_MIN_UNSEEN_LOAD = 0.1
#: Share of a server's capacity that one share of a divided range should need. Less than
#: that doesn't overload a server with an ordinary load; if there are many ranges to
#: renew already, only ranges that would overload it are divided.
_SHARE_UTILIZATION = 0.15
_CROWDED_SHARE_UTILIZATION = 0.3


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
    excess_keys : dict
        Keys with more requests than any server can serve, with the requests per second
        that their owner can; as of the last plan, and only for sites with bulk routes.
    """

    service: ServiceName
    view: SiteView
    dispatcher: Dispatcher
    load: KeyLoad = field(factory=KeyLoad)
    excess_keys: dict[int, float] = field(factory=dict)
    #: Utilization of each server that may receive keys, as of the last plan.
    _utilization: dict[ServerName, float] = field(factory=dict)
    #: For bulk routes: ranges and rates of the last plan, and the load of the servers
    #: with the keys that were given to them since.
    _table: RangeTable | None = None
    _failing: FailingOwners = field(factory=FailingOwners)
    _arrivals: ServerArrivals = field(factory=ServerArrivals)
    _rates: list[tuple[int, float]] = field(factory=list)
    _assigned_rates: dict[ServerName, float] = field(factory=dict)
    _receivers: list[SpareCapacity] = field(factory=list)
    _receivers_at: MonotonicSeconds = float("-inf")

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

    def divide_unowned(
        self, first: int, last: int, now: MonotonicSeconds
    ) -> list[Move] | None:
        """Return interleaved shares of a span; None if it is to be divided evenly.

        At a first start there are no shares until the servers have arrived.
        """
        if not self.view.has_bulk_routes:
            return None
        capacities = self._list_capacities(now)
        is_first = last - first + 1 == KEY_COUNT
        servers = [capacity.server for capacity in capacities]
        if is_first and not self._arrivals.observe(servers, now):
            return []
        return plan_interleaved_shares(first, last, capacities)

    def plan_shares(
        self,
        first: int,
        last: int,
        excluded: ServerName | None,
        divisible: bool,
        now: MonotonicSeconds,
    ) -> list[Move] | None:
        """Return shares by spare capacity; None if one server is to be chosen."""
        if not self.view.has_bulk_routes:
            return None
        servers = self._list_receivers(excluded, now)
        capacity = sum(server.requests_per_s for server in servers)
        demand = sum(rate for _, rate in self._rates)
        unseen = max(_UNSEEN_LOAD * demand, _MIN_UNSEEN_LOAD * capacity)
        max_ranges = _MAX_RANGES_PER_SERVER * len(servers)
        crowded = self._table is not None and len(self._table.ranges) >= max_ranges
        moves = plan_spare_shares(
            first,
            last,
            list_between(self._rates, first, last),
            unseen / KEY_COUNT,
            servers,
            divisible,
            _CROWDED_SHARE_UTILIZATION if crowded else _SHARE_UTILIZATION,
        )
        for server in servers:
            self._assigned_rates[server.server] = server.load
        return moves

    def _list_receivers(
        self, excluded: ServerName | None, now: MonotonicSeconds
    ) -> list[SpareCapacity]:
        """Return the servers that may take over a range, with their load.

        A server that doesn't answer for its ranges is left out if others are left:
        servers are often lost together, and are not noticed at the same moment.
        """
        if now != self._receivers_at:
            # All ranges of a lost server are divided at the same moment.
            self._receivers_at = now
            self._receivers = [
                SpareCapacity(
                    c.server, c.requests_per_s, self._assigned_rates.get(c.server, 0.0)
                )
                for c in self._list_capacities(now)
            ]
            if self._table is not None:
                self._failing.update(self._table.ranges, now)
        others = [r for r in self._receivers if r.server != excluded]
        avoided = self._failing.is_avoided
        return [r for r in others if not avoided(r.server, now)] or others

    def list_eligible_owners(self, now: MonotonicSeconds) -> list[ServerName]:
        """Return the servers that may receive ranges."""
        return [entry.name for entry in self._list_candidates(now)]

    def plan(self, table: RangeTable, now: MonotonicSeconds) -> list[Move]:
        """Return the moves that balance the load and merge small ranges."""
        if self.view.has_bulk_routes:
            return self._plan_uneven(table, now)
        self.excess_keys = {}
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

    def _plan_uneven(self, table: RangeTable, now: MonotonicSeconds) -> list[Move]:
        """Return the moves that are worth their cost under uneven demand."""
        rates = self.load.list_rates_by_block(now)
        self._table, self._rates = table, rates
        self._failing.update(table.ranges, now)
        # A cold server gets the keys that its warm-up rate suffices for.
        capacities = [
            capacity
            for capacity in self._list_capacities(now, include_cold=True)
            if not self._failing.is_avoided(capacity.server, now)
        ]
        spans = []
        fixed: dict[ServerName, float] = {}
        self._assigned_rates = {}
        self._receivers_at = float("-inf")
        # Neighbours of one owner are merged once they are settled.
        range_count, previous = 0, None
        for key_range in table.ranges:
            owner = key_range.target or key_range.owner
            range_count += owner is None or owner != previous
            previous = owner
            if owner is None:
                continue
            keys = list_between(rates, key_range.first, key_range.last)
            rate = sum(rate for _, rate in keys)
            self._assigned_rates[owner] = self._assigned_rates.get(owner, 0.0) + rate
            if key_range.settled:
                spans.append(OwnedSpan(key_range.first, key_range.last, owner))
            else:
                fixed[owner] = fixed.get(owner, 0.0) + rate
        self.excess_keys = find_excess_keys(
            rates, capacities, lambda key: table.find(key).owner
        )
        return plan_uneven_moves(spans, rates, capacities, fixed, range_count)

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
            in_source = list_between(rates, source.first, source.last)
            rate = sum(rate for _, rate in in_source)
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

    def _list_candidates(
        self, now: MonotonicSeconds, include_cold: bool = False
    ) -> list[ServerEntry]:
        entries = self.view.list_servers(self.service)
        unblocked = [
            entry
            for entry in entries
            if now >= self.dispatcher.get_load(entry.name).blocked_until
        ]
        if include_cold:
            return unblocked or entries
        warm = [entry for entry in unblocked if not self.view.is_cold(entry.name, now)]
        return warm or unblocked or entries

    def _list_capacities(
        self, now: MonotonicSeconds, include_cold: bool = False
    ) -> list[ServerCapacity]:
        entries = self._list_candidates(now, include_cold)
        latencies_s = self._list_latencies(entries)
        # A server without measurements counts as the fastest one, so that it gets work
        # and is measured. With bulk routes it counts as a typical one, because a slow
        # server with the keys of a fast one refuses requests until they have moved.
        measured = sorted(filter(None, latencies_s.values()))
        if not measured:
            assumed_s = self.dispatcher.get_typical_latency_s(self.service)
        elif self.view.has_bulk_routes:
            assumed_s = measured[len(measured) // 2]
        else:
            assumed_s = measured[0]
        return [
            ServerCapacity(
                entry.name,
                entry.slots,
                latencies_s[entry.name] or assumed_s,
                self.view.get_max_rate(entry.name, now),
            )
            for entry in entries
        ]

    def _list_latencies(self, entries: list[ServerEntry]) -> dict[ServerName, float]:
        """Return the latency by which each server is compared, 0 if not measured."""
        loads = {entry.name: self.dispatcher.get_load(entry.name) for entry in entries}
        steady = {name: load.steady_latency_s for name, load in loads.items()}
        if not self.view.has_bulk_routes:
            return steady
        unloaded = {name: _get_unloaded_latency(load) for name, load in loads.items()}
        # The usual slowdown of all servers together belongs to each one's latency.
        both = [name for name in loads if steady[name] and unloaded[name]]
        slowdown = 1.0
        if both:
            slowdown = sum(steady[n] for n in both) / sum(unloaded[n] for n in both)
        return {name: slowdown * unloaded[name] or steady[name] for name in loads}

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


def _get_unloaded_latency(load: ServerLoad) -> float:
    """Return the latency without the stated slowdowns, 0 if it isn't measured."""
    return load.unloaded_latency_s
