"""Periodic tasks of an instance."""

from __future__ import annotations

import asyncio

from basilwick.runtime.fleet.loops import run_periodically


async def test_a_loop_continues_after_an_unexpected_error():
    """The loop that renews grants ended at its first error, without a log line."""
    steps = []

    async def step():
        steps.append(1)
        if len(steps) == 1:
            raise RuntimeError("unexpected")

    task = asyncio.create_task(run_periodically("test", 0.01, step))
    await asyncio.sleep(0.8)
    assert len(steps) > 5
    task.cancel()


async def test_a_step_can_return_the_delay():
    steps = []

    async def step():
        steps.append(1)
        return 10.0

    task = asyncio.create_task(run_periodically("test", 0.0, step))
    await asyncio.sleep(0.05)
    assert len(steps) == 1
    task.cancel()
