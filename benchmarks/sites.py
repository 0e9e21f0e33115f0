"""Sizes of the sites that are measured."""

from __future__ import annotations

from attrs import frozen

__all__ = ["HINOKUNI", "VARAL", "ServiceSpec", "SiteSpec"]


@frozen
class ServiceSpec:
    """A service and its backend servers in all data centres together."""

    name: str
    servers: int
    slots: int
    connections: int
    service_time_ms: float = 2.0
    keys: int = 2000

    def list_keys(self) -> list[str]:
        """Return the keys that callers ask for."""
        return [f"{self.name}-{number}" for number in range(self.keys)]


@frozen
class SiteSpec:
    """What a site consists of.

    Attributes
    ----------
    client_delay_ms : float
        One-way delay between callers and instances.
    checks_grants : bool
        Whether the servers check grants and report their clock.
    baselines : int
        Number of plain routers that run beside the instances.
    not_simulated : tuple of str
        Differences from the user's site, for the report.
    """

    data_centres: int
    instances_per_data_centre: int
    services: tuple[ServiceSpec, ...]
    client_delay_ms: float = 0.0
    checks_grants: bool = False
    baselines: int = 0
    not_simulated: tuple[str, ...] = ("delay between data centres",)


HINOKUNI = SiteSpec(
    data_centres=3,
    instances_per_data_centre=4,
    services=(
        ServiceSpec("clue", 20, 4, 120),
        ServiceSpec("redemption", 7, 4, 120),
        ServiceSpec("packs", 6, 4, 120),
    ),
    client_delay_ms=8.0,
)
VARAL = SiteSpec(
    data_centres=4,
    instances_per_data_centre=3,
    services=(
        ServiceSpec("catalogue", 20, 2, 130),
        ServiceSpec("cutting", 10, 2, 130),
        ServiceSpec("stock", 8, 2, 130),
    ),
    client_delay_ms=3.0,
)
