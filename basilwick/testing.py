"""Helpers of the tests that run several processes, and their assertions."""

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
    "assert_answer_belongs",
    "assert_at_most_once",
    "assert_one_owner",
    "find_overlapping_owners",
    "find_repeated_runs",
    "run_processes",
    "take_ports",
    "wait_for_port",
    "write_settings",
]

_POLL_S = 0.02
_PORT_RANGE = (12_000, 32_000)
# Seeded by the system, because several test runs share the machine.
_RANDOM = SystemRandom()
_given_ports: set[int] = set()


def take_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free now.

    They lie below the range from which the system takes ports of outgoing connections
    and of listeners on port 0, so that none of these takes one before its use.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _RANDOM.randrange(*_PORT_RANGE)
        if port in _given_ports:
            continue
        with socket(AF_INET, SOCK_STREAM) as sock:
            sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


async def wait_for_port(port: int, timeout_s: float = 15.0) -> None:
    """Wait until something accepts connections.

    Raises
    ------
    TimeoutError
        If nothing did within the time.
    """
    end = monotonic() + timeout_s
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            if monotonic() > end:
                raise TimeoutError(f"nothing accepts on port {port}") from None
            await asyncio.sleep(_POLL_S)
            continue
        writer.close()
        return


@define(eq=False)
class ManagedProcess:
    """A basilwick process that the test started.

    Attributes
    ----------
    arguments : tuple of str
        Arguments after ``basilwick``.
    output : Path
        File that holds its standard output and error.
    """

    arguments: tuple[str, ...]
    output: Path
    _process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, again after it was killed or stopped."""
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
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative after a signal; None while the process runs."""
        return None if self._process is None else self._process.returncode

    def pause(self) -> None:
        """Stop the process until ``resume``."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGCONT)

    def reload(self) -> None:
        """Tell the process that its settings changed."""
        assert self._process is not None, "call start first"
        self._process.send_signal(SIGHUP)

    async def kill(self) -> None:
        """End the process without warning."""
        await self._end(SIGKILL, 5.0)

    async def stop(self, timeout_s: float = 10.0) -> None:
        """Ask the process to end, and kill it when it does not in time."""
        await self._end(SIGTERM, timeout_s)

    async def _end(self, signal: int, timeout_s: float) -> None:
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
    """Processes of one test; all of them end with it."""

    directory: Path
    processes: list[ManagedProcess] = field(factory=list)

    async def start(self, *arguments: object) -> ManagedProcess:
        """Start ``basilwick`` with arguments."""
        output = self.directory / f"process-{len(self.processes)}.log"
        process = ManagedProcess(tuple(str(item) for item in arguments), output)
        self.processes.append(process)
        await process.start()
        return process


@asynccontextmanager
async def run_processes(directory: Path) -> AsyncIterator[ProcessGroup]:
    """Give a group of processes that are killed at the end."""
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
    more: Mapping[str, Mapping[str, Any]] | None = None,
) -> None:
    """Write the settings of an instance.

    Parameters
    ----------
    path : Path
        TOML file to write.
    name, data_centre : str
        Identity of the instance.
    ports : iterable of int
        Caller, forward, peer and admin port on 127.0.0.1.
    platform : str
        Address of the platform.
    more : mapping, optional
        Further tables of strings, numbers, booleans and lists.
    """
    roles = zip(("caller", "forward", "peer", "admin"), ports, strict=True)
    tables: dict[str, Mapping[str, Any]] = {
        "instance": {"name": name, "data_centre": data_centre},
        "listen": {role: f"127.0.0.1:{port}" for role, port in roles},
        "platform": {"address": platform},
    }
    tables |= more or {}
    lines = []
    for table, values in tables.items():
        lines.append(f"[{table}]")
        # JSON strings, numbers, booleans and lists are written the same in TOML.
        lines += [f"{key} = {dumps(value).decode()}" for key, value in values.items()]
    path.write_text("\n".join(lines) + "\n")


def find_repeated_runs(runs: Iterable[Run]) -> dict[str, int]:
    """Return the tokens that ran more than once, with the number of runs."""
    counts = Counter(run.token for run in runs if run.token)
    return {token: count for token, count in counts.items() if count > 1}


def find_overlapping_owners(runs: Iterable[Run]) -> list[str]:
    """Return how runs show two owners of a key at once.

    Fences of a key only rise with its owner. So a run at another server with a lower
    fence, or with the same fence, after a run with a higher one proves two owners.
    """
    by_key = defaultdict(list)
    for run in runs:
        by_key[run.shard.partition("/")[0], run.key].append(run)
    found = []
    for (service, key), history in by_key.items():
        history.sort(key=lambda run: run.at)
        newest = history[0]
        for run in history[1:]:
            if run.server != newest.server and run.fence <= newest.fence:
                found.append(
                    f"{service}/{key}: {run.server} ran at fence {run.fence} after "
                    f"{newest.server} ran at fence {newest.fence}, "
                    f"{run.at - newest.at:.3f} s earlier"
                )
            elif run.fence >= newest.fence:
                newest = run
    return found


def assert_at_most_once(runs: Iterable[Run]) -> None:
    """Fail when a token ran more than once on all servers together."""
    repeated = find_repeated_runs(runs)
    assert not repeated, f"tokens ran more than once: {repeated}"


def assert_one_owner(runs: Iterable[Run]) -> None:
    """Fail when the servers' own records show two owners of a key at once."""
    found = find_overlapping_owners(runs)
    assert not found, "two owners at once: " + "; ".join(found[:10])


def assert_answer_belongs(answer: Mapping[str, Any], path: str, body: bytes) -> None:
    """Fail when an answer of the backend stand-in is for another request."""
    assert answer["path"] == path, f"answer for {answer['path']!r}, not {path!r}"
    assert answer["body_bytes"] == len(body), "the server got another body length"
    assert answer["body_sha256"] == sha256(body).hexdigest(), "another body"
