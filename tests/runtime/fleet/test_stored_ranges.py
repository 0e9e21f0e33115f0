"""Encoding and decoding of stored ranges."""

from __future__ import annotations

from zlib import compress, decompress

import pytest
from orjson import dumps, loads

from basilwick.core.ranges.table import StoredRange
from basilwick.runtime.fleet.stored_ranges import (
    StoredRanges,
    decode_ranges,
    encode_ranges,
)

STORED = dumps({"reserved": 300, "ranges": [[0, 9, "m0", ""], [10, 65535, "m1", "m0"]]})


@pytest.mark.parametrize("value", [STORED, compress(STORED)])
def test_ranges_of_this_and_earlier_versions_are_read(value):
    """After an upgrade a leader must be able to read the ranges of earlier versions."""
    stored = decode_ranges(value)
    assert stored.reserved_end == 300
    assert stored.ranges == [
        StoredRange(0, 9, "m0", ""),
        StoredRange(10, 65535, "m1", "m0"),
    ]


@pytest.mark.parametrize("value", [b"", b"x", b"{}", compress(b"[]"), compress(b"{")])
def test_unreadable_ranges_are_an_error(value):
    with pytest.raises(ValueError, match="stored ranges"):
        decode_ranges(value)


def test_stored_ranges_are_read_as_they_were_written():
    """The flag `former_reached` must be stored, too.

    It decides how long a new leader waits before it reassigns the keys of a former
    owner.
    """
    ranges = [
        StoredRange(0, 9, "m0", "m1", former_reached=True),
        StoredRange(10, 65535, "m1", "m0", former_reached=False),
    ]
    stored = StoredRanges(300, ranges, "term")
    assert decode_ranges(encode_ranges(stored)) == stored


def test_stored_ranges_stay_readable_for_earlier_versions():
    """During an upgrade an instance of either version can be the leader."""
    ranges = [StoredRange(0, 9, "m0", "m1", former_reached=True)]
    value = encode_ranges(StoredRanges(300, ranges, "term"))
    assert loads(decompress(value))["ranges"] == [[0, 9, "m0", "m1"]]
