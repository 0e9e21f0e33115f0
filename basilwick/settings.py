"""Settings of an instance, read from a TOML file and fully checked before start."""

from __future__ import annotations

from tomllib import TOMLDecodeError, load
from typing import TYPE_CHECKING, Annotated, Any

from attrs import Factory, asdict, frozen

from basilwick.core.errors import InvalidSettingsError

# Imported at run time, because cattrs resolves the annotations then.
from basilwick.core.validation import (
    Address,
    Between,
    ListenAddress,
    Name,
    ValidationError,
    find_duplicates,
    split_address,
    structure,
)

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "InstanceSettings",
    "InvalidSettingsError",
    "LimitsSettings",
    "ListenSettings",
    "LogsSettings",
    "PeersSettings",
    "PlatformSettings",
    "SecuritySettings",
    "Settings",
    "TraceSettings",
    "describe_settings",
    "load_settings",
]

_MB = 1_000_000
_LOG_LEVELS = ("trace", "debug", "info", "warning", "error")
# Shorter keys can be guessed; 16 characters hold 64 bits even in hexadecimal.
_SHARED_KEY_MIN_LENGTH = 16


@frozen
class _LevelCheck:
    def check(self, value: Any, kind: type) -> Any:
        if value not in _LOG_LEVELS:
            raise ValueError(f"got {value!r}; allowed: {', '.join(_LOG_LEVELS)}")
        return value


@frozen
class _SharedKeyCheck:
    def check(self, value: Any, kind: type) -> Any:
        # The value is a secret, so the message does not quote it.
        printable = isinstance(value, str) and value.isascii() and value.isprintable()
        if printable and (not value or len(value) >= _SHARED_KEY_MIN_LENGTH):
            return value
        raise ValueError(
            f"not usable; allowed: at least {_SHARED_KEY_MIN_LENGTH} printable ASCII "
            f"characters, or empty for no key"
        )


@frozen
class InstanceSettings:
    """Identity of the instance."""

    name: Name
    data_centre: Name


@frozen
class ListenSettings:
    """Addresses to listen on, each an IP number and a port."""

    caller: ListenAddress
    forward: ListenAddress
    peer: ListenAddress
    admin: ListenAddress


@frozen
class PlatformSettings:
    """How to reach the platform's key-value service."""

    address: Address


@frozen
class PeersSettings:
    """Instances to contact before any other is known.

    Attributes
    ----------
    seeds : tuple of str
        Addresses of peer listeners. Every instance can have the same list, its own
        address included.
    """

    seeds: tuple[Address, ...] = ()


@frozen
class SecuritySettings:
    """Shared key that the peer, forward and admin ports require when it is set."""

    shared_key: Annotated[str, _SharedKeyCheck()] = ""

    def __repr__(self) -> str:
        return f"SecuritySettings(shared_key={'***' if self.shared_key else ''!r})"


@frozen
class LogsSettings:
    """Lowest level of log lines that are written, and whether lines are JSON."""

    level: Annotated[str, _LevelCheck()] = "info"
    json: bool = False


@frozen
class TraceSettings:
    """File that records events for replay, empty for none, and its maximum size."""

    path: str = ""
    max_bytes: Annotated[int, Between(1000, 100_000 * _MB)] = 100 * _MB


@frozen
class LimitsSettings:
    """Limits of the request path.

    Attributes
    ----------
    max_body_bytes : int
        Largest request body; uploads are streamed and don't count against memory.
    max_key_bytes : int
        Longest key; the caller interface allows at most 512.
    queue_length : int
        Maximum number of requests that wait for one server.
    shutdown_s : float
        Longest time in seconds for which a planned stop waits for running requests.
    """

    max_body_bytes: Annotated[int, Between(1, 100_000 * _MB)] = 100 * _MB
    max_key_bytes: Annotated[int, Between(1, 512)] = 512
    queue_length: Annotated[int, Between(0, 10_000)] = 64
    shutdown_s: Annotated[float, Between(0.0, 3600.0)] = 30.0


@frozen
class Settings:
    """All settings of an instance."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeersSettings = Factory(PeersSettings)
    security: SecuritySettings = Factory(SecuritySettings)
    logs: LogsSettings = Factory(LogsSettings)
    trace: TraceSettings = Factory(TraceSettings)
    limits: LimitsSettings = Factory(LimitsSettings)


def load_settings(path: Path) -> Settings:
    """Read and check settings from a TOML file.

    Raises
    ------
    InvalidSettingsError
        If the file is unreadable or invalid, with all its faults.
    """
    try:
        with path.open("rb") as file:
            data = load(file)
    except (OSError, TOMLDecodeError, UnicodeDecodeError) as error:
        fault = f"can't be read as TOML ({error})"
        raise InvalidSettingsError(path, [fault]) from error
    faults: list[str] = []
    try:
        settings = structure(data, Settings)
    except ValidationError as error:
        faults = error.faults
    faults += _find_address_conflicts(data)
    if faults:
        raise InvalidSettingsError(path, faults)
    return settings


def _find_address_conflicts(data: dict[str, Any]) -> list[str]:
    # Reads the raw data, so that these faults are reported together with those of
    # other values.
    listen = data.get("listen")
    listen = listen if isinstance(listen, dict) else {}
    addresses = {
        f"listen.{name}": value
        for name, value in listen.items()
        if name in ListenSettings.__annotations__ and isinstance(value, str)
    }
    platform = data.get("platform")
    if isinstance(platform, dict) and isinstance(platform.get("address"), str):
        addresses["platform.address"] = platform["address"]
    faults = []
    for position, (name, address) in enumerate(addresses.items()):
        for other, other_address in list(addresses.items())[:position]:
            if _addresses_overlap(address, other_address):
                faults.append(
                    f"{name}: got {address!r}; allowed: an address other than that of "
                    f"{other}"
                )
                break
    return faults + _find_duplicate_seeds(data)


def _find_duplicate_seeds(data: dict[str, Any]) -> list[str]:
    peers = data.get("peers")
    seeds = peers.get("seeds") if isinstance(peers, dict) else None
    if not isinstance(seeds, list):
        return []
    return [
        f"peers.seeds: got {address!r} more than once; allowed: once"
        for address in find_duplicates(seed for seed in seeds if isinstance(seed, str))
    ]


def _addresses_overlap(first: str, second: str) -> bool:
    """Tell whether two addresses have the same port and a host in common."""
    try:
        (host, port), (other_host, other_port) = map(split_address, (first, second))
    except ValueError:
        return False
    unspecified = {"0.0.0.0", "::"}
    same_host = host == other_host or bool({host, other_host} & unspecified)
    return port == other_port and same_host


def describe_settings(settings: Settings) -> dict[str, Any]:
    """Return all settings, including defaults, with the shared key redacted."""
    data = asdict(settings)
    data["security"]["shared_key"] = "***" if settings.security.shared_key else ""
    return data
