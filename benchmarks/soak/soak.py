"""Runs one soak: load with concurrent faults, then recovery."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from attrs import frozen

from basilwick.testing import run_processes
from benchmarks.soak.answers import find_answer_violations
from benchmarks.soak.callers import SoakCallers
from benchmarks.soak.checks import find_cut_calls, find_violations
from benchmarks.soak.faults import (
    Fault,
    draw_faults,
    draw_faulty_answers,
    draw_second_answers,
    draw_statements,
    inject,
)
from benchmarks.soak.site import KEYS, SoakSite
from benchmarks.soak.statements import find_statement_violations

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.soak.callers import Call

__all__ = ["SoakPlan", "SoakResult", "run_soak"]

#: Time in seconds after the last fault within which every instance must serve every key
#: again: the sites' limit on recovery.
_RECOVERY_TIMEOUT_S = 15.0
_START_TIMEOUT_S = 20.0
#: Mean time between two statements of servers, as a multiple of that between faults.
_STATEMENT_PAUSE_FACTOR = 3.0
#: The same between two servers that begin to answer requests twice.
_SECOND_ANSWERS_PAUSE_FACTOR = 1.0
#: The same between two servers that begin to give faulty answers.
_FAULTY_ANSWERS_PAUSE_FACTOR = 2.0


@frozen
class SoakPlan:
    """Parameters of a soak.

    Attributes
    ----------
    length_s : float
        Period in seconds during which faults start.
    pause_s : float
        Mean time in seconds between the starts of two faults.
    rate : float
        Calls per second.
    instances : int
        Number of instances, each a process.
    planned_only : bool
        Whether to inject only planned maintenance, which must cut off no call.
    """

    seed: int
    length_s: float = 15.0
    pause_s: float = 0.8
    rate: float = 60.0
    instances: int = 4
    planned_only: bool = False


@frozen
class SoakResult:
    """Result of a soak."""

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
    """Run a soak; the logs of the instances stay in the directory."""
    rng = Random(plan.seed)
    faults = draw_faults(rng, plan.length_s, plan.pause_s, plan.planned_only)
    if not plan.planned_only:
        faults += _draw_server_behaviour(plan)
    async with run_processes(directory) as group:
        site = SoakSite(directory, group, plan.instances)
        leaving_rng = Random(f"leaving callers {plan.seed}")
        callers = SoakCallers(site, rng, leaving_rng, plan.rate)
        try:
            await site.start()
            await callers.start()
            if await _wait_until_served(site, callers, _START_TIMEOUT_S) is None:
                return SoakResult([], [], ["the site was not served at its start"], 0.0)
            load = asyncio.create_task(callers.run(plan.length_s + 1.0))
            await asyncio.gather(*(_inject_later(site, fault) for fault in faults))
            await load
            recovered_s = await _wait_until_served(site, callers, _RECOVERY_TIMEOUT_S)
        finally:
            await callers.close()
            await site.close()
    violations = find_violations(callers.calls, site.log)
    violations += find_answer_violations(callers.calls, site.servers)
    violations += find_statement_violations(
        callers.calls,
        site.servers,
        {instance.name: instance.interrupted_at for instance in site.instances},
    )
    if plan.planned_only:
        violations += find_cut_calls(callers.calls, site.log)
    if recovered_s is None:
        violations.append(
            f"not every key is served {_RECOVERY_TIMEOUT_S} s after the faults"
        )
    return SoakResult(
        faults, callers.calls, violations, recovered_s or _RECOVERY_TIMEOUT_S
    )


def _draw_server_behaviour(plan: SoakPlan) -> list[Fault]:
    """Draw what servers state and answer, each kind from numbers of its own."""
    faults = []
    for name, draw, pause_factor in (
        ("statements", draw_statements, _STATEMENT_PAUSE_FACTOR),
        ("second answers", draw_second_answers, _SECOND_ANSWERS_PAUSE_FACTOR),
        ("faulty answers", draw_faulty_answers, _FAULTY_ANSWERS_PAUSE_FACTOR),
    ):
        rng = Random(f"{name} {plan.seed}")
        faults += draw(rng, plan.length_s, pause_factor * plan.pause_s)
    return faults


async def _inject_later(site: SoakSite, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    await inject(site, fault)


async def _wait_until_served(
    site: SoakSite, callers: SoakCallers, timeout_s: float
) -> float | None:
    """Wait until every instance serves every key.

    Returns the time that it took in seconds, or None after the timeout.
    """
    began_at = monotonic()
    for instance in site.instances:
        for key in KEYS:
            while True:
                responses = [await callers.call(instance, read, key) for read in (1, 0)]
                callers.calls += responses
                if all(response.status == 200 for response in responses):
                    break
                if monotonic() - began_at > timeout_s:
                    return None
                await asyncio.sleep(0.1)
    return monotonic() - began_at
