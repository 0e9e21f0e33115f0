"""Strict conversion of decoded JSON or TOML to attrs classes, all faults at once."""

from __future__ import annotations

import re
from enum import StrEnum
from ipaddress import ip_address
from math import inf
from typing import TYPE_CHECKING, Annotated, Any, TypeAlias, TypeVar, get_origin

from attrs import fields, frozen
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError, ForbiddenExtraKeysError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "Address",
    "Between",
    "ListenAddress",
    "Name",
    "ValidationError",
    "find_duplicates",
    "split_address",
    "structure",
]

T = TypeVar("T")

# Tokens separate their parts by dots, so names contain none.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")


class ValidationError(ValueError):
    """Data that breaks its rules.

    Attributes
    ----------
    faults : list of str
        All faults, each with the path of the value, the value and what is allowed.
    """

    def __init__(self, faults: Iterable[str]):
        self.faults = list(faults)
        super().__init__("; ".join(self.faults))


@frozen
class Between:
    """Closed range of an integer or number, for use with ``Annotated``."""

    low: float
    high: float

    def check(self, value: Any, kind: type) -> Any:
        """Return the value as the given type, or raise ValueError."""
        allowed = (int,) if kind is int else (int, float)
        if (
            isinstance(value, bool)
            or not isinstance(value, allowed)
            or not self.low <= value <= self.high
        ):
            noun = "an integer" if kind is int else "a number"
            raise ValueError(
                f"got {value!r}; allowed: {noun} from {self.low} to {self.high}"
            )
        return kind(value)


@frozen
class _NameCheck:
    def check(self, value: Any, kind: type) -> Any:
        if not isinstance(value, str) or not _NAME.fullmatch(value):
            raise ValueError(
                f"got {value!r}; allowed: 1 to 63 letters, digits, '-' and '_', the "
                f"first a letter or digit"
            )
        return value


@frozen
class _AddressCheck:
    listen: bool

    def check(self, value: Any, kind: type) -> Any:
        try:
            host, port = split_address(value)
            number = ip_address(host)
            usable = self.listen or not (number.is_unspecified or number.is_multicast)
            if usable and 1 <= port <= 65535:
                return value
        except (ValueError, AttributeError):
            pass
        raise ValueError(
            f"got {value!r}; allowed: an IP number and a port from 1 to 65535, for "
            f"instance '127.0.0.1:7000' (host names are not resolved)"
        )


#: Name of a record, instance or witness seat.
Name: TypeAlias = Annotated[str, _NameCheck()]
#: IP number and port that something can connect to.
Address: TypeAlias = Annotated[str, _AddressCheck(listen=False)]
#: IP number and port to listen on; the unspecified address is allowed.
ListenAddress: TypeAlias = Annotated[str, _AddressCheck(listen=True)]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number, without brackets, and the port of an address.

    Raises
    ------
    ValueError
        If the port is missing or is not a plain decimal number.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"address {address!r} has no port; write 'IP number:port'")
    if host.startswith("[") and host.endswith("]"):
        return host[1:-1], int(port)
    if ":" in host:
        raise ValueError(f"address {address!r} needs brackets around its IPv6 number")
    return host, int(port)


def find_duplicates(values: Iterable[str]) -> list[str]:
    """Return the values that occur more than once, sorted."""
    seen: set[str] = set()
    return sorted({value for value in values if value in seen or seen.add(value)})


def structure(data: Any, cls: type[T]) -> T:
    """Convert decoded JSON or TOML to an attrs class without coercing values.

    Raises
    ------
    ValidationError
        With all faults of the data.
    """
    if not isinstance(data, dict):
        raise ValidationError([f"got {data!r}; allowed: a table of names and values"])
    try:
        return _CONVERTER.structure(data, cls)
    except BaseValidationError as error:
        messages = transform_error(error, path="", format_exception=_format_fault)
        raise ValidationError(
            [_put_path_first(line) for line in messages if line]
        ) from error


def _format_fault(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        allowed = ", ".join(attribute.name for attribute in fields(error.cl))
        unknown = ", ".join(sorted(repr(name) for name in error.extra_fields))
        return f"unknown name {unknown}; allowed: {allowed}"
    if isinstance(error, KeyError):
        return "required value is missing"
    if isinstance(error, ValueError):
        return str(error)
    return "wrong type; allowed: a table or list as documented"


def _put_path_first(message: str) -> str:
    text, _, path = message.rpartition(" @ ")
    return f"{path.lstrip('.')}: {text}" if path else text


def _build_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    # Without an own hook, StrEnum would use that of its base class str and accept any
    # text.
    hooks = {
        str: _check_type(str, "a text"),
        StrEnum: _check_enum,
        bool: _check_type(bool, "true or false"),
        int: lambda value, _: Between(-(2**63), 2**63).check(value, int),
        float: lambda value, _: Between(-inf, inf).check(value, float),
    }
    for kind, hook in hooks.items():
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook_func(
        lambda cls: get_origin(cls) is Annotated,
        lambda value, cls: cls.__metadata__[0].check(value, cls.__origin__),
    )
    return converter


def _check_type(kind: type[T], noun: str) -> Callable[[Any, Any], T]:
    def _check(value: Any, _: Any) -> T:
        if not isinstance(value, kind):
            raise ValueError(f"got {value!r}; allowed: {noun}")
        return value

    return _check


def _check_enum(value: Any, cls: type[StrEnum]) -> StrEnum:
    if not isinstance(value, str) or value not in list(cls):
        raise ValueError(f"got {value!r}; allowed: {', '.join(cls)}")
    return cls(value)


_CONVERTER = _build_converter()
