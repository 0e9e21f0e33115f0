"""Assertions about ownership and configuration of several control nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from basilwick.core.assignment import BlockDocument, BlockState, parse_block_key

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from basilwick.core.configuration import Entry
    from basilwick.core.control import ControlNode
    from basilwick.core.types import BlockId, MonotonicSeconds, ServerName

__all__ = [
    "RevisionCheck",
    "assert_acknowledged_writes_kept",
    "assert_one_owner",
    "list_rights",
]


def list_rights(
    node: ControlNode, now: MonotonicSeconds
) -> Iterator[tuple[tuple[BlockId, int], ServerName]]:
    """Yield each shard, and hot key, that a node may send for, with its owner.

    Parameters
    ----------
    node : ControlNode
        The node.
    now : float
        Reading of the node's own clock.
    """
    confirmations = node.confirmations
    for block, stored in node.configuration.blocks.items():
        document = stored.document
        if document.state is not BlockState.ACTIVE:
            continue
        if node.get_permission_end(block, document.generation, now) <= now:
            continue
        units = (*document.shards.items(), *document.hot.items())
        for unit, ownership in units:
            usable_at = confirmations.get_usable_at(block, ownership)
            if ownership.owner and usable_at <= now:
                yield (block, unit), ownership.owner


def assert_one_owner(nodes: Iterable[tuple[str, ControlNode, MonotonicSeconds]]) -> int:
    """Check that no two servers own the same shard by valid rights.

    Parameters
    ----------
    nodes : iterable of (str, ControlNode, float)
        Name, node and reading of the node's clock, all at one moment.

    Returns
    -------
    int
        Number of shards for which some node has a right.
    """
    owners: dict[tuple[BlockId, int], tuple[ServerName, str]] = {}
    for name, node, now in nodes:
        for unit, owner in list_rights(node, now):
            known, holder = owners.setdefault(unit, (owner, name))
            assert known == owner, (
                f"{unit} has two owners: {known} at {holder}, {owner} at {name}"
            )
    return len(owners)


def assert_acknowledged_writes_kept(
    history: Iterable[Entry], acknowledged: Iterable[str]
) -> None:
    """Check that block documents form one chain that holds all acknowledged writes.

    Parameters
    ----------
    history : iterable of Entry
        Every write that took effect, oldest first.
    acknowledged : iterable of str
        Write identities that were reported as having taken effect.
    """
    generations: dict[BlockId, int] = {}
    written = set()
    for entry in history:
        block = parse_block_key(entry.key)
        if block is None:
            continue
        document = BlockDocument.decode(entry.value)
        expected = generations.get(block, 0) + 1
        assert document.generation == expected, (
            f"{block} went from generation {expected - 1} to {document.generation}"
        )
        generations[block] = document.generation
        written.add(document.write_id)
    lost = set(acknowledged) - written
    assert not lost, f"acknowledged writes are missing: {lost}"


@define
class RevisionCheck:
    """Checks that what a process knows never goes back."""

    _revisions: dict[tuple[str, str], int] = field(factory=dict)

    def check(self, process: str, node: ControlNode) -> None:
        """Compare a node with its previous state.

        Parameters
        ----------
        process : str
            Identity of the process; a restarted one has a new identity.
        node : ControlNode
            The node.
        """
        configuration = node.configuration
        found = {"": configuration.revision}
        for block, stored in configuration.blocks.items():
            found[f"block {block}"] = stored.document.generation
        for key, value in found.items():
            known = self._revisions.get((process, key), 0)
            assert value >= known, f"{process} went back from {known} to {value}: {key}"
            self._revisions[process, key] = value
