"""Confirmations of block generations by witnesses, and the rights that follow."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.records import DataCentreStatus
from basilwick.core.timing import MOVE_WAIT_S, PERMISSION_TERM_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilwick.core.messages import Heartbeat
    from basilwick.core.ownership import Ownership
    from basilwick.core.records import DataCentreRecord
    from basilwick.core.types import BlockId, Generation, MonotonicSeconds, Revision

__all__ = ["Confirmations"]

#: Generations and the local time since which each is known, both ascending.
_History = list[tuple[int, float]]


@define
class _Seat:
    """Last heartbeat and confirmations of the process that holds a witness seat."""

    incarnation: str
    sent_at: float = -inf
    echoed_at: float = -inf
    ready: bool = False
    version: int = 0
    generations: dict[BlockId, int] = field(factory=dict)
    learned: dict[BlockId, _History] = field(factory=dict)

    def learn(self, generations: Mapping[BlockId, int], now: float) -> list[BlockId]:
        raised = []
        for block, generation in generations.items():
            history = self.learned.setdefault(block, [])
            if not history or history[-1][0] < generation:
                history.append((generation, now))
                _prune(history, now)
                raised.append(block)
        self.generations = dict(generations)
        return raised


class Confirmations:
    """Records witnesses' heartbeats and derives permissions from them.

    Parameters
    ----------
    peer_address : str
        Peer address of the own instance, which tells whether it holds a seat.
    incarnation : str
        Incarnation of the own process. A heartbeat that echoes a clock reading of
        another one confirms nothing, because its clock readings are not comparable.
    """

    def __init__(self, peer_address: str, incarnation: str):
        self._address = peer_address
        self._incarnation = incarnation
        self._witnesses: tuple[str, ...] = ()
        self._seats: dict[str, _Seat] = {}
        self._own = _Seat(incarnation)
        self._own_version = 0
        self._known: dict[BlockId, _History] = {}
        self._unconfirmed: set[BlockId] = set()
        self._autonomy_s = 0.0
        self._is_in = False
        self._contact = -inf

    @property
    def is_witness(self) -> bool:
        """Whether the own instance holds a seat."""
        return self._address in self._witnesses

    @property
    def witness_ready(self) -> bool:
        """Whether the own confirmations count."""
        return self.is_witness and self._own.ready

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Peer addresses of the seats."""
        return self._witnesses

    @property
    def own_generations(self) -> Mapping[BlockId, Generation]:
        """Highest generation known of each block, as listed to others."""
        return self._own.generations

    @property
    def own_version(self) -> int:
        """Version of the own list, raised with each change."""
        return self._own_version

    @property
    def _majority(self) -> int:
        return len(self._witnesses) // 2 + 1

    def set_record(self, record: DataCentreRecord | None) -> None:
        """Use the record of the own data centre."""
        if record is None:
            self._witnesses, self._is_in = (), False
            return
        self._witnesses = tuple(seat.peer_address for seat in record.witnesses)
        self._autonomy_s = record.autonomy_s
        self._is_in = record.status is DataCentreStatus.IN
        self._seats = {
            address: seat
            for address, seat in self._seats.items()
            if address in self._witnesses
        }

    def set_own_generation(
        self, block: BlockId, generation: Generation | None, now: MonotonicSeconds
    ) -> None:
        """Note the newest document of a block, None when it is not homed here."""
        generations = dict(self._own.generations)
        if generation is None:
            if generations.pop(block, None) is None:
                return
        elif generations.get(block, 0) >= generation:
            return
        else:
            generations[block] = generation
        self._own_version += 1
        if self._own.learn(generations, now):
            self._unconfirmed.add(block)
        self._confirm_knowledge(now)

    def record_platform_read(self, started_at: MonotonicSeconds) -> None:
        """Note an applied answer that held all records and documents.

        Parameters
        ----------
        started_at : float
            Local time at which the call was sent.
        """
        self._own.ready = True
        if self._is_in:
            self._contact = max(self._contact, started_at)

    def get_platform_age(self, now: MonotonicSeconds) -> float:
        """Return the time since the newest known contact with the platform, in s."""
        return now - self._contact

    def record_heartbeat(
        self, heartbeat: Heartbeat, now: MonotonicSeconds, revision: Revision = 0
    ) -> None:
        """Note a heartbeat of an instance of the own data centre.

        Parameters
        ----------
        heartbeat : Heartbeat
            What the instance sent.
        now : float
            Local time in seconds.
        revision : int
            Revision up to which the own documents are complete. A contact with the
            platform that another instance reports counts only for documents that the
            own instance has applied too: after its data centre was out and taken over,
            it could otherwise continue with outdated generations.
        """
        echoes_me = heartbeat.echoed_incarnation == self._incarnation
        if echoes_me and self._is_in and heartbeat.config_revision <= revision:
            contact = heartbeat.echoed_at - heartbeat.platform_age
            self._contact = max(self._contact, contact)
        if heartbeat.peer_address not in self._witnesses:
            return
        seat = self._seats.get(heartbeat.peer_address)
        if seat is None or seat.incarnation != heartbeat.incarnation:
            seat = self._seats[heartbeat.peer_address] = _Seat(heartbeat.incarnation)
        if heartbeat.sent_at <= seat.sent_at:
            return
        seat.sent_at = heartbeat.sent_at
        self._record_list(seat, heartbeat, now)
        # A version that was never received leaves the older list in place, and that
        # list would confirm generations the witness has moved past.
        current = seat.version == heartbeat.generations_version > 0
        seat.ready = heartbeat.witness_ready and current
        if echoes_me and current:
            seat.echoed_at = heartbeat.echoed_at
        self._start_from_peers(now)
        self._confirm_knowledge(now)

    def list_seen_versions(self) -> dict[str, int]:
        """Return the version of the list held from the process at each address."""
        return {address: seat.version for address, seat in self._seats.items()}

    def get_permission_end(
        self, block: BlockId, generation: Generation, now: MonotonicSeconds
    ) -> MonotonicSeconds:
        """Return the local time at which the right to send ends, 0 without a right."""
        readings = [
            seat.echoed_at
            for address, seat in self._seats.items()
            if address != self._address
            and seat.ready
            and seat.generations.get(block, inf) <= generation
        ]
        if self.witness_ready and self._own.generations.get(block, inf) <= generation:
            readings.append(now)
        if not readings or len(readings) < self._majority:
            return 0.0
        readings.sort(reverse=True)
        end = readings[self._majority - 1] + PERMISSION_TERM_S
        end = min(end, self._contact + self._autonomy_s)
        return end if end > 0 else 0.0

    def get_known_since(
        self, block: BlockId, generation: Generation
    ) -> MonotonicSeconds:
        """Return since when a majority is known to hold at least a generation."""
        for known, since in self._known.get(block, ()):
            if known >= generation:
                return since
        return inf

    def get_active_at(self, block: BlockId, generation: Generation) -> MonotonicSeconds:
        """Return when no permission below a generation can be valid any more."""
        return self.get_known_since(block, generation) + MOVE_WAIT_S

    def get_usable_at(self, block: BlockId, ownership: Ownership) -> MonotonicSeconds:
        """Return the local time from which an owner may be used."""
        if ownership.moved_from is None:
            return 0.0
        return self.get_active_at(block, ownership.fence)

    def _record_list(
        self, seat: _Seat, heartbeat: Heartbeat, now: MonotonicSeconds
    ) -> None:
        if heartbeat.generations is None:
            return
        seat.version = heartbeat.generations_version
        self._unconfirmed.update(seat.learn(heartbeat.generations, now))

    def _start_from_peers(self, now: MonotonicSeconds) -> None:
        """Become ready from other witnesses, when the platform gives no answer.

        Any generation that a majority knew before this process started is known to at
        least one of ``seats - majority + 1`` other ready witnesses.
        """
        if self._own.ready or not self.is_witness:
            return
        others = [
            seat
            for address, seat in self._seats.items()
            if address != self._address and seat.ready and seat.echoed_at > -inf
        ]
        if len(others) < len(self._witnesses) - self._majority + 1:
            return
        for seat in others:
            for block, generation in seat.generations.items():
                self.set_own_generation(block, generation, now)
        self._own.ready = True

    def _confirm_knowledge(self, now: MonotonicSeconds) -> None:
        for block in list(self._unconfirmed):
            known = self._known.setdefault(block, [])
            newest = known[-1][0] if known else 0
            pending = sorted(
                {
                    generation
                    for _, seat in self._list_seats()
                    for generation, _ in seat.learned.get(block, ())
                    if generation > newest
                }
            )
            for generation in pending:
                since = self._find_majority(block, generation, now)
                if since is not None:
                    known.append((generation, since))
                    _prune(known, now)
            if not pending or (known[-1:] and known[-1][0] >= pending[-1]):
                self._unconfirmed.discard(block)

    def _find_majority(
        self, block: BlockId, generation: Generation, now: MonotonicSeconds
    ) -> MonotonicSeconds | None:
        """Return a time at which a majority held a generation simultaneously.

        A process certainly held it from the arrival of its first list with the
        generation until its last echo. Requiring one instant inside these intervals
        excludes a witness that listed the generation and then restarted without it
        before the others learned it.
        """
        intervals = []
        for is_own, seat in self._list_seats():
            since = next(
                (t for g, t in seat.learned.get(block, ()) if g >= generation), None
            )
            if since is not None:
                intervals.append((since, now if is_own else seat.echoed_at))
        for start in sorted(start for start, _ in intervals):
            holders = sum(first <= start <= last for first, last in intervals)
            if holders >= self._majority:
                return start
        return None

    def _list_seats(self) -> list[tuple[bool, _Seat]]:
        seats = [
            (False, seat)
            for address, seat in self._seats.items()
            if address != self._address
        ]
        return [*seats, (True, self._own)] if self.is_witness else seats


def _prune(history: _History, now: MonotonicSeconds) -> None:
    """Drop entries that a newer entry of more than a move's wait ago covers."""
    while len(history) > 1 and history[1][1] < now - 2 * MOVE_WAIT_S:
        del history[0]
