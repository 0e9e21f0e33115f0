"""Plays one soak: load and faults together, then the return to service."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from attrs import frozen

from basilwick.testing import run_processes
from benchmarks.soak.callers import SoakCallers
from benchmarks.soak.checks import find_cut_calls, find_violations
from benchmarks.soak.faults import Fault, draw_faults, inject
from benchmarks.soak.site import KEYS, SoakSite

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.soak.callers import Call

__all__ = ["SoakPlan", "SoakResult", "run_soak"]

#: Time in seconds after the last fault within which every key is served by every
#: instance again: the sites' bound of the recovery.
_RECOVERY_S = 15.0
_START_S = 20.0


@frozen
class SoakPlan:
    """What a soak plays.

    Attributes
    ----------
    length_s : float
        Time in seconds in which faults begin.
    pause_s : float
        Mean time in seconds between the begins of two faults.
    rate : float
        Calls per second.
    instances : int
        Instances, each a process.
    planned_only : bool
        Whether only planned work is done, which must cut off no call.
    """

    seed: int
    length_s: float = 15.0
    pause_s: float = 0.8
    rate: float = 60.0
    instances: int = 4
    planned_only: bool = False


@frozen
class SoakResult:
    """What a soak found."""

    faults: list[Fault]
    calls: list[Call]
    violations: list[str]
    recovered_s: float

    def summarize(self) -> str:
        """Return the counts as one line."""
        statuses = dict(sorted(Counter(call.status for call in self.calls).items()))
        return (
            f"{len(self.faults)} faults, {len(self.calls)} calls {statuses}, served "
            f"again after {self.recovered_s:.1f} s, {len(self.violations)} broken"
        )


async def run_soak(plan: SoakPlan, directory: Path) -> SoakResult:
    """Play a soak; logs of the instances stay in the directory."""
    rng = Random(plan.seed)
    faults = draw_faults(rng, plan.length_s, plan.pause_s, plan.planned_only)
    async with run_processes(directory) as group:
        site = SoakSite(directory, group, plan.instances)
        callers = SoakCallers(site, rng, plan.rate)
        try:
            await site.start()
            await callers.start()
            if await _wait_served(site, callers, _START_S) is None:
                return SoakResult([], [], ["the site was not served at its start"], 0.0)
            load = asyncio.create_task(callers.run(plan.length_s + 1.0))
            await asyncio.gather(*(_inject_later(site, fault) for fault in faults))
            await load
            recovered_s = await _wait_served(site, callers, _RECOVERY_S)
        finally:
            await callers.close()
            await site.close()
    violations = find_violations(callers.calls, site.log)
    if plan.planned_only:
        violations += find_cut_calls(callers.calls, site.log)
    if recovered_s is None:
        violations.append(f"not every key is served {_RECOVERY_S} s after the faults")
    return SoakResult(faults, callers.calls, violations, recovered_s or _RECOVERY_S)


async def _inject_later(site: SoakSite, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    await inject(site, fault)


async def _wait_served(
    site: SoakSite, callers: SoakCallers, timeout_s: float
) -> float | None:
    """Wait until every instance serves every key; returns the seconds, or None."""
    began_at = monotonic()
    for instance in site.instances:
        for key in KEYS:
            while True:
                answers = [await callers.call(instance, read, key) for read in (1, 0)]
                callers.calls += answers
                if all(answer.status == 200 for answer in answers):
                    break
                if monotonic() - began_at > timeout_s:
                    return None
                await asyncio.sleep(0.1)
    return monotonic() - began_at
