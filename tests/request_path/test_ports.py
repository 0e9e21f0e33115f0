"""Limits and bodies at the caller port, and the key of the forward port."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from contextlib import AsyncExitStack
from hashlib import sha256

import pytest
from aiohttp import ClientError, web
from orjson import loads
from request_harness import open_raw, reply, run_cluster, run_server

from basilwick.core.timing import PERMISSION_TERM_S

LARGE = bytes(range(256)) * 4096


class Sink:
    """Backend server that keeps the uploads that arrived whole."""

    def __init__(self):
        self.started = 0
        self.bodies = []

    async def __call__(self, request):
        self.started += 1
        body = await request.content.read()
        if len(body) == request.content_length:
            self.bodies.append(body)
        return reply(request, 201)


async def _start(stack, handler, count=1):
    address = await stack.enter_async_context(run_server(handler))
    return await stack.enter_async_context(run_cluster(address, count))


async def _read_answer(reader):
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)).decode()
    length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
    return int(head.split()[1]), loads(await reader.readexactly(length))


def _build(fields="", path="/v1/clue/k", method="GET"):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (_build(f"X-Long: {'x' * 9000}\r\n"), 400, "too_large"),
        (_build("".join(f"X-{n}: 1\r\n" for n in range(80))), 400, "too_large"),
        (_build(path="/v1/clue/" + "k" * 513), 413, "too_large"),
        (_build(path="/v1/clue/%ff"), 400, "bad_request"),
        (_build(path="/v1/clue"), 400, "bad_request"),
        (_build(path="/v1/other/k"), 404, "unknown_service"),
        (_build("Basilwick-Deadline-Ms: 9\r\n" * 2), 400, "bad_request"),
        (_build("Basilwick-Deadline-Ms: 0\r\n"), 400, "bad_request"),
        (_build("Basilwick-Deadline-Ms: 120001\r\n"), 400, "bad_request"),
        (_build("Basilwick-Operation: twice\r\n"), 400, "bad_request"),
        (_build("Basilwick-Operation: upload\r\n"), 400, "bad_request"),
        (_build("Basilwick-Token: a.b.1.c\r\n"), 400, "bad_request"),
        (_build("Content-Length: 1\r\n" * 2, method="POST"), 400, "bad_request"),
        (
            _build(
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", method="POST"
            ),
            400,
            "bad_request",
        ),
        (_build("Transfer-Encoding: chunked\r\n", method="PUT"), 400, "bad_request"),
        (_build(f"Content-Length: {1 << 40}\r\n", method="PUT"), 413, "too_large"),
        (
            _build(
                "Content-Length: 3\r\nContent-Digest: sha-256=:eA==:\r\n", method="PUT"
            ),
            400,
            "bad_request",
        ),
    ],
)
async def test_unacceptable_head_is_refused_as_not_run(data, status, kind):
    # Guards against memory taken by oversized heads, and against requests that two
    # hops read differently because a field occurs twice.
    sink = Sink()
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, sink)
        reader, writer = await open_raw(cluster, data)
        answer = await _read_answer(reader)
        writer.close()
        assert answer[0] in (status, 413 if kind == "too_large" else status)
        assert (answer[1]["error"], answer[1]["outcome"]) == (kind, "not_run")
        assert sink.started == 0


@pytest.mark.parametrize("instance", [0, 1])
@pytest.mark.parametrize("size", [1000, len(LARGE)])
@pytest.mark.parametrize("right", [True, False])
async def test_upload_is_acknowledged_only_whole(instance, size, right):
    # Guards against a wrong body that a server takes for the whole upload.
    sink = Sink()
    body = LARGE[:size]
    digest = b64encode(sha256(body if right else b"else").digest()).decode()
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, sink, 2)
        headers = {"Content-Digest": f"sha-256=:{digest}:"}
        status, text, _ = await cluster.send(
            "PUT", instance=instance, data=body, headers=headers
        )
        if right:
            assert (status, sink.bodies) == (201, [body])
            return
        outcome = "unknown" if size > 65536 else "not_run"
        data = loads(text)
        assert (data["error"], data["outcome"]) == ("body_mismatch", outcome)
        await asyncio.sleep(0.05)
        assert sink.bodies == []


class Half(Sink):
    """Backend server that counts the bodies that were cut off."""

    failed = 0

    async def __call__(self, request):
        self.started += 1
        try:
            await request.content.read()
        except BaseException:
            self.failed += 1
            raise


async def test_upload_ends_when_its_permission_ends():
    # Guards against the rest of a body sent to a server whose shard has a new owner.
    half = Half()
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, half)
        head = _build(
            f"Content-Length: {len(LARGE)}\r\nBasilwick-Deadline-Ms: 5000\r\n",
            method="PUT",
        )
        reader, writer = await open_raw(cluster, head + LARGE[:500_000])
        async with asyncio.timeout(2):
            while not half.started:
                await asyncio.sleep(0.01)
        cluster.set(permitted=False)
        await asyncio.sleep(PERMISSION_TERM_S + 0.1)
        writer.write(LARGE[500_000:])
        status, answer = await _read_answer(reader)
        assert (status, answer["error"], answer["outcome"]) == (
            503, "no_permission", "unknown",
        )  # fmt: skip
        writer.close()
        await asyncio.sleep(0.05)
        assert half.failed == 1


async def test_body_that_stops_half_way_is_cancelled_at_the_server():
    # Guards against a server that waits for, or stores, half an upload.
    half = Half()
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, half, 2)
        head = _build(f"Content-Length: {len(LARGE)}\r\n", method="PUT")
        _, writer = await open_raw(cluster, head + LARGE[: len(LARGE) // 2], 1)
        async with asyncio.timeout(2):
            while not half.started:
                await asyncio.sleep(0.01)
            writer.close()
            while not half.failed:
                await asyncio.sleep(0.01)
        assert cluster.limiter().running == 0


async def test_early_acknowledgement_of_an_upload_is_not_believed():
    # Guards against an acknowledged upload that the server never got whole.
    async def _hasty(request):
        return reply(request, 201)

    async with AsyncExitStack() as stack:
        cluster = await _start(stack, _hasty)
        body = LARGE * 64
        status, text, _ = await cluster.send(
            "PUT", data=body[: 60 << 20], headers={"Basilwick-Deadline-Ms": "5000"}
        )
        assert (status, loads(text)["outcome"]) == (502, "unknown")


@pytest.mark.parametrize("instance", [0, 1])
async def test_large_answer_arrives_whole_or_visibly_broken(instance):
    # Guards against half an answer that looks like a whole one.
    stop_half_way = False

    async def _stream(request):
        answer = web.StreamResponse(
            headers={"Basilwick-Attempt": request.headers["Basilwick-Attempt"]}
        )
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        await answer.write(LARGE)
        if stop_half_way:
            await asyncio.sleep(0.1)
            request.transport.abort()
        await answer.write_eof()
        return answer

    async with AsyncExitStack() as stack:
        cluster = await _start(stack, _stream, 2)
        status, body, _ = await cluster.send(instance=instance)
        assert (status, body) == (200, LARGE)
        stop_half_way = True
        with pytest.raises(ClientError):
            await asyncio.wait_for(cluster.send(instance=instance), 3)
        await asyncio.sleep(0.05)
        assert cluster.limiter().running == 0


async def test_slow_reader_holds_no_slot_past_its_deadline():
    # Guards against callers that read nothing and keep a slot and memory for ever.
    async def _large(request):
        return reply(request, body=LARGE * 32)

    async with AsyncExitStack() as stack:
        cluster = await _start(stack, _large)
        _, writer = await open_raw(cluster, _build("Basilwick-Deadline-Ms: 300\r\n"))
        await asyncio.sleep(0.15)
        assert cluster.limiter().running == 1
        await asyncio.sleep(0.3)
        assert cluster.limiter().running == 0
        writer.close()


async def test_forward_port_needs_the_shared_key():
    # Guards against callers that reach a server with forged routing fields.
    sink = Sink()
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, sink)
        url = f"http://{cluster.servers[0].forward.address}/v1/clue/k"
        for headers in ({}, {"Basilwick-Key": "kex"}):
            headers |= {"Basilwick-Hops": "1", "Basilwick-Attempt": "1"}
            async with cluster.session.get(url, headers=headers) as answer:
                assert answer.status == 401
        assert sink.started == 0


async def test_health_and_readiness():
    # Guards against traffic to an instance that cannot serve yet.
    async with AsyncExitStack() as stack:
        cluster = await _start(stack, Sink())
        for ready, status in ((True, 200), (False, 503)):
            cluster.set(ready=ready)
            async with cluster.session.get(cluster.url("/ready")) as answer:
                assert answer.status == status
            async with cluster.session.get(cluster.url("/health")) as answer:
                assert answer.status == 200
