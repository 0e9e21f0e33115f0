"""Several control nodes under faults; every step checks the invariants."""

from __future__ import annotations

from collections import Counter

import pytest
from control_network import (
    SHARDS,
    count_generations,
    list_owners,
    put_data_centre,
    put_server,
    start_data_centre,
)

from basilwick.core.errors import ErrorKind
from basilwick.core.events import LeaveRequested
from basilwick.core.timing import (
    CLOCK_RATE_MARGIN,
    PERMISSION_TERM_S,
    PLATFORM_RETRY_MAX_S,
    SUSPECT_AFTER_S,
    WATCH_TIMEOUT_S,
)

SEEDS = range(3)
ALL = 2 * SHARDS
# Time within which a key must be served again after a loss, from the design page.
RECOVERY_S = 2.0

per_seed = pytest.mark.parametrize("seed", SEEDS)


def find_assigner(network):
    return next(
        n for n, h in network.hosts.items() if h.node.roster.is_assigner("clue")
    )


def list_gateways(host):
    servers = host.node.configuration.servers
    return {host.node.roster.get_gateway(name) for name in servers}


def assert_converged(network):
    """Check that all hosts hold the newest documents, and all shards are served."""
    network.run(1.0)
    network.run_until(lambda: network.served == ALL, 3)
    for host in network.hosts.values():
        known = host.node.configuration.blocks
        assert {
            block: stored.document.generation for block, stored in known.items()
        } == count_generations(network), host.name
        assert host.node.configuration.revision == network.platform.revision


@per_seed
def test_shards_of_a_retired_server_are_served_again(seed):
    # Guards against a move that never becomes active, or too late.
    network = start_data_centre(seed)
    put_server(network, "s-0", state="out")
    network.run(0.3)
    assert "s-0" not in list_owners(network).values()
    network.run_until(lambda: network.served == ALL, RECOVERY_S - 0.3)


@per_seed
def test_paused_instance_has_no_rights_after_a_move(seed):
    # Guards against a holder that resumes with a permission from before the move.
    network = start_data_centre(seed)
    network.pause("a-1")
    network.run(0.3)
    put_server(network, "s-0", state="out")
    network.run(3.0)
    assert network.served == ALL
    network.resume("a-1")
    assert_converged(network)


@per_seed
@pytest.mark.parametrize("has_platform", [False, True])
def test_partitioned_instance_loses_its_rights(seed, has_platform):
    # Guards against rights that are renewed without a majority of witnesses.
    network = start_data_centre(seed)
    network.partition(["a-1"], ["a-0", "a-2"])
    if not has_platform:
        network.platform_cut = {"a-1"}
    put_server(network, "s-0", state="out")
    network.run(3.0)
    node = network.hosts["a-1"].node
    now = network.hosts["a-1"].read_clock(network.time)
    for block, stored in node.configuration.blocks.items():
        generation = stored.document.generation
        assert node.get_permission_end(block, generation, now) <= now
    assert network.served == ALL
    network.partition()
    network.platform_cut = set()
    assert_converged(network)


@per_seed
@pytest.mark.parametrize("is_up", [True, False])
@pytest.mark.parametrize("role", ["gateway", "assigner", "both"])
def test_duties_move_on_after_a_loss(seed, is_up, role):
    # Guards against a duty that stays with a lost instance.
    names = [f"a-{n}" for n in range(5)]
    network = start_data_centre(seed, names, witnesses=5)
    lost = {find_assigner(network)} if role != "gateway" else set()
    if role != "assigner":
        gateways = {peer.name for peer in list_gateways(network.hosts["a-0"])}
        lost.add(min(gateways - lost))
    network.platform.down = not is_up
    for name in lost:
        network.stop_host(name)
    network.run(SUSPECT_AFTER_S + 0.1)
    for host in network.hosts.values():
        assert not {peer.name for peer in list_gateways(host)} & lost
    assert network.served == ALL
    assert find_assigner(network) not in lost
    put_server(network, "s-0", state="out")
    network.run(3.0)
    assert network.served == ALL
    if is_up:
        assert_converged(network)


@per_seed
def test_loss_of_the_assigner_and_a_server_is_repaired_in_time(seed):
    # Guards against a recovery that waits for both timeouts one after the other.
    names = [f"a-{n}" for n in range(5)]
    network = start_data_centre(seed, names, witnesses=5)
    network.stop_host(find_assigner(network))
    put_server(network, "s-0", state="out")
    survivor = min(network.hosts)
    network.run_until(
        lambda: "s-0" not in list_owners(network, survivor).values(), RECOVERY_S
    )
    network.run_until(lambda: network.served == ALL, RECOVERY_S)
    assert_converged(network)


@per_seed
def test_service_stops_without_a_majority_of_witnesses(seed):
    # Guards against a single witness that continues without the others.
    network = start_data_centre(seed)
    network.platform.down = True
    network.run(5.0)
    assert network.served == ALL
    network.stop_host("a-0")
    network.stop_host("a-1")
    network.run(PERMISSION_TERM_S + 0.1)
    assert network.served == 0
    network.platform.down = False
    network.start_host("a-0")
    assert_converged(network)


@per_seed
def test_restarted_witness_becomes_ready_from_peers(seed):
    # Guards against a start that needs the platform.
    network = start_data_centre(seed)
    network.platform.down = True
    network.stop_host("a-1")
    network.run(1.0)
    host = network.start_host("a-1", seeds=("a-0",))
    network.run_until(lambda: host.node.ready, 1.0)
    assert host.node.confirmations.witness_ready


@per_seed
def test_witness_with_a_stale_copy_does_not_confirm(seed):
    # Guards against a witness that starts from one peer that missed a move: with the
    # holder on the old side, old and new owner would both have a majority.
    network = start_data_centre(seed)
    network.partition(["a-2"], ["a-0", "a-1"])
    network.platform_cut = {"a-2"}
    put_server(network, "s-0", state="out")
    network.run(0.3)
    network.platform.down = True
    network.run(0.1)
    network.stop_host("a-1")
    network.partition(["a-0"], ["a-1", "a-2"])
    host = network.start_host("a-1", seeds=("a-2",))
    network.run(3.0)
    assert host.node.configuration.blocks
    assert not host.node.confirmations.witness_ready
    network.partition()
    network.run(1.0)
    assert host.node.confirmations.witness_ready
    assert network.served == ALL


@per_seed
def test_witness_restart_during_a_move_keeps_one_owner(seed):
    # Guards against counting a witness that listed the new generation, then restarted
    # from peers that never learned it.
    network = start_data_centre(seed, [f"a-{n}" for n in range(4)])
    observer, forgetful, other, holder = "a-3", "a-0", "a-1", "a-2"
    # The write reaches only the observer and the witness that restarts.
    network.partition([observer, forgetful], [other, holder])
    network.platform_cut = {other, holder}
    network.run(SUSPECT_AFTER_S + 0.1)
    put_server(network, "s-0", state="out")
    network.run(0.3)
    assert "s-0" not in list_owners(network, observer).values()
    assert "s-0" in list_owners(network, holder).values()
    network.platform.down = True
    network.stop_host(forgetful)
    network.partition([observer], [forgetful, other, holder])
    restarted = network.start_host(forgetful, seeds=(other, holder))
    network.run_until(lambda: restarted.node.confirmations.witness_ready, 2)
    # The third witness learns the move, and the observer hears from it alone.
    network.partition([observer, other], [forgetful, holder])
    network.run(4.0)
    network.partition()
    network.platform.down = False
    network.platform_cut = set()
    assert_converged(network)


@per_seed
@pytest.mark.parametrize("slow", ["a-0", "a-1", "a-2"])
def test_slow_clock_within_the_margin_keeps_one_owner(seed, slow):
    # Guards against a wait that is shorter than a permission on a slower clock.
    network = start_data_centre(seed)
    host = network.hosts[slow]
    host.rate = 1 - CLOCK_RATE_MARGIN
    network.run(1.0)
    for server in ("s-0", "s-1"):
        put_server(network, server, state="out")
        network.run(0.02)
        network.partition([slow], [n for n in network.hosts if n != slow])
        network.platform_cut = {slow}
        network.run(2.0)
        network.partition()
        network.platform_cut = set()
        network.run(1.0)
    assert_converged(network)


@per_seed
def test_watch_that_skips_revisions_loses_nothing(seed):
    # Guards against a configuration that applies a gap as complete.
    network = start_data_centre(seed)
    network.platform_cut = set(network.hosts)
    for number in range(20):
        put_server(network, "s-1", slots=1 + number)
        put_server(network, f"s-{3 + number % 3}", slots=1 + number)
    network.run(2.0)
    network.platform_cut = set()
    network.run(PLATFORM_RETRY_MAX_S + 6)
    assert_converged(network)
    for host in network.hosts.values():
        assert host.node.configuration.servers["s-1"].slots == 20
        assert host.node.configuration.servers["s-5"].slots == 18


@per_seed
def test_calls_are_spread_when_the_platform_returns(seed):
    # Guards against all instances calling at the moment the platform returns.
    names = [f"a-{n}" for n in range(12)]
    network = start_data_centre(seed, names)
    network.platform.down = True
    put_server(network, "s-0", state="out")
    network.run(10.0)
    network.platform.calls.clear()
    network.platform.down = False
    start = network.time
    network.run(PLATFORM_RETRY_MAX_S)
    calls = Counter(int((at - start) / 0.1) for at, _, _ in network.platform.calls)
    assert sum(calls.values()) <= len(names)
    assert max(calls.values()) <= len(names) / 3
    assert_converged(network)


@per_seed
def test_lost_write_answers_lose_no_assignment(seed):
    # Guards against an assignment that is repeated over a write that took effect.
    network = start_data_centre(seed)
    network.platform.lost_answers = 0.5
    for server in ("s-0", "s-1"):
        put_server(network, server, state="out")
        network.run(1.0)
    network.platform.lost_answers = 0.0
    network.run(5.0)
    assert_converged(network)


@per_seed
def test_two_assigners_at_once_keep_one_owner(seed):
    # Guards against safety that depends on the choice of the assigner.
    network = start_data_centre(seed, [f"a-{n}" for n in range(4)])
    for host in network.hosts.values():
        host.node.roster.is_assigner = lambda service: True
    for server in ("s-0", "s-1"):
        put_server(network, server, state="out")
        network.run(0.7)
    network.run(2.0)
    assert_converged(network)


@per_seed
def test_leaving_instance_gets_no_duties(seed):
    # Guards against new work for an instance that is about to stop.
    network = start_data_centre(seed)
    network._handle(network.hosts["a-0"], LeaveRequested())
    network.run(0.1)
    for host in network.hosts.values():
        assert "a-0" not in {peer.name for peer in list_gateways(host)}
        assert "a-0" not in host.node.roster.list_watchers("dc-a")
    assert network.hosts["a-0"].node.successor in ("a-1", "a-2")


@per_seed
def test_autonomy_ends_service_without_the_platform(seed):
    # Guards against a data centre that serves on after others may take its blocks.
    network = start_data_centre(seed)
    names = list(network.hosts)
    put_data_centre(network, "dc-a", names, autonomy_s=20)
    network.run(6.0)
    network.platform.down = True
    network.run(20.0 - 2 * WATCH_TIMEOUT_S)
    assert network.served == ALL
    network.run(2 * WATCH_TIMEOUT_S + 0.1)
    assert network.served == 0
    network.platform.down = False
    assert_converged(network)


@per_seed
def test_other_data_centre_is_known_and_cut_off(seed):
    # Guards against requests for an unreachable home that wait for their deadline.
    network = start_data_centre(seed)
    put_data_centre(network, "dc-b", ["b-0", "b-1", "b-2"])
    for number in range(3):
        network.start_host(f"b-{number}", "dc-b")
    network.run(4.0)
    node = network.hosts["b-2"].node
    assert {peer.name for peer in node.list_peers("dc-a")} == {"a-0", "a-1", "a-2"}
    service = node.get_service("clue")
    location = node.locate(service, "gate-7", 0.0)
    assert location.gateway.data_centre == "dc-a"
    put_server(network, "s-0", state="out")
    network.run(0.5)
    assert "s-0" not in list_owners(network, "b-2").values()
    network.partition(["a-0", "a-1", "a-2"], ["b-0", "b-1", "b-2"])
    network.run(5.0)
    assert node.locate(service, "gate-7", 0.0).kind is ErrorKind.CUT_OFF


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_keep_the_invariants(seed):
    # Guards against interactions that no single scenario above brings about.
    names = [f"a-{n}" for n in range(5)]
    network = start_data_centre(seed, names, delay_s=0.03, loss=0.05)
    network.platform.lost_answers = 0.2
    rng = network.rng
    for host in network.hosts.values():
        host.rate = rng.uniform(1 - CLOCK_RATE_MARGIN / 2, 1 + CLOCK_RATE_MARGIN / 2)
    for step in range(16):
        paused = [n for n in names if n in network.hosts and network.hosts[n].paused]
        fault = rng.choice(["pause", "partition", "restart", "platform", "heal"])
        name = rng.choice(names)
        if fault == "pause" and name in network.hosts:
            network.pause(name)
        elif fault == "partition":
            side = rng.sample(names, rng.randint(1, 2))
            network.partition(side, [n for n in names if n not in side])
        elif fault == "restart" and name not in paused:
            if name in network.hosts:
                network.stop_host(name)
            network.start_host(name, seeds=rng.sample(names, 2))
        elif fault == "platform":
            network.platform.down = not network.platform.down
        else:
            network.partition()
            for other in paused:
                network.resume(other)
        state = rng.choice(["active", "active", "out"])
        put_server(network, f"s-{step % 2}", state=state, slots=1 + step)
        network.run(rng.uniform(0.05, 1.0))
    network.partition()
    network.platform.down = False
    network.platform.lost_answers = 0.0
    network.loss = 0.0
    for host in network.hosts.values():
        if host.paused:
            network.resume(host.name)
    network.run(6.0)
    assert_converged(network)
