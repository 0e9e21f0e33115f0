"""Decodes what operators and servers write to the platform's service."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any

from attrs import frozen
from orjson import JSONDecodeError, loads

from basilwick.core.dispatch.site import (
    CallerLimits,
    Route,
    RouteTarget,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
)
from basilwick.core.types import Operation

__all__ = [
    "CONFIGURATION_KEY",
    "DATA_CENTRE_OUT_PREFIX",
    "SERVERS_PREFIX",
    "DecodedConfiguration",
    "UnreadableEntryError",
    "decode_configuration",
    "decode_server",
]

CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

#: Kind of the routes whose answers are large; their requests are idempotent.
_LARGE_ANSWERS = "download"
_OPERATIONS = {
    "safe": Operation.IDEMPOTENT,
    "unsafe": Operation.AT_MOST_ONCE,
    "upload": Operation.UPLOAD,
    _LARGE_ANSWERS: Operation.IDEMPOTENT,
}
_STATES = {"ready": False, "draining": True}
_MS = 0.001
_LAST_PORT = 65_535
#: Errors that a field of a wrong type or value raises while it is decoded.
_UNUSABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class UnreadableEntryError(ValueError):
    """An entry of the platform's service can't be used; the last good one stays."""


@frozen
class DecodedConfiguration:
    """A configuration, and what is wrong with those of its resources not in use."""

    configuration: SiteConfiguration
    faults: tuple[str, ...] = ()


def decode_configuration(
    value: bytes, present: SiteConfiguration | None = None
) -> DecodedConfiguration:
    """Decode a configuration, each resource by itself.

    A resource that can't be used keeps its definition in the present configuration. A
    route without one takes its requests and refuses them, if its host and prefix can be
    read. Resources of an unknown kind are passed over.

    Parameters
    ----------
    value : bytes
        Stored configuration.
    present : SiteConfiguration, optional
        Configuration in force.

    Raises
    ------
    UnreadableEntryError
        If the value is no list of resources, or has no version.
    """
    try:
        data = loads(value)
        version = _read_version(data["version"])
        resources = list(data["resources"])
    except (JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise UnreadableEntryError(f"configuration: {error!r}") from error
    builder = _ConfigurationBuilder(present)
    for resource in resources:
        builder.add(resource)
    return DecodedConfiguration(builder.build(version), tuple(builder.faults))


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Decode the registration of a server.

    Raises
    ------
    UnreadableEntryError
        If a field is missing or has a value that isn't allowed.
    """
    try:
        data = loads(value)
        entry = ServerEntry(
            name,
            _expect(data["service"], str),
            _read_address(data["address"]),
            _expect(data["zone"], str),
            _expect(data["slots"], int),
            _STATES[data["state"]],
            _read_amount(data, "warmupRemainingMs") * _MS,
            _expect(data.get("born", 0), int),
        )
        if entry.slots < 1:
            raise ValueError(f"slots is {entry.slots}; give a number from 1 up")
    except _UNUSABLE as error:
        raise UnreadableEntryError(f"server {name!r}: {error!r}") from error
    return entry


class _ConfigurationBuilder:
    """Collects the usable resources of a configuration, and the faults of others."""

    def __init__(self, present: SiteConfiguration | None):
        self.faults: list[str] = []
        self._routes: dict[str, Route] = {}
        self._services: dict[str, ServiceSpec] = {}
        self._limits = CallerLimits() if present is None else present.limits
        self._known_routes: dict[str, Route] = {}
        self._known_services: dict[str, ServiceSpec] = {}
        if present is not None:
            self._known_routes = {route.name: route for route in present.routes}
            self._known_services = present.services

    def add(self, resource: Any) -> None:
        """Take a resource."""
        try:
            kind = resource["resourceKind"]
            # Limits stand alone and may have no name.
            name = _expect(resource["metadata"].get("name", ""), str)
            content = _expect(resource["specification"], dict)
        except _UNUSABLE as error:
            self.faults.append(f"resource {str(resource)[:100]}: {error!r}")
            return
        try:
            if kind == "routes":
                self._add_route(name, content)
            elif kind == "services":
                self._services[name] = _decode_service(name, content)
            elif kind == "limits":
                self._limits = _decode_limits(content)
        except _UNUSABLE as error:
            self.faults.append(f"{kind} {name!r}: {error!r}")
            if kind == "routes":
                self._replace_route(name, content)
            elif kind == "services" and name in self._known_services:
                self._services[name] = self._known_services[name]

    def build(self, version: int) -> SiteConfiguration:
        """Return the configuration."""
        for route in self._routes.values():
            for target in route.targets:
                if target.service not in self._services:
                    self.faults.append(
                        f"route {route.name!r} names service {target.service!r}, "
                        "which the configuration does not have"
                    )
        routes = tuple(self._routes.values())
        return SiteConfiguration(version, routes, self._services, self._limits)

    def _add_route(self, name: str, content: dict[str, Any]) -> None:
        route = _decode_route(name, content)
        self._routes[name] = route
        if content["kind"] not in _OPERATIONS:
            self.faults.append(
                f"route {name!r} has unknown kind {content['kind']!r}; its requests "
                "run at most once"
            )

    def _replace_route(self, name: str, content: dict[str, Any]) -> None:
        """Take the definition in force, or a route that refuses its requests."""
        if name in self._known_routes:
            self._routes[name] = self._known_routes[name]
            return
        try:
            host, prefix = _decode_selector(content)
        except _UNUSABLE:
            # The fault is on the list already; nothing tells which requests are meant.
            return
        self._routes[name] = Route(
            name, host, prefix, Operation.AT_MOST_ONCE, (), 1.0, 1.0, 0, 1
        )


def _read_version(value: Any) -> int:
    if not isinstance(value, str) or not value.startswith("r"):
        raise ValueError(f"version {value!r} is not r and a number")
    return int(value[1:])


def _decode_route(name: str, content: dict[str, Any]) -> Route:
    host, prefix = _decode_selector(content)
    shares = content.get("trafficSplit") or [
        {"service": content["service"], "weight": 1}
    ]
    timeout_s = _read_amount(content, "timeoutMs") * _MS
    return Route(
        name,
        host,
        prefix,
        _OPERATIONS.get(_expect(content["kind"], str), Operation.AT_MOST_ONCE),
        tuple(_decode_target(share) for share in shares),
        timeout_s,
        _read_amount(content, "targetLatencyMs", timeout_s / _MS) * _MS,
        _expect(content.get("priority", 0), int),
        max(1, _expect(content.get("maxAttempts", 1), int)),
        frozenset(_expect_names(content.get("homeRegions") or [])),
        large_responses=content["kind"] == _LARGE_ANSWERS,
    )


def _decode_selector(content: dict[str, Any]) -> tuple[str, str]:
    """Return the host and path prefix that select a route."""
    prefix = _expect(content["pathPrefix"], str)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"path prefix {prefix!r} has no slash at its ends")
    return _expect(content["host"], str).lower(), prefix


def _decode_target(share: Any) -> RouteTarget:
    return RouteTarget(_expect(share["service"], str), _read_amount(share, "weight"))


def _decode_service(name: str, content: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name,
        _expect(content["healthCheckPath"], str),
        _expect(content["maxConnections"], int),
        _read_amount(content, "warmupS", 0.0),
        _read_amount(content, "warmupPerS", float("inf")),
        content.get("sharded", False) is True,
        _read_amount(content, "warmS", 0.0),
    )


def _decode_limits(content: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(_read_amount(content, "maxHeaderBytes", default.header_bytes)),
        int(_read_amount(content, "maxBodyBytes", default.body_bytes)),
        _read_amount(content, "headerTimeoutMs", default.header_timeout_s / _MS) * _MS,
        _read_amount(content, "idleTimeoutMs", default.idle_timeout_s / _MS) * _MS,
    )


def _read_address(value: Any) -> str:
    host, _, port = _expect(value, str).rpartition(":")
    ip_address(host)
    if not port.isdecimal() or not 0 < int(port) <= _LAST_PORT:
        raise ValueError(f"address {value!r} has no port from 1 to {_LAST_PORT}")
    return value


def _read_amount(
    content: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a number from 0 up; without a default the field must be there."""
    value = content[name] if default is None else content.get(name, default)
    if _expect(value, (int, float)) < 0:
        raise ValueError(f"{name} is {value!r}; give a number from 0 up")
    return value


def _expect_names(value: Any) -> list[str]:
    return [_expect(name, str) for name in _expect(value, list)]


def _expect(value: Any, kind: type | tuple[type, ...]) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not of type {kind}")
    return value
