"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

from tomllib import TOMLDecodeError, load
from typing import TYPE_CHECKING, Any

from basilwick.core.deployment import Deployment, SiteBounds
from basilwick.core.errors import InvalidSettingsError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SETTINGS_VARIABLE", "load_deployment"]

#: Environment variable that names the settings file.
SETTINGS_VARIABLE = "BASILWICK_SETTINGS"


class _Reader:
    """Reads fields by path and collects what is wrong with them."""

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

    def get_seconds(self, path: str, default: float, unit: float = 1.0) -> float:
        return self.get(path, (int, float), default / unit) * unit

    def get_address(self, path: str) -> str:
        value = self.get(path, str)
        if value is not None and not value.rpartition(":")[2].isdigit():
            self.faults.append(f"{path} is {value!r}; give IP number and port")
        return value or ""


_MS = 0.001


def load_deployment(path: Path) -> Deployment:
    """Read a settings file; unknown fields are ignored.

    Raises
    ------
    InvalidSettingsError
        With all fields that are missing or of a wrong type.
    """
    try:
        with path.open("rb") as file:
            data = load(file)
    except (OSError, TOMLDecodeError) as error:
        raise InvalidSettingsError(path, [str(error)]) from error
    reader = _Reader(data)
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
        reader.get_seconds("platform.heartbeatIntervalMs", 1.0, _MS),
        _read_bounds(reader),
        _read_cores(reader),
    )
    if reader.faults:
        raise InvalidSettingsError(path, reader.faults)
    return deployment


def _read_cores(reader: _Reader) -> float:
    # The platform gives the share of one core, and separately how fast that core is.
    share = reader.get("localNode.limits.cpuShare", (int, float), 0.0)
    return share * reader.get("localNode.limits.cpuCores", (int, float), 1)


def _read_bounds(reader: _Reader) -> SiteBounds:
    default = SiteBounds()
    bounds = "terms.bounds."
    return SiteBounds(
        reader.get_seconds(bounds + "drainTimeoutMs", default.drain_timeout_s, _MS),
        reader.get_seconds(bounds + "gracePeriodS", default.grace_period_s),
        reader.get_seconds(bounds + "retryBudgetRatio", default.retry_budget_ratio),
        reader.get_seconds(bounds + "retryBudgetSlack", default.retry_budget_slack),
        reader.get_seconds(bounds + "budgetWindowS", default.retry_budget_window_s),
        reader.get_seconds(bounds + "maxHoldMs", default.max_hold_s, _MS),
    )
