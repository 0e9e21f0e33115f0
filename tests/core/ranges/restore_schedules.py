"""Checks random schedules of leaders, servers and a store that returns from copies.

Each schedule begins with an empty store, so that a copy can lack the ranges. Run it by
hand with ``python tests/core/ranges/restore_schedules.py FIRST_SEED COUNT``; with the
word ``unaware``, processes don't know of returns before their start, and schedules with
two holders are found.
"""

from __future__ import annotations

import sys
from random import Random

from ownership_model import BLOCKS, build_model

STEPS = 120
STEPS_S = (0.05, 0.05, 0.1, 0.3, 0.6)
#: Probabilities of what can happen in a step.
TAKE_COPY, RESTORE, KILL_ALL = 0.04, 0.03, 0.03


def run_schedule(seed, knows_earlier_returns=True):
    """Run a schedule; raises AssertionError for two holders or a fence that falls."""
    rng = Random(seed)
    model = build_model()
    model.knows_earlier_returns = knows_earlier_returns
    for server in model.servers.values():
        server.registered = rng.random() < 0.7
    beginning = []
    for _ in range(STEPS):
        _disturb_store(model, rng)
        _disturb_processes(model, rng)
        _advance_takeovers(model, rng, beginning)
        for leader in model.leaders[-3:]:
            _run_leader(model, leader, rng)
        _deliver_orders(model, rng)
        _disturb_servers(model, rng)
        model.check()
        model.advance(rng.choice(STEPS_S))
        model.check()


def _disturb_store(model, rng):
    if rng.random() < TAKE_COPY:
        model.take_copy()
    if rng.random() < RESTORE:
        model.restore()
    late = model.service.late_writes
    if late and rng.random() < 0.2:
        model.service.apply_late_write(rng.choice(late))


def _disturb_processes(model, rng):
    if rng.random() < KILL_ALL:
        # The service may return from its copy at the same time.
        if rng.random() < 0.5:
            model.restore()
        for leader in model.leaders:
            leader.alive = False
    for leader in model.leaders[-3:]:
        if rng.random() < 0.02:
            leader.store_reachable = not leader.store_reachable
        if rng.random() < 0.01:
            leader.alive = False


def _advance_takeovers(model, rng, beginning):
    """Begin or finish takeovers; some processes pause between the two."""
    if rng.random() < 0.3:
        leader = model.begin_take_over()
        if leader is not None:
            beginning.append(leader)
    for leader in list(beginning):
        if rng.random() < 0.7:
            beginning.remove(leader)
            model.finish_take_over(leader)


def _run_leader(model, leader, rng):
    if rng.random() < 0.9:
        model.renew(leader)
    if rng.random() < 0.9:
        model.tick(leader)
    outcome = rng.random()
    if outcome < 0.7:
        model.store(leader, answered=outcome < 0.69)
    elif outcome < 0.8:
        model.lose_store(leader, late=outcome < 0.75)
    if rng.random() < 0.1:
        model.move(leader, rng.randrange(BLOCKS), rng.choice([*model.servers]))


def _deliver_orders(model, rng):
    for pending in list(model.in_flight):
        outcome = rng.random()
        if pending not in model.in_flight or outcome < 0.1:
            continue
        if outcome < 0.9:
            model.deliver(pending, answered=outcome < 0.85)
        elif outcome < 0.95:
            model.delay(pending)
    if model.delayed and rng.random() < 0.2:
        model.apply_delayed(rng.choice(model.delayed))


def _disturb_servers(model, rng):
    server = rng.choice([*model.servers.values()])
    if rng.random() < 0.02:
        server.reachable = not server.reachable
    if rng.random() < 0.05:
        server.registered = not server.registered
    if rng.random() < 0.01:
        server.restart()


def find_failures(seeds, knows_earlier_returns=True):
    """Return the seeds of schedules with two holders, and their messages."""
    failures = {}
    for seed in seeds:
        try:
            run_schedule(seed, knows_earlier_returns)
        except AssertionError as error:
            failures[seed] = str(error).splitlines()[0]
    return failures


def main():
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failures = find_failures(range(first, first + count), "unaware" not in sys.argv)
    for seed, message in failures.items():
        print(seed, message)
    print(
        f"{len(failures)} of {count} schedules have two holders or a fence that falls"
    )


if __name__ == "__main__":
    main()
