"""How evenly the servers of a service are loaded, by what they state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from basilwick.core.dispatch.dispatcher import Dispatcher
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds, ServiceName

__all__ = ["LoadSpread", "measure_load_spread"]

#: Age in seconds up to which a server's mean utilization counts.
_MAX_AGE_S = 10.0


@frozen
class LoadSpread:
    """Ages of the newest reports of a service's servers, and the spread of their load.

    Attributes
    ----------
    report_ages_s : list of float
        Age in seconds of the newest report of each server that has stated its load.
    busiest_to_mean : float or None
        Utilization of the busiest server divided by the mean, over several seconds.
        None if the servers are idle or fewer than two have stated their load lately.
    """

    report_ages_s: list[float]
    busiest_to_mean: float | None


def measure_load_spread(
    view: SiteView, dispatcher: Dispatcher, service: ServiceName, now: MonotonicSeconds
) -> LoadSpread:
    """Return the spread of the load of a service's servers that a dispatcher knows."""
    ages_s = []
    utilizations = []
    for server in view.list_servers(service):
        stated = dispatcher.get_load(server.name).stated
        if stated.report is None:
            continue
        age_s = stated.get_age_s(now)
        ages_s.append(age_s)
        if age_s <= _MAX_AGE_S:
            utilizations.append(stated.mean_utilization)
    busiest_to_mean = None
    if len(utilizations) > 1 and any(utilizations):
        mean = sum(utilizations) / len(utilizations)
        busiest_to_mean = max(utilizations) / mean
    return LoadSpread(ages_s, busiest_to_mean)
