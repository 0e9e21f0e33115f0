"""Sends changes of the platform's service from the leader to linked instances."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING, Protocol

from attrs import define
from loguru import logger

from basilwick.core.dispatch.messages import ItemChange, SharedChanges
from basilwick.core.dispatch.packed_changes import (
    PackedChanges,
    pack_changes,
    split_parts,
)
from basilwick.transport.link import encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from basilwick.core.dispatch.known_items import ItemVersion
    from basilwick.transport.link import Link

__all__ = [
    "PACKED_CHANGES_VERSION",
    "ChangeSender",
    "ChangeSource",
    "reads_packed_changes",
]

#: Link version from which instances read packed changes and ask for missing ones.
PACKED_CHANGES_VERSION = 3
#: Size in bytes of a message above which changes are packed.
_MIN_PACKED_BYTES = 2048
#: Largest message in bytes of unpacked changes. Instances of earlier builds read larger
#: ones from the service themselves.
_MAX_UNPACKED_BYTES = 256 << 10
#: Instances that are sent missing changes at the same time. More would delay the
#: heartbeats and decisions that share the leader's network link.
_MAX_CONCURRENT_TRANSFERS = 16
#: Bytes that may be buffered on a link before the next part is sent.
_MAX_BUFFERED_BYTES = 32_768
#: Interval in seconds between looks at links whose buffers are full.
_TRANSFER_INTERVAL_S = 0.01


class ChangeSource(Protocol):
    """Knows the changes that other instances may lack."""

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""

    def collect_missing(self, after: int) -> PackedChanges | None:
        """Return the changes after a revision, None if they are not known."""


@define(eq=False)
class _Transfer:
    link: Link
    lines: Sequence[bytes]
    sent: int = 0

    def advance(self) -> bool:
        """Send parts while the link takes them; returns whether it has ended."""
        while not self.link.closed and self.sent < len(self.lines):
            if self.link.unsent_bytes > _MAX_BUFFERED_BYTES:
                return False
            self.link.send_line(self.lines[self.sent])
            self.sent += 1
        return True


class ChangeSender:
    """Broadcasts changes, and sends instances the changes that they lack."""

    def __init__(self) -> None:
        self.source: ChangeSource | None = None
        self._numbers = count(1)
        #: Instances that asked for missing changes, and the revision that they know.
        self._waiting: dict[Link, int] = {}
        self._transfers: dict[Link, _Transfer] = {}
        #: Encoded changes by the revision after which they begin, and the revision
        #: up to which they go.
        self._encoded: dict[int, list[bytes]] = {}
        self._encoded_revision = 0
        self._task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stop all transfers."""
        self._waiting.clear()
        self._transfers.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def remove_link(self, link: Link) -> None:
        """Forget a link that was closed."""
        self._waiting.pop(link, None)
        self._transfers.pop(link, None)

    def broadcast(
        self,
        links: Iterable[Link],
        changes: SharedChanges,
        items: Sequence[ItemVersion],
        find_base: Callable[[str], ItemVersion | None],
    ) -> None:
        """Send changes to all linked instances.

        Parameters
        ----------
        changes : SharedChanges
            Revisions of the changes; their rows are taken from `items`.
        items : sequence of ItemVersion
            Changed items.
        find_base : callable
            Returns the former version of an item.
        """
        unpacked = encode_message(_add_rows(changes, items))
        packed: list[bytes] | None = None
        skipped = 0
        for link in links:
            if reads_packed_changes(link) and len(unpacked) > _MIN_PACKED_BYTES:
                if packed is None:
                    packed = self._pack(changes, items, find_base)
                for line in packed:
                    link.send_line(line)
            elif len(unpacked) <= _MAX_UNPACKED_BYTES:
                link.send_line(unpacked)
            else:
                skipped += 1
        if skipped:
            logger.bind(
                bytes=len(unpacked), revision=changes.revision, instances=skipped
            ).info("changes are too large to be passed on")

    def request_missing(self, link: Link, after: int) -> None:
        """Send an instance the changes after a revision, as soon as there is room."""
        self._waiting[link] = after
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run_transfers())

    async def _run_transfers(self) -> None:
        while self._waiting or self._transfers:
            self._start_transfers()
            ended = [link for link, t in self._transfers.items() if t.advance()]
            for link in ended:
                self._transfers.pop(link, None)
            if self._transfers:
                await asyncio.sleep(_TRANSFER_INTERVAL_S)
        self._encoded = {}

    def _start_transfers(self) -> None:
        for link, after in list(self._waiting.items()):
            if len(self._transfers) >= _MAX_CONCURRENT_TRANSFERS:
                return
            del self._waiting[link]
            self._transfers[link] = _Transfer(link, self._encode_missing(after))

    def _encode_missing(self, after: int) -> list[bytes]:
        """Return the messages with the changes after a revision.

        Instances that start at the same time ask for the same.
        """
        if self.source is None:
            return []
        if self._encoded_revision != self.source.revision:
            self._encoded = {}
            self._encoded_revision = self.source.revision
        if after not in self._encoded:
            missing = self.source.collect_missing(after)
            self._encoded[after] = [] if missing is None else self._encode(missing)
        return self._encoded[after]

    def _pack(
        self,
        changes: SharedChanges,
        items: Sequence[ItemVersion],
        find_base: Callable[[str], ItemVersion | None],
    ) -> list[bytes]:
        data = pack_changes(items, find_base)
        return self._encode(
            PackedChanges(
                changes.after, changes.revision, changes.after_outage, False, data
            )
        )

    def _encode(self, changes: PackedChanges) -> list[bytes]:
        number = next(self._numbers)
        return [encode_message(part) for part in split_parts(number, changes)]


def reads_packed_changes(link: Link) -> bool:
    """Return whether the instance at the other end reads packed changes."""
    hello = link.peer_hello
    return hello is not None and hello.link_version >= PACKED_CHANGES_VERSION


def _add_rows(changes: SharedChanges, items: Sequence[ItemVersion]) -> SharedChanges:
    rows = tuple(
        ItemChange(
            item.key,
            None if item.value is None else item.value.decode("latin-1"),
            item.revision,
        )
        for item in items
    )
    return SharedChanges(changes.after, changes.revision, changes.after_outage, rows)
