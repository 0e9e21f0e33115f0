"""HTTP client for the admin port of an instance."""

from __future__ import annotations

import asyncio
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import frozen
from click import BadParameter, File, option
from orjson import loads

from basilwick.cli.errors import CommandError, ExitCode
from basilwick.core.validation import split_address

if TYPE_CHECKING:
    from collections.abc import Callable
    from io import TextIOBase

    from click import Context, Parameter

__all__ = ["AdminClient", "admin_options"]

F = TypeVar("F", bound="Callable[..., Any]")

# Exceeds the time for which an instance retries calls to a slow platform.
_TIMEOUT_S = 20.0
_EXIT_CODES_BY_STATUS = {
    400: ExitCode.INVALID,
    401: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
    503: ExitCode.UNAVAILABLE,
}


@frozen
class AdminClient:
    """Client of the admin port of one instance.

    Attributes
    ----------
    address : str
        IP number and port.
    key : str
        Shared key, empty for none.
    """

    address: str
    key: str = ""

    def call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> dict[str, Any]:
        """Make one call and return the decoded answer.

        Raises
        ------
        CommandError
            With the exit code for the status of the answer, or ``UNAVAILABLE`` if
            there is no usable answer.
        """
        return asyncio.run(self._call(method, path, params, data))

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None,
        data: bytes | None,
    ) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        try:
            async with (
                ClientSession(timeout=ClientTimeout(total=_TIMEOUT_S)) as session,
                session.request(
                    method,
                    f"http://{self.address}{path}",
                    params=params,
                    data=data,
                    headers=headers,
                ) as response,
            ):
                status, body = response.status, await response.read()
            answer = loads(body)
        except (ClientError, TimeoutError, ValueError) as error:
            raise CommandError(
                f"admin port {self.address} gave no usable answer ({error!r}); try "
                f"another instance",
                ExitCode.UNAVAILABLE,
            ) from error
        if status != 200:
            raise _build_error(status, answer)
        return answer


def _build_error(status: int, answer: dict[str, Any]) -> CommandError:
    lines = [f"{answer.get('message')}; remedy: {answer.get('remedy')}"]
    lines += [f"  {line}" for line in answer.get("diff", ())]
    code = _EXIT_CODES_BY_STATUS.get(status, ExitCode.FAILED)
    return CommandError("\n".join(lines), code, answer)


def admin_options(function: F) -> F:
    """Add the options for the admin port to call and the shared key."""
    function = option(
        "--admin",
        required=True,
        envvar="BASILWICK_ADMIN",
        callback=_build_client,
        help="IP number and port of an instance's admin port [env BASILWICK_ADMIN].",
    )(function)
    return option(
        "--key-file",
        type=File(),
        envvar="BASILWICK_KEY_FILE",
        is_eager=True,
        help="File with the shared key [env BASILWICK_KEY_FILE].",
    )(function)


def _build_client(ctx: Context, _: Parameter, value: str) -> AdminClient:
    try:
        host, _port = split_address(value)
        ip_address(host)
    except ValueError as error:
        raise BadParameter(f"got {value!r}; allowed: IP number and port") from error
    file: TextIOBase | None = ctx.params.pop("key_file", None)
    return AdminClient(value, file.read().strip() if file is not None else "")
