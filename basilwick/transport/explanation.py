"""Why a key is served where it is, as JSON data for operators."""

from __future__ import annotations

from math import isinf
from typing import TYPE_CHECKING, Any

from attrs import asdict

from basilwick.core.errors import ErrorKind, Refusal, make_refusal

if TYPE_CHECKING:
    from basilwick.core.routing import Location, RoutingView
    from basilwick.core.types import MonotonicSeconds, ServiceName

__all__ = ["explain_key"]


def explain_key(
    routing: RoutingView, service: ServiceName, key: str, now: MonotonicSeconds
) -> dict[str, Any] | Refusal:
    """Return where requests for a key go from here and what they would wait for.

    Returns
    -------
    dict or Refusal
        Location, owner, gateway and permission, or why the service is not known.
    """
    record = routing.get_service(service)
    if record is None:
        return make_refusal(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}")
    location = routing.locate(record, key, now)
    if isinstance(location, Refusal):
        return {
            "service": service,
            "key": key,
            "refusal": {
                "error": location.kind,
                "message": location.message,
                "remedy": location.remedy,
            },
        }
    permission_end = routing.get_permission_end(
        location.block, location.generation, now
    )
    return {
        "service": service,
        "key": key,
        "key_hash": f"{location.key_hash:016x}",
        "shard": location.shard,
        "block": location.block[1],
        "home": location.home,
        "generation": location.generation,
        "fence": location.fence,
        "owner": None if location.owner is None else asdict(location.owner),
        "gateway": None if location.gateway is None else asdict(location.gateway),
        "permission_left_s": round(max(0.0, permission_end - now), 3),
        "waits": _list_waits(routing, location, permission_end, now),
    }


def _list_waits(
    routing: RoutingView,
    location: Location,
    permission_end: MonotonicSeconds,
    now: MonotonicSeconds,
) -> list[str]:
    waits = []
    if location.owner is None:
        waits.append("the shard has no live owner yet")
    if isinf(location.active_at):
        waits.append("a majority of witnesses does not know the generation yet")
    elif location.active_at > now:
        waits.append(f"the owner becomes active in {location.active_at - now:.2f} s")
    if location.gateway is None:
        waits.append(f"no live instance of {location.home!r} is known")
    elif location.gateway.name == routing.self_peer.name and permission_end <= now:
        waits.append("this instance has no permission to send for the block")
    return waits
