"""Items of the platform's service as an instance knows them.

The leader answers from them when another instance asks for the changes that it lacks,
so that instances on slow links need not read the service themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["ItemVersion", "KnownItems", "MissingChanges"]

#: Removed items that are remembered. An instance that lacks an earlier removal gets all
#: items.
_MAX_REMOVED = 2000


@frozen
class ItemVersion:
    """Value of an item at a revision; None if it was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class MissingChanges:
    """Changes that another instance lacks.

    Attributes
    ----------
    complete : bool
        Whether these are all items, so that items missing here no longer exist.
    """

    items: Sequence[ItemVersion]
    complete: bool


@define(eq=False)
class KnownItems:
    """Latest known version of each item."""

    _versions: dict[str, ItemVersion] = field(factory=dict)
    #: Removed items, in the order in which their removal became known.
    _removed: dict[str, int] = field(factory=dict)
    #: Revision since which all removals are remembered; None before the first listing.
    _complete_since: int | None = None

    def find(self, key: str) -> ItemVersion | None:
        """Return the latest version of an item, None if it is unknown."""
        return self._versions.get(key)

    def record(self, item: ItemVersion) -> bool:
        """Record a version; returns False if it is not newer than the known one."""
        known = self._versions.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        self._versions[item.key] = item
        self._removed.pop(item.key, None)
        if item.value is None:
            self._removed[item.key] = item.revision
            self._forget_removed()
        return True

    def record_listing(self, keys: Iterable[str], revision: int) -> None:
        """Record that no other items than those listed exist at a revision."""
        if self._complete_since is None:
            self._complete_since = revision
        for key in self._versions.keys() - set(keys):
            known = self._versions[key]
            if known.value is not None and known.revision <= revision:
                self.record(ItemVersion(key, None, max(revision, known.revision + 1)))

    def begin_era(self, revision: int) -> None:
        """Give instances that know only earlier revisions all items.

        After the service was restored from a copy, an item that is missing was not
        necessarily removed.
        """
        self._complete_since = revision

    def list_missing(self, after: int) -> MissingChanges:
        """Return what an instance lacks that knows all changes up to a revision."""
        complete = self._complete_since is None or after < self._complete_since
        if complete:
            items = [i for i in self._versions.values() if i.value is not None]
        else:
            items = [i for i in self._versions.values() if i.revision > after]
        return MissingChanges(items, complete)

    def _forget_removed(self) -> None:
        while len(self._removed) > _MAX_REMOVED:
            key, revision = next(iter(self._removed.items()))
            del self._removed[key], self._versions[key]
            self._complete_since = max(self._complete_since or 0, revision)
