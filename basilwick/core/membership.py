"""Instances known from heartbeats and from summaries of other data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from basilwick.core.messages import MemberSummary
from basilwick.core.routing import Peer
from basilwick.core.timing import SUMMARY_INTERVAL_S, SUSPECT_AFTER_S

if TYPE_CHECKING:
    from basilwick.core.messages import Heartbeat, Summary
    from basilwick.core.types import DataCentreName, InstanceName, MonotonicSeconds

__all__ = ["Member", "Membership"]

#: Members of other data centres are reported each SUMMARY_INTERVAL_S over two hops;
#: four lost reports in a row count as a loss.
REMOTE_SUSPECT_AFTER_S = SUSPECT_AFTER_S + 4 * SUMMARY_INTERVAL_S
#: A silent member is removed, and no longer contacted, after this long.
REMOVE_AFTER_S = 60.0


@define
class Member:
    """What is known of another instance.

    Attributes
    ----------
    peer : Peer
        Identity and forward address.
    peer_address : str
        Address for control traffic.
    heard_at : float
        Local time of the newest sign of life.
    ready, leaving : bool
        State that it reported.
    successor : str
        Instance that takes over its operations.
    schema_max : int
        Highest record schema that it reads.
    is_direct : bool
        Whether the newest sign of life was a heartbeat to this instance.
    """

    peer: Peer
    peer_address: str
    heard_at: float
    ready: bool = False
    leaving: bool = False
    successor: str = ""
    schema_max: int = 2
    is_direct: bool = False


class Membership:
    """Members of all data centres except the own instance.

    Parameters
    ----------
    self_peer : Peer
        The own instance.
    """

    def __init__(self, self_peer: Peer):
        self._self = self_peer
        self._members: dict[InstanceName, Member] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: MonotonicSeconds) -> None:
        """Note a sign of life of an instance of the own data centre."""
        self._members[heartbeat.instance] = Member(
            peer=Peer(
                heartbeat.instance,
                heartbeat.incarnation,
                heartbeat.data_centre,
                heartbeat.forward_address,
            ),
            peer_address=heartbeat.peer_address,
            heard_at=now,
            ready=heartbeat.ready,
            leaving=heartbeat.leaving,
            successor=heartbeat.successor,
            schema_max=heartbeat.schema_max,
            is_direct=True,
        )

    def record_summary(self, summary: Summary, now: MonotonicSeconds) -> None:
        """Update the members about which a summary has newer reports."""
        for line in summary.members:
            if line.instance != self._self.name:
                self._record_line(line, now - line.silent_for)

    def _record_line(self, line: MemberSummary, heard_at: MonotonicSeconds) -> None:
        known = self._members.get(line.instance)
        if known is not None and known.heard_at >= heard_at:
            return
        # Own heartbeats decide about liveness in the own data centre; a report only
        # makes an instance known, so that heartbeats to it can start.
        if known is not None and known.is_direct:
            return
        self._members[line.instance] = Member(
            peer=Peer(
                line.instance, line.incarnation, line.data_centre, line.forward_address
            ),
            peer_address=line.peer_address,
            heard_at=heard_at,
            ready=line.ready,
            leaving=line.leaving,
            successor=line.successor,
            schema_max=line.schema_max,
        )

    def remove_silent(self, now: MonotonicSeconds) -> None:
        """Remove members that have been silent for REMOVE_AFTER_S."""
        self._members = {
            name: member
            for name, member in self._members.items()
            if now - member.heard_at < REMOVE_AFTER_S
        }

    def get_member(self, name: InstanceName) -> Member | None:
        """Return what is known of an instance, live or not."""
        return self._members.get(name)

    def is_live(self, member: Member, now: MonotonicSeconds) -> bool:
        """Return whether a member is not suspected."""
        if member.peer.data_centre == self._self.data_centre:
            return member.is_direct and now - member.heard_at <= SUSPECT_AFTER_S
        return now - member.heard_at <= REMOTE_SUSPECT_AFTER_S

    def list_live(
        self, now: MonotonicSeconds, data_centre: DataCentreName | None = None
    ) -> list[Member]:
        """Return the live members of a data centre, or of all."""
        return [
            member
            for member in self._members.values()
            if data_centre in (None, member.peer.data_centre)
            and self.is_live(member, now)
        ]

    def list_known(self, data_centre: DataCentreName) -> list[Member]:
        """Return the members of a data centre, suspected ones included."""
        return [
            member
            for member in self._members.values()
            if member.peer.data_centre == data_centre
        ]

    def summarize(
        self, now: MonotonicSeconds, data_centre: DataCentreName | None = None
    ) -> tuple[MemberSummary, ...]:
        """Return the live members of a data centre, or of all, for a summary."""
        return tuple(
            MemberSummary(
                instance=member.peer.name,
                incarnation=member.peer.incarnation,
                data_centre=member.peer.data_centre,
                peer_address=member.peer_address,
                forward_address=member.peer.forward_address,
                ready=member.ready,
                leaving=member.leaving,
                silent_for=now - member.heard_at,
                successor=member.successor,
                schema_max=member.schema_max,
            )
            for member in self.list_live(now, data_centre)
        )
