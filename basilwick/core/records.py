"""Configuration records that operators write."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any, TypeAlias

from attrs import asdict, fields, frozen
from orjson import JSONDecodeError, dumps, loads

from basilwick.core.errors import InvalidRecordError

# cattrs resolves the annotations at run time.
from basilwick.core.validation import (
    Address,
    Between,
    Name,
    ValidationError,
    find_duplicates,
    structure,
)

__all__ = [
    "SCHEMA_MAX",
    "DataCentreRecord",
    "DataCentreStatus",
    "Record",
    "ServerRecord",
    "ServerState",
    "ServiceRecord",
    "Witness",
    "decode_record",
    "describe_record",
    "encode_record",
    "get_kind",
    "parse_record_key",
    "read_schema",
    "record_key",
]

#: Highest record schema that this program reads and writes.
SCHEMA_MAX = 2
_PREFIX = "records/"
_DAY_S = 86400.0
_WITNESSES_MAX = 5


class ServerState(StrEnum):
    """Whether a backend server may hold shards."""

    ACTIVE = "active"
    DRAINING = "draining"
    OUT = "out"


class DataCentreStatus(StrEnum):
    """Whether a data centre may take work."""

    IN = "in"
    OUT = "out"


@frozen
class ServiceRecord:
    """A service and how its keys are divided.

    Attributes
    ----------
    name : str
        Name used in request paths.
    blocks : int
        Number of blocks.
    shards_per_block : int
        Number of shards in each block.
    default_deadline_ms : int
        Deadline of requests that name none, in milliseconds.
    """

    name: Name
    blocks: Annotated[int, Between(1, 1024)] = 12
    shards_per_block: Annotated[int, Between(1, 1024)] = 16
    default_deadline_ms: Annotated[int, Between(1, 120_000)] = 2000

    @property
    def shard_count(self) -> int:
        """Number of shards of the service."""
        return self.blocks * self.shards_per_block


@frozen
class ServerRecord:
    """A backend server.

    Attributes
    ----------
    name, service, data_centre : str
        Name, the service it belongs to and where it runs.
    address : str
        IP number and port.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it accepts.
    state : ServerState
        Whether it may hold shards.
    checks_grants : bool
        Whether it refuses requests of a lower fence or without a valid grant.
    reports_clock : bool
        Whether it reports its monotonic clock and honours expiries on it.
    """

    name: Name
    service: Name
    data_centre: Name
    address: Address
    slots: Annotated[int, Between(1, 65_535)] = 4
    connections: Annotated[int, Between(1, 65_535)] = 120
    state: ServerState = ServerState.ACTIVE
    checks_grants: bool = False
    reports_clock: bool = False


@frozen
class Witness:
    """A seat that confirms block generations for its data centre."""

    name: Name
    peer_address: Address


@frozen
class DataCentreRecord:
    """A data centre.

    Attributes
    ----------
    name : str
        Name of the data centre.
    status : DataCentreStatus
        Whether it may take work.
    witnesses : tuple of Witness
        Seats that confirm block generations.
    autonomy_s : float
        Seconds for which it serves without contact to the platform.
    confirmed_stopped : bool
        Whether operators vouch that its instances are off.
    replaced_autonomy_s : float
        ``autonomy_s`` of the record that this one replaced, 0 for the first. The
        instance that stores a record sets it, so that an instance started later also
        knows the longer of the two terms.
    """

    name: Name
    status: DataCentreStatus = DataCentreStatus.IN
    witnesses: tuple[Witness, ...] = ()
    autonomy_s: Annotated[float, Between(1.0, 30 * _DAY_S)] = 7200.0
    confirmed_stopped: bool = False
    replaced_autonomy_s: Annotated[float, Between(0.0, 30 * _DAY_S)] = 0.0


Record: TypeAlias = ServiceRecord | ServerRecord | DataCentreRecord


@frozen
class _ServerRecord1:
    name: Name
    service: Name
    data_centre: Name
    address: Address
    slots: Annotated[int, Between(1, 65_535)] = 4
    connections: Annotated[int, Between(1, 65_535)] = 120
    drain: bool = False
    out: bool = False

    def upgrade(self) -> ServerRecord:
        """Convert to schema 2; a server that is out stays out even when draining."""
        values = asdict(self)
        drain, out = values.pop("drain"), values.pop("out")
        state = ServerState.DRAINING if drain else ServerState.ACTIVE
        return ServerRecord(**values, state=ServerState.OUT if out else state)


@frozen
class _DataCentreRecord1:
    name: Name
    out: bool = False
    witnesses: tuple[Witness, ...] = ()

    def upgrade(self) -> DataCentreRecord:
        """Convert to schema 2."""
        status = DataCentreStatus.OUT if self.out else DataCentreStatus.IN
        return DataCentreRecord(self.name, status, self.witnesses)


_KINDS: dict[str, type[Record]] = {
    "service": ServiceRecord,
    "server": ServerRecord,
    "data_centre": DataCentreRecord,
}
_SCHEMA_1_KINDS = {"server": _ServerRecord1, "data_centre": _DataCentreRecord1}
# Fields that schema 1 lacks; a record converts only while they have these values.
_MISSING_IN_SCHEMA_1: dict[str, tuple[str, ...]] = {
    "service": (),
    "server": ("checks_grants", "reports_clock"),
    "data_centre": ("autonomy_s", "confirmed_stopped", "replaced_autonomy_s"),
}


def record_key(kind: str, name: str) -> str:
    """Return the platform key of a record."""
    return f"{_PREFIX}{kind}/{name}"


def parse_record_key(key: str) -> tuple[str, str] | None:
    """Return kind and name of a record's platform key, or None for other keys."""
    kind, _, name = key.removeprefix(_PREFIX).partition("/")
    return (kind, name) if key.startswith(_PREFIX) and kind in _KINDS else None


def get_kind(record: Record) -> str:
    """Return the kind of a record."""
    return next(kind for kind, cls in _KINDS.items() if isinstance(record, cls))


def decode_record(value: bytes) -> Record:
    """Read a record of schema 1 or 2.

    Raises
    ------
    InvalidRecordError
        If the value is not a valid record of a known kind and schema; the error
        carries all faults.
    """
    data = _load(value)
    kind, schema = data.pop("kind", None), data.pop("schema", None)
    faults = []
    if kind not in _KINDS:
        faults.append(f"kind: got {kind!r}; allowed: {', '.join(_KINDS)}")
    if type(schema) is not int or not 1 <= schema <= SCHEMA_MAX:
        faults.append(f"schema: got {schema!r}; allowed: 1 to {SCHEMA_MAX}")
    if faults:
        raise _refuse(faults)
    cls: type[Any] = _KINDS[kind]
    if schema == 1:
        cls = _SCHEMA_1_KINDS.get(kind, cls)
    try:
        record = structure(data, cls)
    except ValidationError as error:
        raise _refuse(error.faults + _find_witness_faults(data)) from error
    faults = _find_witness_faults(data)
    if faults:
        raise _refuse(faults)
    return record if isinstance(record, Record) else record.upgrade()


def read_schema(value: bytes) -> int:
    """Return the schema number that a value claims.

    Raises
    ------
    InvalidRecordError
        If the value names no schema.
    """
    schema = _load(value).get("schema")
    if type(schema) is not int:
        raise _refuse([f"schema: got {schema!r}; allowed: 1 to {SCHEMA_MAX}"])
    return schema


def describe_record(record: Record, schema: int = SCHEMA_MAX) -> dict[str, Any]:
    """Return a record in the shape of a schema.

    Raises
    ------
    InvalidRecordError
        If schema 1 can't express the record without loss.
    """
    kind = get_kind(record)
    data = {"schema": schema, "kind": kind, **asdict(record)}
    if schema == SCHEMA_MAX:
        return data
    if schema != 1:
        raise _refuse([f"schema: got {schema!r}; allowed: 1 to {SCHEMA_MAX}"])
    defaults = {attribute.name: attribute.default for attribute in fields(type(record))}
    lost = [
        f"{name}: schema 1 can't express {data[name]!r}; write schema 2"
        for name in _MISSING_IN_SCHEMA_1[kind]
        if data[name] != defaults[name]
    ]
    if lost:
        raise _refuse(lost)
    for name in _MISSING_IN_SCHEMA_1[kind]:
        del data[name]
    if isinstance(record, ServerRecord):
        state = data.pop("state")
        data["drain"] = state == ServerState.DRAINING
        data["out"] = state == ServerState.OUT
    elif isinstance(record, DataCentreRecord):
        data["out"] = data.pop("status") == DataCentreStatus.OUT
    return data


def encode_record(record: Record, schema: int = SCHEMA_MAX) -> bytes:
    """Return a record as JSON of a schema.

    Raises
    ------
    InvalidRecordError
        If schema 1 can't express the record without loss.
    """
    return dumps(describe_record(record, schema))


def _load(value: bytes) -> dict[str, Any]:
    try:
        data = loads(value)
    except JSONDecodeError as error:
        raise _refuse([f"value is not JSON ({error})"]) from error
    if not isinstance(data, dict):
        raise _refuse([f"got {data!r}; allowed: a JSON object"])
    return data


def _find_witness_faults(data: dict[str, Any]) -> list[str]:
    witnesses = data.get("witnesses")
    if not isinstance(witnesses, list):
        return []
    faults = []
    if len(witnesses) > _WITNESSES_MAX:
        faults.append(
            f"witnesses: got {len(witnesses)} seats; allowed: at most {_WITNESSES_MAX}"
        )
    for name in ("name", "peer_address"):
        values = [
            witness[name]
            for witness in witnesses
            if isinstance(witness, dict) and isinstance(witness.get(name), str)
        ]
        faults += [
            f"witnesses: {name} {value!r} occurs more than once; allowed: once"
            for value in find_duplicates(values)
        ]
    return faults


def _refuse(faults: list[str]) -> InvalidRecordError:
    return InvalidRecordError(
        f"not a valid record: {'; '.join(faults)}; correct it and run "
        f"'basilwick record validate'",
        faults,
    )
