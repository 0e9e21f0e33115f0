"""Helpers and assertions for tests that run several processes."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, defaultdict
from contextlib import AsyncExitStack, asynccontextmanager
from hashlib import sha256
from random import SystemRandom
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from time import monotonic
from typing import TYPE_CHECKING, Any

from attrs import define, field
from orjson import dumps

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Mapping
    from pathlib import Path

    from basilwick.fakes.runs import Run

__all__ = [
    "ManagedProcess",
    "ProcessGroup",
    "assert_at_most_once",
    "assert_one_owner",
    "assert_response_matches",
    "find_overlapping_owners",
    "find_repeated_runs",
    "run_processes",
    "allocate_port_pair",
    "allocate_ports",
    "wait_for_port",
    "write_settings",
]

_POLL_INTERVAL_S = 0.02
_PORT_RANGE = (12_000, 32_000)
# Seeded by the system, so that concurrent test runs choose different ports.
_PORT_RNG = SystemRandom()
_allocated_ports: set[int] = set()


def allocate_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free now.

    The ports lie below the ephemeral port range, so that no outgoing connection and no
    listener on port 0 occupies one of them before the test binds it.
    """
    ports: list[int] = []
    while len(ports) < count:
        ports += _reserve_ports(1)
    return ports


def allocate_port_pair() -> tuple[int, int]:
    """Return two ports of 127.0.0.1 that are free now and follow each other."""
    while not (pair := _reserve_ports(2)):
        pass
    return pair[0], pair[1]


def _reserve_ports(count: int) -> list[int]:
    """Return ports that follow a random one, empty if one of them is in use."""
    first = _PORT_RNG.randrange(*_PORT_RANGE)
    ports = list(range(first, first + count))
    if not _allocated_ports.isdisjoint(ports) or not all(map(_is_free, ports)):
        return []
    _allocated_ports.update(ports)
    return ports


def _is_free(port: int) -> bool:
    with socket(AF_INET, SOCK_STREAM) as sock:
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def wait_for_port(port: int, timeout_s: float = 15.0) -> None:
    """Wait until a process accepts connections on a port of 127.0.0.1.

    Raises
    ------
    TimeoutError
        If no process does within the timeout.
    """
    deadline = monotonic() + timeout_s
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            if monotonic() > deadline:
                raise TimeoutError(
                    f"no process accepts connections on port {port}"
                ) from None
            await asyncio.sleep(_POLL_INTERVAL_S)
            continue
        writer.close()
        return


@define(eq=False)
class ManagedProcess:
    """A basilwick process of a test.

    Attributes
    ----------
    arguments : tuple of str
        Command-line arguments of ``basilwick``.
    output : Path
        File to which its standard output and error are appended.
    """

    arguments: tuple[str, ...]
    output: Path
    _process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, or start it again after it has ended."""
        with self.output.open("ab") as file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilwick", *self.arguments,
                stdout=file, stderr=file,
            )  # fmt: skip

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None, "call start first"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative if a signal ended the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until ``resume``."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGCONT)

    def reload(self) -> None:
        """Make the process reload its settings, with SIGHUP."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGHUP)

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        await self._signal_and_wait(SIGKILL, 5.0)

    async def stop(self, timeout_s: float = 10.0) -> None:
        """Stop the process with SIGTERM, and kill it after the timeout."""
        await self._signal_and_wait(SIGTERM, timeout_s)

    async def _signal_and_wait(self, signal: int, timeout_s: float) -> None:
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal)
        try:
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


@define(eq=False)
class ProcessGroup:
    """Processes of one test, which `run_processes` kills at its end."""

    directory: Path
    processes: list[ManagedProcess] = field(factory=list)

    async def start(self, *arguments: object) -> ManagedProcess:
        """Start a ``basilwick`` process with the given arguments."""
        output = self.directory / f"process-{len(self.processes)}.log"
        process = ManagedProcess(tuple(str(item) for item in arguments), output)
        self.processes.append(process)
        await process.start()
        return process


@asynccontextmanager
async def run_processes(directory: Path) -> AsyncIterator[ProcessGroup]:
    """Provide a process group, and kill all its processes on exit."""
    group = ProcessGroup(directory)
    async with AsyncExitStack() as stack:
        try:
            yield group
        finally:
            for process in group.processes:
                stack.push_async_callback(process.kill)


def write_settings(
    path: Path,
    *,
    name: str,
    data_centre: str,
    ports: Iterable[int],
    platform: str,
    extra_tables: Mapping[str, Mapping[str, Any]] | None = None,
) -> None:
    """Write the settings file of an instance.

    Parameters
    ----------
    path : Path
        TOML file to write.
    name, data_centre : str
        Name and data centre of the instance.
    ports : iterable of int
        Caller, forward, peer and admin port on 127.0.0.1.
    platform : str
        Address of the platform.
    extra_tables : mapping, optional
        Additional tables, with strings, numbers, booleans and lists as values.
    """
    roles = zip(("caller", "forward", "peer", "admin"), ports, strict=True)
    tables: dict[str, Mapping[str, Any]] = {
        "instance": {"name": name, "data_centre": data_centre},
        "listen": {role: f"127.0.0.1:{port}" for role, port in roles},
        "platform": {"address": platform},
    }
    tables |= extra_tables or {}
    lines = []
    for table, values in tables.items():
        lines.append(f"[{table}]")
        # Strings, numbers, booleans and lists have the same notation in JSON and TOML.
        lines += [f"{key} = {dumps(value).decode()}" for key, value in values.items()]
    path.write_text("\n".join(lines) + "\n")


def find_repeated_runs(runs: Iterable[Run]) -> dict[str, int]:
    """Return the number of runs of each token that ran more than once."""
    counts = Counter(run.token for run in runs if run.token)
    return {token: count for token, count in counts.items() if count > 1}


def find_overlapping_owners(runs: Iterable[Run]) -> list[str]:
    """Describe the runs that prove two simultaneous owners of a key.

    The fence of a key rises with each change of its owner. So a run at another server
    with the same or a lower fence than that of an earlier run proves two owners.
    """
    by_key = defaultdict(list)
    for run in runs:
        by_key[run.shard.partition("/")[0], run.key].append(run)
    violations = []
    for (service, key), key_runs in by_key.items():
        key_runs.sort(key=lambda run: run.at)
        latest = key_runs[0]
        for run in key_runs[1:]:
            if run.server != latest.server and run.fence <= latest.fence:
                violations.append(
                    f"{service}/{key}: {run.server} ran at fence {run.fence} after "
                    f"{latest.server} ran at fence {latest.fence}, "
                    f"{run.at - latest.at:.3f} s earlier"
                )
            elif run.fence >= latest.fence:
                latest = run
    return violations


def assert_at_most_once(runs: Iterable[Run]) -> None:
    """Fail if a token ran more than once, counted over all servers."""
    repeated = find_repeated_runs(runs)
    assert not repeated, f"tokens ran more than once: {repeated}"


def assert_one_owner(runs: Iterable[Run]) -> None:
    """Fail if the runs recorded by the servers show two owners of a key at once."""
    violations = find_overlapping_owners(runs)
    assert not violations, "two owners at once: " + "; ".join(violations[:10])


def assert_response_matches(answer: Mapping[str, Any], path: str, body: bytes) -> None:
    """Fail if a response of the fake backend server belongs to another request."""
    assert answer["path"] == path, f"answer for {answer['path']!r}, not {path!r}"
    assert answer["body_bytes"] == len(body), "the server got another body length"
    assert answer["body_sha256"] == sha256(body).hexdigest(), "another body"
