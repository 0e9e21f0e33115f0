"""Tests that faults are reproducible and leave no process behind."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

from basilwick.testing import ManagedProcess, run_processes
from benchmarks.soak.faults import PLANNED, Fault, draw_faults, inject
from benchmarks.soak.site import Instance


def test_the_same_seed_draws_the_same_faults():
    assert draw_faults(Random(4), 20.0, 0.5) == draw_faults(Random(4), 20.0, 0.5)


def test_planned_only_draws_only_planned_faults():
    faults = draw_faults(Random(4), 60.0, 0.5, planned_only=True)
    assert {fault.kind for fault in faults} == PLANNED


class RecordingProcess(ManagedProcess):
    """Process that records the process id of each start."""

    async def start(self):
        await super().start()
        self.pids = [*getattr(self, "pids", []), self.pid]


async def test_overlapping_kills_leave_one_process(tmp_path):
    """Concurrent restarts of an instance left a process that was never ended."""
    async with run_processes(tmp_path) as group:
        # The fake platform serves as a command that keeps running.
        arguments = ("fake", "platform", "--port", "0")
        process = RecordingProcess(arguments, tmp_path / "process.log")
        group.processes.append(process)
        await process.start()
        site = SimpleNamespace(instances=[Instance("i0", "", "", process, None)])
        kills = [Fault("kill", 0.0, 0.0, 0) for _ in range(3)]
        await asyncio.gather(*(inject(site, kill) for kill in kills))
        running = [pid for pid in process.pids if is_running(pid)]
        assert running == [process.pid]


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().split()[2] not in "ZX"
    except FileNotFoundError:
        return False
