"""Grants and probes, sent to backend servers for the control decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.errors import Refusal
from basilwick.core.grants import GrantReply

if TYPE_CHECKING:
    from basilwick.core.configuration import Configuration
    from basilwick.core.grants import Grant
    from basilwick.transport.backend import BackendClient

__all__ = ["ServerCalls"]

#: A probe or grant without answer for this long counts as a failure. Shorter than the
#: time to notice a silent server, so that a second attempt fits into it.
_CALL_TIMEOUT_S = 0.25


class ServerCalls:
    """Carries out the calls to servers that the control decisions ask for.

    Parameters
    ----------
    backends : BackendClient
        Connections to backend servers, shared with the request path.
    configuration : Configuration
        Records of the servers.
    """

    def __init__(self, backends: BackendClient, configuration: Configuration):
        self._backends = backends
        self._configuration = configuration

    async def exchange_grant(
        self, server: str, grant: Grant | None
    ) -> GrantReply | None:
        """Send a grant, or read the present one; None when no answer came."""
        record = self._configuration.servers.get(server)
        if record is None:
            return None
        if grant is None:
            reply = await self._backends.get_grants(record, _CALL_TIMEOUT_S)
        else:
            reply = await self._backends.put_grants(
                record, grant.encode(), _CALL_TIMEOUT_S
            )
        if isinstance(reply, Refusal):
            return None
        return GrantReply(reply.clock_ms, reply.incarnation, reply.checks, reply.digest)

    async def probe(self, server: str) -> bool:
        """Return whether a server answers a request for its load report.

        Accepting a connection is not enough: the system accepts connections for a
        process that is frozen.
        """
        record = self._configuration.servers.get(server)
        if record is None:
            return True
        return await self._backends.probe(record, _CALL_TIMEOUT_S)
