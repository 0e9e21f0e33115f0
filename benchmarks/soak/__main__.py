"""Command that runs soaks with several seeds."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from tempfile import mkdtemp

from click import command, echo, option

from benchmarks.soak.soak import SoakPlan, run_soak


@command()
@option("--seed", default=1, help="First seed.")
@option("--seeds", default=1, help="Number of seeds, played one after the other.")
@option("--seconds", default=15.0, help="Length of the faults of one soak in seconds.")
@option("--pause", default=0.8, help="Mean seconds between the begins of two faults.")
@option("--rate", default=60.0, help="Calls per second.")
@option("--instances", default=4, help="Instances, each a process.")
@option("--planned", is_flag=True, help="Only planned work, which cuts off no call.")
def main(
    seed: int,
    seeds: int,
    seconds: float,
    pause: float,
    rate: float,
    instances: int,
    planned: bool,
) -> None:
    """Run soaks and print their violations; exit code 1 if there is any."""
    failed_seeds = 0
    for seed_number in range(seed, seed + seeds):
        directory = Path(mkdtemp(prefix=f"soak-{seed_number}-"))
        plan = SoakPlan(seed_number, seconds, pause, rate, instances, planned)
        result = asyncio.run(run_soak(plan, directory))
        echo(f"seed {seed_number}: {result.summarize()}")
        for line in result.violations:
            echo(f"  {line}")
        if result.violations:
            failed_seeds += 1
            echo(f"  faults: {[str(fault) for fault in result.faults]}")
            echo(f"  logs: {directory}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
