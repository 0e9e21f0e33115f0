"""Tokens and ledger of operations that run at most once."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from hashlib import sha256
from hmac import compare_digest
from hmac import new as new_mac
from typing import TYPE_CHECKING

from attrs import define, frozen

from basilwick.core.errors import ErrorKind, Outcome, Refusal, make_refusal

if TYPE_CHECKING:
    from basilwick.core.types import InstanceName, KeyHash, MonotonicSeconds

__all__ = [
    "Begin",
    "HandOver",
    "HandedEntry",
    "OperationLedger",
    "StoredAnswer",
    "Token",
    "parse_token",
]

#: Entries of a ledger, the adopted ones included.
LEDGER_BOUND = 100_000
#: Seconds for which the answer of an operation is kept.
RETENTION_S = 600.0
#: Largest answer body that is kept, in bytes.
ANSWER_BOUND = 65_536
#: Sum of all kept answer bodies in bytes; 100,000 answers of the largest size would
#: need 6.5 GB. The bodies of the oldest answers go first.
TOTAL_ANSWER_BOUND = 32 << 20
_MAC_CHARACTERS = 32


@frozen
class Token:
    """Parts of a token."""

    issuer: InstanceName
    incarnation: str
    sequence: int
    mac: str

    @property
    def book(self) -> tuple[str, str]:
        """Process that issued the token."""
        return self.issuer, self.incarnation


@frozen
class StoredAnswer:
    """Answer kept for repeats.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of pairs of str
        Header fields for the caller.
    body : bytes
        Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Begin(Enum):
    """What to do with a request that carries a token."""

    #: Run the operation; exactly one caller is told so.
    RUN = "run"
    #: Wait for the running one.
    JOIN = "join"


@define
class _Entry:
    finished_at: float | None = None
    answer: StoredAnswer | Refusal | None = None


@frozen
class HandedEntry:
    """One ended operation of a handed-over ledger; ``age_s`` is since its end."""

    sequence: int
    age_s: float
    answer: StoredAnswer | Refusal | None


@frozen
class HandOver:
    """Ledger of one issuer, for its successor."""

    issuer: InstanceName
    incarnation: str
    evicted_through: int
    entries: tuple[HandedEntry, ...]


@define
class _Book:
    #: Tokens up to this sequence without an entry may have run and been evicted.
    evicted_through: int = 0
    next_sequence: int = 1


def parse_token(text: str) -> Token | None:
    """Split a token; None when it is not one. The mac is not checked."""
    parts = text.rsplit(".", 3)
    if len(parts) != 4 or not all(parts) or len(text) > 512:
        return None
    issuer, incarnation, sequence, mac = parts
    if not (sequence.isascii() and sequence.isdigit()) or len(sequence) > 18:
        return None
    # A token has one spelling, so "7" and "07" cannot be two operations.
    if sequence[0] == "0" or len(mac) != _MAC_CHARACTERS or not mac.isascii():
        return None
    return Token(issuer, incarnation, int(sequence), mac)


class OperationLedger:
    """Decides whether an operation with a token runs.

    All methods run on one thread and none of them waits, so between the answer
    ``Begin.RUN`` and the entry that records it nothing else can happen.

    Parameters
    ----------
    issuer, incarnation : str
        Name of the instance and random identity of its process.
    secret : bytes
        Key of the message authentication code, shared by all instances.
    bound : int, optional
        Largest number of entries.
    """

    def __init__(
        self,
        issuer: InstanceName,
        incarnation: str,
        secret: bytes,
        bound: int = LEDGER_BOUND,
    ):
        self._own = (issuer, incarnation)
        self._secret = secret
        self._bound = bound
        self._books: dict[tuple[str, str], _Book] = {self._own: _Book()}
        self._running: set[tuple[tuple[str, str], int]] = set()
        #: Ended operations in order of their end.
        self._done: OrderedDict[tuple[tuple[str, str], int], _Entry] = OrderedDict()
        self._answer_bytes = 0
        self._stopped = False
        self._handed_over = False

    @property
    def running(self) -> int:
        """Number of operations that run now."""
        return len(self._running)

    def __len__(self) -> int:
        return len(self._running) + len(self._done)

    def holds(self, token: Token) -> bool:
        """Return whether this ledger decides about a token."""
        return token.book in self._books and not self._handed_over

    def issue(self, key_hash: KeyHash) -> str | Refusal:
        """Return a new token for an operation on a key."""
        if self._stopped:
            return make_refusal(
                ErrorKind.SHUTTING_DOWN, "the instance issues no more tokens"
            )
        book = self._books[self._own]
        sequence = book.next_sequence
        book.next_sequence += 1
        issuer, incarnation = self._own
        mac = self._sign(issuer, incarnation, sequence, key_hash)
        return f"{issuer}.{incarnation}.{sequence}.{mac}"

    def begin(
        self, token: Token, key_hash: KeyHash, now: MonotonicSeconds
    ) -> Begin | StoredAnswer | Refusal:
        """Decide about a request with a token.

        Returns
        -------
        Begin, StoredAnswer or Refusal
            ``Begin.RUN`` obliges the caller to call `finish` or `release` later.
        """
        expected = self._sign(token.issuer, token.incarnation, token.sequence, key_hash)
        if not compare_digest(expected, token.mac):
            return make_refusal(
                ErrorKind.TOKEN_INVALID, "the token was not issued for this key"
            )
        if not self.holds(token):
            return make_refusal(
                ErrorKind.TOKEN_SUPERSEDED,
                f"instance {token.issuer!r} no longer decides about its tokens",
            )
        self._evict(now)
        identity = token.book, token.sequence
        if identity in self._running:
            return Begin.JOIN
        entry = self._done.get(identity)
        if entry is not None:
            return entry.answer or _refuse_unknown("the answer was not kept")
        if token.sequence <= self._books[token.book].evicted_through:
            return _refuse_unknown("the ledger entry was evicted")
        if self._stopped:
            return make_refusal(ErrorKind.SHUTTING_DOWN, "the instance is leaving")
        if len(self) >= self._bound and not self._evict_oldest():
            return make_refusal(
                ErrorKind.OVERLOADED,
                f"{self._bound} operations are running",
                retry_after_s=1.0,
            )
        self._running.add(identity)
        return Begin.RUN

    def finish(
        self, token: Token, answer: StoredAnswer | Refusal, now: MonotonicSeconds
    ) -> None:
        """Store how an operation ended; a too large body is not kept."""
        identity = token.book, token.sequence
        self._running.remove(identity)
        if self._handed_over:
            return
        kept = answer
        if isinstance(answer, StoredAnswer) and len(answer.body) > ANSWER_BOUND:
            kept = None
        self._store(identity, kept, now)

    def release(self, token: Token) -> None:
        """Remove an operation that surely did not run, so that a repeat can run it."""
        self._running.discard((token.book, token.sequence))

    def stop(self) -> None:
        """Start no operation any more; repeats still join or get stored answers."""
        self._stopped = True

    def hand_over(self, now: MonotonicSeconds) -> list[HandOver]:
        """Return all books for the successor; this ledger decides nothing afterwards.

        Operations that still run are handed over as ended with unknown outcome. The
        message must go to one successor only: two could each run an unseen token.
        """
        self._stopped = self._handed_over = True
        lost = make_refusal(
            ErrorKind.CONNECTION_LOST, "the instance left while the operation ran"
        )
        entries: dict[tuple[str, str], list[HandedEntry]] = {
            book: [] for book in self._books
        }
        for (book, sequence), entry in self._done.items():
            age_s = now - entry.finished_at
            entries[book].append(HandedEntry(sequence, age_s, entry.answer))
        for book, sequence in sorted(self._running):
            entries[book].append(HandedEntry(sequence, 0.0, lost))
        return [
            HandOver(*book, self._books[book].evicted_through, tuple(handed))
            for book, handed in entries.items()
        ]

    def adopt(self, message: HandOver, now: MonotonicSeconds) -> bool:
        """Take over another issuer's ledger; False when this ledger has left itself.

        A repeated message changes nothing that was learned since the first.
        """
        if self._handed_over:
            return False
        name = message.issuer, message.incarnation
        if name == self._own:
            return False
        book = self._books.setdefault(name, _Book())
        book.evicted_through = max(book.evicted_through, message.evicted_through)
        for handed in message.entries:
            identity = name, handed.sequence
            if identity in self._running or identity in self._done:
                continue
            self._store(identity, handed.answer, now - handed.age_s)
        # Entries stay ordered by their end, so that the oldest is evicted first.
        self._done = OrderedDict(
            sorted(self._done.items(), key=lambda item: item[1].finished_at)
        )
        while len(self) > self._bound and self._evict_oldest():
            pass
        return True

    def _store(
        self,
        identity: tuple[tuple[str, str], int],
        answer: StoredAnswer | Refusal | None,
        finished_at: MonotonicSeconds,
    ) -> None:
        self._done[identity] = _Entry(finished_at, answer)
        if isinstance(answer, StoredAnswer):
            self._answer_bytes += len(answer.body)
            self._drop_answers()

    def _drop_answers(self) -> None:
        if self._answer_bytes <= TOTAL_ANSWER_BOUND:
            return
        for entry in self._done.values():
            if isinstance(entry.answer, StoredAnswer) and entry.answer.body:
                self._answer_bytes -= len(entry.answer.body)
                entry.answer = None
            if self._answer_bytes <= TOTAL_ANSWER_BOUND // 2:
                return

    def _evict(self, now: MonotonicSeconds) -> None:
        while self._done:
            entry = next(iter(self._done.values()))
            if entry.finished_at > now - RETENTION_S:
                return
            self._evict_oldest()

    def _evict_oldest(self) -> bool:
        if not self._done:
            return False
        (name, sequence), entry = self._done.popitem(last=False)
        if isinstance(entry.answer, StoredAnswer):
            self._answer_bytes -= len(entry.answer.body)
        book = self._books[name]
        book.evicted_through = max(book.evicted_through, sequence)
        return True

    def _sign(
        self, issuer: str, incarnation: str, sequence: int, key_hash: KeyHash
    ) -> str:
        message = f"{issuer}\0{incarnation}\0{sequence}\0{key_hash}".encode()
        return new_mac(self._secret, message, sha256).hexdigest()[:_MAC_CHARACTERS]


def _refuse_unknown(message: str) -> Refusal:
    return make_refusal(ErrorKind.TOKEN_EVICTED, message, outcome=Outcome.UNKNOWN)
