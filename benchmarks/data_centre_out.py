"""Service while a data centre is taken out and comes back, at Varal's sizes.

Run ``python -m benchmarks.data_centre_out``; it takes about a minute and a half.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING, Any

from click import command, option

from basilwick.fakes.load_generator import LoadGenerator
from basilwick.testing import find_overlapping_owners, find_repeated_runs
from benchmarks.harness import run_site
from benchmarks.report import print_report, summarize_kinds
from benchmarks.sites import VARAL

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.fakes.load_generator import Result
    from basilwick.fakes.runs import Run

_NAME = "dc-1"
#: I4: a data centre that is out receives no new work "after a few seconds".
_GRACE_S = 5.0


@command()
@option("--rate", default=200.0, help="Requests a second.")
@option("--before", default=6.0, help="Seconds of load before.")
@option("--out", default=20.0, help="Seconds for which the data centre is out.")
@option("--after", default=20.0, help="Seconds of load after the return.")
def main(rate: float, before: float, out: float, after: float) -> None:
    asyncio.run(_measure(rate, before, out, after))


async def _measure(rate: float, before: float, out: float, after: float) -> None:
    async with run_site(VARAL) as site:
        callers = LoadGenerator(
            site.caller_addresses,
            {service.name: service.list_keys() for service in site.spec.services},
        )
        await callers.start()
        load = asyncio.create_task(callers.run(rate, before + out + after))
        await asyncio.sleep(before)
        out_at = monotonic()
        await site.change_record("data_centre", _NAME, status="out")
        await asyncio.sleep(out)
        back_at = monotonic()
        await site.change_record("data_centre", _NAME, status="in")
        await load
        end_at = monotonic()
        await callers.close()
        runs = site.read_runs()
        servers = {n for n, s in site.servers.items() if s.data_centre == _NAME}
        phases = {
            "before": (0.0, out_at),
            f"first {_GRACE_S:g} s out": (out_at, out_at + _GRACE_S),
            "rest of out": (out_at + _GRACE_S, back_at),
            f"first {_GRACE_S:g} s back": (back_at, back_at + _GRACE_S),
            "rest of back": (back_at + _GRACE_S, end_at),
        }
        data: dict[str, Any] = {
            "site": site.describe(),
            "rate": rate,
            "phases": {
                name: _summarize(callers.results, runs, servers, *bounds)
                for name, bounds in phases.items()
            },
            "operations_run_twice": len(find_repeated_runs(runs)),
            "two_owners_at_once": len(find_overlapping_owners(runs)),
            "last_run_in_data_centre_s": _find_last_run(runs, servers, out_at, back_at),
        }
    rows = [
        (
            name, phase["requests"], phase["served_share"],
            phase["runs_in_data_centre"], phase["other"] or "-",
        )
        for name, phase in data["phases"].items()
    ]  # fmt: skip
    header = ("phase", "requests", "served", f"runs in {_NAME}", "other")
    print_report("data_centre_out", data, header, rows)


def _summarize(
    results: Sequence[Result],
    runs: Sequence[Run],
    servers: set[str],
    begin: float,
    end: float,
) -> dict[str, Any]:
    members = [result for result in results if begin <= result.scheduled_at < end]
    kinds = summarize_kinds(members)
    served = kinds.pop("ok", 0)
    return {
        "requests": len(members),
        "served_share": round(served / max(1, len(members)), 4),
        "other": kinds,
        "runs_in_data_centre": sum(
            run.server in servers and begin <= run.at < end for run in runs
        ),
    }


def _find_last_run(
    runs: Sequence[Run], servers: set[str], out_at: float, back_at: float
) -> float | None:
    """Return the seconds after which the data centre that is out ran nothing more."""
    times = [run.at for run in runs if run.server in servers and run.at < back_at]
    return round(max(times) - out_at, 2) if times else None


if __name__ == "__main__":
    main()
