"""Call peer hosts, and this host through the same interface."""

from hibiscusslip.model import places
from hibiscusslip.peer import base
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages


class LocalPeers(base.Peers):
    """Dispatch calls to this host directly to its own handler."""

    def __init__(self, me: places.HostId, remote_peers: base.Peers) -> None:
        self._me = me
        self._remote_peers = remote_peers
        self._handler: base.Handler | None = None

    def set_handler(self, handler: base.Handler) -> None:
        """Set the handler of calls to this host."""
        self._handler = handler

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

        A call to this host skips the network and its timeout.
        """
        if host == self._me.name and self._handler is not None:
            reply = await self._handler.handle(self._me, body)
            if isinstance(reply, messages.Refusal):
                raise exceptions.PeerRefused(
                    reply.kind, reply.detail, reply.retry_after, reply.nearest
                )
            return reply
        return await self._remote_peers.call(
            host, body, timeout, incarnation=incarnation, trace=trace
        )

    def set_address(self, host: str, address: str, port: int) -> None:
        """Set the address at which a host listens."""
        self._remote_peers.set_address(host, address, port)

    def incarnation_of(self, host: str) -> str:
        """Return the incarnation of a linked host, or '' without a link."""
        if host == self._me.name:
            return self._me.incarnation
        return self._remote_peers.incarnation_of(host)

    async def close(self) -> None:
        """Close all links to other hosts."""
        await self._remote_peers.close()
