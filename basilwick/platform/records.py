"""Reading and writing of records and their history in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from uuid import uuid4

from attrs import evolve, frozen
from loguru import logger
from orjson import dumps, loads

from basilwick.core.assignment import SEVERAL_OWNERS, BlockDocument
from basilwick.core.configuration import Entry
from basilwick.core.errors import (
    ConflictError,
    InvalidRecordError,
    PlatformUnavailableError,
)
from basilwick.core.record_changes import check_change, check_schema, diff_records
from basilwick.core.records import (
    SCHEMA_MAX,
    DataCentreRecord,
    ServerRecord,
    decode_record,
    describe_record,
    get_kind,
    read_schema,
    record_key,
)
from basilwick.platform.service import Committed, Conflict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.records import Record
    from basilwick.core.types import InstanceName, Revision
    from basilwick.platform.service import PlatformService

__all__ = ["PreparedPut", "RecordStore", "history_key", "decode_json_or_text"]

# These limits keep a history far below the megabyte that the platform accepts.
_MAX_HISTORY_ENTRIES = 50
_MAX_HISTORY_BYTES = 200_000
_MAX_HISTORY_ATTEMPTS = 3


@frozen
class PreparedPut:
    """A validated record and the stored one that it is to replace.

    Attributes
    ----------
    key : str
        Key in the key-value service.
    record, value : Record and bytes
        New record and its JSON.
    current : Entry or None
        Stored entry, None for a new record.
    old : Record or None
        Stored record, None for a new record or if the stored one is unreadable.
    """

    key: str
    record: Record
    value: bytes
    current: Entry | None
    old: Record | None

    @property
    def revision(self) -> Revision:
        """Revision that the write expects, 0 for a new record."""
        return self.current.revision if self.current else 0


class RecordStore:
    """Records in the key-value service, changed by compare-and-swap on their revision.

    Parameters
    ----------
    platform : PlatformService
        Client of the platform, already started.
    """

    def __init__(self, platform: PlatformService):
        self._platform = platform

    async def get(self, kind: str, name: str) -> Entry | None:
        """Return the stored entry of a record by a consistent read."""
        return await self._platform.get(record_key(kind, name))

    async def prepare(
        self,
        kind: str,
        name: str,
        value: bytes,
        schema_max: Mapping[InstanceName, int],
    ) -> PreparedPut:
        """Validate a record against its schema, live instances and the stored record.

        Raises
        ------
        InvalidRecordError
            If the record or the change is invalid; the error names all faults.
        """
        record = decode_record(value)
        if (get_kind(record), record.name) != (kind, name):
            fault = (
                f"name: got {get_kind(record)}/{record.name}; allowed: {kind}/{name}, "
                f"the record that the request names"
            )
            raise InvalidRecordError(fault, [fault])
        schema = read_schema(value)
        check_schema(schema, schema_max)
        current = await self.get(kind, name)
        old = _decode_stored(current)
        owners: list[str] = []
        old_schema = schema
        if current is not None and old is not None:
            owners = await self._list_owners(old, record)
            old_schema = read_schema(current.value)
        elif current is not None:
            _check_unreadable_record(current)
        check_change(old, record, schema=schema, old_schema=old_schema, owners=owners)
        record = _set_replaced_autonomy(old, record)
        value = dumps(describe_record(record, schema))
        return PreparedPut(record_key(kind, name), record, value, current, old)

    async def put(
        self, prepared: PreparedPut, expected: Revision, author: str, time: str
    ) -> Entry:
        """Store a prepared record if the expected revision is still the stored one.

        Parameters
        ----------
        prepared : PreparedPut
            Result of ``prepare``.
        expected : int
            Revision that the operator saw, 0 for a new record.
        author, time : str
            Who changed the record and when, for the history.

        Raises
        ------
        ConflictError
            If another operator changed the record first.
        PlatformUnavailableError
            If the platform did not respond; the write may have taken effect.
        """
        if prepared.revision != expected:
            raise _build_conflict(prepared.record, expected, prepared.current)
        write_id = uuid4().hex
        result = await self._platform.compare_and_swap(
            prepared.key, prepared.value, expected, write_id
        )
        if isinstance(result, Conflict):
            raise _build_conflict(prepared.record, expected, result.current)
        entry = Entry(prepared.key, prepared.value, result.revision)
        new_lines = [_build_history_line(entry, author, time)]
        if prepared.current is not None:
            # Repairs the history if its last write failed after that of the record.
            new_lines.append(_build_history_line(prepared.current, "", ""))
        await self._append_history(prepared.key, new_lines)
        return entry

    async def get_history(self, kind: str, name: str) -> list[dict[str, Any]]:
        """Return revision, time, author and record of past writes, latest first."""
        entry = await self._platform.get(history_key(record_key(kind, name)))
        return [] if entry is None else loads(entry.value)

    async def _append_history(self, key: str, new_lines: list[dict[str, Any]]) -> None:
        try:
            for _ in range(_MAX_HISTORY_ATTEMPTS):
                entry = await self._platform.get(history_key(key))
                stored_lines = [] if entry is None else loads(entry.value)
                result = await self._platform.compare_and_swap(
                    history_key(key),
                    _encode_history(stored_lines, new_lines),
                    entry.revision if entry else 0,
                    uuid4().hex,
                )
                if isinstance(result, Committed):
                    return
        except PlatformUnavailableError as error:
            logger.warning("history of {} not written: {}", key, error)
            return
        logger.warning("history of {} not written: other writers were first", key)

    async def _list_owners(self, old: Record, new: Record) -> list[str]:
        if not isinstance(old, ServerRecord) or not isinstance(new, ServerRecord):
            return []
        if all(
            getattr(old, name) == getattr(new, name)
            for name in ("service", "data_centre", "address")
        ):
            return []
        owners: set[str] = set()
        stored = await self._platform.list_entries(f"blocks/{old.service}/")
        for entry in stored.entries:
            document = BlockDocument.decode(entry.value)
            for owned in (*document.shards.values(), *document.hot.values()):
                owners.add(owned.owner)
                if owned.moved_from == SEVERAL_OWNERS:
                    # The former owners are not known; this server may be one of them.
                    owners.add(old.name)
                elif owned.moved_from is not None:
                    owners.add(owned.moved_from)
        return sorted(owners)


def history_key(key: str) -> str:
    """Return the key of the history of a record.

    Instances do not hold keys with this prefix, so the history costs them no memory.
    """
    return f"history/{key}"


def _check_unreadable_record(current: Entry) -> None:
    # An unreadable record may be replaced unless it has a later schema, whose values
    # would be lost.
    try:
        schema = read_schema(current.value)
    except InvalidRecordError:
        return
    if schema > SCHEMA_MAX:
        fault = (
            f"schema: the stored record has schema {schema}; allowed: a program that "
            f"writes it, this one writes up to {SCHEMA_MAX}"
        )
        raise InvalidRecordError(fault, [fault])


def _build_history_line(entry: Entry, author: str, time: str) -> dict[str, Any]:
    return {
        "revision": entry.revision,
        "time": time,
        "author": author,
        "record": decode_json_or_text(entry.value),
    }


def _encode_history(
    stored_lines: list[dict[str, Any]], new_lines: list[dict[str, Any]]
) -> bytes:
    # A stored line takes precedence, because a repaired one has no author and time.
    by_revision = {line["revision"]: line for line in (*new_lines, *stored_lines)}
    merged = [by_revision[revision] for revision in sorted(by_revision, reverse=True)]
    merged = merged[:_MAX_HISTORY_ENTRIES]
    while len(merged) > 1 and len(dumps(merged)) > _MAX_HISTORY_BYTES:
        merged.pop()
    return dumps(merged)


def _set_replaced_autonomy(old: Record | None, new: Record) -> Record:
    if not isinstance(new, DataCentreRecord):
        return new
    longer = isinstance(old, DataCentreRecord) and old.autonomy_s > new.autonomy_s
    return evolve(new, replaced_autonomy_s=old.autonomy_s if longer else 0.0)


def _build_conflict(
    record: Record, expected: Revision, current: Entry | None
) -> ConflictError:
    revision = current.revision if current else 0
    diff = [str(line) for line in diff_records(_decode_stored(current), record)]
    message = f"record has revision {revision}, not {expected}"
    if diff:
        message += (
            "; your change is not in force: get the record, apply your change to it "
            "and put it again"
        )
    else:
        message += "; the stored record already equals yours"
    return ConflictError(message, revision, diff)


def _decode_stored(entry: Entry | None) -> Record | None:
    if entry is None:
        return None
    try:
        return decode_record(entry.value)
    except InvalidRecordError:
        return None


def decode_json_or_text(value: bytes) -> Any:
    """Return the JSON data of a stored value, or its text if it is not JSON."""
    try:
        return loads(value)
    except ValueError:
        return value.decode(errors="replace")
