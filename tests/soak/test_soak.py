"""Short soaks of real instances under randomized faults."""

from __future__ import annotations

import pytest

from benchmarks.soak.soak import SoakPlan, run_soak


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_soak_breaks_no_promise(seed, tmp_path):
    """Kills, stops, pauses and broken links overlap, with the store in trouble."""
    result = await run_soak(SoakPlan(seed, length_s=5.0), tmp_path)
    assert result.violations == [], result.faults
    assert any(call.status == 200 for call in result.calls)


async def test_planned_work_cuts_off_no_call(tmp_path):
    """Stops, reloads, drains, evacuations and changes of the configuration overlap."""
    plan = SoakPlan(3, length_s=6.0, planned_only=True)
    result = await run_soak(plan, tmp_path)
    assert result.violations == [], result.faults
