"""Compact form of changes that the leader passes on.

Large values are sent as patches of the former version, if the receiver knows that one,
and everything is compressed. The result is sent in parts, so that a heartbeat waits for
no more than one part on a slow link.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import TYPE_CHECKING
from zlib import compress, decompressobj
from zlib import error as ZlibError

from attrs import define, field, frozen
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.dispatch.known_items import ItemVersion
from basilwick.core.dispatch.messages import ChangesPart
from basilwick.core.dispatch.value_patch import apply_patch, make_patch

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = [
    "MissingBaseError",
    "PartCollector",
    "PackedChanges",
    "pack_changes",
    "split_parts",
    "unpack_changes",
]

#: Smallest value in bytes that is sent as a patch.
_MIN_PATCHED_BYTES = 4096
_COMPRESSION_LEVEL = 3
#: Bytes of one part before they are encoded.
_PART_BYTES = 12_288
#: Largest number of parts of a message and of bytes that it may unpack to.
_MAX_PARTS = 1024
_MAX_UNPACKED_BYTES = 64 << 20
#: Number of messages whose parts may arrive at the same time.
_MAX_OPEN_MESSAGES = 8


class MissingBaseError(Exception):
    """A patch was made for a version that is not known here."""


@frozen
class PackedChanges:
    """Changes in compact form.

    Attributes
    ----------
    after, revision : int
        The changes are complete after the first revision up to the second.
    after_outage : bool
        Whether the leader regained the platform's service shortly before.
    complete : bool
        Whether these are all items, whatever `after` is.
    data : bytes
        Packed changes.
    """

    after: int
    revision: int
    after_outage: bool
    complete: bool
    data: bytes


def pack_changes(
    items: Sequence[ItemVersion],
    find_base: Callable[[str], ItemVersion | None] = lambda key: None,
) -> bytes:
    """Return changes in compact form.

    Parameters
    ----------
    items : sequence of ItemVersion
        Changes.
    find_base : callable
        Returns the version of an item that the receivers know.
    """
    rows = []
    bodies = []
    for item in items:
        base = find_base(item.key)
        body = item.value or b""
        base_revision = 0
        if base is not None and base.value and len(body) >= _MIN_PATCHED_BYTES:
            body = make_patch(base.value, body)
            base_revision = base.revision
        size = -1 if item.value is None else len(body)
        rows.append([item.key, item.revision, size, base_revision])
        bodies.append(body)
    return compress(dumps(rows) + b"\n" + b"".join(bodies), _COMPRESSION_LEVEL)


def unpack_changes(
    data: bytes,
    after: int,
    find_base: Callable[[str], ItemVersion | None] = lambda key: None,
) -> list[ItemVersion]:
    """Return the packed changes that are newer than a revision.

    Raises
    ------
    MissingBaseError
        If a patch was made for a version that `find_base` doesn't return.
    ValueError
        If the data is invalid.
    """
    try:
        decompressor = decompressobj()
        content = decompressor.decompress(data, _MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("data is cut off or too long")
        line, _, bodies = content.partition(b"\n")
        items = []
        offset = 0
        for key, revision, size, base_revision in loads(line):
            body = bodies[offset : offset + max(0, size)]
            offset += max(0, size)
            if revision <= after:
                continue
            value = None if size < 0 else body
            if base_revision:
                value = _apply_to_base(find_base(key), base_revision, body)
            items.append(ItemVersion(key, value, revision))
    except (ZlibError, JSONDecodeError, TypeError, ValueError) as error:
        raise ValueError(f"invalid packed changes: {error}") from error
    return items


def _apply_to_base(base: ItemVersion | None, base_revision: int, patch: bytes) -> bytes:
    if base is None or base.value is None or base.revision != base_revision:
        raise MissingBaseError(f"revision {base_revision} is not known")
    return apply_patch(base.value, patch)


def split_parts(number: int, changes: PackedChanges) -> Iterable[ChangesPart]:
    """Return the messages that carry changes.

    Parameters
    ----------
    number : int
        Identifies the parts that belong together.
    """
    starts = range(0, max(1, len(changes.data)), _PART_BYTES)
    for part, start in enumerate(starts):
        data = b64encode(changes.data[start : start + _PART_BYTES]).decode()
        yield ChangesPart(
            number,
            part,
            len(starts),
            changes.after,
            changes.revision,
            changes.after_outage,
            changes.complete,
            data,
        )


@define(eq=False)
class PartCollector:
    """Joins the parts of changes that arrive over a link."""

    _parts: dict[int, list[bytes]] = field(factory=dict)

    def add(self, part: ChangesPart) -> PackedChanges | None:
        """Add a part; returns the changes if it was the last one.

        Raises
        ------
        ValueError
            If the part doesn't follow the one before it, or is invalid.
        """
        parts = self._parts.setdefault(part.number, [])
        if part.part != len(parts) or part.part_count > _MAX_PARTS:
            del self._parts[part.number]
            raise ValueError(
                f"part {part.part} of {part.part_count} does not follow part "
                f"{len(parts) - 1}"
            )
        parts.append(b64decode(part.data, validate=True))
        if len(parts) < part.part_count:
            while len(self._parts) > _MAX_OPEN_MESSAGES:
                del self._parts[next(iter(self._parts))]
            return None
        del self._parts[part.number]
        return PackedChanges(
            part.after,
            part.revision,
            part.after_outage,
            part.complete,
            b"".join(parts),
        )

    def clear(self) -> None:
        """Discard the parts of incomplete changes."""
        self._parts.clear()
