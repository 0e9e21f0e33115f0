"""Terms of leadership whose grants may still be in force, and evidence of their end.

The stored ranges of a service list these terms. A leader adds its own with the write by
which it takes over, before any of its orders, so the list lacks no term. It then asks
the instances that held the listed terms. An instance states the end of a term only if
it knows that no order of the term can be written any more:

- The term was held by its own process, which has cancelled the term's orders.
- The term was held by another process at its address. Only one process can listen at
  an address, and this one is alive after the term began, so the other one has ended.

The question names the term, which shows that the answer was given after the term began.
A greeting of a process, by contrast, may come from a process before the one that held
the term, and arrive late. Silence, and a connection that is refused or reset, show
nothing.
"""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilwick.core.types import InstanceName, MonotonicSeconds

__all__ = ["EarlierTerms", "OwnTerms", "ProcessIdentity", "Term"]

#: Longest list of terms that is stored. After more changes of the leader than that in
#: the time until earlier grants have ended, leaders wait for that time.
_MAX_STORED_TERMS = 64


@frozen
class ProcessIdentity:
    """Identity of one process of an instance; empty if it isn't known.

    Attributes
    ----------
    address : str
        Address at which the process accepts links, and no other process can.
    incarnation : str
        Random identity of the process.
    """

    instance: InstanceName = ""
    address: str = ""
    incarnation: str = ""


@frozen
class Term:
    """Term of a leader for one service.

    Attributes
    ----------
    writer : str
        Random identity of the term, with which it writes the ranges.
    process : ProcessIdentity
        Process that held the term.
    """

    writer: str
    process: ProcessIdentity


@define(eq=False)
class OwnTerms:
    """Terms that this process holds.

    Attributes
    ----------
    process : ProcessIdentity
        Identity of this process.
    """

    process: ProcessIdentity = field(factory=ProcessIdentity)
    _live: set[str] = field(factory=set)

    def begin(self) -> Term:
        """Begin a term."""
        term = Term(token_hex(8), self.process)
        self._live.add(term.writer)
        return term

    def end(self, term: Term) -> None:
        """Record that no order of a term will be written any more."""
        self._live.discard(term.writer)

    def knows_end(self, term: Term) -> bool:
        """Return whether a term is known to have ended; see the module.

        The caller must have learned of the term from the stored ranges, and this
        process must be the only one at its address.
        """
        own, other = self.process, term.process
        if not own.incarnation or not other.incarnation:
            return False
        if (other.instance, other.address) != (own.instance, own.address):
            return False
        return other.incarnation != own.incarnation or term.writer not in self._live


@define(eq=False)
class EarlierTerms:
    """Earlier terms whose grants may be in force, as a new leader knows them.

    Attributes
    ----------
    complete : bool
        Whether no such term is missing. It is false after a leader of an earlier
        build, which stores no terms, and while the platform's service may have lost
        one.
    over_at : float
        Local time from which no grant of an earlier term is in force, without evidence.
    """

    complete: bool
    over_at: MonotonicSeconds
    _remaining: dict[str, Term] = field(factory=dict)

    @classmethod
    def restore(
        cls, stored: Sequence[Term] | None, writer: str, over_at: MonotonicSeconds
    ) -> EarlierTerms:
        """Return the terms of a stored value.

        Parameters
        ----------
        stored : sequence of Term or None
            Stored terms, None if the value has no list.
        writer : str
            Term that wrote the value. A list without it isn't that term's.
        """
        terms = {term.writer: term for term in stored or ()}
        complete = stored is not None and (not writer or writer in terms)
        return cls(complete, over_at, terms if complete else {})

    @property
    def remaining(self) -> list[Term]:
        """Terms that aren't known to have ended; empty if no evidence is possible."""
        return list(self._remaining.values())

    @property
    def all_ended(self) -> bool:
        """Whether no grant of an earlier term will be sent any more."""
        return self.complete and not self._remaining

    def record_end(self, writer: str) -> bool:
        """Record that a term has ended; returns whether it was listed."""
        return self._remaining.pop(writer, None) is not None

    def suspect_lost_term(self, over_at: MonotonicSeconds) -> None:
        """Allow for a term that the platform's service has lost."""
        self.complete = False
        self.over_at = max(self.over_at, over_at)
        self._remaining.clear()

    def expire(self, now: MonotonicSeconds) -> bool:
        """Drop the terms whose grants have ended.

        Returns whether the list became complete by it.
        """
        if now < self.over_at or self.all_ended:
            return False
        self.complete = True
        self._remaining.clear()
        return True

    def list_stored(self, own: Term) -> list[Term] | None:
        """Return the terms to store, None if one may be missing."""
        terms = [*self._remaining.values(), own]
        return terms if self.complete and len(terms) <= _MAX_STORED_TERMS else None
