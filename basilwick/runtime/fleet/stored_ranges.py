"""Format of the key ranges of a service in the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import compress, decompress
from zlib import error as ZlibError

from attrs import frozen
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.ranges.earlier_terms import ProcessIdentity, Term
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

#: Prefix of the internal items, which the instances write to the key-value service.
INTERNAL_PREFIX = "basilwick/"


@frozen
class StoredRanges:
    """Ranges of a service and the fencing tokens that its leaders have reserved.

    Attributes
    ----------
    reserved_end : int
        Exclusive upper bound of the reserved fencing tokens.
    ranges : sequence of StoredRange
        Ranges of the service.
    writer : str
        Identifies the leader's term that wrote the value; empty if an earlier version
        wrote it.
    era : int or None
        Era of the platform's service in which the ranges were certainly complete: no
        other leader's changes were lost since. None if an earlier version wrote them.
    terms : sequence of Term or None
        Terms whose grants may still be in force, with that of the writer. None if one
        may be missing, as in a value of an earlier version.
    """

    reserved_end: int
    ranges: Sequence[StoredRange]
    writer: str = ""
    era: int | None = None
    terms: Sequence[Term] | None = None


def get_ranges_key(service: str) -> str:
    """Return the key under which a service's ranges are stored."""
    return f"{INTERNAL_PREFIX}ranges/{service}"


def encode_ranges(stored: StoredRanges) -> bytes:
    """Encode ranges as the stored value.

    Earlier versions read rows of exactly four entries, so further fields are stored
    beside the rows.
    """
    data = {
        "writer": stored.writer,
        "reserved": stored.reserved_end,
        "ranges": [[r.first, r.last, r.owner, r.former] for r in stored.ranges],
        "reached": [r.first for r in stored.ranges if r.former_reached],
        "era": stored.era,
    }
    if stored.terms is not None:
        data["terms"] = [
            [t.writer, t.process.instance, t.process.address, t.process.incarnation]
            for t in stored.terms
        ]
    return compress(dumps(data))


def decode_ranges(value: bytes) -> StoredRanges:
    """Decode a stored value.

    Raises
    ------
    ValueError
        If the value is invalid.
    """
    try:
        # Earlier versions stored uncompressed JSON.
        data = loads(value if value.startswith(b"{") else decompress(value))
        reserved_end = int(data["reserved"])
        reached = set(data.get("reached", ()))
        ranges = [
            StoredRange(*row, former_reached=row[0] in reached)
            for row in data["ranges"]
        ]
        era = data.get("era")
        return StoredRanges(
            reserved_end,
            ranges,
            str(data.get("writer", "")),
            None if era is None else int(era),
            _decode_terms(data.get("terms")),
        )
    except (
        ZlibError,
        JSONDecodeError,
        LookupError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        raise ValueError(f"invalid stored ranges {value[:100]!r}: {error!r}") from error


def _decode_terms(rows: object) -> list[Term] | None:
    """Decode stored terms; unreadable ones count as not given."""
    if not isinstance(rows, list):
        return None
    terms = []
    for row in rows:
        readable = isinstance(row, list) and len(row) == 4
        if not readable or not all(isinstance(value, str) for value in row):
            return None
        terms.append(Term(row[0], ProcessIdentity(*row[1:])))
    return terms
