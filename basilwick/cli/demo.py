"""The ``demo`` command: two data centres in one process, with faults and a report."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING

from attrs import define, field
from click import ClickException, command, echo, option

from basilwick.cli.demo_site import KEYS_BY_SERVICE, DemoSite
from basilwick.fakes.load_generator import LoadGenerator, Result
from basilwick.logs import configure_logs
from basilwick.testing import find_overlapping_owners, find_repeated_runs

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["demo"]

_REQUESTS_PER_S = 120.0
_PROBE_INTERVAL_S = 0.2
_MAX_PROBED_KEYS = 10
# Durations of the phases, in their order.
_BEFORE_FAULTS_S = 2.0
_PROBE_S = 3.5
_DATA_CENTRE_OUT_S = 4.0
_AFTER_FAULTS_S = 3.0


@define
class _Measurements:
    """Effects of the faults.

    Attributes
    ----------
    recovery_times_s : list of float
        Time from the loss of a server to the first answer, for each recovered key.
    unrecovered_keys : int
        Keys of the lost server that were not served again.
    runs_while_out : int
        Operations that a data centre ran in the last 0.5 s before it was taken back.
    """

    recovery_times_s: list[float] = field(factory=list)
    unrecovered_keys: int = 0
    runs_while_out: int = 0


@command()
@option("--verbose", is_flag=True, help="Write all log lines to standard error.")
def demo(verbose: bool) -> None:
    """Run two data centres on loopback, inject faults, and report what callers saw."""
    configure_logs(line_format="text", level="INFO" if verbose else "CRITICAL")
    try:
        code = asyncio.run(_run_demo())
    except TimeoutError as error:
        raise ClickException(str(error)) from error
    raise SystemExit(code)


async def _run_demo() -> int:
    site = DemoSite()
    callers = LoadGenerator([], KEYS_BY_SERVICE)
    measurements = _Measurements()
    try:
        await site.start()
        callers.addresses = site.caller_addresses
        await callers.start()
        await site.wait_until_served()
        echo(site.describe())
        load = asyncio.create_task(
            callers.run(
                _REQUESTS_PER_S,
                _BEFORE_FAULTS_S + _PROBE_S + _DATA_CENTRE_OUT_S + _AFTER_FAULTS_S,
            )
        )
        await asyncio.sleep(_BEFORE_FAULTS_S)
        await _lose_server(site, callers, measurements)
        await _take_data_centre_out(site, measurements)
        await asyncio.sleep(_AFTER_FAULTS_S)
        await load
    finally:
        await callers.close()
        await site.close()
    return _report(site, callers.results, measurements)


async def _lose_server(
    site: DemoSite, callers: LoadGenerator, measurements: _Measurements
) -> None:
    """Close a server and measure the time until its keys are served again."""
    name = site.choose_server_to_lose()
    lost_keys = list({(r.service, r.key) for r in callers.results if r.server == name})[
        :_MAX_PROBED_KEYS
    ]
    echo(f"backend server {name} is lost")
    lost_at = monotonic()
    await site.lose_server(name)
    await callers.probe(lost_keys, _PROBE_INTERVAL_S, _PROBE_S)
    for service, key in lost_keys:
        times = [
            result.ended_at - lost_at
            for result in callers.results
            if (result.service, result.key, result.kind) == (service, key, "ok")
            and result.scheduled_at >= lost_at
        ]
        if times:
            measurements.recovery_times_s.append(min(times))
        else:
            measurements.unrecovered_keys += 1


async def _take_data_centre_out(site: DemoSite, measurements: _Measurements) -> None:
    """Take a data centre out, count the operations it still runs, take it back."""
    echo("data centre dc-b is taken out")
    await site.set_data_centre_status("dc-b", "out")
    await asyncio.sleep(_DATA_CENTRE_OUT_S - 0.5)
    runs_before = site.count_runs("dc-b")
    await asyncio.sleep(0.5)
    measurements.runs_while_out = site.count_runs("dc-b") - runs_before
    echo("data centre dc-b is taken back")
    await site.set_data_centre_status("dc-b", "in")


def _report(
    site: DemoSite, results: Sequence[Result], measurements: _Measurements
) -> int:
    """Print what callers saw; return 1 if a guarantee was violated, otherwise 0."""
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
    if measurements.recovery_times_s:
        echo(
            f"lost keys served again after           "
            f"{max(measurements.recovery_times_s):.2f} s at most "
            f"({len(measurements.recovery_times_s)} keys)"
        )
    echo(f"lost keys not served again             {measurements.unrecovered_keys}")
    echo(f"requests run in dc-b when out          {measurements.runs_while_out}")
    echo(f"operations run more than once          {len(repeated)}")
    echo(f"two owners at once                     {len(overlapping)}")
    echo(f"answers to another request             {kinds.get('wrong_answer', 0)}")
    echo(f"operations run though refused as not run {false_not_run}")
    for line in overlapping[:5]:
        echo(f"  {line}")
    violated = (
        repeated
        or overlapping
        or false_not_run
        or kinds.get("wrong_answer")
        or measurements.unrecovered_keys
    )
    return 1 if violated else 0


def _count_false_refusals(site: DemoSite, results: Sequence[Result]) -> int:
    """Count requests that were refused as not run although their operation ran."""
    tokens_run = {run.token for run in site.collect_runs() if run.token}
    # Tokens of repeated requests are left out: a repeat can rightly be refused as not
    # run although the first request ran.
    request_counts = Counter(result.token for result in results if result.token)
    return sum(
        result.outcome == "not_run" and result.token in tokens_run
        for result in results
        if request_counts[result.token] == 1
    )
