"""When heartbeats and summaries are sent, to whom, and what they echo."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from basilwick.core.events import SendMessage
from basilwick.core.timing import HEARTBEAT_INTERVAL_S, SUMMARY_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from basilwick.core.messages import Heartbeat, Summary
    from basilwick.core.types import BlockId, Generation, MonotonicSeconds

__all__ = ["HeartbeatSchedule"]


@define
class _Contact:
    """Last state that the process at a peer address sent about itself and this one."""

    incarnation: str
    sent_at: float
    seen_version: int


class HeartbeatSchedule:
    """Addresses heartbeats and fills in what each receiver needs.

    Parameters
    ----------
    peer_address, incarnation : str
        Address and process of the own instance.
    """

    def __init__(self, peer_address: str, incarnation: str):
        self._address = peer_address
        self._incarnation = incarnation
        self._contacts: dict[str, _Contact] = {}
        self._next_at = 0.0
        self._next_summary_at = 0.0

    def record(self, heartbeat: Heartbeat) -> None:
        """Store what the next heartbeat to the sender has to echo."""
        known = self._contacts.get(heartbeat.peer_address)
        is_same = known is not None and known.incarnation == heartbeat.incarnation
        if is_same and heartbeat.sent_at <= known.sent_at:
            return
        # A version counts only if the sender received it from this incarnation.
        hears_us = heartbeat.echoed_incarnation == self._incarnation
        self._contacts[heartbeat.peer_address] = _Contact(
            heartbeat.incarnation,
            heartbeat.sent_at,
            heartbeat.generations_seen if hears_us else 0,
        )

    def is_due(self, now: MonotonicSeconds) -> bool:
        """Return whether heartbeats are to be sent now."""
        return now >= self._next_at

    def send(
        self,
        heartbeat: Heartbeat,
        generations: Mapping[BlockId, Generation],
        seen_versions: Mapping[str, int],
        targets: Iterable[str],
        now: MonotonicSeconds,
    ) -> list[SendMessage]:
        """Address a heartbeat to all targets.

        Parameters
        ----------
        heartbeat : Heartbeat
            Contents that are the same for all receivers.
        generations : mapping of (str, int) to int
            Own generation list, sent to receivers that don't hold this version yet.
        seen_versions : mapping of str to int
            Version of the list held from the process at each address.
        targets : iterable of str
            Peer addresses.
        now : float
            Local time.
        """
        self._next_at = now + HEARTBEAT_INTERVAL_S
        actions = []
        for address in sorted(set(targets)):
            if address == self._address:
                continue
            contact = self._contacts.get(address) or _Contact("", 0.0, 0)
            needs_list = contact.seen_version != heartbeat.generations_version > 0
            addressed = evolve(
                heartbeat,
                echoed_at=contact.sent_at,
                echoed_incarnation=contact.incarnation,
                generations=dict(generations) if needs_list else None,
                generations_seen=seen_versions.get(address, 0),
            )
            actions.append(SendMessage(address, addressed))
        return actions

    def get_incarnation(self, address: str) -> str:
        """Return the incarnation last received from an address, empty when none."""
        contact = self._contacts.get(address)
        return contact.incarnation if contact else ""

    def send_summary(
        self,
        summary: Summary,
        targets: Iterable[str],
        now: MonotonicSeconds,
        rng: Random,
    ) -> list[SendMessage]:
        """Address a summary to all targets when one is due."""
        if now < self._next_summary_at:
            return []
        self._next_summary_at = now + SUMMARY_INTERVAL_S * rng.uniform(0.9, 1.0)
        return [
            SendMessage(address, summary)
            for address in sorted(set(targets))
            if address != self._address
        ]
