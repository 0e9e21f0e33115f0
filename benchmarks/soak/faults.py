"""Faults that a soak injects into its site, from outside the instances."""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from attrs import define, frozen

from basilwick.fakes.proxy import LinkFault
from basilwick.fakes.second_answers import SecondAnswers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilwick.fakes.key_server import KeyServer
    from benchmarks.soak.site import Instance, SoakSite

__all__ = [
    "PLANNED",
    "Fault",
    "draw_faults",
    "draw_faulty_answers",
    "draw_second_answers",
    "draw_statements",
    "inject",
]

#: Planned maintenance operations, during which no request may be lost.
PLANNED = frozenset({"stop", "reload", "drain", "configure", "evacuate"})
_LINK_FAULTS = tuple(f for f in LinkFault if f is not LinkFault.NONE)
_SERVER_FAULTS = ("lose", "shed", "stray", "fail")
#: Faults after which no answer of a server is complete and valid.
_ANSWER_FAULTS = ("break", "endless", "invalid")
#: Fraction of its requests that a server answers twice during that fault.
_SECOND_ANSWERS_SHARE = 0.8
#: Options of the second answers of a server, by the variant of the fault.
_SECOND_ANSWERS = {
    "whole": {},
    "cut": {"cut": True},
    "unidentified": {"identified": False},
}
#: Time in seconds between the end of a process and its restart.
_RESTART_DELAY_S = 0.4
#: Time in seconds between SIGTERM and SIGKILL.
_STOP_TIMEOUT_S = 6.0
#: Time in seconds for which the key-value service is away before it is restored.
_AWAY_S = 0.5
#: Time in seconds from a server's statement that it leaves to its end.
_LEAVES_AFTER_S = 4.0
#: Longest time in seconds for which a server states that it wants nothing.
_PAUSE_STATED_S = 1.0
#: Requests per second that a server with a limit states.
_RATE_LIMIT = "6"


@frozen
class Fault:
    """One fault of a soak.

    Attributes
    ----------
    at_s, for_s : float
        Start, relative to that of the soak, and duration in seconds.
    where : int
        Number that selects the instance or server.
    how : str
        Variant of the fault, "" for none.
    """

    kind: str
    at_s: float
    for_s: float
    where: int
    how: str = ""


@define(eq=False)
class _Target:
    site: SoakSite
    fault: Fault

    @property
    def instance(self) -> Instance:
        return self.site.instances[self.fault.where % len(self.site.instances)]

    @property
    def slot(self) -> str:
        return sorted(self.site.slots)[self.fault.where % len(self.site.slots)]

    def slot_of(self, server: KeyServer) -> str:
        """Return the slot in which a server runs."""
        return next(s for s, found in self.site.slots.items() if found is server)


def draw_faults(
    rng: Random, length_s: float, pause_s: float, planned_only: bool = False
) -> list[Fault]:
    """Draw the faults of a soak at random; several may overlap.

    Parameters
    ----------
    pause_s : float
        Mean time in seconds between the starts of two faults.
    planned_only : bool
        Whether to draw only planned maintenance.
    """
    return _draw(sorted(PLANNED if planned_only else _ACTIONS), rng, length_s, pause_s)


def draw_statements(rng: Random, length_s: float, pause_s: float) -> list[Fault]:
    """Draw statements of servers and returns of the key-value service at random.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    return _draw(sorted(_STATEMENT_ACTIONS), rng, length_s, pause_s)


def draw_second_answers(rng: Random, length_s: float, pause_s: float) -> list[Fault]:
    """Draw servers that answer some requests twice, with different statuses.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    return _draw(["second_answers"], rng, length_s, pause_s)


def draw_faulty_answers(rng: Random, length_s: float, pause_s: float) -> list[Fault]:
    """Draw servers whose answers break off, never end or have an invalid status.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    return _draw(["faulty_answers"], rng, length_s, pause_s)


def _draw(
    kinds: list[str], rng: Random, length_s: float, pause_s: float
) -> list[Fault]:
    faults = []
    at_s = rng.uniform(0.0, pause_s)
    while at_s < length_s:
        kind = rng.choice(kinds)
        how = ""
        if kind in ("store_link", "server_link"):
            how = rng.choice(_LINK_FAULTS).value
        elif kind == "trouble":
            how = rng.choice(_SERVER_FAULTS)
        elif kind == "second_answers":
            how = rng.choice(sorted(_SECOND_ANSWERS))
        elif kind == "faulty_answers":
            how = rng.choice(_ANSWER_FAULTS)
        for_s = min(rng.choice((0.3, 1.0, 2.5, 5.0)), length_s - at_s)
        faults.append(Fault(kind, at_s, for_s, rng.randrange(1000), how))
        at_s += rng.expovariate(1.0 / pause_s)
    return faults


async def inject(site: SoakSite, fault: Fault) -> None:
    """Inject a fault and end it after its duration."""
    actions = _ACTIONS | _STATEMENT_ACTIONS | _ANSWER_ACTIONS
    await actions[fault.kind](_Target(site, fault))


async def _kill(target: _Target) -> None:
    instance = target.instance
    async with instance.restarting:
        instance.interrupted_at.append(monotonic())
        await instance.process.kill()
        await _restart(instance)


async def _stop(target: _Target) -> None:
    instance = target.instance
    async with instance.restarting:
        instance.interrupted_at.append(monotonic())
        instance.process.resume()
        await instance.process.stop(_STOP_TIMEOUT_S)
        await _restart(instance)


async def _restart(instance: Instance) -> None:
    await asyncio.sleep(_RESTART_DELAY_S)
    await instance.process.start()
    instance.interrupted_at.append(monotonic())


async def _pause(target: _Target) -> None:
    process = target.instance.process
    if not process.running:
        return
    target.instance.interrupted_at.append(monotonic())
    process.pause()
    await asyncio.sleep(target.fault.for_s)
    if process.running:
        process.resume()
    target.instance.interrupted_at.append(monotonic())


async def _reload(target: _Target) -> None:
    if target.instance.process.running:
        target.instance.process.reload()


async def _take_store_down(target: _Target) -> None:
    target.site.store.down = True
    await asyncio.sleep(target.fault.for_s)
    target.site.store.down = False


async def _lose_store_responses(target: _Target) -> None:
    target.site.store.lose_write_responses = True
    await asyncio.sleep(target.fault.for_s)
    target.site.store.lose_write_responses = False


async def _drop_store_history(target: _Target) -> None:
    target.site.store.drop_history()


async def _restore_store(target: _Target) -> None:
    store = target.site.store
    async with target.site.restoring:
        store.take_copy()
        await asyncio.sleep(target.fault.for_s)
        await target.site.restore_store(_AWAY_S)


async def _inject_link_fault(proxy: object, target: _Target) -> None:
    proxy.set_fault(LinkFault(target.fault.how))
    await asyncio.sleep(target.fault.for_s)
    proxy.set_fault(LinkFault.NONE)


async def _inject_store_link_fault(target: _Target) -> None:
    await _inject_link_fault(target.instance.store_proxy, target)


async def _inject_server_link_fault(target: _Target) -> None:
    await _inject_link_fault(target.site.proxies[target.slot], target)


async def _answer_faultily(target: _Target) -> None:
    server = target.site.slots[target.slot]
    if not (server.leaving_statement or server.pause):
        await _inject_server_fault(target)


async def _inject_server_fault(target: _Target) -> None:
    server = target.site.slots[target.slot]
    server.fault = target.fault.how
    await asyncio.sleep(target.fault.for_s)
    server.fault = ""


async def _answer_twice(target: _Target) -> None:
    fault = target.fault
    server = target.site.slots[target.slot]
    if server.leaving_statement or server.pause:
        return
    rng = Random(f"{fault.at_s} {fault.where}")
    options = _SECOND_ANSWERS[fault.how]
    server.second_answers = SecondAnswers(rng, _SECOND_ANSWERS_SHARE, **options)
    await asyncio.sleep(fault.for_s)
    server.second_answers = None


async def _drain(target: _Target) -> None:
    if not target.site.slots[target.slot].leaving:
        await target.site.drain_server(target.slot)


async def _crash(target: _Target) -> None:
    server = target.site.slots[target.slot]
    if not server.leaving:
        # The flag prevents a drain or a second crash of a server that has crashed.
        server.leaving = True
        await target.site.crash_server(target.slot)


def _end_answer_faults(server: KeyServer) -> None:
    """Let no fault hide an answer that makes a statement.

    An instance may drop the connection with the answer, and learn nothing.
    """
    server.second_answers = None
    if server.fault in _ANSWER_FAULTS:
        server.fault = ""


async def _state_leaving(target: _Target) -> None:
    """Let a server state that it leaves, which its registration doesn't say."""
    server = target.site.slots[target.slot]
    if server.leaving or server.leaving_statement:
        return
    _end_answer_faults(server)
    server.leaving_statement = "1"
    await asyncio.sleep(_LEAVES_AFTER_S)
    if not server.leaving:
        # The flag prevents a drain or a crash of a server that has left.
        server.leaving = True
        await target.site.crash_server(target.slot_of(server))


async def _state_pause(target: _Target) -> None:
    server = target.site.slots[target.slot]
    _end_answer_faults(server)
    server.pause = str(target.fault.for_s)
    await asyncio.sleep(min(target.fault.for_s, _PAUSE_STATED_S))
    server.pause = ""


async def _state_limit(target: _Target) -> None:
    server = target.site.slots[target.slot]
    server.rate_limit = _RATE_LIMIT
    await asyncio.sleep(target.fault.for_s)
    server.rate_limit = ""


async def _configure(target: _Target) -> None:
    await target.site.change_configuration(2500 + target.fault.where)


async def _evacuate(target: _Target) -> None:
    await target.site.store.put("op/evacuate/b", {})
    await asyncio.sleep(target.fault.for_s)
    await target.site.store.remove("op/evacuate/b")


_ACTIONS: dict[str, Callable[[_Target], Awaitable[None]]] = {
    "kill": _kill,
    "stop": _stop,
    "pause": _pause,
    "reload": _reload,
    "store_down": _take_store_down,
    "store_answers_lost": _lose_store_responses,
    "store_forgets": _drop_store_history,
    "store_link": _inject_store_link_fault,
    "server_link": _inject_server_link_fault,
    "trouble": _inject_server_fault,
    "drain": _drain,
    "crash": _crash,
    "configure": _configure,
    "evacuate": _evacuate,
}
_STATEMENT_ACTIONS: dict[str, Callable[[_Target], Awaitable[None]]] = {
    "store_restored": _restore_store,
    "state_leaving": _state_leaving,
    "state_limit": _state_limit,
    "state_pause": _state_pause,
}
_ANSWER_ACTIONS: dict[str, Callable[[_Target], Awaitable[None]]] = {
    "second_answers": _answer_twice,
    "faulty_answers": _answer_faultily,
}
