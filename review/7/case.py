"""A planned stop, and answers that slow callers are still reading."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from time import monotonic

from rig import HOST, TROUBLE, Rig, Server, run

RECORD = Path(__file__).resolve().parent / "record.txt"

#: Largest response of the deployment's downloads, and their time budget in seconds.
RESPONSE_BYTES = 540_000
TIME_BUDGET_S = 4.982
WORK_S = 0.081
#: Pace of a slow caller, which needs 4.75 s for the response.
PIECE_BYTES = 11_400
PIECE_INTERVAL_S = 0.1
#: Receive buffer of a slow caller; what it doesn't read stays at the sender.
RECEIVE_BUFFER_BYTES = 16_384
#: Seconds after SIGTERM at which callers send their requests.
SEND_AT_S = [0.2 + 0.2 * number for number in range(11)]
#: Seconds from SIGTERM to SIGKILL.
GRACE_PERIOD_S = 6.0


class DownloadServer(Server):
    """Server with large responses that notes when it has sent them."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        #: Local time at which the last byte was written, by request.
        self.sent_at: dict[str, float] = {}

    def make_body(self, request_id: str) -> bytes:
        size = RESPONSE_BYTES if request_id.startswith("slow-") else 600
        return f"{self.name} {request_id} ".encode().ljust(size, b".")

    async def respond(self, writer, request_id: str) -> bool:
        writer.transport.set_write_buffer_limits(0)
        await super().respond(writer, request_id)
        self.sent_at[request_id] = monotonic()
        return True


class SlowCaller:
    """Caller with a kept connection that reads its answer at a steady pace."""

    def __init__(self, rig: Rig, send_at_s: float):
        self.send_at_s = send_at_s
        self.request_id = f"slow-{next(rig.ids)}"
        self.status = 0
        self.received = 0
        self.complete = False
        self.elapsed_s = 0.0
        host, _, port = rig.caller_address(0).rpartition(":")
        self._address = (host, int(port))

    async def open(self) -> None:
        """Open the connection and use it for a small request."""
        loop = asyncio.get_running_loop()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await loop.sock_connect(self._sock, self._address)
        await self._send(loop, self.request_id.replace("slow", "small"))
        await self._read(loop, self._sock, monotonic() + TIME_BUDGET_S)
        if self.status != 200 or not self.complete:
            raise RuntimeError(f"a request in calm got {self.status}")
        self.status, self.received, self.complete = 0, 0, False

    async def run(self, began_at: float) -> None:
        """Send the request in time and read the answer."""
        await asyncio.sleep(began_at + self.send_at_s - monotonic())
        loop = asyncio.get_running_loop()
        sent_at = monotonic()
        try:
            await self._send(loop, self.request_id)
            await self._read(loop, self._sock, sent_at + TIME_BUDGET_S)
        except OSError:
            pass
        finally:
            self.elapsed_s = monotonic() - sent_at
            self._sock.close()

    async def _send(self, loop, request_id: str) -> None:
        request = (
            f"GET /blob/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline-Ms: {TIME_BUDGET_S * 1000:.0f}\r\n\r\n"
        )
        await loop.sock_sendall(self._sock, request.encode())

    async def _read(self, loop, sock, deadline: float) -> None:
        data = b""
        total = None
        next_at = monotonic()
        while monotonic() < deadline:
            chunk = await loop.sock_recv(sock, PIECE_BYTES)
            if not chunk:
                return
            data += chunk
            if total is None and b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                self.status = int(head.split(b" ", 2)[1])
                lengths = [
                    int(row.split(b":")[1])
                    for row in head.split(b"\r\n")
                    if row.lower().startswith(b"content-length:")
                ]
                total = lengths[0]
            self.received = len(data)
            if total is not None and self.received >= total:
                self.complete = True
                return
            next_at += PIECE_INTERVAL_S * len(chunk) / PIECE_BYTES
            await asyncio.sleep(max(0.0, next_at - monotonic()))


async def main() -> int:
    rig = Rig(RECORD, memory_mb=440)
    try:
        await rig.start_store()
        servers = []
        for index in range(6):
            name = f"blob-{index}"
            server = DownloadServer(rig, name, "blob", "abc"[index % 3], WORK_S)
            servers.append(server)
            await rig.add_server(server)
        route = {
            "pathPrefix": "/blob/",
            "kind": "download",
            "timeoutMs": TIME_BUDGET_S * 1000,
            "targetLatencyMs": 1200,
            "priority": 2,
            "service": "blob",
            "maxAttempts": 2,
        }
        await rig.put_configuration(7, [route], {"blob": {}})
        for index in range(3):
            await rig.start_instance(index)
        if not await rig.wait_ready(range(3)):
            rig.record.say("the instances did not become ready")
            return 2
        await asyncio.sleep(3.5)
        callers = [SlowCaller(rig, at) for at in SEND_AT_S]
        for caller in callers:
            await caller.open()
        await asyncio.sleep(0.5)
        began_at = monotonic()
        tasks = [asyncio.create_task(caller.run(began_at)) for caller in callers]
        if TROUBLE:
            rig.signal(0, signal.SIGTERM)
            rig.record.write("SIGTERM sent to the instance")
            try:
                async with asyncio.timeout(GRACE_PERIOD_S):
                    await rig.processes[0].wait()
                rig.record.write(f"it ended after {monotonic() - began_at:.2f} s")
            except TimeoutError:
                rig.signal(0, signal.SIGKILL)
                rig.record.write("SIGKILL sent to the instance")
        await asyncio.gather(*tasks)
        lost = 0
        for caller in callers:
            sent = [s.sent_at.get(caller.request_id) for s in servers]
            sent = [at - began_at for at in sent if at is not None]
            passed_on = any(
                run[0] == caller.request_id for server in servers for run in server.runs
            )
            in_budget = caller.elapsed_s < TIME_BUDGET_S - 0.05
            # The rule excuses a request whose server was still at work in the last
            # sixth of the grace period, and one whose time budget was reached.
            done = bool(sent) and sent[0] < GRACE_PERIOD_S * 5 / 6
            broken = passed_on and not caller.complete and in_budget and done
            lost += broken
            rig.record.write(
                f"{caller.request_id}: sent {caller.send_at_s:.1f} s after the signal, "
                f"status {caller.status}, {caller.received} bytes, complete "
                f"{caller.complete}, after {caller.elapsed_s:.2f} s; server had sent "
                f"all {sent[0] if sent else -1:.2f} s after the signal"
                + ("; LOST" if broken else "")
            )
        complete = sum(caller.complete for caller in callers)
        rig.record.say(
            f"{len(callers)} answers for slow callers: {complete} complete, {lost} cut "
            f"off by the planned stop; rule {'broken' if lost else 'held'}"
        )
        return int(lost > 0)
    finally:
        await rig.close()


run(main)
