"""Last known state of the items that instances keep in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from loguru import logger
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.ranges.table import RangeTable
from basilwick.runtime.fleet.stored_ranges import (
    INTERNAL_PREFIX,
    decode_ranges,
    get_ranges_key,
)

if TYPE_CHECKING:
    from basilwick.core.dispatch.known_items import ItemVersion
    from basilwick.core.types import ServiceName

__all__ = [
    "LEADER_KEY",
    "LeaderRecord",
    "StoredState",
    "decode_leader_record",
    "encode_leader_record",
]

#: Key of the leader record.
LEADER_KEY = f"{INTERNAL_PREFIX}leader"
_RANGES_PREFIX = get_ranges_key("")


@frozen
class LeaderRecord:
    """Stored record that names the leader.

    Attributes
    ----------
    instance : str
        Name of the leader.
    address : str
        Address at which the leader accepts links.
    lease : int
        Lease to which the record is bound.
    revision : int
        Revision at which the record was written.
    link_version : int
        Link version of the leader's build.
    """

    instance: str
    address: str
    lease: int
    revision: int
    link_version: int = 1

    @property
    def identity(self) -> tuple[str, int]:
        """Instance and lease, which tell this record from others."""
        return self.instance, self.lease


class StoredState:
    """Last known state of the items that instances store in the key-value service.

    These are the leader record and the ranges of the services.
    """

    prefix = INTERNAL_PREFIX

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.tables: dict[ServiceName, RangeTable] = {}
        self._table_revisions: dict[ServiceName, int] = {}

    def apply(self, change: ItemVersion) -> None:
        """Apply a change of an internal item."""
        if change.key == LEADER_KEY:
            self._apply_leader(change)
        elif change.key.startswith(_RANGES_PREFIX) and change.value is not None:
            self._apply_ranges(change)

    def remove_unlisted(self, keys: set[str], revision: int) -> None:
        """Remove internal items that are missing from a complete listing.

        Parameters
        ----------
        keys : set of str
            Keys of the internal items in the listing.
        revision : int
            Revision of the listing.
        """
        if LEADER_KEY in keys or self.leader is None:
            return
        if self.leader.revision <= revision:
            self.leader = None

    def _apply_ranges(self, change: ItemVersion) -> None:
        service = change.key.removeprefix(_RANGES_PREFIX)
        # A read that may be stale can return a value that is already known.
        if change.revision <= self._table_revisions.get(service, 0):
            return
        try:
            stored = decode_ranges(change.value)
            self.tables[service] = RangeTable.restore(stored.ranges)
        except ValueError as error:
            logger.bind(key=change.key, reason=str(error)).warning(
                "ignored unreadable stored ranges"
            )
            return
        self._table_revisions[service] = change.revision

    def _apply_leader(self, change: ItemVersion) -> None:
        if self.leader is not None and change.revision < self.leader.revision:
            return
        self.leader = None
        if change.value is None:
            return
        try:
            self.leader = decode_leader_record(change.value, change.revision)
        except ValueError as error:
            logger.bind(reason=repr(error)).warning("cannot decode the leader record")


def decode_leader_record(value: bytes, revision: int) -> LeaderRecord:
    """Decode the leader record.

    Raises
    ------
    ValueError
        If it is unreadable.
    """
    try:
        data = loads(value)
        return LeaderRecord(
            data["instance"],
            data["address"],
            int(data["lease"]),
            revision,
            int(data.get("link_version", 1)),
        )
    except (
        JSONDecodeError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f"invalid leader record {value[:100]!r}: {error!r}") from error


def encode_leader_record(
    instance: str, address: str, lease: int, link_version: int
) -> bytes:
    """Encode the leader record."""
    return dumps(
        {
            "instance": instance,
            "address": address,
            "lease": lease,
            "link_version": link_version,
        }
    )
