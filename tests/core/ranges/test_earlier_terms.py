"""Evidence that terms of earlier leaders have ended."""

from __future__ import annotations

import pytest

from basilwick.core.ranges.earlier_terms import (
    EarlierTerms,
    OwnTerms,
    ProcessIdentity,
    Term,
)

OWN = ProcessIdentity("i0", "10.0.0.1:7000", "b")


@pytest.mark.parametrize(
    ("process", "known"),
    [
        (ProcessIdentity("i0", "10.0.0.1:7000", "a"), True),
        (ProcessIdentity("i0", "10.0.0.2:7000", "a"), False),
        (ProcessIdentity("i1", "10.0.0.1:7000", "a"), False),
        (ProcessIdentity("i0", "10.0.0.1:7000", ""), False),
        (ProcessIdentity(), False),
    ],
)
def test_only_another_process_at_the_same_address_has_ended(process, known):
    """A process of the same name on another machine may still renew grants."""
    assert OwnTerms(OWN).knows_end(Term("w", process)) == known


def test_a_term_of_this_process_has_ended_once_its_orders_are_cancelled():
    """Orders that were decided could still be written when the lease had ended."""
    terms = OwnTerms(OWN)
    term = terms.begin()
    assert not terms.knows_end(term)
    terms.end(term)
    assert terms.knows_end(term)


def test_a_process_without_identity_knows_no_end():
    terms = OwnTerms()
    term = terms.begin()
    terms.end(term)
    assert not terms.knows_end(term)


@pytest.mark.parametrize(("stored", "writer"), [(None, "w"), ([Term("v", OWN)], "w")])
def test_a_list_that_the_writer_did_not_write_is_no_evidence(stored, writer):
    """A build without the list may have led since, and its term isn't listed."""
    terms = EarlierTerms.restore(stored, writer, 112.0)
    assert not terms.remaining
    assert not terms.all_ended
    assert terms.list_stored(Term("x", OWN)) is None
    assert not terms.expire(111.9)
    assert terms.expire(112.0)
    assert terms.list_stored(Term("x", OWN)) == [Term("x", OWN)]


def test_a_lost_term_makes_evidence_impossible_until_its_grants_have_ended():
    """The list of a copy of the service lacked a leader of the time that was lost."""
    terms = EarlierTerms.restore([Term("w", OWN)], "w", 112.0)
    terms.suspect_lost_term(120.0)
    assert not terms.record_end("w")
    assert not terms.all_ended
    assert not terms.expire(119.9)
    assert terms.expire(120.0)
