"""Tail latency while some backend servers are slow, beside a plain router.

Run ``python -m benchmarks.tail_latency``; it takes about two minutes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import evolve
from click import command, option

from basilwick.fakes.load_generator import LoadGenerator, Operation
from benchmarks.harness import run_site
from benchmarks.report import print_report, summarize_kinds, summarize_latency
from benchmarks.sites import HINOKUNI

if TYPE_CHECKING:
    from benchmarks.harness import Site

_SERVICE = "clue"
_SLOWDOWN = 10.0
_SETTLE_S = 1.5


@command()
@option("--rate", default=300.0, help="Requests a second.")
@option("--seconds", default=12.0, help="Length of each of the six parts.")
def main(rate: float, seconds: float) -> None:
    asyncio.run(_measure(rate, seconds))


async def _measure(rate: float, seconds: float) -> None:
    spec = evolve(HINOKUNI, baselines=4)
    parts: dict[str, Any] = {}
    async with run_site(spec) as site:
        names = [n for n, server in site.servers.items() if server.service == _SERVICE]
        owners = {
            "basilwick": await _find_owners(site, site.caller_addresses),
            "baseline": await _find_owners(site, site.baseline_addresses),
        }
        for label, count in (
            ("none slowed", 0),
            ("one in twenty slowed", len(names) // 20),
            ("one in five slowed", len(names) // 5),
        ):
            slowed = set(names[:count])
            for name in names:
                factor = _SLOWDOWN if name in slowed else 1.0
                await site.set_server_faults(name, slowdown=factor)
            for router, addresses in (
                ("basilwick", site.caller_addresses),
                ("baseline", site.baseline_addresses),
            ):
                parts[f"{label}, {router}"] = await _measure_part(
                    site, addresses, rate, seconds, slowed, owners[router]
                )
        description = site.describe()
    _print(description, rate, seconds, parts)


async def _find_owners(site: Site, addresses: list[str]) -> dict[str, str]:
    """Return the server that answers for each key while none is slow."""
    service = site.spec.services[0]
    callers = LoadGenerator(addresses, {service.name: service.list_keys()})
    await callers.start()
    await callers.probe([(service.name, key) for key in service.list_keys()], 4.0, 4.0)
    await callers.close()
    return {result.key: result.server for result in callers.results if result.server}


async def _measure_part(
    site: Site,
    addresses: list[str],
    rate: float,
    seconds: float,
    slowed: set[str],
    owners: dict[str, str],
) -> dict[str, Any]:
    service = site.spec.services[0]
    callers = LoadGenerator(
        addresses,
        {service.name: service.list_keys()},
        shares={Operation.LOOKUP: 1.0},
    )
    await callers.start()
    await callers.run(rate, _SETTLE_S)
    begin = len(callers.results)
    await callers.run(rate, seconds)
    await callers.close()
    results = callers.results[begin:]
    classes = {
        "owner slowed": [r for r in results if owners.get(r.key) in slowed],
        "owner healthy": [r for r in results if owners.get(r.key) not in slowed],
    }
    return {
        name: summarize_latency([r for r in members if r.kind == "ok"])
        | {"kinds": summarize_kinds(members)}
        for name, members in classes.items()
        if members
    }


def _print(
    description: dict[str, Any], rate: float, seconds: float, parts: dict[str, Any]
) -> None:
    data = {"site": description, "rate": rate, "seconds": seconds, "parts": parts}
    rows = []
    for part, classes in parts.items():
        for name, summary in classes.items():
            refused = sum(summary["kinds"].values()) - summary["requests"]
            rows.append(
                (
                    part, name, summary["requests"], refused,
                    summary["p50_ms"], summary["p99_ms"], summary["p99.9_ms"],
                )
            )  # fmt: skip
    header = ("part", "keys", "served", "other", "p50 ms", "p99 ms", "p99.9 ms")
    print_report("tail_latency", data, header, rows)


if __name__ == "__main__":
    main()
