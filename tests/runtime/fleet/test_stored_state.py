"""Items that instances keep in the key-value service."""

from __future__ import annotations

import pytest

from basilwick.runtime.fleet.stored_state import (
    LeaderRecord,
    decode_leader_record,
    encode_leader_record,
)


def test_the_leader_record_survives_encoding():
    value = encode_leader_record("i", "10.0.0.1:7", 5, 2)
    assert decode_leader_record(value, 9) == LeaderRecord("i", "10.0.0.1:7", 5, 9, 2)


def test_the_record_of_an_earlier_build_has_link_version_1():
    """Instances sent messages that a leader of an earlier build did not know."""
    value = b'{"instance":"i","address":"10.0.0.1:7","lease":5}'
    assert decode_leader_record(value, 9).link_version == 1


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{}", b'{"instance":"i","address":"a","lease":"x"}']
)
def test_an_unreadable_leader_record_is_a_value_error(value):
    with pytest.raises(ValueError, match=r"leader record|invalid literal"):
        decode_leader_record(value, 1)
