"""Runs of each at-most-once operation while instances, servers and the platform fail.

Run ``python -m benchmarks.at_most_once``; it takes about a minute and a half. No
operation may run more than once.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING, Any

from click import command, option

from basilwick.fakes.load_generator import LoadGenerator, Operation
from basilwick.testing import find_overlapping_owners, find_repeated_runs
from benchmarks.harness import run_site
from benchmarks.report import print_report, summarize_kinds
from benchmarks.sites import ServiceSpec, SiteSpec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilwick.fakes.load_generator import Result
    from benchmarks.harness import Site

_SITE = SiteSpec(
    data_centres=2,
    instances_per_data_centre=3,
    services=(ServiceSpec("redemption", 7, 4, 120, service_time_ms=5.0, keys=500),),
    not_simulated=(
        "delay between data centres",
        "Hinokuni's other services and third data centre",
    ),
)
_PAUSE_S = 1.5


@command()
@option("--rate", default=100.0, help="Operations a second.")
def main(rate: float) -> None:
    asyncio.run(_measure(rate))


async def _measure(rate: float) -> None:
    cases: dict[str, Any] = {}
    async with run_site(_SITE) as site:
        service = site.spec.services[0]
        for name, disturb in _DISTURBANCES.items():
            callers = LoadGenerator(
                site.caller_addresses,
                {service.name: service.list_keys()},
                shares={Operation.AT_MOST_ONCE: 1.0},
                retry_fraction=0.5,
            )
            await callers.start()
            # Longer than any disturbance; cancelled when the disturbance is over.
            load = asyncio.create_task(callers.run(rate, 120.0))
            began_at = monotonic()
            await asyncio.sleep(_PAUSE_S)
            await disturb(site)
            await asyncio.sleep(_PAUSE_S)
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            await callers.close()
            cases[name] = _summarize(site, callers.results, began_at)
        runs = site.read_runs()
        data = {
            "site": site.describe(),
            "rate": rate,
            "cases": cases,
            "two_owners_at_once": len(find_overlapping_owners(runs)),
            "operations_run_twice": len(find_repeated_runs(runs)),
        }
    rows = [
        (
            name, case["operations"], case["runs"], case["most_runs"],
            case["run_though_refused"], case["requests"], case["kinds"].get("ok", 0),
        )
        for name, case in cases.items()
    ]  # fmt: skip
    header = (
        "during", "operations", "runs", "most runs", "run though refused", "requests",
        "served",
    )  # fmt: skip
    print_report("at_most_once", data, header, rows)


def _summarize(site: Site, results: list[Result], began_at: float) -> dict[str, Any]:
    runs = Counter(run.token for run in site.read_runs() if run.at >= began_at)
    tokens = Counter(result.token for result in results if result.token)
    return {
        "seconds": round(monotonic() - began_at, 1),
        "requests": len(results),
        "operations": len(tokens),
        "runs": sum(runs[token] for token in tokens),
        "most_runs": max((runs[token] for token in tokens), default=0),
        # A repeat can be refused as not run although the first request ran, so only
        # operations asked for once count.
        "run_though_refused": sum(
            result.outcome == "not_run" and runs[result.token] > 0
            for result in results
            if tokens[result.token] == 1
        ),
        "kinds": summarize_kinds(results),
    }


async def _do_nothing(site: Site) -> None:
    await asyncio.sleep(2)


async def _kill_instances(site: Site) -> None:
    for name in list(site.instances)[:2]:
        await site.restart_instance(name, kill=True)
        await asyncio.sleep(_PAUSE_S)


async def _replace_instances(site: Site) -> None:
    for name in site.instances:
        await site.restart_instance(name, kill=False)
        await asyncio.sleep(0.5)


async def _take_platform_down(site: Site) -> None:
    await site.set_platform_faults(down=True)
    await asyncio.sleep(2)
    await site.restart_instance(next(iter(site.instances)), kill=True)
    await asyncio.sleep(2)
    await site.set_platform_faults(down=False)
    await asyncio.sleep(2)


async def _drain_server(site: Site) -> None:
    name = next(iter(site.servers))
    await site.change_record("server", name, state="draining")
    await asyncio.sleep(4)
    await site.change_record("server", name, state="active")
    await asyncio.sleep(2)


async def _pause_instance(site: Site) -> None:
    process = next(iter(site.instances.values())).process
    process.pause()
    await asyncio.sleep(2.5)
    process.resume()


_DISTURBANCES: dict[str, Callable[[Site], Awaitable[None]]] = {
    "nothing": _do_nothing,
    "instance kills": _kill_instances,
    "rolling replacement": _replace_instances,
    "platform outage": _take_platform_down,
    "a move": _drain_server,
    "a paused instance": _pause_instance,
}


if __name__ == "__main__":
    main()
