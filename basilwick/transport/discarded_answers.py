"""Reports of answers that a connection carried and no request accepted."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

__all__ = ["DiscardReason", "DiscardedAnswer"]


class DiscardReason(StrEnum):
    """Why an answer, or data that is no answer, was not accepted."""

    #: The answer carries the identity of another request.
    OTHER_IDENTITY = "other_identity"
    #: Data arrived while no request was waiting, or behind a whole answer.
    UNREQUESTED = "unrequested"
    #: The answer carries no identity and can be the second one to an earlier request.
    NO_IDENTITY = "no_identity"
    #: The answer carries two identities.
    TWO_IDENTITIES = "two_identities"
    #: A head was cut off, and another one followed.
    MERGED_HEADS = "merged_heads"
    #: Its status is none that HTTP has.
    INVALID_STATUS = "invalid_status"
    #: A success without a length came before the request was sent whole.
    EARLY_SUCCESS = "early_success"


@frozen
class DiscardedAnswer:
    """An answer that no request accepted.

    Attributes
    ----------
    address : str
        Server that sent it.
    connection : int
        Number of its connection in this process.
    request_id : bytes
        Identity of the request that was waiting, empty if there was none.
    status : int
        HTTP status, 0 if no head was read.
    """

    address: str
    reason: DiscardReason
    connection: int
    request_id: bytes = b""
    status: int = 0
