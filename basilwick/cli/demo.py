"""Demonstration: two data centres in one process, with faults and a report."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING

from attrs import define, field
from click import ClickException, command, echo, option

from basilwick.cli.demo_site import SERVICES, DemoSite
from basilwick.fakes.callers import Callers, Result
from basilwick.logs import configure_logs
from basilwick.testing import find_overlapping_owners, find_repeated_runs

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["demo"]

_RATE = 120.0
_PROBE_INTERVAL_S = 0.2
_MAX_PROBED_KEYS = 10
_STEADY_S = 2.0
_AFTER_LOSS_S = 3.5
_OUT_S = 4.0
_BACK_S = 3.0


@define
class _Findings:
    served_again_s: list[float] = field(factory=list)
    never_served: int = 0
    new_work_when_out: int = 0


@command()
@option("--verbose", is_flag=True, help="Write all log lines to standard error.")
def demo(verbose: bool) -> None:
    """Run two data centres on loopback, with faults, and report what callers saw."""
    configure_logs(line_format="text", level="INFO" if verbose else "CRITICAL")
    try:
        code = asyncio.run(_run_demo())
    except TimeoutError as error:
        raise ClickException(str(error)) from error
    raise SystemExit(code)


async def _run_demo() -> int:
    site = DemoSite()
    callers = Callers([], SERVICES)
    findings = _Findings()
    try:
        await site.start()
        callers.addresses = site.caller_addresses
        await callers.start()
        await site.wait_until_served()
        echo(site.describe())
        load = asyncio.create_task(
            callers.run(_RATE, _STEADY_S + _AFTER_LOSS_S + _OUT_S + _BACK_S)
        )
        await asyncio.sleep(_STEADY_S)
        await _lose_server(site, callers, findings)
        await _take_data_centre_out(site, findings)
        await asyncio.sleep(_BACK_S)
        await load
    finally:
        await callers.close()
        await site.close()
    return _report(site, callers.results, findings)


async def _lose_server(site: DemoSite, callers: Callers, findings: _Findings) -> None:
    """Close a server and measure when its keys were served again."""
    name = site.choose_server_to_lose()
    lost_keys = list({(r.service, r.key) for r in callers.results if r.server == name})[
        :_MAX_PROBED_KEYS
    ]
    echo(f"backend server {name} is lost")
    lost_at = monotonic()
    await site.lose_server(name)
    await callers.probe(lost_keys, _PROBE_INTERVAL_S, _AFTER_LOSS_S)
    for service, key in lost_keys:
        times = [
            result.ended_at - lost_at
            for result in callers.results
            if (result.service, result.key, result.kind) == (service, key, "ok")
            and result.intended_at >= lost_at
        ]
        if times:
            findings.served_again_s.append(min(times))
        else:
            findings.never_served += 1


async def _take_data_centre_out(site: DemoSite, findings: _Findings) -> None:
    """Take a data centre out, see that its servers get no new work, take it back."""
    echo("data centre dc-b is taken out")
    await site.set_data_centre_status("dc-b", "out")
    await asyncio.sleep(_OUT_S - 0.5)
    before = site.count_runs("dc-b")
    await asyncio.sleep(0.5)
    findings.new_work_when_out = site.count_runs("dc-b") - before
    echo("data centre dc-b is taken back")
    await site.set_data_centre_status("dc-b", "in")


def _report(site: DemoSite, results: Sequence[Result], findings: _Findings) -> int:
    """Print what callers saw; return 1 when a promise was broken."""
    kinds = Counter(result.kind for result in results)
    outcomes = Counter(r.outcome for r in results if r.kind != "ok")
    runs = site.collect_runs()
    repeated = find_repeated_runs(runs)
    overlapping = find_overlapping_owners(runs)
    false_not_run = _count_false_refusals(site, results)
    echo(f"requests                               {len(results)}")
    echo(f"  served                               {kinds.pop('ok', 0)}")
    for kind, count in sorted(kinds.items()):
        echo(f"  {kind:<36} {count}")
    echo(f"refusals by outcome                    {dict(sorted(outcomes.items()))}")
    if findings.served_again_s:
        echo(
            f"lost keys served again after           "
            f"{max(findings.served_again_s):.2f} s at most "
            f"({len(findings.served_again_s)} keys)"
        )
    echo(f"lost keys not served again             {findings.never_served}")
    echo(f"requests run in dc-b when out          {findings.new_work_when_out}")
    echo(f"operations run more than once          {len(repeated)}")
    echo(f"two owners at once                     {len(overlapping)}")
    echo(f"answers to another request             {kinds.get('wrong_answer', 0)}")
    echo(f"operations run though refused as not run {false_not_run}")
    for line in overlapping[:5]:
        echo(f"  {line}")
    broken = (
        repeated
        or overlapping
        or false_not_run
        or kinds.get("wrong_answer")
        or findings.never_served
    )
    return 1 if broken else 0


def _count_false_refusals(site: DemoSite, results: Sequence[Result]) -> int:
    ran = {run.token for run in site.collect_runs() if run.token}
    # A repeat can be refused as not run although the first request ran.
    asked = Counter(result.token for result in results if result.token)
    return sum(
        result.outcome == "not_run" and result.token in ran
        for result in results
        if asked[result.token] == 1
    )
