"""Rules about changes of records, and their differences in readable form."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

from basilwick.core.errors import InvalidRecordError
from basilwick.core.records import (
    DataCentreRecord,
    DataCentreStatus,
    ServerRecord,
    ServerState,
    ServiceRecord,
    describe_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from basilwick.core.records import Record
    from basilwick.core.types import InstanceName

__all__ = [
    "Difference",
    "check_change",
    "check_schema",
    "diff_records",
]


@frozen
class Difference:
    """One field that differs between two records.

    Attributes
    ----------
    field : str
        Name of the field; a seat is given as ``witnesses[<name>]``.
    old, new : object
        Values, None when the field is absent.
    """

    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.field}: {_show(self.old)} -> {_show(self.new)}"


def diff_records(old: Record | None, new: Record | None) -> list[Difference]:
    """Return the fields that differ, in the order of the schema."""
    before = _flatten(old) if old is not None else {}
    after = _flatten(new) if new is not None else {}
    return [
        Difference(name, before.get(name), after.get(name))
        for name in {**before, **after}
        if before.get(name) != after.get(name)
    ]


def check_schema(schema: int, schema_max: Mapping[InstanceName, int]) -> None:
    """Refuse a schema that some live instance can't read.

    Parameters
    ----------
    schema : int
        Schema of the record to be written.
    schema_max : mapping of str to int
        Highest schema that each live instance reports.

    Raises
    ------
    InvalidRecordError
        If an instance reads only lower schemas.
    """
    behind = sorted(name for name, known in schema_max.items() if known < schema)
    if behind:
        fault = (
            f"schema: got {schema}; allowed: 1 to {min(schema_max.values())}, because "
            f"{', '.join(behind[:5])}{' and others' if len(behind) > 5 else ''} read "
            f"no higher schema; upgrade these instances first"
        )
        raise InvalidRecordError(fault, [fault])


def check_change(
    old: Record | None,
    new: Record,
    *,
    schema: int,
    old_schema: int = 1,
    owners: Iterable[str] = (),
) -> None:
    """Refuse a change that could give a key two owners or lose settings.

    Parameters
    ----------
    old : Record or None
        Present record, None for a new one.
    new : Record
        Record that is to replace it.
    schema, old_schema : int
        Schema that each is written in.
    owners : iterable of str
        Servers that block documents name as owner or previous owner.

    Raises
    ------
    InvalidRecordError
        With all faults of the change.
    """
    faults = _check_confirmed_stopped(new)
    if old is not None:
        if schema < old_schema:
            faults += _find_lost_values(old, schema)
        faults += _check_fields(old, new, owners)
    if faults:
        raise InvalidRecordError(f"change refused: {'; '.join(faults)}", faults)


def _check_fields(old: Record, new: Record, owners: Iterable[str]) -> list[str]:
    if isinstance(old, ServiceRecord) and isinstance(new, ServiceRecord):
        return _check_service(old, new)
    if isinstance(old, ServerRecord) and isinstance(new, ServerRecord):
        return _check_server(old, new, owners)
    if isinstance(old, DataCentreRecord) and isinstance(new, DataCentreRecord):
        return _check_witnesses(old, new)
    return ["kind: a record can't change its kind; use another name"]


def _find_lost_values(old: Record, schema: int) -> list[str]:
    try:
        describe_record(old, schema)
    except InvalidRecordError as error:
        return error.faults
    return []


def _check_confirmed_stopped(new: Record) -> list[str]:
    # Left over from an earlier outage, it would let others take the blocks at once when
    # the data centre is next taken out, while its instances still run.
    if (
        isinstance(new, DataCentreRecord)
        and new.confirmed_stopped
        and new.status == DataCentreStatus.IN
    ):
        return ["confirmed_stopped: got True; allowed: False while the status is 'in'"]
    return []


def _check_service(old: ServiceRecord, new: ServiceRecord) -> list[str]:
    # Another number of shards maps keys to other owners while instances that still hold
    # the old record send them to the present ones.
    return [
        f"{name}: got {getattr(new, name)}; allowed: {getattr(old, name)}, because a "
        f"change would give keys a second owner; create another service"
        for name in ("blocks", "shards_per_block")
        if getattr(new, name) != getattr(old, name)
    ]


def _check_server(
    old: ServerRecord, new: ServerRecord, owners: Iterable[str]
) -> list[str]:
    # Ownership names the server, not its address: instances that still hold the old
    # record would send to the old address while others send to the new one.
    changed = [
        name
        for name in ("service", "data_centre", "address")
        if getattr(new, name) != getattr(old, name)
    ]
    if not changed or (old.state == ServerState.OUT and old.name not in set(owners)):
        return []
    return [
        f"{name}: got {getattr(new, name)!r}; allowed: {getattr(old, name)!r} until "
        f"the server is out and owns nothing; set state 'out' first or use another name"
        for name in changed
    ]


def _check_witnesses(old: DataCentreRecord, new: DataCentreRecord) -> list[str]:
    # Majorities of two lists are sure to share a seat only when the lists differ by one
    # added or one removed seat; {a, b} of a, b, c and {c, d} of b, c, d share none.
    removed = set(old.witnesses) - set(new.witnesses)
    added = set(new.witnesses) - set(old.witnesses)
    faults = []
    if len(removed) + len(added) > 1:
        seats = [f"-{seat.name}@{seat.peer_address}" for seat in removed]
        seats += [f"+{seat.name}@{seat.peer_address}" for seat in added]
        faults.append(
            f"witnesses: got changes {', '.join(sorted(seats))}; allowed: one seat "
            f"added or removed at a time; put one change, wait until every instance "
            f"reports its revision, then put the next"
        )
    if old.witnesses and not new.witnesses:
        faults.append(
            "witnesses: got no seat; allowed: at least one, because nothing is served "
            "without a witness"
        )
    return faults


def _flatten(record: Record) -> dict[str, Any]:
    data = describe_record(record)
    data.pop("schema")
    # Set by the instance that stores the record, not by operators.
    data.pop("replaced_autonomy_s", None)
    for seat in data.pop("witnesses", ()):
        data[f"witnesses[{seat['name']}]"] = seat["peer_address"]
    return data


def _show(value: Any) -> str:
    if value is None:
        return "absent"
    return str(value).lower() if isinstance(value, bool) else str(value)
