"""Identity and addresses of an instance, and the limits set for its site."""

from __future__ import annotations

from attrs import define, frozen

__all__ = ["Deployment", "SiteBounds"]


@frozen
class SiteBounds:
    """Limits that the operators set for a site; times in seconds.

    Attributes
    ----------
    drain_timeout_s : float
        Time after which a leaving server gets no more requests.
    grace_period_s : float
        Time between the stop signal and the kill of a process.
    retry_budget_ratio : float
        Additional sends allowed per request.
    retry_budget_slack : float
        Additional sends allowed in a window regardless of its requests.
    retry_budget_window_s : float
        Length of the sliding window in which sends are counted.
    max_grant_ttl_s : float
        Longest time to live of a grant.
    """

    drain_timeout_s: float = 2.0
    grace_period_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 60.0
    retry_budget_window_s: float = 10.0
    max_grant_ttl_s: float = 10.0


@define
class Deployment:
    """Identity, addresses and environment of one instance.

    Attributes
    ----------
    regions : dict of str to str
        Region of each data centre.
    caller_address, ready_address, link_address, metrics_address, platform_address : str
        IP address and port.
    heartbeat_interval_s : float
        Interval in seconds between the registrations of a server.
    cores : float
        CPU cores available to the instance, 0 if not known.
    memory_bytes : int
        Memory available to the instance, 0 if not known.
    descriptors : int
        File descriptors available to the instance, 0 if not known.
    priority_floor : float
        Share of a service's slots that each priority gets while it has requests, at a
        site with bulk routes.
    link_mbps : float
        Rate of the machine's network link in Mbit/s, 0 if not known.
    """

    instance: str
    data_centre: str
    regions: dict[str, str]
    caller_address: str
    ready_address: str
    link_address: str
    metrics_address: str
    platform_address: str
    heartbeat_interval_s: float = 1.0
    bounds: SiteBounds = SiteBounds()
    cores: float = 0.0
    memory_bytes: int = 0
    descriptors: int = 0
    priority_floor: float = 0.1
    link_mbps: float = 0.0
