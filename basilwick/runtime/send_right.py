"""Right to send a request to the owner of its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from basilwick.core.errors import ErrorKind, Refusal, make_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.records import ServiceRecord
    from basilwick.core.routing import Location, RoutingView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.transport.exchange import Request

__all__ = ["SendRight"]


@define(eq=False)
class SendRight:
    """Right to send one request, tested immediately before each send.

    Attributes
    ----------
    view : RoutingView
        Control decisions.
    clock : callable
        Local monotonic clock in seconds.
    request, service, location
        Request, record of its service, and where it was to be sent.
    ends_at : float
        End of the permission seen last.
    moved : bool
        Whether the location had changed when the request was to be sent.
    """

    view: RoutingView
    clock: Callable[[], MonotonicSeconds]
    request: Request
    service: ServiceRecord
    location: Location
    ends_at: MonotonicSeconds = 0.0
    moved: bool = False

    def authorize(self) -> bytes | Refusal:
        """Return the header fields that state the right, or why there is none."""
        request = self.request
        now = self.clock()
        if now >= request.deadline:
            return make_refusal(
                ErrorKind.DEADLINE_EXCEEDED, "the deadline passed in the queue"
            )
        location = self.view.locate(self.service, request.key, now)
        if isinstance(location, Refusal):
            return location
        if not self._matches(location, now):
            self.moved = True
            return make_refusal(
                ErrorKind.NO_OWNER, "the shard moved while the request waited"
            )
        end = self.view.get_permission_end(location.block, location.generation, now)
        if end <= now:
            return make_refusal(
                ErrorKind.NO_PERMISSION,
                f"generation {location.generation} of block {location.block} "
                f"is not confirmed",
            )
        self.ends_at = end
        return self._encode(location, now)

    def keep_sending(self) -> bool:
        """Return whether another piece of a body may be sent.

        A permission that was seen stays good until its end, also after the shard
        moved: the new owner waits for that time.
        """
        now = self.clock()
        location = self.view.locate(self.service, self.request.key, now)
        if not isinstance(location, Refusal) and self._matches(location, now):
            end = self.view.get_permission_end(location.block, location.generation, now)
            self.ends_at = max(self.ends_at, end)
        return now < self.ends_at

    def _matches(self, location: Location, now: MonotonicSeconds) -> bool:
        owner = location.owner
        return (
            owner is not None
            and owner.name == self.location.owner.name
            and location.fence == self.location.fence
            and location.active_at <= now
        )

    def _encode(self, location: Location, now: MonotonicSeconds) -> bytes:
        request = self.request
        remaining_ms = max(1, int((request.deadline - now) * 1000))
        fields = (
            f"Basilwick-Shard: {location.block[0]}/{location.shard}\r\n"
            f"Basilwick-Fence: {location.fence}\r\n"
            f"Basilwick-Deadline-Ms: {remaining_ms}\r\n"
        )
        expiry = self.view.map_to_server_clock(
            location.owner.name, min(self.ends_at, request.deadline)
        )
        if expiry is not None:
            fields += f"Basilwick-Expires-At: {int(expiry)}\r\n"
        if request.token is not None:
            fields += f"Basilwick-Token: {request.token}\r\n"
        return fields.encode("latin-1")
