"""Divides spans of keys that have no owner, or lose it, among servers.

Busy keys are often neighbours, and before any request nobody knows where they are. Each
server therefore gets several small shares, far from one another, so that neighbouring
busy keys have many owners from the first request on.
"""

from __future__ import annotations

from math import ceil, gcd
from typing import TYPE_CHECKING

from attrs import define

from basilwick.core.ranges.placement import Move
from basilwick.core.ranges.table import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from basilwick.core.ranges.placement import ServerCapacity
    from basilwick.core.types import ServerName

__all__ = ["SpareCapacity", "plan_interleaved_shares", "plan_spare_shares"]

#: Number of shares that each server gets of the whole key space. It is below the number
#: of ranges at which small ranges are merged, so that busy keys can still be cut out.
_SHARES_PER_SERVER = 4
#: Largest number of shares of the whole key space, unless there are more servers. The
#: leader renews the grant of each range more than once a second.
_MAX_SHARES = 400
#: Strides through the list of servers, as fractions of its length. No two are equal or
#: add up to one, so that servers that are neighbours in one pass rarely are in another.
_STRIDE_FRACTIONS = (0.382, 0.236, 0.146)
#: Largest number of shares of one divided range.
_MAX_DIVISION = 8


@define
class SpareCapacity:
    """Load of a server that may take over keys.

    Attributes
    ----------
    requests_per_s : float
        Requests per second at full utilization.
    load : float
        Requests per second of the keys that the server owns or is about to own.
    """

    server: ServerName
    requests_per_s: float
    load: float


def plan_interleaved_shares(
    first: int, last: int, capacities: Sequence[ServerCapacity]
) -> list[Move]:
    """Divide a span into many shares, of sizes in proportion to the capacities."""
    if not capacities:
        return []
    count = len(capacities)
    per_server = max(1, min(_SHARES_PER_SERVER, _MAX_SHARES // count))
    size = last - first + 1
    # A span that is small gets as many shares as its part of the key space has.
    shares = min(size, max(1, round(per_server * count * size / KEY_COUNT)))
    order = _iterate_passes(count)
    # Different small spans begin with different servers.
    for _ in range(first * per_server * count // KEY_COUNT):
        next(order)
    owners = [capacities[next(order)] for _ in range(shares)]
    total = sum(owner.requests_per_s for owner in owners)
    moves = []
    start, assigned = first, 0.0
    for owner in owners:
        assigned += owner.requests_per_s
        end = min(last + 1, first + round(size * assigned / total))
        if end > start:
            moves.append(Move(start, end - 1, owner.server))
            start = end
    return moves


def _iterate_passes(count: int) -> Iterator[int]:
    """Yield the indexes of a list again and again, each pass in another order."""
    previous = -1
    while True:
        for fraction in _STRIDE_FRACTIONS:
            stride = max(1, int(fraction * count))
            while gcd(stride, count) != 1:
                stride += 1
            # The owner of a pass's last share doesn't get the next share as well.
            offset = (previous + stride) % count
            for index in range(count):
                previous = (offset + index * stride) % count
                yield previous


def plan_spare_shares(
    first: int,
    last: int,
    rates: Sequence[tuple[int, float]],
    unseen_rate: float,
    servers: Sequence[SpareCapacity],
    divisible: bool,
    share_utilization: float,
) -> list[Move]:
    """Divide a span among the servers that have spare capacity, and add to their load.

    Parameters
    ----------
    first, last : int
        First and last key, both inclusive.
    rates : sequence of (int, float)
        Keys of the span in order with their requests per second.
    unseen_rate : float
        Requests per second to expect for each key in addition to its rate.
    servers : sequence of SpareCapacity
        Servers that may take over keys.
    divisible : bool
        Whether there may be more than one share.
    share_utilization : float
        Share of a server's capacity that one share of the span should need.
    """
    if not servers:
        return []
    total = sum(rate for _, rate in rates) + unseen_rate * (last - first + 1)
    mean_capacity = sum(s.requests_per_s for s in servers) / len(servers)
    shares = 1
    if divisible:
        wanted = ceil(total / (share_utilization * mean_capacity))
        shares = max(1, min(wanted, _MAX_DIVISION, len(servers)))
    parts = [(first, last, total)]
    if shares > 1:
        parts = _cut(first, last, rates, unseen_rate, total / shares)
    moves: list[Move] = []
    for start, end, rate in parts:
        best = min(servers, key=lambda s: (s.load + rate) / s.requests_per_s)
        best.load += rate
        if moves and moves[-1].target == best.server:
            start = moves.pop().first
        moves.append(Move(start, end, best.server))
    return moves


def _cut(
    first: int,
    last: int,
    rates: Sequence[tuple[int, float]],
    unseen_rate: float,
    share_rate: float,
) -> Iterator[tuple[int, int, float]]:
    """Yield first key, last key and rate of parts with about the same rate."""
    start, rate = first, 0.0
    for key, key_rate in rates:
        with_key = rate + key_rate
        expected = with_key + unseen_rate * (key - start + 1)
        # The part ends before a key that would bring it further above the wanted rate
        # than it is below.
        before = rate + unseen_rate * (key - start)
        if key > start and expected - share_rate > share_rate - before:
            yield start, key - 1, before
            start, rate = key, key_rate
        else:
            rate = with_key
    yield start, last, rate + unseen_rate * (last - start + 1)
