"""Randomized tests of the ownership protocol: random actions and seeded faults."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from ownership_model import BLOCKS, build_model

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "advance",
                "tick",
                "deliver",
                "lose answer",
                "delay",
                "apply late",
                "store",
                "lose store",
                "move",
                "renew",
                "cut leader",
                "mend leader",
                "kill leader",
                "take over",
                "cut server",
                "mend server",
                "leave server",
                "return server",
                "restart server",
                "cut link",
                "mend link",
                "copy store",
                "restore store",
                "calm",
            )
        ),
        st.integers(0, 31),
    ),
    max_size=80,
)
STEPS_S = (0.05, 0.1, 0.3, 0.6, 1.0, 2.5)


def perform_action(model, action, choice):
    leader = model.leaders[choice % len(model.leaders)]
    server = list(model.servers.values())[choice % len(model.servers)]
    pending = (
        model.in_flight[choice % len(model.in_flight)] if model.in_flight else None
    )
    delayed = model.delayed[choice % len(model.delayed)] if model.delayed else None
    if action == "advance":
        model.advance(STEPS_S[choice % len(STEPS_S)])
    elif action == "tick":
        model.tick(leader)
    elif action in ("deliver", "lose answer") and pending:
        model.deliver(pending, answered=action == "deliver")
    elif action == "delay" and pending:
        model.delay(pending)
    elif action == "apply late" and delayed:
        model.apply_delayed(delayed)
    elif action in ("store", "lose store"):
        model.store(leader, answered=action == "store")
    elif action == "move":
        model.move(leader, choice % BLOCKS, server.name)
    elif action == "renew":
        model.renew(leader)
    elif action in ("cut leader", "mend leader"):
        leader.store_reachable = action == "mend leader"
    elif action == "kill leader":
        leader.alive = False
    elif action == "take over":
        model.take_over()
    elif action in ("cut server", "mend server"):
        server.reachable = action == "mend server"
    elif action in ("leave server", "return server"):
        server.registered = action == "return server"
    elif action == "restart server":
        server.restart()
    elif action == "cut link":
        model.lease_holder.unreachable_servers.add(server.name)
    elif action == "mend link":
        leader.unreachable_servers.discard(server.name)
    elif action == "copy store":
        model.take_copy()
    elif action == "restore store":
        model.restore()
    elif action == "calm":
        model.run(0.3)


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(ACTIONS)
@example([("move", 8), ("tick", 0), ("store", 0), ("kill leader", 0)])
def test_a_block_never_has_two_holders(actions):
    model = build_model()
    model.take_over()
    model.run(0.5)
    for action, choice in actions:
        perform_action(model, action, choice)
        model.check()


def isolate_lease_holder(model, rng):
    """Isolate the leader with one server, preferably the target of a stored move."""
    owners = [entry.owner for entry in model.stored if entry.former]
    reachable_server = rng.choice(owners or [*model.servers])
    leader = model.lease_holder
    leader.store_reachable = False
    leader.unreachable_servers = set(model.servers) - {reachable_server}
    for other in model.leaders:
        if other is not leader:
            other.unreachable_servers.add(reachable_server)
    model.servers[reachable_server].registered = rng.random() < 0.5


def inject_random_faults(
    model, rng, steps, isolation_probability=0.0, restore_probability=0.0
):
    """Run steps in which each event happens with a fixed probability."""
    for _ in range(steps):
        if restore_probability and rng.random() < 2 * restore_probability:
            model.take_copy()
        if restore_probability and rng.random() < restore_probability:
            model.restore()
        if isolation_probability and rng.random() < isolation_probability:
            isolate_lease_holder(model, rng)
        for leader in model.leaders[-3:]:
            if rng.random() < 0.9:
                model.renew(leader)
            if rng.random() < 0.9:
                model.tick(leader)
            if rng.random() < 0.7:
                model.store(leader, answered=rng.random() < 0.97)
            if rng.random() < 0.1:
                model.move(leader, rng.randrange(BLOCKS), rng.choice([*model.servers]))
            if rng.random() < 0.02:
                leader.store_reachable = not leader.store_reachable
            if rng.random() < 0.005:
                leader.alive = False
        for pending in list(model.in_flight):
            outcome = rng.random()
            if pending not in model.in_flight or outcome < 0.15:
                continue
            if outcome < 0.85:
                model.deliver(pending, answered=outcome < 0.8)
            elif outcome < 0.9:
                model.delay(pending)
        if model.delayed and rng.random() < 0.2:
            model.apply_delayed(rng.choice(model.delayed))
        server = rng.choice([*model.servers.values()])
        if rng.random() < 0.02:
            server.reachable = not server.reachable
        if rng.random() < 0.02:
            server.registered = not server.registered
        if rng.random() < 0.01:
            server.restart()
        if rng.random() < 0.03:
            rng.choice(model.leaders[-3:]).unreachable_servers ^= {server.name}
        if rng.random() < 0.2:
            model.take_over()
        model.check()
        model.advance(rng.choice((0.05, 0.05, 0.1, 0.3)))
        model.check()


#: Seeds outside the range below that have revealed faults.
REGRESSION_SEEDS = (322, 1405, 3107)


@pytest.mark.parametrize("seed", [*range(150), *REGRESSION_SEEDS])
def test_a_block_never_has_two_holders_under_random_faults(seed):
    rng = Random(seed)
    model = build_model()
    model.take_over()
    model.run(0.5)
    inject_random_faults(model, rng, 400)


@pytest.mark.parametrize("seed", range(60))
def test_a_block_never_has_two_holders_with_isolated_leaders(seed):
    rng = Random(seed)
    model = build_model()
    model.take_over()
    model.run(0.5)
    inject_random_faults(model, rng, 400, isolation_probability=0.02)


@pytest.mark.parametrize("seed", range(150))
def test_a_block_never_has_two_holders_when_the_store_is_restored(seed):
    """Owners and fences of a copy were used beside those of the time that was lost."""
    rng = Random(seed)
    model = build_model()
    model.take_over()
    model.run(0.5)
    model.take_copy()
    inject_random_faults(model, rng, 400, 0.005, restore_probability=0.015)


def test_a_site_recovers_after_random_faults():
    """Every block is served again after the faults end."""
    for seed in range(20):
        model = build_model()
        model.take_over()
        model.take_copy()
        inject_random_faults(model, Random(seed), 200, 0.0, 0.01 * (seed % 2))
        for server in model.servers.values():
            server.reachable = server.registered = True
        model.lease_holder.alive = False
        model.take_over()
        for leader in model.leaders:
            leader.unreachable_servers.clear()
        model.run(model.times.autonomy_s + 2 * model.times.max_ttl_after_send_s)
        assert None not in [model.find_owner(block) for block in range(BLOCKS)]
