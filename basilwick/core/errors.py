"""Errors, and refusals of requests. Each says what its reader can do about it."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

__all__ = [
    "BasilwickError",
    "ConflictError",
    "ErrorKind",
    "InvalidRecordError",
    "InvalidSettingsError",
    "Outcome",
    "PlatformUnavailableError",
    "Refusal",
    "TooLargeError",
    "make_refusal",
]


class Outcome(StrEnum):
    """Whether the operation of a refused request was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Machine-readable kind of a refusal."""

    BAD_REQUEST = "bad_request"
    BODY_MISMATCH = "body_mismatch"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    NO_OWNER = "no_owner"
    NO_PERMISSION = "no_permission"
    CUT_OFF = "cut_off"
    SHUTTING_DOWN = "shutting_down"
    SERVER_REFUSED = "server_refused"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CONNECTION_LOST = "connection_lost"
    TOKEN_SUPERSEDED = "token_superseded"
    TOKEN_EVICTED = "token_evicted"
    TOKEN_INVALID = "token_invalid"


@define
class _RefusalDefaults:
    status: int
    outcome: Outcome
    remedy: str


_REFUSAL_DEFAULTS = {
    ErrorKind.BAD_REQUEST: _RefusalDefaults(
        400, Outcome.NOT_RUN, "correct the request as the message says"
    ),
    ErrorKind.BODY_MISMATCH: _RefusalDefaults(
        400, Outcome.NOT_RUN, "send the whole body with its length and digest"
    ),
    ErrorKind.UNAUTHORIZED: _RefusalDefaults(
        401, Outcome.NOT_RUN, "present the shared key of this interface"
    ),
    ErrorKind.UNKNOWN_SERVICE: _RefusalDefaults(
        404, Outcome.NOT_RUN, "check the service name, or put a service record"
    ),
    ErrorKind.TOO_LARGE: _RefusalDefaults(
        413, Outcome.NOT_RUN, "shorten the key, the headers or the body"
    ),
    ErrorKind.OVERLOADED: _RefusalDefaults(
        429, Outcome.NOT_RUN, "retry after the given time"
    ),
    ErrorKind.NO_OWNER: _RefusalDefaults(
        503, Outcome.NOT_RUN, "retry; the key is being assigned to another server"
    ),
    ErrorKind.NO_PERMISSION: _RefusalDefaults(
        503, Outcome.NOT_RUN, "retry at another instance of the same data centre"
    ),
    ErrorKind.CUT_OFF: _RefusalDefaults(
        503, Outcome.NOT_RUN, "retry in the data centre that the message names"
    ),
    ErrorKind.SHUTTING_DOWN: _RefusalDefaults(
        503, Outcome.NOT_RUN, "retry at another instance"
    ),
    ErrorKind.SERVER_REFUSED: _RefusalDefaults(
        503, Outcome.NOT_RUN, "retry after the given time"
    ),
    ErrorKind.DEADLINE_EXCEEDED: _RefusalDefaults(
        504, Outcome.NOT_RUN, "retry with a later deadline"
    ),
    ErrorKind.CONNECTION_LOST: _RefusalDefaults(
        502, Outcome.UNKNOWN, "check whether the operation ran before repeating it"
    ),
    ErrorKind.TOKEN_SUPERSEDED: _RefusalDefaults(
        409, Outcome.UNKNOWN, "check whether the operation ran, then get a new token"
    ),
    ErrorKind.TOKEN_EVICTED: _RefusalDefaults(
        409, Outcome.UNKNOWN, "check whether the operation ran, then get a new token"
    ),
    ErrorKind.TOKEN_INVALID: _RefusalDefaults(
        400, Outcome.NOT_RUN, "get a token from /tokens/{service}/{key}"
    ),
}


@frozen
class Refusal:
    """Reason why a request got no response from its backend server.

    Attributes
    ----------
    kind : ErrorKind
        Machine-readable kind.
    outcome : Outcome
        Whether the operation was executed.
    message : str
        What happened, with the offending value.
    retry_after_s : float or None
        Seconds after which a retry can succeed.
    """

    kind: ErrorKind
    outcome: Outcome
    message: str
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the refusal."""
        return _REFUSAL_DEFAULTS[self.kind].status

    @property
    def remedy(self) -> str:
        """What the caller can do about the refusal."""
        return _REFUSAL_DEFAULTS[self.kind].remedy


def make_refusal(
    kind: ErrorKind,
    message: str,
    *,
    outcome: Outcome | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Build a refusal; ``outcome`` defaults to the one of its kind."""
    return Refusal(
        kind, outcome or _REFUSAL_DEFAULTS[kind].outcome, message, retry_after_s
    )


class BasilwickError(Exception):
    """Base class of the errors raised by this package."""


class PlatformUnavailableError(BasilwickError):
    """The platform's key-value service gave no usable response."""


class ConflictError(BasilwickError):
    """Another writer changed the record first.

    Attributes
    ----------
    revision : int
        Revision that is stored now.
    diff : list of str
        Differences that the rejected write would make to the stored record.
    """

    def __init__(self, message: str, revision: int, diff: Sequence[str] = ()):
        super().__init__(message)
        self.revision = revision
        self.diff = list(diff)


class InvalidSettingsError(BasilwickError):
    """A settings file cannot be used.

    Attributes
    ----------
    faults : list of str
        All faults, each with file, key and allowed values.
    """

    def __init__(self, path: Path, faults: list[str]):
        self.faults = [f"{path}: {fault}" for fault in faults]
        super().__init__("\n".join(self.faults))


class InvalidRecordError(BasilwickError):
    """A record does not match its schema, or its change is not allowed.

    Attributes
    ----------
    faults : list of str
        All faults, each with the name of the field.
    """

    def __init__(self, message: str, faults: Sequence[str] = ()):
        super().__init__(message)
        self.faults = list(faults) or [message]


class TooLargeError(BasilwickError):
    """A value exceeds the size limit of the platform."""
