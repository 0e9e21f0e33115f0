"""Encoding of an at-most-once ledger for its successor."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any

from attrs import evolve
from orjson import dumps, loads

from basilwick.core.errors import ErrorKind, Outcome, Refusal
from basilwick.core.operations import HandedEntry, HandOver, StoredAnswer

__all__ = ["decode_handover", "encode_handover"]

LEDGER_PATH = "/ledger"
#: Bound of a message: 32 MB of answers in base64 and 100,000 entries.
MAX_MESSAGE_BYTES = 96 << 20


def encode_handover(books: list[HandOver]) -> bytes:
    """Return books as JSON."""
    return dumps([_encode_book(book) for book in books])


def decode_handover(body: bytes) -> list[HandOver]:
    """Read books.

    Raises
    ------
    ValueError
        If the body is no ledger.
    """
    try:
        return [_decode_book(data) for data in loads(body)]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"body is no ledger: {error!r}") from error


def _encode_book(book: HandOver) -> dict[str, Any]:
    return {
        "issuer": book.issuer,
        "incarnation": book.incarnation,
        "evicted_through": book.evicted_through,
        "entries": [
            [entry.sequence, entry.age_s, _encode_answer(entry.answer)]
            for entry in book.entries
        ],
    }


def _encode_answer(answer: StoredAnswer | Refusal | None) -> Any:
    if answer is None:
        return None
    if isinstance(answer, Refusal):
        return [answer.kind, answer.outcome, answer.message, answer.retry_after_s]
    fields = [list(pair) for pair in answer.headers]
    return {
        "status": answer.status,
        "headers": fields,
        "body": b64encode(answer.body).decode(),
    }


def _decode_book(data: dict[str, Any]) -> HandOver:
    book = HandOver(
        str(data["issuer"]), str(data["incarnation"]), int(data["evicted_through"]), ()
    )
    return evolve(
        book,
        entries=tuple(
            HandedEntry(int(sequence), float(age_s), _decode_answer(answer))
            for sequence, age_s, answer in data["entries"]
        ),
    )


def _decode_answer(data: Any) -> StoredAnswer | Refusal | None:
    if data is None:
        return None
    if isinstance(data, list):
        kind, outcome, message, retry_after_s = data
        return Refusal(ErrorKind(kind), Outcome(outcome), message, retry_after_s)
    headers = tuple((str(name), str(value)) for name, value in data["headers"])
    return StoredAnswer(int(data["status"]), headers, b64decode(data["body"]))
