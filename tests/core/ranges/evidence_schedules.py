"""Checks random schedules of evidence that terms and processes have ended.

Run it by hand with ``python tests/core/ranges/evidence_schedules.py FIRST_SEED COUNT``.
The words ``states-live-terms`` and ``takes-silence-for-end`` add a fault, with which
schedules with two holders are found; ``without-evidence`` turns the evidence off.

A schedule either has leases that are ended early, because a cut link to a living leader
answers like a closed port, or processes of servers that end. With both there are two
holders, also without evidence (seed 450 of a trial): the living leader, which still
counts on its lease, grants keys to a process that knows no fences.
"""

from __future__ import annotations

import sys
from random import Random

from evidence_model import build_evidence_model
from ownership_model import BLOCKS

STEPS = 150
STEPS_S = (0.05, 0.05, 0.1, 0.3, 0.6)
#: Faults that the checker must find.
FAULTS = ("states_live_terms", "takes_silence_for_end")


def run_schedule(seed, fault="", uses_evidence=True):
    """Run a schedule; raises AssertionError for two holders or a fence that falls."""
    rng = Random(seed)
    model = build_evidence_model()
    if fault:
        setattr(model, fault, True)
    model.uses_evidence = uses_evidence
    with_restores = rng.random() < 0.3
    early_lease_ends = rng.random() < 0.3
    earlier_builds = rng.choice((0.0, 0.0, 0.3))
    beginning = []
    for _ in range(STEPS):
        if with_restores:
            disturb_store(model, rng)
        disturb_instances(model, rng)
        if early_lease_ends and rng.random() < 0.02:
            model.lease_until = model.now
        take_over(model, rng, beginning, earlier_builds)
        for leader in model.leaders[-4:]:
            run_leader(model, leader, rng)
        deliver_messages(model, rng)
        deliver_orders(model, rng)
        disturb_servers(model, rng)
        if not early_lease_ends:
            end_servers(model, rng)
        model.check()
        model.advance(rng.choice(STEPS_S))
        model.check()
    return model


def disturb_store(model, rng):
    if rng.random() < 0.04:
        model.take_copy()
    if rng.random() < 0.02:
        model.restore()
    late = model.service.late_writes
    if late and rng.random() < 0.2:
        model.service.apply_late_write(rng.choice(late))


def disturb_instances(model, rng):
    for name, process in list(model.processes.items()):
        if rng.random() < (0.2 if process.stopped else 0.01):
            process.stopped = not process.stopped
        if rng.random() < 0.008:
            model.restart_instance(name)
    for leader in model.leaders[-4:]:
        if rng.random() < 0.02:
            leader.store_reachable = not leader.store_reachable
        if rng.random() < 0.008:
            # It resigns, or learns that it no longer leads.
            leader.alive = False
        if rng.random() < 0.3:
            model.close_role(leader)
    leader = model.lease_holder
    if leader is not None and leader.running and rng.random() < 0.03:
        owners = [entry.owner for entry in model.stored if entry.owner]
        server = rng.choice(owners or [*model.servers])
        model.isolate(leader, server)
        model.servers[server].registered = rng.random() < 0.5
    if model.cut_servers and rng.random() < 0.01:
        model.end_isolation()


def take_over(model, rng, beginning, earlier_builds):
    """Begin or finish takeovers; some processes pause between the two."""
    if rng.random() < 0.4:
        instance = rng.choice([*model.processes])
        leader = model.begin_term(instance, rng.random() < earlier_builds)
        if leader is not None:
            beginning.append(leader)
    for leader in list(beginning):
        if rng.random() < 0.8 and not model.is_stopped(leader):
            beginning.remove(leader)
            model.finish_take_over(leader)


def run_leader(model, leader, rng):
    if rng.random() < 0.9:
        model.renew(leader)
    if rng.random() < 0.9:
        model.tick(leader)
    outcome = rng.random()
    if outcome < 0.7:
        model.store(leader, answered=outcome < 0.69)
    elif outcome < 0.75 and not model.is_stopped(leader):
        model.lose_store(leader, late=outcome < 0.73)
    if rng.random() < 0.1 and not model.is_stopped(leader):
        model.move(leader, rng.randrange(BLOCKS), rng.choice([*model.servers]))
    if rng.random() < 0.5:
        model.query_terms(leader)
    in_lease = model.now < leader.lease_renewed_at + model.times.lease_s
    if in_lease and not model.is_stopped(leader) and rng.random() < 0.3:
        model.ask_for_process(leader, rng.choice([*model.servers]))


def deliver_messages(model, rng):
    """Deliver, lose or hold up questions about terms and their answers."""
    for query in list(model.queries):
        outcome = rng.random()
        if outcome < 0.3:
            model.deliver_query(query)
        elif outcome < 0.6:
            model.queries.remove(query)
    for answer in list(model.answers):
        outcome = rng.random()
        if outcome < 0.3:
            model.deliver_answer(answer)
        elif outcome < 0.5:
            model.answers.remove(answer)


def deliver_orders(model, rng):
    for pending in list(model.in_flight):
        outcome = rng.random()
        if pending not in model.in_flight or outcome < 0.1:
            continue
        if outcome < 0.9:
            model.deliver(pending, outcome < 0.86, late=rng.random() < 0.3)
        elif outcome < 0.95:
            model.delay(pending)
    for pending in list(model.late_answers):
        if pending in model.late_answers and rng.random() < 0.5:
            model.answer_ended(pending)
    for answer in list(model.process_answers):
        if rng.random() < 0.5:
            model.answer_process(answer)
    if model.delayed and rng.random() < 0.2:
        model.apply_delayed(rng.choice(model.delayed))


def disturb_servers(model, rng):
    server = rng.choice([*model.servers.values()])
    if rng.random() < 0.02:
        server.reachable = not server.reachable
    if rng.random() < 0.04:
        # A server without registration is still reached by callers and leaders.
        server.registered = not server.registered


def end_servers(model, rng):
    """Restart servers, and let others use their addresses."""
    server = rng.choice([*model.servers.values()])
    if rng.random() < 0.01 and server.name not in model.occupants:
        server.restart()
    free = [n for n in model.servers if n not in model.occupants.values()]
    if rng.random() < 0.03 and len(model.occupants) < 2:
        name, successor = rng.sample([*model.servers], 2)
        if name in free and name not in model.occupants and successor in free:
            model.replace_server(name, successor)
    for name in list(model.occupants):
        if rng.random() < 0.05:
            model.start_server(name)


def find_failures(seeds, fault="", uses_evidence=True):
    """Return messages of schedules with two holders by seed, and uses of evidence."""
    failures, shortened, ended = {}, 0, 0
    for seed in seeds:
        try:
            model = run_schedule(seed, fault, uses_evidence)
        except AssertionError as error:
            failures[seed] = str(error).splitlines()[0]
            continue
        shortened += model.shortened
        ended += model.ended_servers
    return failures, shortened, ended


def main():
    first, count = int(sys.argv[1]), int(sys.argv[2])
    fault = next((f for f in FAULTS if f.replace("_", "-") in sys.argv), "")
    failures, shortened, ended = find_failures(
        range(first, first + count), fault, "without-evidence" not in sys.argv
    )
    for seed, message in failures.items():
        print(seed, message)
    print(
        f"{len(failures)} of {count} schedules have two holders or a fence that falls; "
        f"evidence shortened waits {shortened} times, {ended} orders met a successor"
    )


if __name__ == "__main__":
    main()
