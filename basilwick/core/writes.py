"""Writes of block documents by the assigners of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from basilwick.core.assignment import block_key
from basilwick.core.events import CompareAndSwap

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from basilwick.core.assigner_view import AssignerView, WriteBlock
    from basilwick.core.assignment import BlockDocument
    from basilwick.core.types import BlockId, MonotonicSeconds

__all__ = ["AssignerDecision", "BlockWrites"]

#: Writes in flight at once, so that one assigner can't exhaust the platform's rate.
MAX_WRITES_IN_FLIGHT = 16


class AssignerDecision(Protocol):
    """Decides which block documents to write."""

    def decide(
        self, view: AssignerView, now: MonotonicSeconds, rng: Random
    ) -> list[WriteBlock]:
        """Return the writes that the facts of the view call for."""


class BlockWrites:
    """Keeps at most one write of each block in flight."""

    def __init__(self) -> None:
        self._in_flight: dict[str, BlockDocument] = {}

    def get_documents(self) -> dict[BlockId, BlockDocument]:
        """Return the documents of the writes in flight."""
        return {document.id: document for document in self._in_flight.values()}

    def submit(self, writes: Iterable[WriteBlock]) -> list[CompareAndSwap]:
        """Return the calls for the writes whose block has none in flight."""
        calls = []
        for write in writes:
            key = block_key(*write.document.id)
            if key in self._in_flight or len(self._in_flight) >= MAX_WRITES_IN_FLIGHT:
                continue
            self._in_flight[key] = write.document
            calls.append(
                CompareAndSwap(
                    key,
                    write.document.encode(),
                    write.expected,
                    write.document.write_id,
                    write.reason,
                )
            )
        return calls

    def finish(self, key: str, write_id: str) -> None:
        """Note that a write ended, with whatever outcome.

        After an unknown outcome the block is planned again from the documents known
        then. A write that took effect after all makes the next one conflict, and the
        conflict returns the stored document.
        """
        document = self._in_flight.get(key)
        if document is not None and document.write_id == write_id:
            del self._in_flight[key]
