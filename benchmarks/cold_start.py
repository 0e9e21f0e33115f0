"""Load at a freshly started server against what it can bear, beside a plain router.

Run ``python -m benchmarks.cold_start``; it takes about a minute.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from click import command, option

from basilwick.fakes.load_generator import LoadGenerator, Operation
from benchmarks.harness import run_site
from benchmarks.report import print_report, summarize_kinds, summarize_latency
from benchmarks.sites import ServiceSpec, SiteSpec

if TYPE_CHECKING:
    from benchmarks.harness import Site

_SITE = SiteSpec(
    data_centres=1,
    instances_per_data_centre=3,
    services=(ServiceSpec("clue", 4, 4, 120, service_time_ms=10.0, keys=400),),
    baselines=3,
    not_simulated=("Hinokuni's full number of servers: one server turns cold",),
)
_STEADY_S = 3.0


@command()
@option("--rate", default=600.0, help="Requests a second to all four servers.")
@option("--seconds", default=12.0, help="Seconds of load at the cold server.")
def main(rate: float, seconds: float) -> None:
    asyncio.run(_measure(rate, seconds))


async def _measure(rate: float, seconds: float) -> None:
    parts = {}
    async with run_site(_SITE) as site:
        parts["basilwick"] = await _measure_part(
            site, site.caller_addresses, rate, seconds
        )
        parts["baseline"] = await _measure_part(
            site, site.baseline_addresses, rate, seconds
        )
        data: dict[str, Any] = {"site": site.describe(), "rate": rate, "parts": parts}
    rows = [
        (
            name, part["fall_overs"], part["peak_over_bearable"], part["warm_at_end"],
            part["served_share"], part["latency"]["p99_ms"], part["other"] or "-",
        )
        for name, part in parts.items()
    ]  # fmt: skip
    header = (
        "router", "fall-overs", "peak/bearable", "warm at end", "served", "p99 ms",
        "other",
    )  # fmt: skip
    print_report("cold_start", data, header, rows)


async def _measure_part(
    site: Site, addresses: list[str], rate: float, seconds: float
) -> dict[str, Any]:
    service = site.spec.services[0]
    callers = LoadGenerator(
        addresses,
        {service.name: service.list_keys()},
        shares={Operation.LOOKUP: 1.0},
    )
    await callers.start()
    await callers.run(rate, _STEADY_S)
    begin = len(callers.results)
    name = next(iter(site.servers))
    await site.set_server_faults(name, cold=True)
    await callers.run(rate, seconds)
    warmth = await site.get_server(name, "/warmth")
    await callers.close()
    results = callers.results[begin:]
    kinds = summarize_kinds(results)
    served = kinds.pop("ok", 0)
    return {
        "fall_overs": warmth["fall_overs"],
        "peak_over_bearable": round(warmth["peak_over_bearable"], 2),
        "warm_at_end": warmth["value"] >= 1,
        "served_share": round(served / max(1, len(results)), 4),
        "latency": summarize_latency([r for r in results if r.kind == "ok"]),
        "other": kinds,
    }


if __name__ == "__main__":
    main()
