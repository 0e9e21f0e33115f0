"""Applies the items that operators and servers write to an instance's view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from basilwick.platform.decoding import (
    CONFIGURATION_KEY,
    DATA_CENTRE_OUT_PREFIX,
    SERVERS_PREFIX,
    ConfigurationDecoder,
    UnreadableEntryError,
    decode_server,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilwick.core.dispatch.known_items import ItemVersion
    from basilwick.core.dispatch.site import SiteView
    from basilwick.core.types import MonotonicSeconds
    from basilwick.metrics import FleetMetrics

__all__ = ["ItemApplier"]

#: Maximum number of faults logged per configuration; the metric counts all.
_MAX_LOGGED_FAULTS = 20


class ItemApplier:
    """Decodes items and applies them to a view; unreadable ones are passed over.

    Parameters
    ----------
    view : SiteView
        View to change.
    clock : callable
        Local clock in seconds.
    metrics : FleetMetrics
        Reports the version and the unusable resources of the configuration.
    """

    def __init__(
        self,
        view: SiteView,
        clock: Callable[[], MonotonicSeconds],
        metrics: FleetMetrics,
    ):
        self._view = view
        self._clock = clock
        self._metrics = metrics
        self._decoder = ConfigurationDecoder()

    def apply(self, item: ItemVersion) -> None:
        """Apply a new version of an item."""
        try:
            if item.key == CONFIGURATION_KEY:
                self._apply_configuration(item)
            elif item.key.startswith(SERVERS_PREFIX):
                self._apply_server(item)
            elif item.key.startswith(DATA_CENTRE_OUT_PREFIX):
                self._apply_data_centre_out(item)
        except UnreadableEntryError as error:
            logger.bind(
                key=item.key, revision=item.revision, reason=str(error)
            ).warning("passed over an unreadable entry")

    def retain_listed(self, keys: set[str]) -> None:
        """Remove what is missing from a complete listing."""
        now = self._clock()
        self._view.retain_servers(_list_names(keys, SERVERS_PREFIX), now)
        out = _list_names(keys, DATA_CENTRE_OUT_PREFIX)
        self._view.retain_data_centres_out(out, now)

    def _apply_configuration(self, item: ItemVersion) -> None:
        if item.value is None:
            return
        decoded = self._decoder.decode(item.value, self._view.configuration)
        configuration = decoded.configuration
        if self._view.apply_configuration(configuration):
            self._metrics.configuration_version.set(configuration.version)
            self._metrics.unusable_resources.set(len(decoded.faults))
            for fault in decoded.faults[:_MAX_LOGGED_FAULTS]:
                logger.bind(version=configuration.version, reason=fault).warning(
                    "resource of the configuration is unusable as written"
                )
            logger.bind(
                version=configuration.version,
                revision=item.revision,
                routes=len(configuration.routes),
            ).info("configuration in force")

    def _apply_server(self, item: ItemVersion) -> None:
        name = item.key.removeprefix(SERVERS_PREFIX)
        now = self._clock()
        if item.value is None:
            self._view.remove_server(name, now)
            logger.bind(server=name, revision=item.revision).info("server left")
            return
        server = decode_server(name, item.value)
        if self._view.apply_server(server, now):
            logger.bind(
                server=name,
                service=server.service,
                leaving=server.leaving,
                warm_up_left_s=server.warm_up_left_s,
                revision=item.revision,
            ).info("server registered")

    def _apply_data_centre_out(self, item: ItemVersion) -> None:
        data_centre = item.key.removeprefix(DATA_CENTRE_OUT_PREFIX)
        out = item.value is not None
        self._view.set_data_centre_out(data_centre, out, self._clock())
        logger.bind(data_centre=data_centre, out=out, revision=item.revision).info(
            "data centre taken out" if out else "data centre taken back"
        )


def _list_names(keys: set[str], prefix: str) -> set[str]:
    return {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
