"""Plans moves for demand that is uneven and changes within seconds.

It is used for sites with bulk routes. Requests of different lengths compete there for
few slots, so that a server with more than its share of the demand refuses requests
while others are idle. Each move must gain more requests than its keys and the further
ranges cost.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from basilwick.core.ranges.demand_plan import DemandPlan, PlannedServer, PlannedSpan
from basilwick.core.ranges.key_load import list_between
from basilwick.core.ranges.range_joins import join_ranges
from basilwick.core.ranges.table import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from basilwick.core.ranges.placement import Move, OwnedSpan, ServerCapacity
    from basilwick.core.types import ServerName

__all__ = ["find_excess_keys", "plan_uneven_moves"]

#: Utilization, relative to the mean, above which a server gives keys away, and the
#: utilization up to which it gives none away: a free slot is then found soon.
_REBALANCE_RATIO = 1.2
_MIN_REBALANCE_UTILIZATION = 0.45
#: Time in seconds over which rates are measured, and the standard deviations by which a
#: utilization must exceed the bound, so that random fluctuation moves no keys.
_MEASUREMENT_WINDOW_S = 6.0
_SIGNIFICANCE_SIGMAS = 1.5
#: Share of further requests that a server at full utilization can't serve in time.
_LOSS_AT_CAPACITY = 0.5
#: Requests that are lost while all keys move, a part of the keys costing in proportion,
#: and the time in seconds for which the gain of a move lasts.
_FULL_MOVE_COST_REQUESTS = 95.0
_LOAD_DURATION_S = 3.0
#: Requests per second that a further range must gain, for the work of its renewals.
_RANGE_COST_PER_S = 0.05
#: A plan cuts only single keys out of ranges if it has more ranges than wanted by this
#: factor.
_EXCESS_RANGES_FACTOR = 1.2
#: Share of a server's capacity from which one key counts as dominant. Such a key gets a
#: server of its own.
_DOMINANT_SHARE = 0.5
#: Ratio of capacities from which a dominant key moves to a faster server, and the
#: utilization by that key alone up to which it stays where it is.
_MIN_SPEEDUP = 1.3
_MAX_KEPT_UTILIZATION = 0.5


def find_excess_keys(
    rates: Sequence[tuple[int, float]],
    capacities: Sequence[ServerCapacity],
    find_owner: Callable[[int], ServerName | None],
) -> dict[int, float]:
    """Return the keys that no server can serve alone.

    The values are the requests per second that the present owners can serve.
    """
    by_name = {c.server: c.requests_per_s for c in capacities}
    fastest = max(by_name.values(), default=float("inf"))
    return {
        key: by_name.get(find_owner(key), fastest)
        for key, rate in rates
        if rate > fastest
    }


def plan_uneven_moves(
    spans: Sequence[OwnedSpan],
    rates: Sequence[tuple[int, float]],
    capacities: Sequence[ServerCapacity],
    fixed_loads: dict[ServerName, float],
    range_count: int,
) -> list[Move]:
    """Return moves that gain more requests than they cost.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        Spans that may move, in order.
    rates : sequence of (int, float)
        Keys in order with their requests per second.
    capacities : sequence of ServerCapacity
        Servers that may receive keys.
    fixed_loads : dict
        Requests per second of keys that servers own, or are about to own, and that
        can't move now.
    range_count : int
        Number of ranges of the service.
    """
    if len(capacities) < 2:
        return []
    servers = {
        c.server: PlannedServer(
            c.server, c.requests_per_s, fixed_loads.get(c.server, 0.0)
        )
        for c in capacities
    }
    plan = DemandPlan(servers, range_count)
    for span in spans:
        server = servers.get(span.owner)
        if server is not None:
            keys = list_between(rates, span.first, span.last)
            server.spans.append(PlannedSpan(span.first, span.last, keys))
            server.load += sum(rate for _, rate in keys)
    _place_dominant_keys(plan)
    mean = _compute_mean_utilization(plan)
    _relieve_servers(plan, mean)
    if plan.range_count > plan.wanted_ranges:
        join_ranges(plan, spans, rates, max(_MIN_REBALANCE_UTILIZATION, mean))
    return plan.moves


def _place_dominant_keys(plan: DemandPlan) -> None:
    """Give each key that fills a server one of its own, the busiest the fastest."""
    typical = sorted(s.capacity for s in plan.servers.values())
    least_rate = _DOMINANT_SHARE * typical[len(typical) // 2]
    dominant = [
        (rate, key, server, span)
        for server in plan.servers.values()
        for span in server.spans
        for key, rate in span.keys
        if rate >= least_rate or rate >= _DOMINANT_SHARE * server.capacity
    ]
    dominant.sort(key=lambda entry: entry[:2], reverse=True)
    for rate, key, server, _ in dominant:
        free = [s for s in plan.servers.values() if s.dominant_key is None]
        stays = server.dominant_key is None
        utilization = rate / server.capacity
        if not free or (stays and utilization <= _MAX_KEPT_UTILIZATION):
            if stays:
                server.dominant_key = key
            continue
        # The other keys of the target have to leave, which counts half as much.
        target = min(free, key=lambda s: (rate + 0.5 * s.load) / s.capacity)
        gains = rate / target.capacity < server.utilization
        if stays:
            gains = target.capacity >= _MIN_SPEEDUP * server.capacity
        if target is server or not gains or plan.full:
            if stays:
                server.dominant_key = key
            continue
        span = next(s for s in server.spans if s.first <= key <= s.last)
        plan.move(server, span, key, key, target)
        target.dominant_key = key


def _compute_mean_utilization(plan: DemandPlan) -> float:
    """Return the utilization of all servers at a perfect balance.

    Servers that are filled by a key that can't be divided are left out.
    """
    servers = [s for s in plan.servers.values() if s.dominant_key is None]
    capacity = sum(s.capacity for s in servers)
    return sum(s.load for s in servers) / capacity if capacity else 1.0


def _relieve_servers(plan: DemandPlan, mean: float) -> None:
    bound = max(_MIN_REBALANCE_UTILIZATION, _REBALANCE_RATIO * mean)
    donors = [s for s in plan.servers.values() if s.spans and s.utilization > bound]
    while donors and not plan.full:
        donor = max(donors, key=lambda s: s.utilization)
        error = _SIGNIFICANCE_SIGMAS * sqrt(donor.load / _MEASUREMENT_WINDOW_S)
        certain = (donor.load - error) / donor.capacity > bound
        if not certain or not _relieve(plan, donor, mean):
            donors.remove(donor)


def _relieve(plan: DemandPlan, donor: PlannedServer, mean: float) -> bool:
    """Move keys of a busy server to the least utilized one; returns whether it gains.

    The receiver is filled to the mean at most, or to halfway between the two.
    """
    receivers = [
        s for s in plan.servers.values() if s is not donor and s.dominant_key is None
    ]
    if not receivers:
        return False
    receiver = min(receivers, key=lambda s: s.utilization)
    gap = donor.utilization - receiver.utilization
    if gap <= 0.0:
        return False
    # Both servers have the same utilization after a move of this rate.
    even = gap / (1.0 / donor.capacity + 1.0 / receiver.capacity)
    spare = (mean - receiver.utilization) * receiver.capacity
    max_rate = min(even, max(spare, 0.5 * even))
    if donor.dominant_key is not None:
        max_rate = max(max_rate, spare)
    gain = _estimate_loss(donor.utilization - 0.5 * max_rate / donor.capacity)
    gain -= _estimate_loss(receiver.utilization + 0.5 * max_rate / receiver.capacity)
    best = None
    for span in donor.spans:
        found = _find_best_part(plan, span, max_rate, gain, donor.dominant_key)
        if found is not None and (best is None or found[0] > best[0]):
            best = *found, span
    if best is None:
        return False
    _, first, last, span = best
    plan.move(donor, span, first, last, receiver)
    return True


def _estimate_loss(utilization: float) -> float:
    """Return the share of further requests that are not served in time."""
    return min(1.0, _LOSS_AT_CAPACITY * max(0.0, utilization) ** 4)


def _find_best_part(
    plan: DemandPlan,
    span: PlannedSpan,
    max_rate: float,
    gain: float,
    kept_key: int | None,
) -> tuple[float, int, int] | None:
    """Return benefit, first key and last key of the best part of a span to move."""
    keys = span.keys
    key_cost = _FULL_MOVE_COST_REQUESTS / _LOAD_DURATION_S / KEY_COUNT
    may_cut = plan.range_count < _EXCESS_RANGES_FACTOR * plan.wanted_ranges
    best = None
    start = 0
    total = 0.0
    for end, (key, rate) in enumerate(keys):
        if key == kept_key:
            start, total = end + 1, 0.0
            continue
        total += rate
        while total > max_rate and start <= end:
            total -= keys[start][1]
            start += 1
        if start > end:
            continue
        # A part up to the end of the span makes fewer ranges than one in between.
        firsts = (keys[start][0], span.first) if not start else (keys[start][0],)
        lasts = (key, span.last) if end == len(keys) - 1 else (key,)
        for first in firsts:
            for last in lasts:
                cuts = (first > span.first) + (last < span.last)
                if cuts and not may_cut and last - first > 0:
                    continue
                benefit = gain * total - key_cost * (last - first + 1)
                benefit -= _RANGE_COST_PER_S * cuts
                if benefit > 0.0 and (best is None or benefit > best[0]):
                    best = benefit, first, last
    return best
