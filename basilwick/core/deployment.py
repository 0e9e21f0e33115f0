"""Where an instance runs and which bounds its site sets."""

from __future__ import annotations

from attrs import define, frozen

__all__ = ["Deployment", "SiteBounds"]


@frozen
class SiteBounds:
    """Bounds that the operators of a site set; times in seconds.

    Attributes
    ----------
    drain_timeout_s : float
        Time after which a leaving server gets no request.
    grace_period_s : float
        Time between the signal to stop and the kill of a process.
    retry_budget_ratio, retry_budget_slack, retry_budget_window_s : float
        Additional sends per request, besides, and the window in which they count.
    max_hold_s : float
        Longest hold of a grant.
    """

    drain_timeout_s: float = 2.0
    grace_period_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 60.0
    retry_budget_window_s: float = 10.0
    max_hold_s: float = 10.0


@define
class Deployment:
    """Identity, addresses and surroundings of one instance.

    Attributes
    ----------
    regions : dict of str to str
        Region of each data centre.
    caller_address, ready_address, link_address, metrics_address, platform_address : str
        IP number and port.
    heartbeat_interval_s : float
        Interval in seconds between the registrations of a server.
    cores : float
        Processor cores of the instance, 0 if not known.
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
