"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

from tomllib import TOMLDecodeError, load
from typing import TYPE_CHECKING, Any

from basilwick.core.deployment import Deployment, SiteBounds
from basilwick.core.dispatch.service_shares import DEFAULT_PRIORITY_FLOOR
from basilwick.core.errors import InvalidSettingsError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SETTINGS_VARIABLE", "load_deployment"]

#: Environment variable that names the settings file.
SETTINGS_VARIABLE = "BASILWICK_SETTINGS"


class _FieldReader:
    """Reads fields of the settings by path and collects their faults."""

    def __init__(self, data: dict[str, Any]):
        self._data = data
        self.faults: list[str] = []

    def get(self, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        value: Any = self._data
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if not isinstance(value, kind) or isinstance(value, bool):
            self.faults.append(f"{path} is {value!r}; give it a value of type {kind}")
            return default
        return value

    def get_number(self, path: str, default: float, unit: float = 1.0) -> float:
        """Read a number and convert it with ``unit``; the default is converted."""
        return self.get(path, (int, float), default / unit) * unit

    def get_address(self, path: str) -> str:
        value = self.get(path, str)
        if value is not None and not value.rpartition(":")[2].isdigit():
            self.faults.append(f"{path} is {value!r}; give IP number and port")
        return value or ""


_MS = 0.001
_MIB = 1 << 20
#: Largest floor of a priority. With four priorities, the floors of the less urgent ones
#: then leave a quarter of the slots to the most urgent one.
_MAX_PRIORITY_FLOOR = 0.25


def load_deployment(path: Path) -> Deployment:
    """Read a settings file; unknown fields are ignored.

    Raises
    ------
    InvalidSettingsError
        If fields are missing or of a wrong type; the error names all of them.
    """
    try:
        with path.open("rb") as file:
            data = load(file)
    except (OSError, TOMLDecodeError) as error:
        raise InvalidSettingsError(path, [str(error)]) from error
    reader = _FieldReader(data)
    address = reader.get("localNode.ipAddress", str)
    ports = reader.get("network.internalPortRange", list) or [0, 0]
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        reader.faults.append(
            f"network.internalPortRange is {ports!r}; give the first and last port"
        )
        ports = [0, 0]
    deployment = Deployment(
        reader.get("localNode.nodeName", str),
        reader.get("localNode.zone", str),
        reader.get("network.zones", dict),
        reader.get_address("network.listenAddresses.frontendAddress"),
        reader.get_address("network.listenAddresses.ready"),
        f"{address}:{ports[0]}",
        f"{address}:{ports[0] + 1}",
        reader.get_address("platform.platform.address"),
        reader.get_number("platform.heartbeatIntervalMs", 1.0, _MS),
        _read_bounds(reader),
        _read_cpu_cores(reader),
        round(reader.get_number("localNode.limits.memoryMb", 0.0) * _MIB),
        round(reader.get_number("localNode.limits.fileDescriptors", 0.0)),
        priority_floor=_read_priority_floor(reader),
        link_mbps=reader.get_number("localNode.limits.linkMbps", 0.0),
    )
    if reader.faults:
        raise InvalidSettingsError(path, reader.faults)
    return deployment


def _read_cpu_cores(reader: _FieldReader) -> float:
    # cpuShare is the share of one core, and cpuCores the speed of that core.
    share = reader.get("localNode.limits.cpuShare", (int, float), 0.0)
    return share * reader.get("localNode.limits.cpuCores", (int, float), 1)


def _read_priority_floor(reader: _FieldReader) -> float:
    """Read the setting of this product's own that the platform doesn't know."""
    path = "basilwick.priority_floor"
    floor = reader.get_number(path, DEFAULT_PRIORITY_FLOOR)
    if not 0.0 <= floor <= _MAX_PRIORITY_FLOOR:
        reader.faults.append(
            f"{path} is {floor!r}; give a share from 0 to {_MAX_PRIORITY_FLOOR}"
        )
    return floor


def _read_bounds(reader: _FieldReader) -> SiteBounds:
    default = SiteBounds()
    prefix = "terms.bounds."
    return SiteBounds(
        reader.get_number(prefix + "drainTimeoutMs", default.drain_timeout_s, _MS),
        reader.get_number(prefix + "gracePeriodS", default.grace_period_s),
        reader.get_number(prefix + "retryBudgetRatio", default.retry_budget_ratio),
        reader.get_number(prefix + "retryBudgetSlack", default.retry_budget_slack),
        reader.get_number(prefix + "budgetWindowS", default.retry_budget_window_s),
        reader.get_number(prefix + "maxHoldMs", default.max_grant_ttl_s, _MS),
    )
