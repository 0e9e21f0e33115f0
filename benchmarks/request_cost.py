"""Cost of a request at an instance, against a trivial aiohttp server.

Each role runs in a process of its own: a trivial server that is also the backend
server, an entry instance and a gateway instance. The caller keeps a fixed number of
requests in flight on kept connections.
"""

from __future__ import annotations

import asyncio
from cProfile import Profile
from multiprocessing import get_context
from os import environ
from pstats import Stats
from random import Random
from resource import RUSAGE_SELF, getrusage
from sys import argv
from time import monotonic
from typing import TYPE_CHECKING, Any, BinaryIO

from aiohttp import web
from orjson import OPT_INDENT_2, dumps

from basilwick.core.operations import OperationLedger
from basilwick.core.records import ServerRecord, ServiceRecord
from basilwick.core.routing import Peer
from basilwick.logs import configure_logs
from basilwick.metrics import Metrics
from basilwick.runtime.request_path import RequestPath
from basilwick.runtime.request_server import RequestServer
from benchmarks.static_view import StaticView

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

_IN_FLIGHT = 16
_WARM_UP_S = 0.5
_RUN_S = float(environ.get("REQUEST_COST_SECONDS", "2"))
_ROUNDS = 5
_KEY = "measurement"
_BODY = b'{"clue":"under the third lantern"}'


def main() -> None:
    """Measure and print JSON."""
    context = get_context("spawn")
    roles: dict[str, tuple[Any, Connection]] = {}

    def _start(name: str, target: Any, *arguments: Any) -> list[str]:
        own, other = context.Pipe()
        process = context.Process(target=target, args=(other, *arguments), daemon=True)
        process.start()
        roles[name] = process, own
        return own.recv()

    try:
        (trivial,) = _start("trivial", _run_trivial)
        gateway = _start("gateway", _run_instance, "a-0", trivial, None)
        entry = _start("entry", _run_instance, "a-1", trivial, gateway)
        pipes = {name: pipe for name, (_, pipe) in roles.items()}
        path = "/v1/clue/gate-7"
        plan = {
            "trivial server": (trivial, ["trivial"]),
            "instance that is the gateway": (gateway[0], ["gateway", "trivial"]),
            "entry and gateway": (entry[0], ["entry", "gateway", "trivial"]),
        }
        rounds: dict[str, list[dict[str, Any]]] = {name: [] for name in plan}
        for _ in range(_ROUNDS):
            for name, (address, names) in plan.items():
                rounds[name].append(_measure(address, path, names, pipes))
    finally:
        for process, pipe in roles.values():
            pipe.send("stop")
            process.join(5)
    # Other work on the machine only adds time, so the best round says most.
    cases = {
        name: max(results, key=lambda result: result["requests_per_s"])
        for name, results in rounds.items()
    }
    data = {
        "in_flight": _IN_FLIGHT,
        "seconds": _RUN_S,
        "rounds": _ROUNDS,
        "cases": cases,
    }
    print(dumps(data, option=OPT_INDENT_2).decode())


def _measure(
    address: str, path: str, names: list[str], pipes: dict[str, Connection]
) -> dict[str, Any]:
    asyncio.run(_load(address, path, _WARM_UP_S))
    before = {name: _ask(pipes[name]) for name in names}
    latencies, seconds = asyncio.run(_load(address, path, _RUN_S))
    after = {name: _ask(pipes[name]) for name in names}
    count = len(latencies)
    latencies.sort()
    return {
        "requests_per_s": round(count / seconds),
        "p50_ms": round(latencies[count // 2] * 1000, 2),
        "p99_ms": round(latencies[count * 99 // 100] * 1000, 2),
        "processor_us_per_request": {
            name: round((after[name] - before[name]) / count * 1e6, 1) for name in names
        },
    }


def _ask(pipe: Connection) -> float:
    pipe.send("time")
    return pipe.recv()


async def _load(address: str, path: str, seconds: float) -> tuple[list[float], float]:
    host, _, port = address.rpartition(":")
    data = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
    latencies: list[float] = []
    started = monotonic()

    async def _call() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        while (began := monotonic()) - started < seconds:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(f"unexpected answer {head!r}")
            await reader.readexactly(len(_BODY))
            latencies.append(monotonic() - began)
        writer.close()

    await asyncio.gather(*[_call() for _ in range(_IN_FLIGHT)])
    return latencies, monotonic() - started


async def _obey(pipe: Connection, addresses: list[str]) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()

    def _read() -> None:
        if pipe.recv() == "stop":
            stopped.set()
        else:
            usage = getrusage(RUSAGE_SELF)
            pipe.send(usage.ru_utime + usage.ru_stime)

    loop.add_reader(pipe.fileno(), _read)
    pipe.send(addresses)
    await stopped.wait()
    loop.remove_reader(pipe.fileno())


def _run_trivial(pipe: Connection) -> None:
    async def _answer(request: web.BaseRequest) -> web.Response:
        headers = {"Content-Type": "application/json"}
        attempt = request.headers.get("Basilwick-Attempt")
        if attempt is not None:
            headers["Basilwick-Attempt"] = attempt
        return web.Response(body=_BODY, headers=headers)

    async def _serve() -> None:
        server = web.Server(_answer, access_log=None)
        listening = await asyncio.get_running_loop().create_server(
            server, "127.0.0.1", 0
        )
        await _obey(pipe, [f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"])

    asyncio.run(_serve())


def _open_null() -> BinaryIO:
    return open("/dev/null", "wb")


def _run_instance(
    pipe: Connection, name: str, backend: str, gateway: list[str] | None
) -> None:
    async def _serve() -> None:
        with _open_null() as stream:
            configure_logs(stream)
            own = Peer(name, "i", "dc-a", "")
            other = own if gateway is None else Peer("a-0", "i", "dc-a", gateway[1])
            view = StaticView(
                own,
                other,
                ServerRecord("clue-1", "clue", "dc-a", backend, slots=_IN_FLIGHT),
                ServiceRecord("clue"),
            )
            ledger = OperationLedger(name, "i", b"secret")
            path = RequestPath(view, monotonic, Random(1), ledger, Metrics(), _KEY)
            server = RequestServer(path, monotonic, "127.0.0.1:0", "127.0.0.1:0", _KEY)
            await server.start()
            await _obey(pipe, [server.caller.address, server.forward.address])
            await server.close()

    if "--profile" not in argv:
        asyncio.run(_serve())
        return
    profile = Profile()
    profile.runcall(asyncio.run, _serve())
    Stats(profile).sort_stats("tottime").print_stats(35)


if __name__ == "__main__":
    main()
