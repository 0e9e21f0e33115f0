"""Configuration records that operators write."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

from attrs import frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from orjson import loads

from basilwick.core.errors import InvalidRecordError

# cattrs resolves the annotations at run time.
from basilwick.core.types import DataCentreName, ServerName, ServiceName  # noqa: TC001

__all__ = [
    "DataCentreRecord",
    "DataCentreStatus",
    "Record",
    "ServerRecord",
    "ServerState",
    "ServiceRecord",
    "Witness",
    "decode_record",
    "record_key",
]

_PREFIX = "records/"


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

    name: ServiceName
    blocks: int = 12
    shards_per_block: int = 16
    default_deadline_ms: int = 2000

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

    name: ServerName
    service: ServiceName
    data_centre: DataCentreName
    address: str
    slots: int = 4
    connections: int = 120
    state: ServerState = ServerState.ACTIVE
    checks_grants: bool = False
    reports_clock: bool = False


@frozen
class Witness:
    """A seat that confirms block generations for its data centre."""

    name: str
    peer_address: str


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
    """

    name: DataCentreName
    status: DataCentreStatus = DataCentreStatus.IN
    witnesses: tuple[Witness, ...] = ()
    autonomy_s: float = 7200.0
    confirmed_stopped: bool = False


Record: TypeAlias = ServiceRecord | ServerRecord | DataCentreRecord

_KINDS = {
    "service": ServiceRecord,
    "server": ServerRecord,
    "data_centre": DataCentreRecord,
}
_CONVERTER = Converter(forbid_extra_keys=True)


def record_key(kind: str, name: str) -> str:
    """Return the platform key of a record."""
    return f"{_PREFIX}{kind}/{name}"


def decode_record(value: bytes) -> Record:
    """Read a record.

    Raises
    ------
    InvalidRecordError
        If the value is not a record of a known kind and schema.
    """
    try:
        data = loads(value)
        kind = data.pop("kind")
        data.pop("schema")
        return _CONVERTER.structure(data, _KINDS[kind])
    except (ValueError, KeyError, BaseValidationError) as error:
        raise InvalidRecordError(
            f"value is not a record ({error!r}); run 'basilwick record validate'"
        ) from error
