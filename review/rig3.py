"""Starts a small site for the cases 11 to 15: instances, a store and servers.

The instances are separate processes, started with the command of the deploy file. The
platform's store is the project's stand-in, and the servers are small ones of their own,
which answer as a case tells them. All of them listen on loopback addresses only.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from itertools import count
from pathlib import Path
from random import SystemRandom

REPOSITORY = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(REPOSITORY / "target" / "deps"), str(REPOSITORY)]

from basilwick.fakes.kv_service import KvService  # noqa: E402

HOST = "calls.example"
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Longest time in seconds of a whole case.
CASE_LIMIT_S = 100.0
_START_LIMIT_S = 20.0
_PORTS = (12_000, 30_000)
_RNG = SystemRandom()
_NUMBERS = count(1)


class CaseNotRunError(Exception):
    """The case could not be set up, or the trouble could not be made."""


class Record:
    """Lines of what was sent, answered and run, in ``record.txt`` of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return the first of ``count`` ports that follow each other and are free."""
    while True:
        first = _RNG.randrange(*_PORTS)
        ports = list(range(first, first + count))
        try:
            for port in ports:
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return ports


class Head:
    """Head of a request or of an answer."""

    def __init__(self, data: bytes):
        lines = data.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = [
            tuple(part.strip() for part in line.split(":", 1))
            for line in lines[1:]
            if ":" in line
        ]

    def get(self, name: str, default: str = "") -> str:
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> Head:
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_body(reader: asyncio.StreamReader, head: Head, bodiless=False) -> bytes:
    """Read the body that the head announces; an answer may end with its connection."""
    if bodiless:
        return b""
    if "chunked" in head.get("Transfer-Encoding").lower():
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    length = head.get("Content-Length")
    if length:
        return await reader.readexactly(int(length))
    if head.first.startswith("HTTP/"):
        return await reader.read()
    return b""


class Server:
    """Server of one service that speaks the published protocol.

    ``answer`` is a coroutine function (server, reader, writer, head, body) that may
    replace the usual answer; it returns whether the connection stays open.
    """

    def __init__(self, name, service, store, record, work_s=0.02, sharded=False):
        self.name, self.service, self.store = name, service, store
        self.record, self.work_s, self.sharded = record, work_s, sharded
        self.answer = None
        self.runs: list[tuple[str, str, str, bytes]] = []
        self.held: list[list] = []  # first, last, fence, end
        self.orders: list[tuple] = []
        self.port = 0
        self.slots = 8
        self.state = "ready"
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self._server = None
        self.writers: set = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.register()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            for writer in list(self.writers):
                writer.transport.abort()

    async def register(self) -> None:
        self.sequence += 1
        await self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await read_head(reader)
        request_id = head.get("X-Request-Id")
        method, target = head.first.split(" ")[:2]
        if head.get("X-Expected-Instance", self.name) != self.name:
            await read_body(reader, head)
            return await self.respond(writer, request_id, 421, not_run=True)
        if target == "/health" and method == "GET":
            identity = f"X-Instance-Id: {self.name}\r\n"
            return await self.respond(writer, request_id, 200, extra=identity)
        if not request_id and target not in ("/grant", "/release"):
            await read_body(reader, head)
            return await self.respond(writer, "", 400, not_run=True)
        if target in ("/grant", "/release") and method == "POST":
            body = json.loads(await read_body(reader, head))
            return await self._obey(writer, target, body)
        if self.answer is not None:
            done = await self.answer(self, reader, writer, head)
            if done is not None:
                return done
        body = await read_body(reader, head)
        if self.sharded and not self.holds(int(head.get("X-Shard-Key", "-1"))):
            return await self.respond(writer, request_id, 421, not_run=True)
        self.run(request_id, method, target, body)
        await asyncio.sleep(self.work_s)
        return await self.respond(
            writer,
            request_id,
            200,
            body=f"{target} by {self.name}".encode(),
            head_only=method == "HEAD",
        )

    def run(self, request_id, method, target, body=b"") -> None:
        self.runs.append((request_id, method, target, body))
        self.record.write(
            f"{self.name} runs {request_id} {method} {target} {len(body)} bytes"
        )

    async def respond(
        self,
        writer,
        request_id,
        status,
        not_run=False,
        body=b"",
        head_only=False,
        extra="",
    ) -> bool:
        lines = [
            f"HTTP/1.1 {status} S",
            f"X-Request-Id: {request_id}",
            f"Content-Length: {len(body)}",
        ]
        if not_run:
            lines.append("X-Not-Executed: 1")
        else:
            lines.append(f"X-Response-Signature: {self.name}.{request_id}")
        data = ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode()
        writer.write(data + (b"" if head_only else body))
        await writer.drain()
        return True

    def holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(a <= key <= b and end > now for a, b, _, end in self.held)

    async def _obey(self, writer, target, body) -> bool:
        first, last, fence = body["source"], body["to"], body["fence"]
        now = time.monotonic()
        self.orders.append((now, target, first, last, fence))
        if target == "/release":
            self._cut(first, last)
            self.record.write(f"{self.name} releases {first}-{last} fence {fence}")
            return await self.respond(
                writer, "", 200, extra=f"X-Handover: {self.name}\r\n"
            )
        if any(a <= last and first <= b and f > fence for a, b, f in self.fences()):
            return await self.respond(writer, "", 409)
        self._seen = [*self.fences(), (first, last, fence)][-5000:]
        self._cut(first, last)
        self.held.append([first, last, fence, now + body["holdMs"] / 1000])
        return await self.respond(writer, "", 200)

    def fences(self):
        return getattr(self, "_seen", [])

    def _cut(self, first, last) -> None:
        kept = []
        for a, b, f, end in self.held:
            if a < first:
                kept.append([a, min(b, first - 1), f, end])
            if b > last:
                kept.append([max(a, last + 1), b, f, end])
        self.held = kept


class Instance:
    """One process of the role ``router``."""

    def __init__(self, site, number: int, descriptors: int = 4100):
        self.descriptors = descriptors
        self.name = f"frontend-zone-a-{number}"
        self._site = site
        base = free_ports(20)
        self.port, self.ready_port, self.internal = base[0], base[1], base[2]
        self.process = None
        self.log = site.folder / f"{self.name}.log"

    def write_settings(self) -> Path:
        path = self._site.folder / f"{self.name}.toml"
        ip = "127.0.0.1"
        path.write_text(
            f'grants = "invocation"\n[localNode]\nnodeName = "{self.name}"\n'
            'role = "router"\nmachineClass = "frontend"\nserves = ["frontend"]\n'
            f'ipAddress = "{ip}"\nzone = "zone-a"\nregion = "region-a"\n'
            "inTolerance = true\nbootstrap = true\n[localNode.limits]\n"
            "cpuShare = 0.86\ncpuCores = 1\nmemoryMb = 300\n"
            f"fileDescriptors = {self.descriptors}\n"
            "linkMbps = 1000.0\ndiskMb = 0\n[network]\n"
            f"internalPortRange = [{self.internal},{self.internal + 15}]\nseeds = []\n"
            "[network.listenAddresses]\n"
            f'frontendAddress = "{ip}:{self.port}"\nready = "{ip}:{self.ready_port}"\n'
            '[network.zones]\nzone-a = "region-a"\n[platform]\n'
            'discovery = "platform"\nentryPoint = "virtual_ip"\n'
            "heartbeatIntervalMs = 1000\n[platform.platform]\n"
            f'address = "{self._site.store.address}"\nform = "kv"\nwritesPerS = 400\n'
            "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n"
            '[terms]\ncontracts = ["base","drain","config","cost","retry","recover",'
            '"own","places","platform"]\n[terms.faultTolerance]\nmachines = 2\n'
            "zones = 1\nregions = 0\n[terms.bounds]\nseedPropagationS = 3\n"
            "addressReuseS = 2\nstabilityWindowMs = 3000\nackTimeoutMs = 4000\n"
            "catchUpS = 4\ndrainTimeoutMs = 2000\ngracePeriodS = 6\n"
            "lossSlackMs = 200\nconfigApplyMs = 2000\nregressionMs = 250\n"
            "maxStretchMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
            "retryBudgetSlack = 60\nwarmupOverage = 1.5\nwarmupSlack = 5\n"
            "evacuationMs = 5000\nrecoveryS = 15\nmaxHoldMs = 10000\n"
            "thawSlackMs = 300\n"
        )
        return path

    async def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BASILWICK_SETTINGS"] = str(self.write_settings())
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "basilwick", "join",
                cwd=REPOSITORY, env=environment, stdout=file, stderr=file,
            )  # fmt: skip

    def signal(self, number: int) -> None:
        if self.running:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        try:
            answer = await call(self.ready_port, "GET", "/readiness", "", timeout_s=1.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200


class Answer:
    def __init__(self, head: Head, body: bytes):
        self.head, self.body = head, body
        self.status = int(head.first.split(" ")[1])


async def call(
    port,
    method,
    target,
    request_id,
    fields=(),
    body=b"",
    timeout_s=3.0,
    deadline_ms=2000,
) -> Answer:
    """Send one request on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(encode(method, target, request_id, fields, body, deadline_ms))
            head = await read_head(reader)
            return Answer(head, await read_body(reader, head, method == "HEAD"))
        finally:
            writer.close()


def encode(method, target, request_id, fields=(), body=b"", deadline_ms=2000) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    if request_id:
        lines += [
            f"X-Request-Id: {request_id}",
            f"X-Request-Deadline-Ms: {deadline_ms}",
        ]
    lines += fields
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name, prefix, service, kind, timeout_ms=2000, **more):
    spec = {
        "host": HOST, "pathPrefix": prefix, "service": service, "kind": kind,
        "maxAttempts": 2, "timeoutMs": timeout_ms, "targetLatencyMs": 300,
        "priority": 1, **more,
    }  # fmt: skip
    return {"resourceKind": "routes", "metadata": {"name": name}, "specification": spec}


def service(name, sharded=False, **more):
    spec = {
        "healthCheckPath": "/health", "maxConnections": 120, "warmupS": 3,
        "warmupPerS": 6.0, "sharded": sharded, **more,
    }  # fmt: skip
    return {
        "resourceKind": "services",
        "metadata": {"name": name},
        "specification": spec,
    }


LIMITS = {
    "resourceKind": "limits",
    "metadata": {"name": "limits"},
    "specification": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20, "headerTimeoutMs": 10000,
        "idleTimeoutMs": 15000,
    },
}  # fmt: skip


class Site:
    """Store, servers and instances of a case."""

    def __init__(self, record: Record):
        self.record = record
        self.store = KvService()
        self.servers: list[Server] = []
        self.instances: list[Instance] = []
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._folder.name)
        self.version = 10

    async def start_store(self) -> None:
        await self.store.start()

    async def configure(self, resources) -> None:
        self.version += 3
        await self.store.put(
            "op/config", {"version": f"r{self.version}", "resources": resources}
        )

    async def add_server(self, name, service_name, **more) -> Server:
        server = Server(name, service_name, self.store, self.record, **more)
        await server.start()
        self.servers.append(server)
        return server

    async def start_instances(self, count: int, descriptors: int = 4100) -> None:
        for number in range(1, count + 1):
            instance = Instance(self, number, descriptors)
            self.instances.append(instance)
            await instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)

    async def wait_ready(self, instance) -> None:
        end = time.monotonic() + _START_LIMIT_S
        while not await instance.is_ready():
            if time.monotonic() > end or not instance.running:
                raise CaseNotRunError(f"{instance.name} did not become ready")
            await asyncio.sleep(0.1)

    async def check_served(self, method: str, target: str) -> None:
        """Wait until each instance serves a request, which the case doesn't judge."""
        for instance in self.instances:
            end = time.monotonic() + _START_LIMIT_S
            while True:
                request_id = f"calm-{next(_NUMBERS)}"
                answer = await call(instance.port, method, target, request_id)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CaseNotRunError(f"{instance.name} serves nothing in calm")
                await asyncio.sleep(0.2)

    def check_alive(self) -> None:
        """Take a process that has ended for a case that couldn't run."""
        for instance in self.instances:
            if not instance.running:
                raise CaseNotRunError(f"{instance.name} has ended")

    async def close(self) -> None:
        for instance in self.instances:
            if instance.running:
                instance.signal(signal.SIGCONT)
                instance.signal(signal.SIGKILL)
                await instance.process.wait()
        for server in self.servers:
            await server.close()
        await self.store.close()
        self._folder.cleanup()


def run_case(record_path: Path, case) -> None:
    """Run a case, a coroutine function (site, trouble) that returns what broke.

    What was sent, answered and run is written to the record.
    """
    try:
        record = Record(record_path)
    except OSError as error:
        print(f"exit code {NOT_RUN}: {error!r}")
        sys.exit(NOT_RUN)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        # A script that is stopped early ends its processes too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        site = Site(record)
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                broken = await case(site, trouble)
        finally:
            await site.close()
        record.write(f"broken: {broken}" if broken else "the rule held")
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.write(f"not run: {error!r}")
        code = NOT_RUN
    print(f"exit code {code}")
    sys.exit(code)
