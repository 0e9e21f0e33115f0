"""Settings of an instance, read from one TOML file."""

from __future__ import annotations

from tomllib import load
from typing import TYPE_CHECKING

from attrs import frozen
from cattrs import Converter

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["InstanceSettings", "ListenSettings", "Settings", "load_settings"]


@frozen
class InstanceSettings:
    """Identity of the instance."""

    name: str
    data_centre: str


@frozen
class ListenSettings:
    """Addresses to listen on, each an IP number and a port."""

    caller: str
    forward: str
    peer: str
    admin: str


@frozen
class PlatformSettings:
    """How to reach the platform's key-value service."""

    address: str


@frozen
class SecuritySettings:
    """Shared key of the peer, forward and admin ports."""

    shared_key: str = ""


@frozen
class PeerSettings:
    """Instances to contact before any other is known.

    With seeds, an instance that starts during an outage of the platform learns the
    configuration from them.
    """

    seeds: tuple[str, ...] = ()


@frozen
class Settings:
    """All settings of an instance."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    security: SecuritySettings = SecuritySettings()
    peers: PeerSettings = PeerSettings()


def load_settings(path: Path) -> Settings:
    """Read settings from a TOML file."""
    with path.open("rb") as file:
        data = load(file)
    return Converter(forbid_extra_keys=True).structure(data, Settings)
