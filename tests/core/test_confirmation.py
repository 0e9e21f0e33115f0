"""Confirmations of one observer, fed with single heartbeats."""

from __future__ import annotations

from math import inf

import pytest

from basilwick.core.confirmation import Confirmations
from basilwick.core.heartbeats import HeartbeatSchedule
from basilwick.core.messages import Heartbeat
from basilwick.core.ownership import Ownership
from basilwick.core.records import DataCentreRecord, DataCentreStatus, Witness
from basilwick.core.timing import MOVE_WAIT_S, PERMISSION_TERM_S

BLOCK = ("clue", 0)
START = 1000.0


def address(name):
    return f"10.0.0.{ord(name)}:7000"


def make_record(seats="abc", **fields):
    witnesses = tuple(Witness(name, address(name)) for name in seats)
    return DataCentreRecord("dc-a", witnesses=witnesses, **fields)


def make_confirmations(own="x", seats="abc", **fields):
    confirmations = Confirmations(address(own), "me#1")
    confirmations.set_record(make_record(seats, **fields))
    confirmations.record_platform_read(START)
    return confirmations


def hear(confirmations, witness, generation, echoed_at, now, **fields):
    fields = {
        "incarnation": f"{witness}#1",
        "sent_at": now,
        "echoed_incarnation": "me#1",
        "witness_ready": True,
        "generations_version": generation,
        "generations": {BLOCK: generation},
        **fields,
    }
    heartbeat = Heartbeat(
        instance=witness, data_centre="dc-a", peer_address=address(witness),
        forward_address="", echoed_at=echoed_at, **fields,
    )  # fmt: skip
    confirmations.record_heartbeat(heartbeat, now)


def test_permission_ends_a_term_after_the_majority_reading():
    # Guards against a term counted from the newest or the oldest reading.
    confirmations = make_confirmations()
    for witness, reading in zip("abc", (START, START + 0.1, START + 0.2), strict=True):
        hear(confirmations, witness, 5, reading, START + 0.3)
    end = confirmations.get_permission_end(BLOCK, 5, START + 0.3)
    assert end == START + 0.1 + PERMISSION_TERM_S
    assert confirmations.get_permission_end(BLOCK, 4, START + 0.3) == 0.0


def test_own_seat_counts_at_the_present_time():
    # Guards against a witness that waits for an echo of itself.
    confirmations = make_confirmations(own="a")
    confirmations.set_own_generation(BLOCK, 5, START)
    hear(confirmations, "b", 5, START, START)
    end = confirmations.get_permission_end(BLOCK, 5, START + 0.5)
    assert end == START + PERMISSION_TERM_S


@pytest.mark.parametrize(
    "fields",
    [
        {"echoed_incarnation": "me#0"},
        {"witness_ready": False},
        {"generations_version": 9, "generations": None},
        {"generations": {}},
    ],
    ids=["echo of a previous process", "not ready", "list not received", "not listed"],
)
def test_heartbeat_that_confirms_nothing(fields):
    # Guards against a right from a heartbeat that says nothing about the block now.
    confirmations = make_confirmations()
    hear(confirmations, "a", 5, START, START)
    hear(confirmations, "b", 5, START - PERMISSION_TERM_S, START - 0.1)
    hear(confirmations, "b", 5, START, START, **fields)
    assert confirmations.get_permission_end(BLOCK, 5, START) <= START


def test_overtaken_heartbeat_confirms_nothing():
    # Guards against an old list that arrives after a newer one of the same process.
    confirmations = make_confirmations()
    hear(confirmations, "a", 5, START, START)
    hear(confirmations, "b", 6, START + 0.2, START + 0.2)
    hear(confirmations, "b", 5, START + 0.1, START + 0.3, sent_at=START + 0.1)
    assert confirmations.get_permission_end(BLOCK, 5, START + 0.3) == 0.0


def test_move_is_active_a_wait_after_a_majority_knows():
    # Guards against a wait counted from the first witness, or with no wait at all.
    confirmations = make_confirmations()
    moved, settled = Ownership("s-1", 6, "s-0"), Ownership("s-1", 6)
    hear(confirmations, "a", 6, START, START)
    assert confirmations.get_usable_at(BLOCK, moved) == inf
    assert confirmations.get_usable_at(BLOCK, settled) == 0.0
    hear(confirmations, "b", 6, START + 0.1, START + 0.2)
    assert confirmations.get_usable_at(BLOCK, moved) == inf
    hear(confirmations, "a", 6, START + 0.2, START + 0.3)
    hear(confirmations, "b", 6, START + 0.2, START + 0.3)
    assert confirmations.get_usable_at(BLOCK, moved) == START + 0.2 + MOVE_WAIT_S


def test_restarted_witness_does_not_count_as_knowing():
    # Guards against a majority of which one process ended before the other learned.
    confirmations = make_confirmations()
    hear(confirmations, "a", 6, START, START)
    hear(confirmations, "b", 6, START + 0.1, START + 0.2)
    # The process at seat a restarted without the generation before b learned it.
    hear(confirmations, "a", 5, START + 0.3, START + 0.4, incarnation="a#2")
    hear(confirmations, "b", 6, START + 0.3, START + 0.4)
    assert confirmations.get_known_since(BLOCK, 6) == inf
    hear(confirmations, "a", 6, START + 0.5, START + 0.6, incarnation="a#2")
    hear(confirmations, "b", 6, START + 0.6, START + 0.7)
    hear(confirmations, "a", 6, START + 0.6, START + 0.7, incarnation="a#2")
    assert confirmations.get_known_since(BLOCK, 6) == START + 0.6


@pytest.mark.parametrize(("seats", "needed"), [("abc", 2), ("abcde", 3)])
def test_starting_witness_hears_enough_others(seats, needed):
    # Guards against a start from peers that all missed a generation of a majority.
    confirmations = Confirmations(address("a"), "me#1")
    confirmations.set_record(make_record(seats))
    others = seats[1:]
    for count, witness in enumerate(others[:needed], start=1):
        assert not confirmations.witness_ready
        hear(confirmations, witness, 4 + count, START, START)
    assert confirmations.witness_ready
    assert confirmations.own_generations[BLOCK] == 4 + needed


def test_contact_of_a_peer_counts_from_the_echoed_reading():
    # Guards against an autonomy term that a delayed heartbeat prolongs.
    confirmations = make_confirmations(autonomy_s=10.0)
    for witness in "ab":
        hear(confirmations, witness, 5, START + 90, START + 91, platform_age=4.0)
    assert confirmations.get_platform_age(START + 91) == 5.0
    confirmations.set_record(make_record(autonomy_s=10.0, status=DataCentreStatus.OUT))
    for witness in "ab":
        hear(confirmations, witness, 5, START + 97, START + 97, platform_age=0.0)
    confirmations.record_platform_read(START + 97)
    end = confirmations.get_permission_end(BLOCK, 5, START + 97)
    assert end == START + 86 + 10


def test_restarted_sender_lists_its_generations_again():
    # Guards against a list withheld because the previous process had sent it.
    schedule = HeartbeatSchedule(address("a"), "a#2")
    schedule.record(
        Heartbeat("b", "b#1", "dc-a", address("b"), "", 1.0, generations_seen=3,
                  echoed_incarnation="a#1")
    )  # fmt: skip
    own = Heartbeat("a", "a#2", "dc-a", address("a"), "", 2.0, generations_version=3)
    (action,) = schedule.send(own, {BLOCK: 7}, {}, [address("b")], 2.0)
    assert action.message.generations == {BLOCK: 7}


@pytest.mark.parametrize(("applied", "age"), [(6, 90.0), (7, 4.0)])
def test_contact_of_a_peer_counts_only_for_applied_documents(applied, age):
    # Guards against an instance that missed the documents of the contact which renews
    # its right, and continues with generations from before its blocks were taken.
    confirmations = make_confirmations()
    heartbeat = Heartbeat(
        "a", "a#1", "dc-a", address("a"), "", START + 90, echoed_at=START + 90,
        echoed_incarnation="me#1", config_revision=7, platform_age=4.0,
    )  # fmt: skip
    confirmations.record_heartbeat(heartbeat, START + 90, applied)
    assert confirmations.get_platform_age(START + 90) == age
