"""Which data centre is the home of a block, and when another may take it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.assignment import BlockState
from basilwick.core.hashing import assign_bounded, rank_candidates
from basilwick.core.records import DataCentreStatus, ServerState
from basilwick.core.timing import CLOCK_RATE_MARGIN

if TYPE_CHECKING:
    from basilwick.core.assigner import AssignerView
    from basilwick.core.assignment import BlockDocument
    from basilwick.core.types import BlockIndex, DataCentreName, MonotonicSeconds

__all__ = ["HomeChooser", "may_take"]

# Covers the time between the last read that said "in" and the start of its timer.
_TAKE_SLACK_S = 1.0


@define
class HomeChooser:
    """Chooses homes; keeps the first choices, which change only with the records."""

    _stocked: tuple[DataCentreName, ...] = ()
    _usable: tuple[DataCentreName, ...] = ()
    _first: dict[str, DataCentreName] = field(factory=dict)

    def update(self, view: AssignerView) -> None:
        """Take over the data centres and servers of a view."""
        with_servers = {
            server.data_centre
            for server in view.servers.values()
            if server.state is ServerState.ACTIVE
        }
        stocked = tuple(sorted(with_servers & view.data_centres.keys()))
        items = [f"{view.service.name}/{n}" for n in range(view.service.blocks)]
        if stocked != self._stocked or len(items) != len(self._first):
            self._stocked = stocked
            # Plain rendezvous hashing of 12 blocks can give a data centre none.
            self._first = assign_bounded(items, stocked)
        live = view.live_data_centres
        self._usable = tuple(
            name
            for name in stocked
            if view.data_centres[name].status is DataCentreStatus.IN
            and (live is None or name in live or name == view.data_centre)
        )

    def choose(self, service: str, block: BlockIndex) -> DataCentreName | None:
        """Return the preferred home of a block, None when no data centre can hold it.

        The first choice spreads the blocks evenly over all data centres that have
        active servers, whether they are in or out. So the blocks of a data centre that
        leaves are the only ones that move, and they come back when it returns.
        """
        item = f"{service}/{block}"
        first = self._first.get(item)
        if first in self._usable:
            return first
        ranked = rank_candidates(item, self._usable)
        return ranked[0] if ranked else None

    def is_usable(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre is in, live and has active servers."""
        return data_centre in self._usable


def may_take(
    document: BlockDocument, view: AssignerView, now: MonotonicSeconds
) -> bool:
    """Return whether no right of the data centre that holds a block can be valid."""
    if document.state is BlockState.RELEASED:
        return True
    releasing = document.state is BlockState.RELEASING
    holder = document.released_from if releasing else document.home
    record = view.data_centres.get(holder)
    if record is None or record.status is not DataCentreStatus.OUT:
        return False
    if record.confirmed_stopped:
        return True
    seen_at = view.out_seen_at.get(holder)
    autonomy_s = max(record.autonomy_s, view.autonomy_s.get(holder, 0.0))
    return seen_at is not None and (
        now >= seen_at + autonomy_s * (1 + CLOCK_RATE_MARGIN) + _TAKE_SLACK_S
    )
