"""Decodes what operators and servers write to the platform's service."""

from __future__ import annotations

from typing import Any

from orjson import JSONDecodeError, loads

from basilwick.core.dispatch.site import (
    CallerLimits,
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    Target,
)
from basilwick.core.types import Operation

__all__ = [
    "CONFIGURATION_KEY",
    "OUT_PREFIX",
    "SERVERS_PREFIX",
    "UnreadableEntryError",
    "decode_configuration",
    "decode_server",
]

CONFIGURATION_KEY = "op/config"
OUT_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

_OPERATIONS = {
    "safe": Operation.IDEMPOTENT,
    "unsafe": Operation.AT_MOST_ONCE,
    "upload": Operation.UPLOAD,
}
_STATES = {"ready": False, "draining": True}
_MS = 0.001


class UnreadableEntryError(ValueError):
    """An entry of the platform's service can't be used; the last good one stays."""


def decode_configuration(value: bytes) -> SiteConfiguration:
    """Decode a configuration.

    Raises
    ------
    UnreadableEntryError
        If a field is missing or has a value that isn't allowed.
    """
    try:
        data = loads(value)
        routes = []
        services = {}
        limits = CallerLimits()
        for resource in data["resources"]:
            content = resource["specification"]
            kind = resource["resourceKind"]
            if kind == "routes":
                routes.append(_decode_route(resource["metadata"]["name"], content))
            elif kind == "services":
                spec = _decode_service(resource["metadata"]["name"], content)
                services[spec.name] = spec
            elif kind == "limits":
                limits = _decode_limits(content)
        version = data["version"]
        if not isinstance(version, str) or not version.startswith("r"):
            raise ValueError(f"version {version!r} is not r and a number")
        configuration = SiteConfiguration(
            int(version[1:]), tuple(routes), services, limits
        )
    except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableEntryError(f"configuration: {error!r}") from error
    _check_targets(configuration)
    return configuration


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Decode the registration of a server.

    Raises
    ------
    UnreadableEntryError
        If a field is missing or has a value that isn't allowed.
    """
    try:
        data = loads(value)
        host, _, port = data["address"].rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"address {data['address']!r}")
        entry = ServerEntry(
            name,
            _expect(data["service"], str),
            data["address"],
            _expect(data["zone"], str),
            _expect(data["slots"], int),
            _STATES[data["state"]],
            _expect(data["warmupRemainingMs"], (int, float)) * _MS,
            _expect(data.get("born", 0), int),
        )
        if entry.slots < 1 or entry.warm_up_left_s < 0:
            raise ValueError(f"slots {entry.slots}, warm-up {entry.warm_up_left_s}")
    except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableEntryError(f"server {name!r}: {error!r}") from error
    return entry


def _decode_route(name: str, content: dict[str, Any]) -> Route:
    shares = content.get("trafficSplit") or [
        {"service": content["service"], "weight": 1}
    ]
    timeout_s = _expect(content["timeoutMs"], (int, float)) * _MS
    prefix = _expect(content["pathPrefix"], str)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"path prefix {prefix!r} has no slash at its ends")
    return Route(
        name,
        _expect(content["host"], str).lower(),
        prefix,
        _OPERATIONS[content["kind"]],
        tuple(
            Target(
                _expect(share["service"], str), _expect(share["weight"], (int, float))
            )
            for share in shares
        ),
        timeout_s,
        content.get("targetLatencyMs", timeout_s / _MS) * _MS,
        content.get("priority", 0),
        max(1, content.get("maxAttempts", 1)),
        frozenset(content.get("homeRegions") or ()),
    )


def _decode_service(name: str, content: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name,
        _expect(content["healthCheckPath"], str),
        _expect(content["maxConnections"], int),
        content.get("warmupS", 0.0),
        content.get("warmupPerS", float("inf")),
        bool(content.get("sharded", False)),
        content.get("warmS", 0.0),
    )


def _decode_limits(content: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        content.get("maxHeaderBytes", default.header_bytes),
        content.get("maxBodyBytes", default.body_bytes),
        content.get("headerTimeoutMs", default.header_timeout_s / _MS) * _MS,
        content.get("idleTimeoutMs", default.idle_timeout_s / _MS) * _MS,
    )


def _check_targets(configuration: SiteConfiguration) -> None:
    for route in configuration.routes:
        for target in route.targets:
            if target.service not in configuration.services:
                raise UnreadableEntryError(
                    f"route {route.name!r} names service {target.service!r}, which "
                    "the configuration does not have"
                )


def _expect(value: Any, kind: type | tuple[type, ...]) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not of type {kind}")
    return value
