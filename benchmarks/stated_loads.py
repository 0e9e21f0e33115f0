"""Plays many instances that decide by themselves at the same moments, by old figures.

Servers differ in speed and have slow spells. Each instance uses a dispatcher of its own
and knows loads that servers stated up to 0.8 s ago. Time is simulated.

    python -m benchmarks.stated_loads --deciders 100
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from attrs import define, field, frozen
from click import command, echo, option

from basilwick.core.dispatch.capacity import CapacityShare
from basilwick.core.dispatch.dispatcher import Dispatcher
from basilwick.core.dispatch.key_owners import KeyOwner
from basilwick.core.dispatch.load_report import make_load_report
from basilwick.core.dispatch.messages import (
    Assigned,
    DispatchRequest,
    SendFinished,
    SendOutcome,
)
from basilwick.core.dispatch.retry_window import RetryBudget
from basilwick.core.dispatch.site import (
    Route,
    ServerEntry,
    ServiceSpec,
    SiteConfiguration,
    SiteView,
)
from basilwick.core.types import Operation

__all__ = ["PlayResult", "play_deciders"]

_SPEEDS = (0.6, 1.0, 1.4)
_SLOTS = 6
#: Requests that a server holds beyond its slots before it rejects one.
_SERVER_QUEUE = 6
#: A fifth of the time, in spells of 0.4 s, work takes three times as long.
_SPELL_S = 0.4
_SPELL_INTERVAL_S = 2.0
_SPELL_SLOWDOWN = 3.0
_MAX_AGE_S = 0.8
#: Work in seconds of a request at a server of speed 1 outside of spells, by kind.
_WORK_S = (0.041, 0.085, 0.13)
#: Interval in seconds between the moments at which the instances decide.
_TICK_S = 0.05
_TARGET_S = 0.4
#: Share of a service's slots that must be idle for a queue at a server to be avoidable.
_IDLE_SHARE = 0.25


@frozen
class PlayResult:
    """What a play showed.

    Attributes
    ----------
    busiest_to_mean : float
        Utilization of the busiest server divided by the mean of all servers.
    longest_overload_s : float
        Longest time for which a server held more requests than it has slots while at
        least a quarter of all slots were idle.
    on_time_share : float
        Share of the requests that were answered within their target latency.
    rejected : int
        Requests that a full server rejected.
    """

    busiest_to_mean: float
    longest_overload_s: float
    on_time_share: float
    rejected: int


@define(eq=False)
class _Server:
    name: str
    speed: float
    spell_at: float
    #: What the server states: `honest`, `empty`, `full` or `none`.
    states: str = "honest"
    running: int = 0
    waiting: list[tuple] = field(factory=list)
    busy_s: float = 0.0
    overloaded_s: float = 0.0
    #: Figures as of each tick.
    history: list[tuple[int, int, int, int]] = field(factory=list)

    def get_slowdown(self, now: float) -> float:
        in_spell = (now + self.spell_at) % _SPELL_INTERVAL_S < _SPELL_S
        return _SPELL_SLOWDOWN if in_spell else 1.0

    def state_load(self, now: float) -> tuple[int, int, int, int]:
        if self.states == "empty":
            return 0, 0, _SLOTS, 100
        if self.states == "full":
            return _SLOTS, _SERVER_QUEUE, _SLOTS, 300
        percent = round(100 * self.get_slowdown(now))
        return self.running, len(self.waiting), _SLOTS, percent


class _NoOwners:
    def find_owner(self, service: str, key: int, now: float) -> KeyOwner:
        return KeyOwner(None)


class _Play:
    """State of one play."""

    def __init__(self, deciders: int, servers: int, by_reports: bool, rng: Random):
        self.rng = rng
        self.servers = {
            f"s{i}": _Server(f"s{i}", _SPEEDS[i % 3], rng.uniform(0, _SPELL_INTERVAL_S))
            for i in range(servers)
        }
        self.by_reports = by_reports
        self.dispatchers = [self._make_dispatcher(seed) for seed in range(deciders)]
        self.events: list[tuple] = []
        self.sequence = 0
        self.started: dict[int, float] = {}
        self.on_time = self.rejected = 0
        self.longest_overload_s = 0.0

    def _make_dispatcher(self, seed: int) -> Dispatcher:
        route = Route(
            "r", "h", "/", Operation.IDEMPOTENT, (), 1.0, _TARGET_S, 0, 2,
            large_responses=self.by_reports,
        )  # fmt: skip
        view = SiteView()
        services = {"s": ServiceSpec("s", "/", 100, 3.0, 10.0)}
        view.apply_configuration(SiteConfiguration(1, (route,), services))
        for name in self.servers:
            entry = ServerEntry(name, "s", f"{name}:1", "a", _SLOTS, False, 0.0, 1)
            view.apply_server(entry, 0.0)
        share = CapacityShare(slots=1, rate_fraction=0.01)
        return Dispatcher(view, _NoOwners(), RetryBudget(), {}, Random(seed), share)

    def decide_all(self, now: float, mean_requests: float) -> None:
        """Let each instance decide on its requests of one moment."""
        for index, dispatcher in enumerate(self.dispatchers):
            self._deliver(index, dispatcher.advance(now), now)
            count = int(mean_requests) + (self.rng.random() < mean_requests % 1)
            if count:
                self._tell_old_figures(dispatcher, now)
            for _ in range(count):
                self.sequence += 1
                self.started[self.sequence] = now
                request = DispatchRequest(
                    self.sequence, "s", -1, 1, _TARGET_S, 1.0, data_centre="a"
                )
                decision = dispatcher.submit(self.sequence, request, now)
                if decision is not None:
                    self._deliver(index, [(self.sequence, decision)], now)

    def _tell_old_figures(self, dispatcher: Dispatcher, now: float) -> None:
        for server in self.servers.values():
            age = self.rng.randint(0, round(_MAX_AGE_S / _TICK_S))
            if server.states == "none" or age >= len(server.history):
                continue
            load = dispatcher.get_load(server.name)
            reported_at = now - age * _TICK_S
            if load.stated.get_age_s(now) > now - reported_at:
                report = make_load_report(*server.history[-1 - age])
                load.record_report(report, False, reported_at)

    def _deliver(self, index: int, decisions: list, now: float) -> None:
        for number, decision in decisions:
            if isinstance(decision, Assigned):
                self._arrive(self.servers[decision.server], index, number, now)

    def _arrive(self, server: _Server, index: int, number: int, now: float) -> None:
        if server.running >= _SLOTS and len(server.waiting) >= _SERVER_QUEUE:
            self.rejected += 1
            self._finish(server, index, number, SendOutcome.SHED, now, now)
            return
        server.waiting.append((index, number, now))
        self._start_waiting(server, now)

    def _start_waiting(self, server: _Server, now: float) -> None:
        while server.waiting and server.running < _SLOTS:
            index, number, sent_at = server.waiting.pop(0)
            server.running += 1
            work_s = _WORK_S[number % len(_WORK_S)] / server.speed
            latency_s = work_s * server.get_slowdown(now)
            server.busy_s += latency_s
            entry = (now + latency_s, number, index, server, sent_at)
            heappush(self.events, entry)

    def run_until(self, until: float) -> None:
        """Finish the requests that end until a time."""
        while self.events and self.events[0][0] <= until:
            now, number, index, server, sent_at = heappop(self.events)
            server.running -= 1
            self._start_waiting(server, now)
            self.on_time += now - self.started[number] <= _TARGET_S
            self._finish(server, index, number, SendOutcome.OK, now, sent_at)

    def _finish(self, server, index, number, outcome, now, sent_at) -> None:
        load = () if server.states == "none" else server.state_load(now)
        done = SendFinished(number, outcome, now - sent_at, None, 0.0, False, *load)
        decisions = self.dispatchers[index].finish(number, done, now)
        self._deliver(index, decisions, now)

    def observe(self, now: float) -> None:
        """Record what the servers state, and which are overloaded avoidably."""
        idle = sum(_SLOTS - server.running for server in self.servers.values())
        avoidable = idle >= _IDLE_SHARE * _SLOTS * len(self.servers)
        for server in self.servers.values():
            server.history.append(server.state_load(now))
            overloaded = avoidable and len(server.waiting) > 0
            server.overloaded_s = server.overloaded_s + _TICK_S if overloaded else 0.0
            if now > 2.0:
                self.longest_overload_s = max(
                    self.longest_overload_s, server.overloaded_s
                )


def play_deciders(
    by_reports: bool,
    deciders: int = 100,
    servers: int = 24,
    utilization: float = 0.6,
    seconds: float = 10.0,
    states: dict[str, str] | None = None,
    seed: int = 1,
) -> PlayResult:
    """Play instances that decide by themselves and return what was seen.

    Parameters
    ----------
    by_reports : bool
        Whether they decide by stated loads.
    utilization : float
        Offered work as a share of the servers' capacity.
    states : dict of str to str, optional
        What servers state that are not honest, by name.
    """
    rng = Random(seed)
    play = _Play(deciders, servers, by_reports, rng)
    for name, statement in (states or {}).items():
        play.servers[name].states = statement
    spell_share = _SPELL_S / _SPELL_INTERVAL_S
    mean_slowdown = 1.0 + spell_share * (_SPELL_SLOWDOWN - 1.0)
    work_s = mean_slowdown * sum(_WORK_S) / len(_WORK_S)
    speed = sum(server.speed for server in play.servers.values())
    rate = utilization * speed * _SLOTS / work_s
    for tick in range(round(seconds / _TICK_S)):
        now = tick * _TICK_S
        play.run_until(now)
        play.observe(now)
        play.decide_all(now, rate * _TICK_S / deciders)
    play.run_until(seconds)
    busy = [server.busy_s for server in play.servers.values()]
    return PlayResult(
        max(busy) / (sum(busy) / len(busy)),
        play.longest_overload_s,
        play.on_time / play.sequence,
        play.rejected,
    )


@command()
@option("--deciders", default=100, show_default=True)
@option("--seeds", default=3, show_default=True)
def main(deciders: int, seeds: int) -> None:
    """Print the result of both choices at several loads."""
    for utilization in (0.3, 0.6, 0.8):
        for by_reports in (False, True):
            for seed in range(seeds):
                result = play_deciders(
                    by_reports, deciders, utilization=utilization, seed=seed
                )
                echo(f"load {utilization} by_reports={by_reports}: {result}")


if __name__ == "__main__":
    main()
