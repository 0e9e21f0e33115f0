"""Form in which the ranges of a service are kept in the platform's service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import compress, decompress
from zlib import error as ZlibError

from attrs import frozen
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.ranges.table import StoredRange

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "INTERNAL_PREFIX",
    "StoredRanges",
    "decode_ranges",
    "encode_ranges",
    "get_ranges_key",
]

#: Own items of the instances in the platform's service.
INTERNAL_PREFIX = "basilwick/"


@frozen
class StoredRanges:
    """Ranges of a service and the fences of its leaders.

    Attributes
    ----------
    reserved : int
        Bound of the reserved fences.
    writer : str
        Tells the writes of one leader's term from those of others; empty for those of
        earlier versions.
    """

    reserved_end: int
    ranges: Sequence[StoredRange]
    writer: str = ""


def get_ranges_key(service: str) -> str:
    """Return the key under which a service's ranges are stored."""
    return f"{INTERNAL_PREFIX}ranges/{service}"


def encode_ranges(stored: StoredRanges) -> bytes:
    """Return the value that is stored.

    Earlier versions read rows of four entries, so further fields stand beside them.
    """
    data = {
        "writer": stored.writer,
        "reserved": stored.reserved_end,
        "ranges": [[r.first, r.last, r.owner, r.former] for r in stored.ranges],
        "reached": [r.first for r in stored.ranges if r.former_reached],
    }
    return compress(dumps(data))


def decode_ranges(value: bytes) -> StoredRanges:
    """Return the ranges of a stored value.

    Raises
    ------
    ValueError
        If the value is unreadable.
    """
    try:
        # Earlier versions stored the text as it is.
        data = loads(value if value.startswith(b"{") else decompress(value))
        reserved_end = int(data["reserved"])
        reached = set(data.get("reached", ()))
        ranges = [
            StoredRange(*row, former_reached=row[0] in reached)
            for row in data["ranges"]
        ]
        return StoredRanges(reserved_end, ranges, str(data.get("writer", "")))
    except (ZlibError, JSONDecodeError, LookupError, TypeError) as error:
        raise ValueError(f"stored ranges {value[:100]!r}: {error!r}") from error
