"""All documents of the platform that an instance knows, with their revisions."""

from __future__ import annotations

from collections import deque
from types import MappingProxyType
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from basilwick.core.assigner import StoredBlock
from basilwick.core.assignment import BlockDocument, parse_block_key
from basilwick.core.errors import InvalidRecordError
from basilwick.core.records import (
    DataCentreRecord,
    ServerRecord,
    ServiceRecord,
    decode_record,
    get_kind,
    record_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from basilwick.core.records import Record
    from basilwick.core.types import (
        BlockId,
        DataCentreName,
        Revision,
        ServerName,
        ServiceName,
    )

__all__ = ["DOCUMENT_PREFIXES", "LOG_LENGTH", "Changes", "Configuration", "Entry"]

#: Prefixes of the keys that instances hold; history and others stay in the platform.
DOCUMENT_PREFIXES = ("blocks/", "records/")
#: Changes that are kept for instances that lag; older ones get a snapshot.
LOG_LENGTH = 4096


@frozen
class Entry:
    """A stored value.

    Attributes
    ----------
    key : str
        Name of the value.
    value : bytes
        JSON, at most one megabyte.
    revision : int
        Revision of the last write to this key.
    """

    key: str
    value: bytes = field(repr=False)
    revision: Revision


@frozen
class Changes:
    """Entries of some prefixes, all of them or those after a revision.

    Attributes
    ----------
    revision : int
        Revision up to which the entries are complete.
    entries : sequence of Entry
        Newest entry of each key.
    snapshot : bool
        Whether the entries are all that the prefixes hold.
    since : int or None
        Revision after which the entries are complete, None when that is not known; not
        used for a snapshot.
    """

    revision: Revision
    entries: Sequence[Entry]
    snapshot: bool
    since: Revision | None = None


@define(eq=False)
class Configuration:
    """Newest known records and block documents.

    A key never returns to an older value: of two records the one with the higher
    revision applies, of two block documents the one with the higher generation.

    Attributes
    ----------
    revision : int
        Newest revision up to which every change is known.
    """

    revision: Revision = 0
    _entries: dict[str, Entry] = field(factory=dict, repr=False)
    _records: dict[str, Record] = field(factory=dict, repr=False)
    _services: dict[ServiceName, ServiceRecord] = field(factory=dict, repr=False)
    _servers: dict[ServerName, ServerRecord] = field(factory=dict, repr=False)
    _data_centres: dict[DataCentreName, DataCentreRecord] = field(
        factory=dict, repr=False
    )
    _blocks: dict[BlockId, StoredBlock] = field(factory=dict, repr=False)
    _autonomy_s: dict[DataCentreName, float] = field(factory=dict, repr=False)
    _unreadable: dict[str, str] = field(factory=dict, repr=False)
    _log: deque[tuple[Revision, str]] = field(factory=deque, repr=False)
    # The log holds every key that changed after this revision.
    _log_start: Revision = 0

    @property
    def services(self) -> Mapping[ServiceName, ServiceRecord]:
        """Services by name."""
        return MappingProxyType(self._services)

    @property
    def servers(self) -> Mapping[ServerName, ServerRecord]:
        """Backend servers by name."""
        return MappingProxyType(self._servers)

    @property
    def data_centres(self) -> Mapping[DataCentreName, DataCentreRecord]:
        """Data centres by name."""
        return MappingProxyType(self._data_centres)

    @property
    def blocks(self) -> Mapping[BlockId, StoredBlock]:
        """Block documents with the platform revision that a write must expect."""
        return MappingProxyType(self._blocks)

    @property
    def unreadable(self) -> Mapping[str, str]:
        """Reason for each key whose newest value this program can't read.

        The last readable value of such a key stays in force.
        """
        return MappingProxyType(self._unreadable)

    @property
    def autonomy_s(self) -> Mapping[DataCentreName, float]:
        """Larger autonomy of the present record and its predecessor, in seconds."""
        return MappingProxyType(self._autonomy_s)

    def get_entry(self, key: str) -> Entry | None:
        """Return the newest known entry of a key."""
        return self._entries.get(key)

    def list_entries(self) -> list[Entry]:
        """Return the newest known entries of all keys, ordered by key."""
        return [self._entries[key] for key in sorted(self._entries)]

    def get_record(self, key: str) -> Record | None:
        """Return the record in force under a platform key."""
        return self._records.get(key)

    def apply(self, changes: Changes) -> list[Entry]:
        """Take over the entries that are newer than the known ones.

        Parameters
        ----------
        changes : Changes
            Result of a read or watch of the platform, or changes forwarded by a peer.

        Returns
        -------
        list of Entry
            Entries whose value is now in force, in the order of their revisions.
        """
        applied = self.apply_entries(changes.entries)
        complete = changes.snapshot or (
            changes.since is not None and changes.since <= self.revision
        )
        if complete and changes.revision > self.revision:
            self.revision = changes.revision
        return applied

    def apply_entries(self, entries: Iterable[Entry]) -> list[Entry]:
        """Take over newer entries without a claim that others are complete."""
        applied = []
        for entry in sorted(entries, key=lambda entry: entry.revision):
            if not entry.key.startswith(DOCUMENT_PREFIXES):
                continue
            if entry.key.startswith("blocks/"):
                newer = self._apply_block(entry)
            else:
                newer = self._apply_record(entry)
            if newer:
                applied.append(entry)
        return applied

    def changes_since(self, revision: Revision) -> Changes:
        """Return the changes after a revision, or a snapshot when the log is shorter.

        Parameters
        ----------
        revision : int
            Complete revision of the requesting instance.
        """
        if revision < self._log_start:
            return Changes(self.revision, list(self._entries.values()), snapshot=True)
        keys = {key for changed_at, key in self._log if changed_at > revision}
        entries = sorted(
            (self._entries[key] for key in keys), key=lambda entry: entry.revision
        )
        return Changes(self.revision, entries, snapshot=False, since=revision)

    def _apply_record(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        self._store(entry)
        try:
            record = decode_record(entry.value)
            if record_key(get_kind(record), record.name) != entry.key:
                raise InvalidRecordError(
                    f"record {record.name!r} is stored as {entry.key!r}; put it again"
                )
        except InvalidRecordError as error:
            self._unreadable[entry.key] = str(error)
            return False
        self._unreadable.pop(entry.key, None)
        self._records[entry.key] = record
        if isinstance(record, ServiceRecord):
            self._services[record.name] = record
        elif isinstance(record, ServerRecord):
            self._servers[record.name] = record
        else:
            previous = self._data_centres.get(record.name, record)
            self._autonomy_s[record.name] = max(
                record.autonomy_s, record.replaced_autonomy_s, previous.autonomy_s
            )
            self._data_centres[record.name] = record
        return True

    def _apply_block(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if (
            known is not None
            and known.revision >= entry.revision
            and known.value == entry.value
        ):
            # Saves decoding when a peer sends a whole snapshot.
            return False
        try:
            document = BlockDocument.decode(entry.value)
            if document.id != parse_block_key(entry.key):
                raise InvalidRecordError(
                    f"block {document.id!r} is stored as {entry.key!r}; restore it"
                )
        except (InvalidRecordError, ValueError) as error:
            if known is None or known.revision < entry.revision:
                self._unreadable[entry.key] = str(error)
                # The older value stays in force. The raised revision lets the next
                # write replace the unreadable one.
                self._store(
                    entry if known is None else evolve(known, revision=entry.revision)
                )
                self._raise_block_revision(entry)
            return False
        return self._apply_document(entry, document, known)

    def _apply_document(
        self, entry: Entry, document: BlockDocument, known: Entry | None
    ) -> bool:
        stored = self._blocks.get(document.id)
        order = (document.generation, entry.revision)
        if stored is not None and order <= (
            stored.document.generation,
            stored.revision,
        ):
            if known is not None and entry.revision > known.revision:
                # A lower generation with a higher revision comes from a restored
                # platform. The next write must expect this revision to succeed.
                self._store(evolve(known, revision=entry.revision))
                self._raise_block_revision(entry)
            return False
        revision = max(entry.revision, stored.revision if stored else 0)
        self._unreadable.pop(entry.key, None)
        self._store(evolve(entry, revision=revision))
        self._blocks[document.id] = StoredBlock(document, revision)
        return True

    def _raise_block_revision(self, entry: Entry) -> None:
        block = _parse_block(entry.key)
        if block in self._blocks:
            self._blocks[block] = evolve(self._blocks[block], revision=entry.revision)

    def _store(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        self._log.append((entry.revision, entry.key))
        if len(self._log) > LOG_LENGTH:
            dropped, _ = self._log.popleft()
            self._log_start = max(self._log_start, dropped)


def _parse_block(key: str) -> BlockId | None:
    try:
        return parse_block_key(key)
    except ValueError:
        return None
