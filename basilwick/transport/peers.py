"""Control connections between instances, over grpclib streams."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from hmac import compare_digest
from time import monotonic
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from loguru import logger

from basilwick.core.messages import Announcement, Heartbeat, Summary
from basilwick.transport import messages_pb2 as pb
from basilwick.transport.codec import (
    MessageDecoder,
    MessageEncoder,
    decode_fetch_reply,
    encode_fetch_reply,
)
from basilwick.transport.messages_grpc import PeerBase, PeerStub

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.server import Stream

    from basilwick.core.configuration import Changes
    from basilwick.core.messages import Message
    from basilwick.core.types import Revision

__all__ = ["PeerLinks", "PeerServer"]

# The suffix makes gRPC accept any bytes.
_KEY_HEADER = "basilwick-key-bin"
_CONNECT_TIMEOUT_S = 0.5
_FETCH_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 1.0
#: A connection over which nothing is confirmed for this long is replaced, because a
#: connection can go silent for good while a new one works. Five heartbeats or one
#: summary with slack.
SILENT_AFTER_S = 0.6
_RECONNECT_MIN_S = 0.1
_RECONNECT_MAX_S = 2.0
#: Messages waiting for a connection; older ones are dropped, because heartbeats repeat.
_MAX_WAITING = 64
#: A link to which nothing was sent for this long is closed.
_IDLE_AFTER_S = 30.0
_FAILURES = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class _PeerService(PeerBase):
    def __init__(
        self,
        shared_key: str,
        receive: Callable[[Message], None],
        read_changes: Callable[[Revision], Changes],
    ):
        self._key = shared_key.encode()
        self._receive = receive
        self._read_changes = read_changes

    def _check_key(self, stream: Stream) -> None:
        given = (stream.metadata or {}).get(_KEY_HEADER, b"")
        if not compare_digest(given, self._key):
            logger.warning("peer call refused: shared key does not match")
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "shared key does not match; compare security.shared_key of both sides",
            )

    async def Exchange(self, stream: Stream) -> None:
        self._check_key(stream)
        decoder = MessageDecoder()
        acknowledgement = pb.ControlMessage(acknowledgement=pb.Acknowledgement())
        await stream.send_initial_metadata()
        async for encoded in stream:
            message = decoder.decode(encoded)
            if message is None:
                continue
            self._receive(message)
            if isinstance(message, Summary | Announcement):
                await stream.send_message(acknowledgement)

    async def Fetch(self, stream: Stream) -> None:
        self._check_key(stream)
        request = await stream.recv_message()
        changes = self._read_changes(request.since_revision)
        await stream.send_message(encode_fetch_reply(changes))

    async def HandOverOperations(self, stream: Stream) -> None:
        self._check_key(stream)
        await stream.recv_message()
        reason = "ledgers are taken on the forward port"
        await stream.send_message(pb.HandOverReply(accepted=False, reason=reason))


class PeerServer:
    """Accepts control connections of other instances.

    Parameters
    ----------
    address : str
        IP number and port to listen on.
    shared_key : str
        Key that callers must present.
    receive : callable
        Takes each message that arrives.
    read_changes : callable
        Returns the changes after a revision, for instances that lag.
    """

    def __init__(
        self,
        address: str,
        shared_key: str,
        receive: Callable[[Message], None],
        read_changes: Callable[[Revision], Changes],
    ):
        self._address = address
        self._service = _PeerService(shared_key, receive, read_changes)
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(":")
        # The server keeps the event loop that is current when it is created.
        self._server = Server([self._service])
        await self._server.start(host, int(port))

    async def close(self) -> None:
        """Stop listening and end all streams."""
        if self._server is None:
            return
        self._server.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._server.wait_closed()


class _Link:
    """One outgoing stream to a peer address, replaced when it fails or is silent."""

    def __init__(self, address: str, metadata: dict[str, bytes]):
        self._address = address
        self._metadata = metadata
        self._waiting: deque[Message] = deque(maxlen=_MAX_WAITING)
        self._wake = asyncio.Event()
        self._unconfirmed_since: float | None = None
        self._failures = 0
        self._closed = False
        self.used_at = monotonic()
        self.task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Cancel the task; grpclib can turn this into a failure of the stream."""
        self._closed = True
        self.task.cancel()

    def send(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            # Only the newest heartbeat is of use to a receiver that was unreachable.
            while self._waiting and isinstance(self._waiting[-1], Heartbeat):
                self._waiting.pop()
        self._waiting.append(message)
        self.used_at = monotonic()
        self._wake.set()

    def confirm(self, at: float) -> None:
        if self._unconfirmed_since is not None and at >= self._unconfirmed_since:
            self._unconfirmed_since = None
        self._failures = 0

    async def _run(self) -> None:
        while not self._closed:
            host, _, port = self._address.rpartition(":")
            channel = Channel(host, int(port))
            try:
                await self._exchange(channel)
            except _FAILURES as error:
                if self._failures in (0, 5):
                    logger.info(
                        "control connection replaced peer={} cause={!r}",
                        self._address,
                        error,
                    )
            except Exception:
                logger.exception("control connection failed peer={}", self._address)
            finally:
                channel.close()
            if self._closed:
                return
            delay = min(_RECONNECT_MIN_S * 2**self._failures, _RECONNECT_MAX_S)
            self._failures = min(self._failures + 1, 10)
            await asyncio.sleep(delay)

    async def _exchange(self, channel: Channel) -> None:
        encoder = MessageEncoder()
        stub = PeerStub(channel)
        async with stub.Exchange.open(metadata=self._metadata) as stream:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await stream.send_request()
                await stream.recv_initial_metadata()
            self._unconfirmed_since = None
            reader = asyncio.create_task(self._read(stream))
            try:
                while not reader.done():
                    await self._send_waiting(stream, encoder)
            finally:
                reader.cancel()
        reader.result()

    async def _send_waiting(self, stream: object, encoder: MessageEncoder) -> None:
        await self._wake.wait()
        self._wake.clear()
        # An idle link has nothing to confirm, so only the time since a message counts.
        since = self._unconfirmed_since
        if since is not None and monotonic() - since > SILENT_AFTER_S:
            raise TimeoutError(f"nothing confirmed for {SILENT_AFTER_S} s")
        async with asyncio.timeout(SILENT_AFTER_S):
            while self._waiting:
                message = self._waiting.popleft()
                if self._unconfirmed_since is None:
                    # A heartbeat is confirmed by the echo of its own reading.
                    heartbeat = isinstance(message, Heartbeat)
                    self._unconfirmed_since = (
                        message.sent_at if heartbeat else monotonic()
                    )
                await stream.send_message(encoder.encode(message))  # type: ignore[attr-defined]

    async def _read(self, stream: object) -> None:
        async for _ in stream:  # type: ignore[attr-defined]
            self.confirm(monotonic())


class PeerLinks:
    """Outgoing control connections, opened when something is sent.

    Parameters
    ----------
    shared_key : str
        Key presented to the other instances.
    """

    def __init__(self, shared_key: str):
        # gRPC refuses an empty value.
        self._metadata = {_KEY_HEADER: shared_key.encode()} if shared_key else {}
        self._links: dict[str, _Link] = {}

    async def close(self) -> None:
        """Close all connections."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            link.close()
        await asyncio.gather(*(link.task for link in links), return_exceptions=True)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; while the connection is down, old messages are discarded."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address, self._metadata)
        link.send(message)

    def confirm(self, address: str, at: float) -> None:
        """Note that a message sent at a local time has reached a peer."""
        link = self._links.get(address)
        if link is not None:
            link.confirm(at)

    def close_idle(self) -> None:
        """Close links to addresses that are no longer used."""
        limit = monotonic() - _IDLE_AFTER_S
        for address, link in list(self._links.items()):
            if link.used_at < limit:
                link.close()
                del self._links[address]

    async def fetch_changes(self, address: str, since: Revision) -> Changes | None:
        """Return the changes after a revision from a peer, None when it fails."""
        try:
            request = pb.FetchRequest(since_revision=since)
            reply = await self._call(address, "Fetch", request)
        except _FAILURES as error:
            logger.info("fetch of changes failed peer={} cause={!r}", address, error)
            return None
        return decode_fetch_reply(reply, since)

    async def _call(self, address: str, method: str, request: object) -> object:
        host, _, port = address.rpartition(":")
        channel = Channel(host, int(port))
        try:
            call = getattr(PeerStub(channel), method)
            return await call(
                request, timeout=_FETCH_TIMEOUT_S, metadata=self._metadata
            )
        finally:
            channel.close()
