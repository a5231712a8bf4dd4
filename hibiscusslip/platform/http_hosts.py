"""Read the platform's host list over HTTP."""

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import wire

CONNECTIONS = 2
DEFAULT_TIMEOUT_S = 5.0


class HttpHostList(base.HostList):
    """Read the host list from the server at one address.

    `timeout` bounds each request, in seconds.
    """

    def __init__(
        self,
        address: str,
        port: int,
        timeout: float = DEFAULT_TIMEOUT_S,
        bounds: limits.Limits = limits.DEFAULT,
    ) -> None:
        self._timeout = timeout
        self._pool = client.Pool(address, port, bounds, CONNECTIONS)

    async def fetch(self) -> base.HostListing:
        """Return the platform's current list.

        Raises PlatformError if the list can't be read.
        """
        try:
            response = await self._pool.call(
                'GET', wire.HOSTS_PATH, timeout=self._timeout
            )
        except http_exceptions.HttpError as exc:
            raise exceptions.PlatformError(str(exc)) from exc
        if response.status != wire.STATUS_OK:
            raise exceptions.PlatformError(
                f'the host list answered {response.status}; try again later'
            )
        return wire.decode(response.body, wire.HostsReply).listing()

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()
