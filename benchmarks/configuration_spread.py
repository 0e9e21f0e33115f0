"""Time until a change of configuration is in force at every instance.

Run ``python -m benchmarks.configuration_spread``; it takes about a minute. The target
is 5 s.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING, Any

from attrs import evolve
from click import command, option
from hdrh.histogram import HdrHistogram

from benchmarks.harness import run_site
from benchmarks.report import print_report
from benchmarks.sites import HINOKUNI

if TYPE_CHECKING:
    from benchmarks.harness import Site

_TARGET_S = 5.0
_POLL_S = 0.02
_TIMEOUT_S = 15.0


@command()
@option("--changes", default=40, help="Changes written one after another.")
def main(changes: int) -> None:
    asyncio.run(_measure(changes))


async def _measure(changes: int) -> None:
    spec = evolve(HINOKUNI, client_delay_ms=0.0)
    first = HdrHistogram(1, 60_000, 3)
    last = HdrHistogram(1, 60_000, 3)
    missing = 0
    async with run_site(spec) as site:
        servers = list(site.servers)
        for number in range(changes):
            name = servers[number % len(servers)]
            began_at = monotonic()
            revision = await site.change_record(
                "server", name, connections=100 + number
            )
            times = await asyncio.gather(
                *(
                    _wait(site, instance, revision, began_at)
                    for instance in site.instances
                )
            )
            known = [seconds for seconds in times if seconds is not None]
            missing += len(times) - len(known)
            if known:
                first.record_value(max(1, round(min(known) * 1000)))
                last.record_value(max(1, round(max(known) * 1000)))
        data: dict[str, Any] = {
            "site": site.describe(),
            "changes": changes,
            "target_s": _TARGET_S,
            "poll_interval_s": _POLL_S,
            "not_in_force": missing,
            "first_instance": _summarize(first),
            "every_instance": _summarize(last),
        }
    rows = [
        (name, *data[key].values())
        for name, key in (("first", "first_instance"), ("every", "every_instance"))
    ]
    header = ("instance", "p50 s", "p99 s", "max s")
    print_report("configuration_spread", data, header, rows)


async def _wait(
    site: Site, instance: str, revision: int, began_at: float
) -> float | None:
    while monotonic() < began_at + _TIMEOUT_S:
        status = await site.get_admin(instance, "/status")
        if status["revision"] >= revision:
            return monotonic() - began_at
        await asyncio.sleep(_POLL_S)
    return None


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "p50_s": histogram.get_value_at_percentile(50) / 1000,
        "p99_s": histogram.get_value_at_percentile(99) / 1000,
        "max_s": histogram.get_max_value() / 1000,
    }


if __name__ == "__main__":
    main()
