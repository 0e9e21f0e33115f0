"""Identities of the requests that a connection has carried."""

from __future__ import annotations

from attrs import define, field
from xxhash import xxh3_128_digest

__all__ = ["CarriedIdentities"]

#: Identities that are remembered, after which a connection is not reused.
_MAX_IDENTITIES = 256
#: Longest identity in bytes that is remembered as it is; a longer one by its hash.
_MAX_IDENTITY_BYTES = 64


@define(eq=False)
class CarriedIdentities:
    """Remembers identities, of which callers choose the lengths.

    Two long identities with one hash count as the same, which costs a connection.
    """

    _identities: set[bytes] = field(factory=set)

    @property
    def full(self) -> bool:
        """Whether no further identity should be added."""
        return len(self._identities) >= _MAX_IDENTITIES

    def add(self, identity: bytes) -> None:
        """Remember the identity of a request."""
        self._identities.add(_shorten(identity))

    def __contains__(self, identity: bytes) -> bool:
        return _shorten(identity) in self._identities


def _shorten(identity: bytes) -> bytes:
    """Return the bytes that stand for an identity."""
    if len(identity) <= _MAX_IDENTITY_BYTES:
        return identity
    return xxh3_128_digest(identity)
