"""Decisions of the assigner of a service in a data centre."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from basilwick.core.assigner_view import (
    AssignerAction,
    AssignerView,
    StoredBlock,
    WriteBlock,
)
from basilwick.core.assignment import BlockDocument, BlockState, Ownership
from basilwick.core.homes import HomeChooser, may_take
from basilwick.core.moves import (
    MAX_MOVES_IN_FLIGHT,
    MovePlanner,
    is_balanced,
    list_receivers,
)

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from basilwick.core.placement import Unit
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Fence,
        Generation,
        KeyHash,
        MonotonicSeconds,
        ServerName,
        ShardIndex,
    )

__all__ = ["Assigner", "AssignerAction", "AssignerView", "StoredBlock", "WriteBlock"]

#: Shortest time between two moves of a shard for better balance.
SETTLED_AFTER_S = 30.0
_REBALANCE_INTERVAL_S = 5.0
# A data centre that returned has cold servers, so it gets its blocks back slowly.
_HAND_BACK_INTERVAL_S = 2.0
# Moves that ended stay in the document this long if others are pending, so that one
# write settles them together. Nothing waits for that write: every instance uses the new
# owner as soon as the wait is over.
_SETTLE_DELAY_S = 1.0
# Placing 16,000 shards at once takes 0.9 s, in which the instance would be suspected.
_MAX_SHARDS_PLACED = 1024


@frozen
class _Facts:
    """What each decision needs to know of a document, computed once."""

    version: tuple[Generation, str]
    owners: frozenset[ServerName]
    pending: tuple[Ownership, ...]


@frozen
class _Noted:
    """Fence of each shard and hot key of a block, and since when it is known."""

    version: tuple[Generation, str]
    fences: dict[tuple[ShardIndex, KeyHash | None], tuple[Fence, MonotonicSeconds]]


@define
class Assigner:
    """Decides who owns what for one service in one data centre.

    Two assigners may act at once, for example after a change of duty. Their writes then
    conflict, and the loser plans again from its next view. What an assigner remembers
    only slows it down and is not needed for safety.
    """

    _homes: HomeChooser = field(factory=HomeChooser)
    _facts: dict[BlockId, _Facts] = field(factory=dict)
    _noted: dict[BlockId, _Noted] = field(factory=dict)
    _rebalance_at: MonotonicSeconds = -inf
    _hand_back_at: MonotonicSeconds = -inf

    def handle(
        self, event: AssignerView, now: MonotonicSeconds, rng: Random
    ) -> list[WriteBlock]:
        """Return the writes for a view; the form that traces replay."""
        return self.decide(event, now, rng)

    def decide(
        self, view: AssignerView, now: MonotonicSeconds, rng: Random
    ) -> list[WriteBlock]:
        """Return the writes that a view calls for, at most one for each block.

        Parameters
        ----------
        view : AssignerView
            Facts.
        now : float
            Local time in seconds.
        rng : Random
            Source of write identities and of jitter.
        """
        if not view.platform_reachable:
            return []
        self._homes.update(view)
        return _Decision(self, view, now, rng).run()


class _Decision:
    """One decision; builds the plan of moves only when it is needed."""

    def __init__(
        self,
        assigner: Assigner,
        view: AssignerView,
        now: MonotonicSeconds,
        rng: Random,
    ):
        self._assigner = assigner
        self._homes = assigner._homes
        self._view = view
        self._now = now
        self._rng = rng
        self._planner: MovePlanner | None = None
        self._placed = 0
        known = {id_: stored.document for id_, stored in view.blocks.items()}
        self._documents = {
            id_: document
            for id_, document in {**known, **view.writing}.items()
            if id_[0] == view.service.name
        }
        self._active = {
            id_: document
            for id_, document in self._documents.items()
            if document.home == view.data_centre and document.state is BlockState.ACTIVE
        }
        self._handing_over: dict[DataCentreName, int] = {}
        for document in self._documents.values():
            if document.state is not BlockState.ACTIVE:
                self._count_handover(document.home)
        self._actions: dict[BlockId, WriteBlock] = {}

    def run(self) -> list[WriteBlock]:
        for index in range(self._view.service.blocks):
            id_ = (self._view.service.name, index)
            if id_ not in self._view.writing:
                self._change_home(id_)
        self._hand_over()
        self._plan_moves()
        for id_ in self._active:
            if not self._is_locked(id_):
                self._settle(id_, self._active[id_])
        return list(self._actions.values())

    def _is_locked(self, id_: BlockId) -> bool:
        return id_ in self._view.writing or id_ in self._actions

    def _count_handover(self, target: DataCentreName) -> None:
        self._handing_over[target] = self._handing_over.get(target, 0) + 1

    def _get_planner(self) -> MovePlanner:
        if self._planner is None:
            self._planner = MovePlanner(
                self._view, self._active, self._is_locked, self._now
            )
        return self._planner

    def _write(self, id_: BlockId, document: BlockDocument, reason: str) -> None:
        stored = self._view.blocks.get(id_)
        expected = stored.revision if stored else 0
        self._actions[id_] = WriteBlock(document, expected, reason)

    def _draw_write_id(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"

    def _change_home(self, id_: BlockId) -> None:
        view, here = self._view, self._view.data_centre
        may_place = self._placed < _MAX_SHARDS_PLACED
        document = self._documents.get(id_)
        preferred = self._homes.choose(*id_)
        if document is None:
            if preferred == here and may_place:
                self._create(id_)
        elif document.state is BlockState.RELEASING and document.released_from == here:
            self._settle(id_, document)
        else:
            handed_over = document.state is not BlockState.ACTIVE
            kept = handed_over and self._homes.is_usable(document.home)
            taker = document.home if kept else preferred
            if taker == here and may_place and may_take(document, view, self._now):
                self._activate(id_, document)

    def _place(self, shards: Collection[ShardIndex]) -> dict[ShardIndex, ServerName]:
        self._placed += len(shards)
        return self._get_planner().place_block(shards)

    def _create(self, id_: BlockId) -> None:
        service = self._view.service
        first = id_[1] * service.shards_per_block
        shards = range(first, first + service.shards_per_block)
        owners = self._place(shards)
        document = BlockDocument(
            service=service.name,
            block=id_[1],
            generation=1,
            home=self._view.data_centre,
            shards={shard: Ownership(owners.get(shard, ""), 1) for shard in shards},
            write_id=self._draw_write_id(),
            shard_count=service.shard_count,
        )
        self._write(id_, document, "created")

    def _activate(self, id_: BlockId, document: BlockDocument) -> None:
        owners = self._place(document.shards)
        home = self._view.data_centre
        reason = f"activated; was {document.state} at {document.home}"
        self._write(id_, document.activate(home, owners, self._draw_write_id()), reason)

    def _hand_over(self) -> None:
        """Give blocks to their preferred homes, hottest first and paced."""
        here = self._view.data_centre
        leaving = not self._homes.is_usable(here)
        targets = {
            id_: target
            for id_ in self._active
            if (target := self._homes.choose(*id_)) not in (None, here)
            and not self._is_locked(id_)
        }
        for id_ in sorted(targets, key=self._get_heat, reverse=True):
            target = targets[id_]
            if leaving:
                allowed = self._handing_over.get(target, 0) < self._limit_blocks(target)
            else:
                allowed = self._may_hand_back(id_)
            if allowed:
                released = self._active[id_].release(target, self._draw_write_id())
                self._write(id_, released, f"released to {target}")
                self._count_handover(target)

    def _get_heat(self, id_: BlockId) -> float:
        loads = self._view.shard_loads
        return sum(loads.get(shard, 0.0) for shard in self._active[id_].shards)

    def _limit_blocks(self, target: DataCentreName) -> int:
        """Return how many blocks may move to a data centre at the same time."""
        view = self._view
        receivers = sum(
            server.data_centre == target and server.state == "active"
            for server in view.servers.values()
        )
        shards = MAX_MOVES_IN_FLIGHT * receivers
        return max(1, shards // view.service.shards_per_block)

    def _may_hand_back(self, id_: BlockId) -> bool:
        if self._handing_over or self._now < self._assigner._hand_back_at:
            return False
        if self._get_facts(id_, self._active[id_]).pending:
            return False
        self._assigner._hand_back_at = self._now + _HAND_BACK_INTERVAL_S
        return True

    def _get_facts(self, id_: BlockId, document: BlockDocument) -> _Facts:
        facts = self._assigner._facts.get(id_)
        # A write in progress can lose to another one of the same generation.
        version = (document.generation, document.write_id)
        if facts is None or facts.version != version:
            facts = _Facts(
                version,
                frozenset(o.owner for o in document.iter_ownerships()),
                tuple(document.list_pending()),
            )
            self._assigner._facts[id_] = facts
        return facts

    def _plan_moves(self) -> None:
        open_blocks = [id_ for id_ in self._active if not self._is_locked(id_)]
        receivers = list_receivers(self._view)
        if not receivers:
            return
        usable = receivers.keys()
        departing = any(
            not self._get_facts(id_, self._active[id_]).owners <= usable
            for id_ in open_blocks
        )
        rebalancing = self._now >= self._assigner._rebalance_at
        if not open_blocks or not (departing or rebalancing):
            return
        if rebalancing:
            self._note_moves()
            delay = _REBALANCE_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            self._assigner._rebalance_at = self._now + delay
            rebalancing = not is_balanced(self._view, self._active)
        if not (departing or rebalancing):
            return
        planner = self._get_planner()
        if departing:
            planner.plan_departures()
        if rebalancing and not planner.moves:
            planner.plan_rebalance(self._is_settled)
        self._write_moves(planner)

    def _write_moves(self, planner: MovePlanner) -> None:
        for id_, moves in planner.moves.items():
            document = self._active[id_]
            ended, acknowledged = self._find_ended(id_, document)
            moved = document.move_shards(
                moves.owners,
                moves.hot,
                self._draw_write_id(),
                settled=ended,
                acknowledged=acknowledged,
            )
            reasons = ", ".join(f"{n} {reason}" for reason, n in moves.reasons.items())
            self._write(id_, moved, f"moved: {reasons}")

    def _note_moves(self) -> None:
        """Record since when each shard and hot key has its present fence."""
        noted = self._assigner._noted
        for id_ in noted.keys() - self._active.keys():
            del noted[id_]
        for id_, document in self._active.items():
            version = self._get_facts(id_, document).version
            if id_ in noted and noted[id_].version == version:
                continue
            known = noted[id_].fences if id_ in noted else {}
            fences = {
                **{(shard, None): o.fence for shard, o in document.shards.items()},
                **{
                    (document.get_shard(k), k): o.fence for k, o in document.hot.items()
                },
            }
            noted[id_] = _Noted(
                version,
                {
                    unit: known[unit]
                    if unit in known and known[unit][0] == fence
                    else (fence, self._now)
                    for unit, fence in fences.items()
                },
            )

    def _is_settled(self, unit: Unit) -> bool:
        block = unit.shard // self._view.service.shards_per_block
        noted = self._assigner._noted.get((unit.service, block))
        since = noted.fences.get((unit.shard, unit.key_hash)) if noted else None
        return since is not None and self._now >= since[1] + SETTLED_AFTER_S

    def _find_ended(
        self, id_: BlockId, document: BlockDocument
    ) -> tuple[Generation, dict[ServerName, Generation]]:
        """Return which moves have ended: up to a generation, and by acknowledgement."""
        pending = self._get_facts(id_, document).pending
        fences = {ownership.fence for ownership in pending}
        ended = max(
            (f for f in fences if self._view.active_at(id_, f) <= self._now), default=0
        )
        acknowledged = {
            name: self._view.revoked[id_, name]
            for name in {ownership.moved_from for ownership in pending}
            if self._checks_grants(name) and (id_, name) in self._view.revoked
        }
        return ended, acknowledged

    def _checks_grants(self, name: ServerName | None) -> bool:
        server = self._view.servers.get(name or "")
        return server is not None and server.checks_grants

    def _settle(self, id_: BlockId, document: BlockDocument) -> None:
        """Write that moves have ended, if that is of use now."""
        pending = self._get_facts(id_, document).pending
        releasing = document.state is BlockState.RELEASING
        if not pending and not releasing:
            return
        ended, acknowledged = self._find_ended(id_, document)
        waiting = [ownership for ownership in pending if ownership.fence > ended]
        early = [
            ownership
            for ownership in waiting
            if self._checks_grants(ownership.moved_from)
            and ownership.moved_from not in self._view.lost
        ]
        all_early = early and all(
            acknowledged.get(ownership.moved_from, 0) >= ownership.fence
            for ownership in early
        )
        overdue = ended and (
            self._view.active_at(id_, ended) <= self._now - _SETTLE_DELAY_S
        )
        if not waiting or all_early or overdue:
            settled = document.settle_moves(ended, self._draw_write_id(), acknowledged)
            self._write(id_, settled, "settled")
