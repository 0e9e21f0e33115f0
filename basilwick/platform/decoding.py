"""Decoding of the platform entries that operators and servers write."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Any, TypeAlias

from attrs import frozen
from orjson import loads

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
    "ConfigurationDecoder",
    "DecodedConfiguration",
    "UnreadableEntryError",
    "decode_configuration",
    "decode_server",
]

CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

#: Kind of the routes whose responses are large; their requests are idempotent.
_LARGE_RESPONSES_KIND = "download"
_OPERATION_BY_KIND = {
    "safe": Operation.IDEMPOTENT,
    "unsafe": Operation.AT_MOST_ONCE,
    "upload": Operation.UPLOAD,
    _LARGE_RESPONSES_KIND: Operation.IDEMPOTENT,
}
#: Whether a server in a registered state is leaving.
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MS = 0.001
_MAX_PORT = 65_535
#: Largest values that make sense; larger ones are faults of their writer.
_MAX_SLOTS = 100_000
_MAX_DURATION_MS = 86_400_000
_MAX_NUMBER = 1e12
_MAX_STARTED_MS = 1 << 50
_MAX_SEQUENCE = 1 << 40
_MAX_VERSION = 1 << 50
_MAX_ATTEMPTS = 1000
_MAX_PRIORITY = 1000
_MAX_CONNECTIONS = 1_000_000
#: Names of servers are sent in header fields.
_SERVER_NAME = re.compile(r"[!-~]{1,200}")
#: Characters of a value that an error quotes.
_QUOTED_CHARACTERS = 60
#: Errors that are raised while a field of a wrong type or value is decoded. Values may
#: be nested so deeply that comparing or printing them exceeds the recursion limit.
_DECODING_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class UnreadableEntryError(ValueError):
    """An entry cannot be decoded; the last usable one stays in force."""


@frozen
class DecodedConfiguration:
    """A configuration, and the faults found in its resources."""

    configuration: SiteConfiguration
    faults: tuple[str, ...] = ()


class ConfigurationDecoder:
    """Decodes successive configurations.

    Most resources are the same in the next configuration; these are not decoded again.
    """

    def __init__(self) -> None:
        self._sound: _SoundResources = {}

    def decode(
        self, value: bytes, present: SiteConfiguration | None = None
    ) -> DecodedConfiguration:
        """Decode a configuration, each resource independently of the others.

        A resource that cannot be used keeps its definition in the present
        configuration. A route that has none there refuses its requests, provided that
        its host and path prefix are readable. Resources of an unknown kind are ignored.

        Parameters
        ----------
        value : bytes
            Stored configuration.
        present : SiteConfiguration, optional
            Configuration in force.

        Raises
        ------
        UnreadableEntryError
            If the value has no list of resources or no version.
        """
        try:
            data = loads(value)
            version = _parse_version(data["version"])
            resources = list(data["resources"])
        except _DECODING_ERRORS as error:
            raise UnreadableEntryError(f"configuration: {error!r}") from error
        builder = _ConfigurationBuilder(present, self._sound)
        for resource in resources:
            builder.add(resource)
        self._sound = builder.sound
        return DecodedConfiguration(builder.build(version), tuple(builder.faults))


def decode_configuration(
    value: bytes, present: SiteConfiguration | None = None
) -> DecodedConfiguration:
    """Decode a single configuration; see `ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(value, present)


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Decode the registration of a server.

    Raises
    ------
    UnreadableEntryError
        If a field is missing or has a value that is not allowed.
    """
    try:
        if not _SERVER_NAME.fullmatch(name):
            raise ValueError("the name must be printable ASCII without spaces")
        data = loads(value)
        entry = ServerEntry(
            name,
            _require_type(data["service"], str),
            _parse_address(data["address"]),
            _require_type(data["zone"], str),
            _read_integer(data, "slots", None, 1, _MAX_SLOTS),
            _LEAVING_BY_STATE[_require_type(data["state"], str)],
            _read_duration(data, "warmupRemainingMs"),
            _read_integer(data, "born", 0, 0, _MAX_STARTED_MS),
            _read_integer(data, "sequence", 0, 0, _MAX_SEQUENCE),
        )
    except _DECODING_ERRORS as error:
        raise UnreadableEntryError(f"server {name!r}: {error!r}") from error
    return entry


#: Definition and decoded form of resources by kind and name.
_SoundResources: TypeAlias = dict[
    tuple[str, str], tuple[dict[str, Any], Route | ServiceSpec]
]


class _ConfigurationBuilder:
    """Collects the usable resources of a configuration and the faults of the others."""

    def __init__(self, present: SiteConfiguration | None, former: _SoundResources):
        self.faults: list[str] = []
        self.sound: _SoundResources = {}
        self._former = former
        self._routes: dict[str, Route] = {}
        self._services: dict[str, ServiceSpec] = {}
        self._limits = CallerLimits() if present is None else present.limits
        self._present_routes: dict[str, Route] = {}
        self._present_services: dict[str, ServiceSpec] = {}
        if present is not None:
            self._present_routes = {route.name: route for route in present.routes}
            self._present_services = present.services

    def add(self, resource: Any) -> None:
        """Decode a resource and add it."""
        try:
            kind = resource["resourceKind"]
            # Nothing refers to limits by name, so they may have none.
            name = _require_type(resource["metadata"].get("name", ""), str)
            spec = _require_type(resource["specification"], dict)
        except _DECODING_ERRORS as error:
            self.faults.append(f"resource {_quote(resource)}: {error!r}")
            return
        try:
            if kind in ("routes", "services"):
                self._add_named(kind, name, spec)
            elif kind == "limits":
                self._limits = _decode_limits(spec)
        except _DECODING_ERRORS as error:
            self.faults.append(f"{kind} {name!r}: {error!r}")
            if kind == "routes":
                self._add_fallback_route(name, spec)
            elif kind == "services" and name in self._present_services:
                self._services[name] = self._present_services[name]

    def build(self, version: int) -> SiteConfiguration:
        """Build the configuration from the collected resources."""
        for route in self._routes.values():
            for target in route.targets:
                if target.service not in self._services:
                    self.faults.append(
                        f"route {route.name!r} names service {target.service!r}, "
                        "which the configuration does not have"
                    )
        routes = tuple(self._routes.values())
        return SiteConfiguration(version, routes, self._services, self._limits)

    def _add_named(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Decode a route or a service, unless its definition is the former one."""
        former_spec, decoded = self._former.get((kind, name), (None, None))
        if former_spec != spec:
            decode = _decode_route if kind == "routes" else _decode_service
            decoded = decode(name, spec)
        if isinstance(decoded, Route):
            self._routes[name] = decoded
            if spec["kind"] not in _OPERATION_BY_KIND:
                self.faults.append(
                    f"route {name!r} has unknown kind {spec['kind']!r}; its requests "
                    "run at most once"
                )
        else:
            self._services[name] = decoded
        self.sound[kind, name] = (spec, decoded)

    def _add_fallback_route(self, name: str, spec: dict[str, Any]) -> None:
        """Add the definition in force, or else a route that refuses its requests."""
        if name in self._present_routes:
            self._routes[name] = self._present_routes[name]
            return
        try:
            host, prefix = _decode_selector(spec)
        except _DECODING_ERRORS:
            # The requests of the route are unknown; its fault is already recorded.
            return
        self._routes[name] = Route(
            name, host, prefix, Operation.AT_MOST_ONCE, (), 1.0, 1.0, 0, 1
        )


def _parse_version(value: Any) -> int:
    if not isinstance(value, str) or not value.startswith("r"):
        raise ValueError(f"version {_quote(value)} is not 'r' followed by a number")
    version = int(value[1:])
    if version > _MAX_VERSION:
        raise ValueError(f"version {_quote(value)} is above r{_MAX_VERSION}")
    return version


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    host, prefix = _decode_selector(spec)
    shares = spec.get("trafficSplit") or [{"service": spec["service"], "weight": 1}]
    timeout_s = _read_duration(spec, "timeoutMs")
    return Route(
        name,
        host,
        prefix,
        _OPERATION_BY_KIND.get(
            _require_type(spec["kind"], str), Operation.AT_MOST_ONCE
        ),
        tuple(_decode_target(share) for share in shares),
        timeout_s,
        _read_duration(spec, "targetLatencyMs", timeout_s / _MS),
        _read_integer(spec, "priority", 0, -_MAX_PRIORITY, _MAX_PRIORITY),
        max(1, _read_integer(spec, "maxAttempts", 1, -_MAX_ATTEMPTS, _MAX_ATTEMPTS)),
        frozenset(_require_names(spec.get("homeRegions") or [])),
        large_responses=spec["kind"] == _LARGE_RESPONSES_KIND,
    )


def _decode_selector(spec: dict[str, Any]) -> tuple[str, str]:
    """Return the host and the path prefix by which requests are routed."""
    prefix = _require_type(spec["pathPrefix"], str)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"path prefix {prefix!r} must begin and end with a slash")
    return _require_type(spec["host"], str).lower(), prefix


def _decode_target(share: Any) -> RouteTarget:
    return RouteTarget(
        _require_type(share["service"], str), _read_non_negative(share, "weight")
    )


def _decode_service(name: str, spec: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name,
        _require_type(spec["healthCheckPath"], str),
        _read_integer(spec, "maxConnections", None, 0, _MAX_CONNECTIONS),
        _read_non_negative(spec, "warmupS", 0.0),
        _read_non_negative(spec, "warmupPerS", float("inf")),
        spec.get("sharded", False) is True,
        _read_non_negative(spec, "warmS", 0.0),
    )


def _decode_limits(spec: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(_read_non_negative(spec, "maxHeaderBytes", default.header_bytes)),
        int(_read_non_negative(spec, "maxBodyBytes", default.body_bytes)),
        _read_duration(spec, "headerTimeoutMs", default.header_timeout_s / _MS),
        _read_duration(spec, "idleTimeoutMs", default.idle_timeout_s / _MS),
    )


def _parse_address(value: Any) -> str:
    host, _, port = _require_type(value, str).rpartition(":")
    address = ip_address(host)
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"address {_quote(value)} must name one machine")
    valid_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not valid_port or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(
            f"address {_quote(value)} must have a port from 1 to {_MAX_PORT}"
        )
    return value


def _read_non_negative(
    spec: dict[str, Any],
    name: str,
    default: float | None = None,
    maximum: float = _MAX_NUMBER,
) -> float:
    """Return a number that is not negative; a field without a default is required."""
    if default is not None and name not in spec:
        return default
    value = spec[name]
    if not 0 <= _require_type(value, (int, float)) <= maximum:
        raise ValueError(f"{name} is {value!r}; it must be from 0 to {maximum:g}")
    return value


def _read_duration(
    spec: dict[str, Any], name: str, default_ms: float | None = None
) -> float:
    """Return in seconds a duration that is given in milliseconds."""
    return _read_non_negative(spec, name, default_ms, _MAX_DURATION_MS) * _MS


def _read_integer(
    spec: dict[str, Any], name: str, default: int | None, minimum: int, maximum: int
) -> int:
    """Return an integer within bounds; a field without a default is required."""
    value = spec[name] if default is None else spec.get(name, default)
    if not minimum <= _require_type(value, int) <= maximum:
        raise ValueError(f"{name} is {value!r}; it must be from {minimum} to {maximum}")
    return value


def _require_names(value: Any) -> list[str]:
    return [_require_type(name, str) for name in _require_type(value, list)]


def _require_type(value: Any, kind: type | tuple[type, ...]) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{_quote(value)} is not of type {kind}")
    return value


def _quote(value: Any) -> str:
    """Return a short text of a value; containers are only named."""
    if isinstance(value, dict | list):
        return f"a {type(value).__name__} of {len(value)} entries"
    return repr(value)[:_QUOTED_CHARACTERS]
