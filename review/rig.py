"""Stand-ins and processes for the scripts of the second review.

It starts instances with the command of the deploy file as separate processes on
loopback addresses, with a key-value service, backend servers and clients in the
process of the script. The key-value service is the project's own fake.
"""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
from itertools import count
from pathlib import Path
from time import monotonic, time

from basilwick.fakes.kv_service import KvService
from orjson import loads

__all__ = [
    "HOST",
    "TROUBLE",
    "Answer",
    "Client",
    "Machine",
    "Record",
    "Rig",
    "Server",
    "run",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "entry.example"
#: False for the run without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 0.87
#: Requests that wait at a server for a slot.
MAX_WAITING = 8
#: Descriptors of a machine of the deployments.
DESCRIPTORS = 4_100
#: Pause in seconds before the platform starts a process again that has ended.
RESTART_DELAY_S = 0.5
#: Blocks of ports from which the instances of a script get one.
_FIRST_PORT = 10_000
_PORTS_PER_BLOCK = 8
_PORT_BLOCKS = 2_500

_BOUNDS = {
    "stabilityWindowMs": 3000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 60,
    "maxHoldMs": 10000,
    "thawSlackMs": 300,
}


def _are_free(host: str, first: int) -> bool:
    """Return whether nothing listens on a block of ports of an address."""
    for port in range(first, first + _PORTS_PER_BLOCK):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path):
        self._began_at = monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        print(text, flush=True)
        self.write(text)


class Server:
    """Backend server that follows the users' protocol.

    A subclass changes `respond` to misbehave.
    """

    def __init__(self, rig, name, service, zone, work_s=0.06, slots=4, sharded=False):
        self.rig, self.name, self.service, self.zone = rig, name, service, zone
        self.work_s, self.slots, self.sharded = work_s, slots, sharded
        self.running = self.waiting = 0
        self.address = ""
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        #: Highest fence and end of the hold, by range.
        self.holds: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []
        #: Identifier, method, target and body of each request that ran.
        self.runs: list[tuple[str, str, str, bytes]] = []
        self._free = asyncio.Semaphore(slots)
        self._listener: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self) -> None:
        """Listen and register."""
        self._listener = await asyncio.start_server(
            self._serve, self.rig.server_host, 0, limit=1 << 20
        )
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.born = round(time() * 1000)
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop listening."""
        if self._beat is not None:
            self._beat.cancel()
        if self._listener is not None:
            self._listener.close()

    async def register(self) -> None:
        """Write the registration."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.rig.store.put(f"servers/{self.name}", entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def holds_key(self, key: int) -> bool:
        """Return whether the newest grant of a key is in force."""
        newest, held = 0, False
        for first, last, fence, ends_at in self.holds:
            if first <= key <= last and fence >= newest:
                newest, held = fence, ends_at > monotonic()
        return held

    async def _serve(self, reader, writer) -> None:
        self.rig.connections[writer] = self.name
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self.rig.connections.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        pairs = [f.split(":", 1) for f in fields if f]
        fields = {name.lower(): value.strip() for name, value in pairs}
        if fields.get("transfer-encoding") == "chunked":
            body = await self._read_chunks(reader)
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
        expected = fields.get("x-expected-instance", self.name)
        request_id = fields.get("x-request-id", "")
        if expected != self.name:
            await self.write(writer, 421, request_id, b"", "X-Not-Executed: 1\r\n")
        elif target == "/health":
            await self.write(writer, 200, "", b"", f"X-Instance-Id: {self.name}\r\n")
        elif target == "/grant":
            await self._grant(writer, loads(body))
        elif target == "/release":
            await self._release(writer, loads(body))
        else:
            return await self.handle(writer, method, target, fields, body)
        return True

    async def _read_chunks(self, reader) -> bytes:
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)

    async def _grant(self, writer, order) -> None:
        first, last, fence = order["source"], order["to"], order["fence"]
        refused = any(f > fence and a <= last and first <= b for a, b, f in self.fences)
        if refused:
            await self.write(writer, 409, "", b"", "")
            return
        self.fences = [
            (a, b, f) for a, b, f in self.fences if not (first <= a and b <= last)
        ]
        self.fences.append((first, last, fence))
        self.holds = [h for h in self.holds if not (first <= h[0] and h[1] <= last)]
        ends_at = monotonic() + order["holdMs"] / 1000
        self.holds.append((first, last, fence, ends_at))
        await self.write(writer, 200, "", b"", "")

    async def _release(self, writer, order) -> None:
        self.holds.append((order["source"], order["to"], order["fence"], 0.0))
        await self._idle.wait()
        token = f"X-Handover: {self.name}-{order['fence']}\r\n"
        await self.write(writer, 200, "", b"", token)

    async def handle(self, writer, method, target, fields, body) -> bool:
        """Run a request and answer it; returns whether the connection stays open."""
        request_id = fields.get("x-request-id", "")
        if self.sharded and not self.holds_key(int(fields.get("x-shard-key", -1))):
            await self.write(writer, 421, request_id, b"", "X-Not-Executed: 1\r\n")
            return True
        if not request_id or self.waiting >= MAX_WAITING:
            status = 503 if request_id else 400
            await self.write(writer, status, request_id, b"", "X-Not-Executed: 1\r\n")
            return True
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self._idle.clear()
        self.runs.append((request_id, method, target, body))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._free.release()
            self.running -= 1
            if not self.running:
                self._idle.set()
        return await self.respond(writer, request_id)

    async def respond(self, writer, request_id: str) -> bool:
        """Answer a request that ran; returns whether the connection stays open."""
        await self.write(writer, 200, request_id, self.make_body(request_id))
        return True

    def make_body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return f"{self.name} {request_id[:40]}".encode().ljust(600, b".")

    async def write(self, writer, status, request_id, body, extra=None) -> None:
        """Write an answer; by default signed, with the load."""
        if extra is None:
            extra = f"X-Response-Signature: {self.name}\r\n"
            extra += (
                f"X-Server-Load: {self.running},{self.waiting},{self.slots},100\r\n"
            )
        if request_id:
            extra += f"X-Request-Id: {request_id}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode("latin-1") + body)
        await writer.drain()


class Answer:
    """Answer that a client got; status 0 if the connection ended without a whole one.

    `complete` tells whether the body ended as its head announced.
    """

    def __init__(self, status=0, fields=None, body=b"", complete=False, error=""):
        self.status, self.fields, self.body = status, fields or {}, body
        self.complete, self.error = complete, error


class Client:
    """One connection of a client, opened again when it was closed."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._reader = self._writer = None

    async def send(self, method, path, fields, body=b"", timeout_s=5.0) -> Answer:
        """Send a request and return its answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port, limit=1 << 20
                    )
                self._writer.write(data)
                await self._writer.drain()
                return await self._read()
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError) as error:
            self.close()
            return Answer(error=repr(error))

    async def _read(self) -> Answer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        line, *rows = head.decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, value in (row.split(":", 1) for row in rows if row)
        }
        answer = Answer(int(line.split(" ", 2)[1]), fields)
        try:
            answer.body = await self._read_body(fields)
            answer.complete = True
        except (OSError, EOFError) as error:
            answer.error = repr(error)
        if not answer.complete or fields.get("connection") == "close":
            self.close()
        return answer

    async def _read_body(self, fields) -> bytes:
        if fields.get("transfer-encoding") == "chunked":
            parts = []
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                parts.append(await self._reader.readexactly(size))
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
            return b"".join(parts)
        return await self._reader.readexactly(int(fields["content-length"]))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Rig:
    """A small site: key-value service, backend servers and instances."""

    server_host = "127.0.9.1"

    def __init__(self, record: Path, zones=("a", "b", "c"), memory_mb=300):
        self.record = Record(record)
        self.zones, self.memory_mb = zones, memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = KvService("127.0.9.9:0")
        self.servers: list[Server] = []
        self.connections: dict = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._logs: dict[str, object] = {}
        self.ids = count(1)
        self._first_port = self._find_free_ports()

    def _find_free_ports(self) -> int:
        """Return the first of the ports that all instances use at their addresses.

        They are below those of outgoing connections.
        """
        first = os.getpid() % _PORT_BLOCKS
        for number in range(_PORT_BLOCKS):
            block = (first + number) % _PORT_BLOCKS
            port = _FIRST_PORT + block * _PORTS_PER_BLOCK
            if all(_are_free(self.instance_host(i), port) for i in range(3)):
                return port
        raise OSError("no free ports")

    async def start_store(self) -> None:
        """Start the key-value service."""
        await self.store.start()

    async def add_server(self, server: Server) -> None:
        """Start a server."""
        self.servers.append(server)
        await server.start()

    def instance_host(self, index: int) -> str:
        """Return the loopback address of an instance."""
        return f"127.0.8.{index + 1}"

    def caller_address(self, index: int) -> str:
        """Return the address at which callers reach an instance."""
        return f"{self.instance_host(index)}:{self._port(0)}"

    def _port(self, offset: int) -> int:
        return self._first_port + offset

    def _write_settings(self, index: int) -> Path:
        host = self.instance_host(index)
        zone = self.zones[index % len(self.zones)]
        zones = "\n".join(f'{name} = "r"' for name in self.zones)
        bounds = "\n".join(f"{name} = {value}" for name, value in _BOUNDS.items())
        path = self.folder / f"instance-{index}.toml"
        path.write_text(
            f'[localNode]\nnodeName = "frontend-{zone}-{index}"\n'
            'role = "router"\nmachineClass = "frontend"\nserves = ["frontend"]\n'
            f'ipAddress = "{host}"\nzone = "{zone}"\nregion = "r"\nbootstrap = true\n'
            "[localNode.limits]\ncpuShare = 0.86\ncpuCores = 1\n"
            f"memoryMb = {self.memory_mb}\nfileDescriptors = 4100\n"
            "linkMbps = 1000.0\ndiskMb = 0\n[network]\n"
            f"internalPortRange = [{self._port(4)},{self._port(7)}]\nseeds = []\n"
            f'[network.listenAddresses]\nfrontendAddress = "{host}:{self._port(0)}"\n'
            f'ready = "{host}:{self._port(1)}"\n[network.zones]\n{zones}\n'
            '[platform]\ndiscovery = "platform"\nentryPoint = "virtual_ip"\n'
            f"heartbeatIntervalMs = {HEARTBEAT_S * 1000:.0f}\n[platform.platform]\n"
            f'address = "{self.store.address}"\nform = "kv"\nwritesPerS = 400\n'
            "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n"
            f"[terms]\n[terms.bounds]\n{bounds}\n"
        )
        return path

    async def start_instance(self, index: int) -> None:
        """Start an instance with the command of the deploy file."""
        settings = self._write_settings(index)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BASILWICK_SETTINGS": str(settings),
        }
        log = (self.folder / f"instance-{index}.log").open("ab")
        starting = asyncio.create_task(
            asyncio.create_subprocess_exec(
                *("python3", "-m", "basilwick", "join"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        )
        try:
            self.processes[index] = await asyncio.shield(starting)
        except asyncio.CancelledError:
            # The process is known before the script ends.
            self.processes[index] = await starting
            raise
        finally:
            log.close()

    async def wait_ready(self, indexes, timeout_s=20.0) -> bool:
        """Wait until instances say that they are ready."""
        deadline = monotonic() + timeout_s
        for index in indexes:
            address = f"{self.instance_host(index)}:{self._port(1)}"
            while (await Client(address).send("GET", "/readiness", {})).status != 200:
                if monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    def signal(self, index: int, number: int) -> None:
        """Send a signal to an instance."""
        if self.processes[index].returncode is None:
            self.processes[index].send_signal(number)

    def measure_memory_mb(self, index: int) -> float:
        """Return the resident memory of an instance in MB, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.processes[index].pid}/status").read_text()
        except OSError:
            return 0.0
        rows = [row.split() for row in status.splitlines()]
        return next((int(r[1]) / 1024 for r in rows if r and r[0] == "VmRSS:"), 0.0)

    async def put_configuration(self, version: int, routes, services) -> None:
        """Write a configuration.

        Parameters
        ----------
        routes : list of dict
            Specifications of the routes, without host.
        services : dict of str to dict
            Fields of each service that differ from the default ones.
        """
        resources = [
            {
                "resourceKind": "routes",
                "metadata": {"name": f"route-{number}"},
                "specification": {"host": HOST, **route},
            }
            for number, route in enumerate(routes)
        ]
        for name, fields in services.items():
            spec = {
                "healthCheckPath": "/health",
                "maxConnections": 120,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "warmupPerS": 19.0,
                **fields,
            }
            resources.append(
                {
                    "resourceKind": "services",
                    "metadata": {"name": name},
                    "specification": spec,
                }
            )
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        resources.append(
            {"resourceKind": "limits", "metadata": {}, "specification": limits}
        )
        await self.store.put(
            "op/config", {"version": f"r{version}", "resources": resources}
        )

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        for server in self.servers:
            await server.close()
        await self.store.close()


class Machine:
    """Machine of an instance, which kills a process that exceeds its memory."""

    def __init__(self, rig: Rig, index: int):
        self._rig = rig
        self.index = index
        #: Number of times that the process ended.
        self.ends = 0
        self.highest_mb = 0.0

    async def watch(self, seconds: float) -> None:
        """Watch the process, and start it again if it ends."""
        until = monotonic() + seconds
        while monotonic() < until:
            await asyncio.sleep(0.02)
            process = self._rig.processes[self.index]
            memory_mb = self._rig.measure_memory_mb(self.index)
            self.highest_mb = max(self.highest_mb, memory_mb)
            if process.returncode is None and memory_mb <= self._rig.memory_mb:
                continue
            self.ends += 1
            self._rig.record.write(
                f"instance {self.index}: resident memory {memory_mb:.0f} MB of "
                f"{self._rig.memory_mb} MB, exit code {process.returncode}; killed "
                "and started again"
            )
            self._rig.signal(self.index, signal.SIGKILL)
            await process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await self._rig.start_instance(self.index)
            return


def run(main, time_limit_s: float = 115.0) -> None:
    """Run a script's main function and exit with its result.

    The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not
    run.
    """

    async def run_limited() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # The processes of the script end with it, also if it is stopped early.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(time_limit_s):
            return await main()

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        print(f"the case needs {DESCRIPTORS} descriptors, {hard} are allowed")
        sys.exit(2)
    if soft != resource.RLIM_INFINITY and soft < DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    try:
        code = asyncio.run(run_limited())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", flush=True)
        code = 2
    sys.exit(code)
