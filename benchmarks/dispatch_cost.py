"""Measures the processor time that one dispatcher takes per request.

Runs a steady load through one dispatcher in simulated time: each request is submitted,
assigned and finished. The messages of the link are encoded and decoded as between two
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
_LATENCY_S = 0.3
_UTILIZATION = 0.6
_ADVANCE_INTERVAL_S = 0.02
_KEY_COUNT = 65_536


@frozen
class _EvenKeyOwners:
    """Owners that share the keys of the partitioned service evenly."""

    servers: tuple[str, ...]

    def find_owner(self, service: str, key: int, now: float) -> KeyOwner:
        return KeyOwner(self.servers[key * len(self.servers) // _KEY_COUNT])


@frozen
class DispatchCost:
    """Processor time in microseconds per request, and share of assigned requests."""

    decision_us: float
    link_us: float
    assigned_share: float


def measure_dispatch(
    server_count: int, request_count: int, seed: int = 1
) -> DispatchCost:
    """Return the cost per request on a site with a number of servers.

    Three fifths of the servers belong to a service partitioned by key, which gets the
    same share of the requests.
    """
    rng = Random(seed)
    view, keyed = _build_view(server_count)
    owners = _EvenKeyOwners(keyed)
    regions = dict.fromkeys(_DATA_CENTRES, "r")
    dispatcher = Dispatcher(view, owners, RetryBudget(), regions, rng)
    rate = _UTILIZATION * server_count * _SLOTS / _LATENCY_S
    requests = _draw_requests(request_count, rng)
    link_us = _measure_link(requests)
    completions: list[tuple[float, int]] = []
    now, advance_at, assigned = 0.0, 0.0, 0
    started = process_time()
    for request in requests:
        now += 1.0 / rate
        while completions and completions[0][0] <= now:
            ended_at, number = heappop(completions)
            done = SendFinished(number, SendOutcome.OK, _LATENCY_S)
            for request_number, decision in dispatcher.finish(number, done, ended_at):
                assigned += isinstance(decision, Assigned)
                heappush(completions, (ended_at + _LATENCY_S, request_number))
        if now >= advance_at:
            advance_at = now + _ADVANCE_INTERVAL_S
            for request_number, decision in dispatcher.advance(now):
                assigned += isinstance(decision, Assigned)
                heappush(completions, (now + _LATENCY_S, request_number))
        decision = dispatcher.submit(request.number, request, now)
        if isinstance(decision, Assigned):
            assigned += 1
            heappush(
                completions, (now + _LATENCY_S * rng.uniform(0.7, 1.3), request.number)
            )
    decision_us = (process_time() - started) / request_count * 1e6
    return DispatchCost(decision_us, link_us, assigned / request_count)


def _build_view(server_count: int) -> tuple[SiteView, tuple[str, ...]]:
    view = SiteView()
    services = {
        name: ServiceSpec(name, "/health", 1000, 3.0, 20.0, name == "keyed")
        for name in ("keyed", "plain", "other")
    }
    view.apply_configuration(SiteConfiguration(1, (), services))
    keyed = []
    for index in range(server_count):
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


def _draw_requests(request_count: int, rng: Random) -> list[DispatchRequest]:
    requests = []
    for number in range(1, request_count + 1):
        service = rng.choice(("keyed", "plain", "keyed", "other", "keyed"))
        key = rng.randrange(_KEY_COUNT) if service == "keyed" else -1
        data_centre = rng.choice(_DATA_CENTRES)
        requests.append(
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
    return requests


def _measure_link(requests: list[DispatchRequest]) -> float:
    started = process_time()
    for request in requests:
        decode_message(encode_message(request)[:-1])
        decode_message(
            encode_message(Assigned(request.number, "server-1", "10.0.0.1:80"))
        )
        decode_message(
            encode_message(SendFinished(request.number, SendOutcome.OK, _LATENCY_S))
        )
    return (process_time() - started) / len(requests) * 1e6


@command()
@option("--servers", multiple=True, type=int, default=(32, 100, 241, 480))
@option("--requests", type=int, default=20_000)
def main(servers: tuple[int, ...], requests: int) -> None:
    """Print the cost per request for sites of several sizes."""
    echo("servers  decision us  link us  sent")
    for server_count in servers:
        cost = measure_dispatch(server_count, requests)
        echo(
            f"{server_count:7}  {cost.decision_us:11.1f}  {cost.link_us:7.1f}  "
            f"{cost.assigned_share:.3f}"
        )


if __name__ == "__main__":
    main()
