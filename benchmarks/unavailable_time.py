"""Time until keys are served again after losses.

The target is 2 s at the 99th percentile. ``python -m benchmarks.unavailable_time``
takes about two minutes.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING, Any

from attrs import frozen
from click import command, option
from hdrh.histogram import HdrHistogram

from basilwick.core.hashing import assign_bounded
from basilwick.fakes.load_generator import LoadGenerator
from basilwick.testing import find_overlapping_owners, wait_for_port
from benchmarks.harness import run_site
from benchmarks.report import print_report, summarize_kinds
from benchmarks.sites import ServiceSpec, SiteSpec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.fakes.load_generator import Result
    from benchmarks.harness import BackendProcess, InstanceProcess, Site

_TARGET_S = 2.0
_PROBE_S = 4.0
_PROBE_INTERVAL_S = 0.05
_KEYS = 16
_SETTLE_S = 2.5
_DOWN_S = 2.5
_SITE = SiteSpec(
    data_centres=2,
    instances_per_data_centre=4,
    services=(ServiceSpec("clue", 10, 4, 120, keys=400),),
    not_simulated=(
        "delay between data centres",
        "Hinokuni's full number of servers: losses concern one data centre",
    ),
)


@frozen
class _Case:
    name: str
    server: bool = False
    gateway: bool = False
    assigner: bool = False
    platform_down: bool = False


_CASES = (
    _Case("server", server=True),
    _Case("gateway", gateway=True),
    _Case("server and gateway", server=True, gateway=True),
    _Case("server and assigner", server=True, assigner=True),
    _Case("server, gateway, assigner", server=True, gateway=True, assigner=True),
    _Case("gateway, platform down", gateway=True, platform_down=True),
    # No move is possible during an outage, so the time counts from its end.
    _Case("server, platform down", server=True, platform_down=True),
)


@command()
@option("--trials", default=2, help="Trials of each case.")
def main(trials: int) -> None:
    asyncio.run(_measure(trials))


async def _measure(trials: int) -> None:
    cases: dict[str, Any] = {}
    async with run_site(_SITE) as site:
        for case in _CASES:
            times: list[float] = []
            kinds: dict[str, int] = {}
            unserved = 0
            for _ in range(trials):
                began_at, results = await _run_trial(site, case)
                served, missing = _find_gaps(results, began_at)
                times += served
                unserved += missing
                for kind, count in summarize_kinds(results).items():
                    kinds[kind] = kinds.get(kind, 0) + count
                await asyncio.sleep(_SETTLE_S)
            cases[case.name] = _summarize(times, unserved) | {"kinds": kinds}
        overlapping = len(find_overlapping_owners(site.read_runs()))
        data = {
            "site": site.describe(),
            "trials": trials,
            "target_s": _TARGET_S,
            "cases": cases,
            "two_owners_at_once": overlapping,
        }
    rows = [
        (name, c["keys"], c["p50_s"], c["p99_s"], c["max_s"], c["not_served_again"])
        for name, c in cases.items()
    ]
    header = ("lost", "keys", "p50 s", "p99 s", "max s", "not served again")
    print_report("unavailable_time", data, header, rows)


async def _run_trial(site: Site, case: _Case) -> tuple[float, list[Result]]:
    """Lose what the case names; return the time from which to count and results."""
    callers = LoadGenerator(list(site.caller_addresses), {}, deadline_ms=1000)
    await callers.start()
    key, server, gateway, assigner = await _find_roles(site, callers)
    lost = [gateway] * case.gateway + [assigner] * case.assigner
    # Callers of a lost instance reconnect elsewhere, which is not what is measured.
    callers.addresses = [
        instance.caller_address
        for instance in site.instances.values()
        if instance not in lost
    ]
    targets = [("clue", key)] + [
        ("clue", other) for other in await _list_keys_of(site, callers, server, key)
    ]
    callers.results.clear()
    if case.platform_down:
        await site.set_platform_faults(down=True)
        await asyncio.sleep(0.3)
    began_at = monotonic()
    probe = asyncio.create_task(
        callers.probe(targets, _PROBE_INTERVAL_S, _PROBE_S + _DOWN_S)
    )
    ends = [instance.process.kill() for instance in {id(i): i for i in lost}.values()]
    if case.server:
        ends.append(server.process.kill())
    await asyncio.gather(*ends)
    if case.platform_down:
        await asyncio.sleep(_DOWN_S)
        await site.set_platform_faults(down=False)
        if case.server:
            began_at = monotonic()
    await probe
    await callers.close()
    await _restore(server, lost, case)
    return began_at, callers.results


async def _restore(
    server: BackendProcess, lost: list[InstanceProcess], case: _Case
) -> None:
    if case.server:
        await server.process.start()
        await wait_for_port(server.port)
    for instance in {id(instance): instance for instance in lost}.values():
        await instance.process.start()
        await wait_for_port(instance.ports[0])


async def _find_roles(
    site: Site, callers: LoadGenerator
) -> tuple[str, BackendProcess, InstanceProcess, InstanceProcess]:
    """Return a key, its server, that server's gateway and the block's assigner."""
    key = site.spec.services[0].list_keys()[0]
    name = site.find_running().name
    where = await site.get_admin(name, f"/explain/clue/{key}")
    members = [
        instance.name
        for instance in site.instances.values()
        if instance.data_centre == where["home"]
    ]
    return (
        key,
        site.servers[where["owner"]["name"]],
        site.instances[where["gateway"]["name"]],
        # The same hash by which instances choose the assigner.
        site.instances[assign_bounded(["clue"], sorted(members))["clue"]],
    )


async def _list_keys_of(
    site: Site, callers: LoadGenerator, server: BackendProcess, without: str
) -> list[str]:
    keys = site.spec.services[0].list_keys()
    await callers.probe([("clue", key) for key in keys], 1.0, 1.0)
    await asyncio.sleep(0.2)
    found = {r.key for r in callers.results if r.server == server.name}
    return sorted(found - {without})[: _KEYS - 1]


def _find_gaps(results: Sequence[Result], began_at: float) -> tuple[list[float], int]:
    """Return seconds until each key was served for good, and how many never were."""
    by_key: dict[str, list[Result]] = {}
    for result in results:
        by_key.setdefault(result.key, []).append(result)
    times = []
    missing = 0
    for members in by_key.values():
        members.sort(key=lambda result: result.scheduled_at)
        failed = [r for r in members if r.kind != "ok" and r.ended_at >= began_at]
        last_failure = failed[-1].scheduled_at if failed else 0.0
        served = [r for r in members if r.kind == "ok" and r.ended_at >= began_at]
        served = [r for r in served if r.scheduled_at > last_failure]
        if served:
            # A request that was held counts with the time at which it was answered,
            # one that was answered at once with no time.
            slow = [r.ended_at for r in served if r.ended_at - r.scheduled_at > 0.2]
            until = max([served[0].ended_at if failed else began_at, *slow])
            times.append(until - began_at)
        else:
            missing += 1
    return times, missing


def _summarize(times: Sequence[float], unserved: int) -> dict[str, Any]:
    histogram = HdrHistogram(1, 60_000, 3)
    for seconds in times:
        histogram.record_value(max(1, round(seconds * 1000)))
    p50, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return {
        "keys": len(times),
        "p50_s": p50,
        "p99_s": p99,
        "max_s": round(max(times, default=0.0), 3),
        "not_served_again": unserved,
        "within_target": bool(times) and not unserved and p99 <= _TARGET_S,
    }


if __name__ == "__main__":
    main()
