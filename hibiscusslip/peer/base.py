"""Define the interfaces for calls to and from other entry hosts."""

import abc

from hibiscusslip.model import places
from hibiscusslip.peer import messages


class Handler(abc.ABC):
    """Handle the calls of other entry hosts."""

    @abc.abstractmethod
    async def handle(
        self, sender: places.HostId, body: messages.PeerMessage
    ) -> messages.PeerMessage:
        """Return the reply to a call; must not raise."""

    async def handle_traced(
        self, sender: places.HostId, body: messages.PeerMessage, trace: str
    ) -> messages.PeerMessage:
        """Return the reply to a call; must not raise.

        `trace` is the caller's W3C traceparent or empty.
        """
        return await self.handle(sender, body)


class Peers(abc.ABC):
    """Call other entry hosts by name."""

    @abc.abstractmethod
    async def call(
        self,
        host: str,
        body: messages.PeerMessage,
        timeout: float,
        *,
        incarnation: str = '',
        trace: str = '',
    ) -> messages.PeerMessage:
        """Send a call and return the reply.

        `incarnation`, when set, must be the one that `host` runs; `trace`
        is a W3C traceparent or empty; `timeout` is in seconds.
        Raises PeerUnreachable, PeerUnsettled or PeerRefused.
        """

    @abc.abstractmethod
    def set_address(self, host: str, address: str, port: int) -> None:
        """Set the address of a host; links are opened on demand."""

    @abc.abstractmethod
    def incarnation_of(self, host: str) -> str:
        """Return the incarnation of a linked host, or an empty string."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all links."""
