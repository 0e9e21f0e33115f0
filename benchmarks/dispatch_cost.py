"""Processor time that one dispatcher takes for a request.

Plays a steady load on one dispatcher in simulated time: each request is asked for,
sent and reported. The messages of the link are encoded and decoded as between two
instances.

    python -m benchmarks.dispatch_cost --servers 241
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from time import process_time

from attrs import frozen
from click import command, echo, option

from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.transport.link import decode_message, encode_message

__all__ = ["measure_dispatch"]

_DATA_CENTRES = tuple("abcde")
_SLOTS = 4
_WORK_S = 0.3
_LOAD = 0.6
_LOOK_INTERVAL_S = 0.02
_KEYS = 65_536


@frozen
class _EvenOwners:
    """Keys in even shares over the servers of the partitioned service."""

    servers: tuple[str, ...]

    def find_owner(self, service: str, key: int, now: float) -> KeyOwner:
        return KeyOwner(self.servers[key * len(self.servers) // _KEYS])


@frozen
class DispatchCost:
    """Processor time in microseconds for one request, and how many were sent."""

    decision_us: float
    link_us: float
    sent_share: float


def measure_dispatch(servers: int, requests: int, seed: int = 1) -> DispatchCost:
    """Return the cost of a request on a site with a number of servers.

    Three fifths of the servers are partitioned by key and get as many of the requests.
    """
    rng = Random(seed)
    view, keyed = _build_view(servers)
    owners = _EvenOwners(keyed)
    regions = dict.fromkeys(_DATA_CENTRES, "r")
    dispatcher = Dispatcher(view, owners, RetryBudget(), regions, rng)
    rate = _LOAD * servers * _SLOTS / _WORK_S
    asks = _draw_asks(requests, rng)
    link_us = _measure_link(asks)
    ends: list[tuple[float, int]] = []
    now, look_at, sent = 0.0, 0.0, 0
    started = process_time()
    for ask in asks:
        now += 1.0 / rate
        while ends and ends[0][0] <= now:
            ended_at, number = heappop(ends)
            done = SendFinished(number, SendOutcome.OK, _WORK_S)
            for waiting, decision in dispatcher.finish(number, done, ended_at):
                sent += isinstance(decision, Assigned)
                heappush(ends, (ended_at + _WORK_S, waiting))
        if now >= look_at:
            look_at = now + _LOOK_INTERVAL_S
            for waiting, decision in dispatcher.advance(now):
                sent += isinstance(decision, Assigned)
                heappush(ends, (now + _WORK_S, waiting))
        decision = dispatcher.submit(ask.number, ask, now)
        if isinstance(decision, Assigned):
            sent += 1
            heappush(ends, (now + _WORK_S * rng.uniform(0.7, 1.3), ask.number))
    decision_us = (process_time() - started) / requests * 1e6
    return DispatchCost(decision_us, link_us, sent / requests)


def _build_view(servers: int) -> tuple[SiteView, tuple[str, ...]]:
    view = SiteView()
    services = {
        name: ServiceSpec(name, "/health", 1000, 3.0, 20.0, name == "keyed")
        for name in ("keyed", "plain", "other")
    }
    view.apply_configuration(SiteConfiguration(1, (), services))
    keyed = []
    for index in range(servers):
        service = ("keyed", "plain", "keyed", "other", "keyed")[index % 5]
        name = f"server-{index}"
        data_centre = _DATA_CENTRES[index % len(_DATA_CENTRES)]
        address = f"10.0.{index // 250}.{index % 250}:80"
        view.apply_server(
            ServerEntry(name, service, address, data_centre, _SLOTS, False, 0.0, 1), 0.0
        )
        if service == "keyed":
            keyed.append(name)
    return view, tuple(keyed)


def _draw_asks(requests: int, rng: Random) -> list[DispatchRequest]:
    asks = []
    for number in range(1, requests + 1):
        service = rng.choice(("keyed", "plain", "keyed", "other", "keyed"))
        key = rng.randrange(_KEYS) if service == "keyed" else -1
        data_centre = rng.choice(_DATA_CENTRES)
        asks.append(
            DispatchRequest(
                number,
                service,
                key,
                1,
                1.5,
                8.0,
                data_centre=data_centre,
                size_bytes=5000,
            )
        )
    return asks


def _measure_link(asks: list[DispatchRequest]) -> float:
    started = process_time()
    for ask in asks:
        decode_message(encode_message(ask)[:-1])
        decode_message(encode_message(Assigned(ask.number, "server-1", "10.0.0.1:80")))
        decode_message(
            encode_message(SendFinished(ask.number, SendOutcome.OK, _WORK_S))
        )
    return (process_time() - started) / len(asks) * 1e6


@command()
@option("--servers", multiple=True, type=int, default=(32, 100, 241, 480))
@option("--requests", type=int, default=20_000)
def main(servers: tuple[int, ...], requests: int) -> None:
    """Print the cost of a request for sites of several sizes."""
    echo("servers  decision us  link us  sent")
    for number in servers:
        cost = measure_dispatch(number, requests)
        echo(
            f"{number:7}  {cost.decision_us:11.1f}  {cost.link_us:7.1f}  "
            f"{cost.sent_share:.3f}"
        )


if __name__ == "__main__":
    main()
