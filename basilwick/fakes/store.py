"""State of the fake platform: values, change history, leases and instances."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["PlatformStore", "StoredValue"]


@define
class StoredValue:
    """A value with its revision and the id of the write that stored it."""

    key: str
    value: str
    revision: int
    write_id: str

    def describe(self) -> dict[str, Any]:
        """Return the value in the format of the service."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "write_id": self.write_id,
        }


@define
class _Lease:
    holder: str
    expires_at: float


@define
class PlatformStore:
    """In-memory store of values with compare-and-swap, leases and instances.

    Parameters
    ----------
    log_length : int
        Number of changes kept for watches; a watch from an older revision gets a
        snapshot.
    after_write : callable, optional
        Called with the key after each write took effect, before the response.
    """

    log_length: int = 4096
    after_write: Callable[[str], None] | None = None
    revision: int = 0
    entries: dict[str, StoredValue] = field(factory=dict)
    _previous_entries: dict[str, StoredValue] = field(factory=dict)
    _changes: deque[tuple[int, str]] = field(factory=deque)
    # Every change after this revision is in `_changes`.
    _changes_start: int = 0
    _leases: dict[str, _Lease] = field(factory=dict)
    # Versions of each entry with their times, oldest first; the newest version that is
    # at least as old as the lag is reported.
    _instances: dict[str, list[tuple[float, dict[str, Any] | None]]] = field(
        factory=dict
    )

    def read(self, key: str, *, stale: bool = False) -> StoredValue | None:
        """Return a value; a stale read returns the value before the last write."""
        return (self._previous_entries if stale else self.entries).get(key)

    def write(self, key: str, value: str, write_id: str = "") -> int:
        """Store a value without a condition and return its revision."""
        self.revision += 1
        if key in self.entries:
            self._previous_entries[key] = self.entries[key]
        self.entries[key] = StoredValue(key, value, self.revision, write_id)
        self._changes.append((self.revision, key))
        while len(self._changes) > self.log_length:
            self._changes_start, _ = self._changes.popleft()
        if self.after_write is not None:
            self.after_write(key)
        return self.entries[key].revision

    def compare_and_swap(
        self, key: str, value: str, expected: int, write_id: str
    ) -> int | None:
        """Store a value if the expected revision matches, otherwise return None."""
        stored = self.entries.get(key)
        if (stored.revision if stored else 0) != expected:
            return None
        return self.write(key, value, write_id)

    def has_changes(self, prefixes: Sequence[str], since: int) -> bool:
        """Return whether a key with one of the prefixes changed after a revision."""
        if since < self._changes_start:
            return True
        for revision, key in reversed(self._changes):
            if revision <= since:
                return False
            if key.startswith(tuple(prefixes)):
                return True
        return False

    def collect(
        self, prefixes: Sequence[str], since: int | None, *, stale: bool = False
    ) -> dict[str, Any]:
        """Return the entries changed after a revision, or a snapshot of all entries.

        It is a snapshot if no revision is given or the history starts after it.
        """
        snapshot = since is None or since < self._changes_start
        entries = self._previous_entries if stale else self.entries
        found = [
            stored.describe()
            for key, stored in entries.items()
            if key.startswith(tuple(prefixes))
            and (snapshot or stored.revision > (since or 0))
        ]
        return {"revision": self.revision, "entries": found, "snapshot": snapshot}

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, now: float, *, renew: bool
    ) -> bool:
        """Grant or renew a lease, and return whether the holder has it now."""
        held = self._leases.get(name)
        if held is not None and held.expires_at <= now:
            held = None
        if (held is None and renew) or (held is not None and held.holder != holder):
            return False
        self._leases[name] = _Lease(holder, now + ttl_s)
        return True

    def release_lease(self, name: str, holder: str) -> None:
        """Release a lease if the holder has it."""
        held = self._leases.get(name)
        if held is not None and held.holder == holder:
            del self._leases[name]

    def set_instance(self, name: str, line: dict[str, Any] | None, now: float) -> None:
        """Set the entry of an instance in the list; None removes the instance."""
        lines = self._instances.setdefault(name, [])
        lines.append((now, line))
        del lines[:-16]

    def list_instances(self, now: float, lag_s: float) -> list[dict[str, Any]]:
        """Return the list of instances as it was ``lag_s`` ago."""
        found = []
        for name, lines in self._instances.items():
            past = [line for time, line in lines if time <= now - lag_s]
            if past and past[-1] is not None:
                found.append({"name": name, **past[-1]})
        return found
