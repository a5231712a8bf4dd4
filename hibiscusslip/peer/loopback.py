"""Provide calls between nodes of one process, without sockets."""

import curio

from hibiscusslip import codec
from hibiscusslip.model import places
from hibiscusslip.peer import base
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages


class LoopbackNetwork:
    """Store the nodes of one process and the network partitions.

    `partitions` has the pairs of names that can't reach each other.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, base.Handler] = {}
        self.hosts: dict[str, places.HostId] = {}
        self.partitions: set[frozenset[str]] = set()

    def attach(self, host: places.HostId, handler: base.Handler) -> None:
        """Make a node reachable; replaces its earlier incarnation."""
        self.hosts[host.name] = host
        self.handlers[host.name] = handler

    def detach(self, name: str) -> None:
        """Make a node unreachable, as after the end of its process."""
        self.hosts.pop(name, None)
        self.handlers.pop(name, None)

    def reachable(self, one: str, other: str) -> bool:
        """Return whether calls between two nodes are delivered."""
        attached = one in self.handlers and other in self.handlers
        return attached and frozenset((one, other)) not in self.partitions


class LoopbackPeers(base.Peers):
    """Call nodes of the same loopback network.

    Messages are encoded and decoded as they are for a real link.
    """

    def __init__(self, me: places.HostId, network: LoopbackNetwork) -> None:
        self._me = me
        self._network = network

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

        Raises PeerUnreachable, PeerUnsettled or PeerRefused.
        """
        if not self._network.reachable(self._me.name, host):
            raise exceptions.PeerUnreachable(f'{host} is not reachable')
        known = self._network.hosts[host].incarnation
        if incarnation and incarnation != known:
            raise exceptions.PeerUnreachable(f'{host} has restarted')
        handler = self._network.handlers[host]
        sent = codec.decode(codec.encode(body), messages.PeerMessage)
        try:
            async with curio.timeout_after(timeout):
                reply = await handler.handle(self._me, sent)
        except curio.TaskTimeout:
            raise exceptions.PeerUnsettled(
                f'{host} did not reply within {timeout:g} s; repeat the call'
                ' with the same id'
            ) from None
        if not self._network.reachable(self._me.name, host):
            raise exceptions.PeerUnsettled(
                f'{host} became unreachable; repeat the call with the same id'
            )
        if isinstance(reply, messages.Refusal):
            raise exceptions.PeerRefused(
                reply.kind, reply.detail, reply.retry_after, reply.nearest
            )
        return codec.decode(codec.encode(reply), messages.PeerMessage)

    def set_address(self, host: str, address: str, port: int) -> None:
        """Do nothing: nodes of a loopback network have no addresses."""

    def incarnation_of(self, host: str) -> str:
        """Return the incarnation of a node, or an empty string."""
        known = self._network.hosts.get(host)
        return known.incarnation if known else ''

    async def close(self) -> None:
        """Do nothing: there are no links."""
