"""A small deployment for the review: real instances between stand-ins on loopback.

The instances are separate processes, started with the command of the deploy file. The
platform's store is the project's own stand-in; servers and callers are the small ones
of this module, which write and read raw HTTP/1.1.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from basilwick.fakes.kv_service import KvService

HOST = "site.example"
HEARTBEAT_S = 0.87
REPOSITORY = Path(__file__).resolve().parents[1]
#: The disruption is left out with TROUBLE=0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, directory: Path):
        self._file = (directory / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return round(time.monotonic() - self._started_at, 3)

    def add(self, event: str, **fields: object) -> None:
        line = {"t": self.now(), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclass
class Request:
    """A request as a server read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


def encode_answer(
    request: Request, status: int, body: bytes, extra: dict[str, str] | None = None
) -> bytes:
    """Return a sound answer that repeats the request's identifier."""
    fields = {
        "X-Request-Id": request.id,
        "X-Response-Signature": f"sig-{request.id}",
        "Content-Length": str(len(body)),
        **(extra or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Answer\r\n{head}\r\n".encode() + body


Behaviour = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool]]


async def serve_soundly(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> bool:
    """Run a request and answer it; returns whether the connection stays open."""
    await asyncio.sleep(server.work_s)
    writer.write(encode_answer(request, 200, f"answer {request.id}".encode()))
    await writer.drain()
    return True


@dataclass(eq=False)
class Server:
    """Backend server with a registration and slots, and an injectable behaviour."""

    name: str
    service: str
    zone: str
    store: KvService
    record: Record
    behaviour: Behaviour = serve_soundly
    work_s: float = 0.02
    slots: int = 4
    queue: int = 16
    port: int = 0
    #: Identifiers of requests that run now, and of all that ran.
    running: set[str] = field(default_factory=set)
    ran: list[str] = field(default_factory=list)
    connections: int = 0

    async def start(self) -> None:
        self._born_ms = round(time.time() * 1000)
        self._sequence = 0
        self._waiting = 0
        self._free_slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        await self.write_registration()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        self._heartbeats.cancel()
        self._server.close()

    async def write_registration(self) -> None:
        """Write the entry in the store; each one has a higher sequence."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        await self.store.put(f"servers/{self.name}", entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_registration()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._handle(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/health":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        if request.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(encode_answer(request, 421, b"", {"X-Not-Executed": "1"}))
            return True
        if self._waiting >= self.queue:
            writer.write(encode_answer(request, 503, b"", {"X-Not-Executed": "1"}))
            return True
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self.running.add(request.id)
        self.ran.append(request.id)
        self.record.add(
            "run", server=self.name, request=request.id, method=request.method
        )
        try:
            return await self.behaviour(self, request, writer)
        finally:
            self.running.discard(request.id)
            self._free_slots.release()
            self.record.add("run ended", server=self.name, request=request.id)


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read a request without its body; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, b"")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a whole request; returns None at the end of the connection."""
    request = await read_head(reader)
    if request is None:
        return None
    if "content-length" in request.headers:
        length = int(request.headers["content-length"])
        request.body = await reader.readexactly(length)
    elif request.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            request.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return request


@dataclass
class Answer:
    """What a caller got: status 0 without a head, and whether the answer was whole."""

    request_id: str
    sent_at: float
    ended_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body_bytes: int = 0
    body: bytes = b""
    whole: bool = False
    left: bool = False

    @property
    def elapsed_s(self) -> float:
        return self.ended_at - self.sent_at


class Connection:
    """Caller's connection that can be kept for several requests."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        request_id: str,
        method: str,
        path: str,
        wait_s: float,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and wait; closes the connection when the time is over."""
        started_at = time.monotonic()
        answer = Answer(request_id, started_at, started_at)
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        try:
            async with asyncio.timeout(wait_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address, limit=1 << 18
                    )
                self._writer.write(data)
                await self._writer.drain()
                await self._read_answer(answer)
        except TimeoutError:
            answer.left = True
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        answer.ended_at = time.monotonic()
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _read_answer(self, answer: Answer) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                left = size
                while left:
                    left -= await self._read_some(answer, left)
                await self._reader.readexactly(2)
            await self._reader.readline()
        else:
            left = int(answer.headers.get("content-length", "0"))
            while left:
                left -= await self._read_some(answer, left)
        answer.whole = True

    async def _read_some(self, answer: Answer, most: int) -> int:
        data = await self._reader.read(min(most, 65_536))
        if not data:
            raise asyncio.IncompleteReadError(data, most)
        answer.body_bytes += len(data)
        if len(answer.body) < 1000:
            answer.body += data
        return len(data)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


@dataclass(eq=False)
class Instance:
    """A process of the project."""

    name: str
    address: tuple[str, int]
    ready: tuple[str, int]
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["BASILWICK_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "basilwick", "join"],
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        if self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclass(eq=False)
class Site:
    """Store, servers and instances of a case."""

    record: Record
    directory: Path
    store: KvService = field(default_factory=KvService)
    servers: list[Server] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    zones: tuple[str, ...] = ("a", "b")
    grace_s: int = 6

    async def add_server(
        self,
        name: str,
        service: str,
        kind: type[Server] = Server,
        **options: object,
    ) -> Server:
        """Start a server; its zone follows from the number of servers."""
        zone = self.zones[len(self.servers) % len(self.zones)]
        server = kind(name, service, zone, self.store, self.record, **options)
        await server.start()
        self.servers.append(server)
        return server

    async def configure(
        self,
        routes: dict[str, dict],
        services: dict[str, dict],
        version: int = 2,
        limits: dict | None = None,
    ) -> None:
        """Write a configuration like an operator."""
        defaults = {"host": HOST, "targetLatencyMs": 250, "priority": 1}
        entries = [
            ("routes", name, {**defaults, **route}) for name, route in routes.items()
        ]
        base = {
            "healthCheckPath": "/health",
            "maxConnections": 120,
            "warmupS": 3.0,
            "warmupPerS": 19.0,
            "sharded": False,
            "warmS": 5.0,
        }
        entries += [
            ("services", name, {**base, **service})
            for name, service in services.items()
        ]
        bounds = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 8388608,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        entries.append(("limits", "limits", {**bounds, **(limits or {})}))
        resources = [
            {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}
            for kind, name, spec in entries
        ]
        value = {"version": f"r{version}", "resources": resources}
        await self.store.put("op/config", value)
        self.record.add("configuration acknowledged", version=version)

    def add_instance(self, name: str) -> Instance:
        index = len(self.instances)
        frontend, ready, control, internal = find_ports()
        path = self.directory / f"{name}.toml"
        path.write_text(
            write_settings(
                name,
                self.zones[index % len(self.zones)],
                self.zones,
                frontend,
                ready,
                control,
                internal,
                self.store.address,
                self.grace_s,
            )
        )
        instance = Instance(
            name,
            ("127.0.0.1", frontend),
            ("127.0.0.1", ready),
            path,
            self.directory / f"{name}.log",
        )
        self.instances.append(instance)
        return instance

    async def start_instances(self, names: tuple[str, ...]) -> None:
        """Start instances and wait until all are ready."""
        for name in names:
            self.add_instance(name).start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        deadline = time.monotonic() + timeout_s
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > deadline or not instance.running:
                    raise NotRunError(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.add("instances ready")
        # Machines are in touch once all was calm for stabilityWindowMs.
        await asyncio.sleep(4.0)

    def require_ready(self) -> None:
        """Raise NotRunError unless all instances run."""
        for instance in self.instances:
            if not instance.running:
                raise NotRunError(f"{instance.name} has ended")

    async def close(self) -> None:
        for instance in self.instances:
            instance.kill()
        for server in self.servers:
            await server.close()
        await self.store.close()


def find_ports() -> tuple[int, int, int, int]:
    """Return free ports; the port after the last one is free too.

    They lie below the ports that the system gives to outgoing connections.
    """
    while True:
        first = random.randrange(12_000, 31_000)
        ports = range(first, first + 5)
        with ExitStack() as stack:
            try:
                for port in ports:
                    sock = stack.enter_context(socket.socket())
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return ports[0], ports[1], ports[2], ports[3]


def write_settings(
    name: str,
    zone: str,
    zones: tuple[str, ...],
    frontend: int,
    ready: int,
    control: int,
    internal: int,
    store: str,
    grace_s: int,
) -> str:
    zone_lines = "\n".join(f'{zone} = "region"' for zone in zones)
    return f"""
grants = "invocation"
[localNode]
nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "127.0.0.1"
zone = "{zone}"
region = "region"
inTolerance = false
bootstrap = true
[localNode.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPortRange = [{internal}, {internal + 1}]
seeds = []
[network.listenAddresses]
frontendAddress = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
controlPlane = "127.0.0.1:{control}"
[network.zones]
{zone_lines}
[platform]
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 870
[platform.platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
[terms.faultTolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seedPropagationS = 3
addressReuseS = 2
stabilityWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = {grace_s}
lossSlackMs = 200
configApplyMs = 2000
regressionMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 60
warmupOverage = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 15
maxHoldMs = 10000
thawSlackMs = 300
"""


def run_case(directory: Path, play: Callable[[Site, Record], Awaitable[str]]) -> None:
    """Play a case and exit; `play` returns how the rule was broken, "" if it held."""
    record = Record(directory)

    async def run() -> str:
        # The processes are ended also when the script itself is ended.
        end = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(record, Path(temporary))
            await site.store.start()
            try:
                async with asyncio.timeout(110.0):
                    return await play(site, record)
            finally:
                for instance in site.instances:
                    if instance.log.exists() and os.environ.get("KEEP_LOGS"):
                        target = directory / f"{instance.name}.log"
                        target.write_bytes(instance.log.read_bytes())
                await site.close()

    try:
        fault = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Whatever fails in the script itself is no broken rule.
        record.add("not run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.add("result", broken=bool(fault), detail=fault)
    print(f"trouble={int(TROUBLE)}: {fault or 'the rule held'}")
    sys.exit(EXIT_BROKEN if fault else EXIT_HELD)
