"""Signals that a process of ``basilwick join`` gets, at its start and at its stop."""

from __future__ import annotations

import asyncio
import os
import sys
from signal import SIGHUP, SIGINT, SIGTERM

import pytest
import pytest_asyncio
from aiohttp import ClientSession
from fleet_site import HOST, make_configuration, wait_until

from basilwick.fakes.key_server import KeyServer
from basilwick.fakes.kv_service import KvService
from basilwick.testing import allocate_ports, wait_for_port

#: Runs a command that gets a signal when a module is about to be imported.
SIGNAL_AT_IMPORT = """
import os, runpy, sys
name, number = sys.argv[1], int(sys.argv[2])
class Finder:
    def find_spec(self, module, path, target=None):
        if module == name:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), number)
sys.meta_path.insert(0, Finder())
sys.argv = ["basilwick", *sys.argv[3:]]
runpy.run_module("basilwick", run_name="__main__", alter_sys=True)
"""
#: Modules imported while the command starts, from its first import to the last ones.
MODULES = ["basilwick.cli.main", "click", "aiohttp", "basilwick.platform.deployment"]
MODULES.append("basilwick.runtime.fleet.fleet_instance")


class JoinedProcess:
    """A process of ``basilwick join``, a store and a server for it."""

    def __init__(self, directory):
        self.output = directory / "log"
        self.settings = directory / "boot.toml"
        self.store = KvService()
        self.runs = []
        self.process = None

    async def start_site(self):
        await self.store.start()
        await self.store.put("op/config", make_configuration(1))
        self.server = KeyServer("desk0", "desk", "a", self.store, self.runs, slots=8)
        await self.server.start()
        caller, self.ready_port, internal, _ = allocate_ports(4)
        self.url = f"http://127.0.0.1:{caller}"
        self.settings.write_text(f"""
[localNode]
nodeName = "n"
zone = "a"
ipAddress = "127.0.0.1"
[network]
internalPortRange = [{internal}, {internal + 1}]
[network.listenAddresses]
frontendAddress = "127.0.0.1:{caller}"
ready = "127.0.0.1:{self.ready_port}"
[network.zones]
a = "r"
[platform.platform]
address = "{self.store.address}"
[terms.bounds]
gracePeriodS = 5
""")

    async def start(self, *options, stdin=asyncio.subprocess.DEVNULL):
        with self.output.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *options, "join", "--settings", str(self.settings),
                stdin=stdin, stdout=file, stderr=file,
            )  # fmt: skip

    async def send_order(self, number):
        headers = {"Host": HOST, "X-Request-Id": number}
        headers["X-Request-Deadline-Ms"] = "3000"
        async with (
            ClientSession() as session,
            session.post(f"{self.url}/order/x", data=b"{}", headers=headers) as answer,
        ):
            return answer.status

    async def wait_until_served(self):
        await wait_for_port(self.ready_port)
        async with asyncio.timeout(15.0):
            while await self.send_order("first") != 200:
                await asyncio.sleep(0.1)

    async def wait_for_end(self, timeout_s=15.0):
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.server.close()
        await self.store.close()


@pytest_asyncio.fixture
async def joined(tmp_path):
    joined = JoinedProcess(tmp_path)
    try:
        await joined.start_site()
        yield joined
    finally:
        await joined.close()


@pytest.mark.parametrize("number", [SIGTERM, SIGINT], ids=["SIGTERM", "SIGINT"])
async def test_further_signals_during_a_drain_cut_no_request(joined, number):
    """A second SIGTERM ended the process at once, with its requests."""
    await joined.start("-m", "basilwick")
    await joined.wait_until_served()
    # The time of a cold server, which refuses requests that come too fast.
    await asyncio.sleep(1.2)
    joined.server.service_time_s = 1.5
    orders = [asyncio.create_task(joined.send_order(f"o{n}")) for n in range(6)]
    await asyncio.sleep(0.3)
    for _ in range(4):
        joined.process.send_signal(number)
        await asyncio.sleep(0.1)
    joined.process.send_signal(SIGHUP)
    assert await asyncio.gather(*orders) == [200] * 6
    joined.process.send_signal(number)
    assert await joined.wait_for_end() == 0
    assert "instance stopped" in joined.output.read_text()


async def test_a_second_interrupt_at_a_terminal_ends_the_process(joined):
    """A user who can't wait for the drain had to find the process and kill it."""
    controller, terminal = os.openpty()
    try:
        await joined.start("-m", "basilwick", stdin=terminal)
        await joined.wait_until_served()
        joined.process.send_signal(SIGTERM)
        joined.process.send_signal(SIGINT)
        await asyncio.sleep(0.3)
        assert joined.process.returncode is None
        joined.process.send_signal(SIGINT)
        assert await joined.wait_for_end(1.0) == 130
    finally:
        os.close(controller)
        os.close(terminal)


@pytest.mark.parametrize("module", MODULES)
async def test_a_hangup_while_the_process_starts_does_not_end_it(joined, module):
    """SIGHUP in the first 0.5 s ended the process."""
    await joined.start("-c", SIGNAL_AT_IMPORT, module, str(int(SIGHUP)))
    await joined.wait_until_served()
    await wait_until(lambda: "settings changed" in joined.output.read_text())
    joined.process.send_signal(SIGTERM)
    assert await joined.wait_for_end() == 0


@pytest.mark.parametrize("module", MODULES)
async def test_a_stop_while_the_process_starts_ends_it_cleanly(joined, module):
    """SIGTERM during the start ended the process like a crash, or not at all."""
    await joined.start("-c", SIGNAL_AT_IMPORT, module, str(int(SIGTERM)))
    assert await joined.wait_for_end() == 0
    output = joined.output.read_text()
    assert "stopped before its start" in output
    assert "instance started" not in output and "Traceback" not in output
