"""The whole path as separate processes: serve, lose an instance, serve again."""

from __future__ import annotations

import sys
from asyncio import create_subprocess_exec, sleep
from contextlib import AsyncExitStack
from socket import socket

from aiohttp import ClientError, ClientSession
from orjson import dumps


def _take_ports(count):
    sockets = [socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def _start(stack, *arguments):
    process = await create_subprocess_exec(
        sys.executable, "-m", "basilwick", *[str(a) for a in arguments]
    )

    async def _stop():
        if process.returncode is None:
            process.kill()
        await process.wait()

    stack.push_async_callback(_stop)
    return process


async def _fetch(session, port, timeout_s=20.0):
    for _ in range(int(timeout_s / 0.1)):
        try:
            async with session.get(f"http://127.0.0.1:{port}/v1/clue/gate-7") as answer:
                if answer.status == 200:
                    return await answer.json()
        except ClientError:
            pass
        await sleep(0.1)
    raise AssertionError(f"port {port} served no request within {timeout_s} s")


async def test_request_is_served_after_loss_of_an_instance(tmp_path):
    # Guards against a request path that depends on one particular instance.
    platform, back, proxy, *ports = _take_ports(15)
    records = [
        {"schema": 2, "kind": "service", "name": "clue"},
        {
            "schema": 2,
            "kind": "server",
            "name": "clue-1",
            "service": "clue",
            "data_centre": "dc-a",
            "address": f"127.0.0.1:{proxy}",
        },
        {
            "schema": 2,
            "kind": "data_centre",
            "name": "dc-a",
            "witnesses": [
                {"name": f"a-{n}", "peer_address": f"127.0.0.1:{ports[4 * n + 2]}"}
                for n in range(3)
            ],
        },
    ]
    (tmp_path / "records.json").write_bytes(dumps(records))
    async with AsyncExitStack() as stack:
        await _start(
            stack, "fake", "platform", "--port", platform,
            "--records", tmp_path / "records.json",
        )  # fmt: skip
        await _start(stack, "fake", "backend", "--name", "clue-1", "--port", back)
        await _start(
            stack, "fake", "proxy", "--target", f"127.0.0.1:{back}", "--port", proxy
        )
        await sleep(1.5)
        instances = []
        for number in range(3):
            caller, forward, peer, admin = ports[4 * number : 4 * number + 4]
            path = tmp_path / f"{number}.toml"
            path.write_text(
                f'[instance]\nname = "a-{number}"\ndata_centre = "dc-a"\n'
                f'[listen]\ncaller = "127.0.0.1:{caller}"\n'
                f'forward = "127.0.0.1:{forward}"\n'
                f'peer = "127.0.0.1:{peer}"\nadmin = "127.0.0.1:{admin}"\n'
                f'[platform]\naddress = "127.0.0.1:{platform}"\n'
            )
            instances.append((await _start(stack, "serve", path), caller))
        session = await stack.enter_async_context(ClientSession())
        answer = await _fetch(session, instances[0][1])
        assert answer["server"] == "clue-1"
        instances[0][0].kill()
        answer = await _fetch(session, instances[1][1])
        assert answer["server"] == "clue-1"
