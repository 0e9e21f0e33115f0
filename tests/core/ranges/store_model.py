"""Model of the platform's service: the ranges of one service and the leader record.

It can be put back to a copy, which raises its era and gives revisions out again. A
write without an answer can be carried out late, if its condition still holds then.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen


@frozen(eq=False)
class StoredValue:
    """Stored ranges of a service.

    Attributes
    ----------
    certain_era : int or None
        Era in which the ranges were complete, as their writer knew.
    reserved_end : int
        Exclusive end of the reserved fences.
    writer : ModelLeader or None
        Leader that stored the ranges.
    terms : tuple of Term or None
        Terms whose grants may be in force; None in a value of an earlier build.
    """

    ranges: tuple = ()
    certain_era: int | None = None
    reserved_end: int = 1
    writer: object = None
    terms: tuple | None = None


@define
class StoreState:
    """What the store holds; a copy of it can be restored.

    Attributes
    ----------
    value : StoredValue or None
        Stored ranges, None before the first write.
    revision : int
        Revision of the ranges, 0 before the first write.
    lease_holder : ModelLeader
        Leader that the leader record names.
    """

    value: StoredValue | None = None
    revision: int = 0
    lease_holder: object = None

    @property
    def certain_era(self):
        return self.value and self.value.certain_era

    @property
    def reserved_end(self):
        return self.value.reserved_end if self.value else 1


@define(eq=False)
class ModelStore:
    """Store with conditional writes, which may be carried out late."""

    era: int = 0
    state: StoreState = field(factory=StoreState)
    copy: StoreState = field(factory=StoreState)
    late_writes: list[tuple[StoredValue, int]] = field(factory=list)

    def take_copy(self):
        self.copy = evolve(self.state)

    def restore(self):
        self.state = evolve(self.copy)
        self.era += 1

    def write(self, value, revision):
        """Write the ranges if they have a revision; returns whether they had it."""
        if self.state.revision != revision:
            return False
        self.state.value = value
        self.state.revision += 1
        return True

    def apply_late_write(self, write):
        self.late_writes.remove(write)
        self.write(*write)
