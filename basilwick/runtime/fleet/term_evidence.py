"""What a leader needs to find evidence that earlier grants have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen

from basilwick.core.ranges.earlier_terms import OwnTerms

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.ranges.earlier_terms import Term

__all__ = ["EvidenceSources"]


def _ignore(_: object) -> None:
    """Ignore a term or a kind of evidence."""


@frozen
class EvidenceSources:
    """Sources of evidence of a process.

    Attributes
    ----------
    own_terms : OwnTerms
        Terms that this process holds.
    query_term : callable
        Asks the instance that held a term, if it is linked, whether the term has ended.
    get_known_revision : callable
        Returns the revision up to which all registrations of servers are known.
    count : callable
        Counts a piece of evidence by its kind.
    """

    own_terms: OwnTerms = field(factory=OwnTerms)
    query_term: Callable[[Term], None] = _ignore
    get_known_revision: Callable[[], int] = lambda: 0
    count: Callable[[str], None] = _ignore
