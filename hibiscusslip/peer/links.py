"""Call other entry hosts over links that are opened on demand."""

import dataclasses
import random
import time

import curio

from hibiscusslip.model import places
from hibiscusslip.peer import _backoff
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import _link
from hibiscusslip.peer import base
from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits
from hibiscusslip.peer import messages


@dataclasses.dataclass(slots=True, eq=False)
class _Peer:
    host: str
    address: str
    port: int
    backoff: _backoff.Backoff
    link: _link.Link | None = None
    dialling: curio.Event | None = None
    failure: str = ''
    refused: bool = False


class PeerLinks(base.Peers):
    """Maintain at most one link to each host that is called.

    Idle links are closed, so that the number of open links grows with the
    hosts that are called and not with the fleet.
    """

    def __init__(
        self,
        me: places.HostId,
        info: hello.HelloInfo,
        keys: hello.Keys,
        lim: limits.Limits | None = None,
        rng: random.Random | None = None,
    ):
        self._party = _handshake.HandshakeParty(me, info, keys)
        self._limits = lim or limits.Limits()
        self._rng = rng or random.Random()
        self._peers: dict[str, _Peer] = {}
        self._links: set[_link.Link] = set()
        self._tasks: set[curio.Task] = set()
        self._sweeper: curio.Task | None = None
        self._closed = False
        self.counts = counts.Counts()

    def set_address(self, host: str, address: str, port: int) -> None:
        """Set the address of a host.

        A changed address resets the backoff, and new calls no longer use
        the old link; calls that wait on it may still get their reply.
        """
        peer = self._peers.get(host)
        if peer is not None and (peer.address, peer.port) == (address, port):
            return
        backoff = _backoff.Backoff(self._limits, self._rng)
        self._peers[host] = _Peer(host, address, port, backoff)

    def remove_host(self, host: str) -> None:
        """Remove the address of a host; new calls to it are unreachable."""
        self._peers.pop(host, None)

    def set_keys(self, keys: hello.Keys) -> None:
        """Replace the shared keys; open links aren't affected."""
        self._party.keys = keys

    def incarnation_of(self, host: str) -> str:
        """Return the incarnation of a linked host, or an empty string."""
        link = self._get_open_link(host)
        return link.peer.incarnation if link else ''

    def info_of(self, host: str) -> hello.HelloInfo | None:
        """Return the description of a linked host, None if not linked."""
        link = self._get_open_link(host)
        return link.info if link else None

    def linked_hosts(self) -> list[str]:
        """Return the names of the hosts with an open link."""
        return [host for host in self._peers if self._get_open_link(host)]

    def _get_open_link(self, host: str) -> _link.Link | None:
        peer = self._peers.get(host)
        if peer is None or peer.link is None or peer.link.closed:
            return None
        return peer.link

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

        Opens a link first if there is none, within `timeout` seconds for
        both. `incarnation`, when set, must be the one that `host` runs.
        Raises PeerUnreachable, PeerUnsettled or PeerRefused.
        """
        started = time.monotonic()
        link = self._get_open_link(host)
        if link is None:
            link = await self._dial_and_wait(host, timeout)
        if incarnation and link.peer.incarnation != incarnation:
            raise exceptions.PeerUnreachable(
                f'{host}#{incarnation} has been replaced by {link.peer};'
                ' look up the owner again'
            )
        remaining = timeout - (time.monotonic() - started)
        return await link.call(body, remaining, trace)

    async def _dial_and_wait(self, host: str, timeout: float) -> _link.Link:
        peer = self._require_peer(host)
        if peer.dialling is None:
            self._check_backoff(peer)
            peer.dialling = curio.Event()
            await self._spawn(self._dial(peer))
        try:
            async with curio.timeout_after(timeout):
                await peer.dialling.wait()
        except curio.TaskTimeout:
            raise exceptions.PeerUnreachable(
                f'{host}: no link within {timeout:g} s; nothing was sent,'
                ' try again'
            ) from None
        return self._dialled_link(peer)

    def _require_peer(self, host: str) -> _Peer:
        if self._closed:
            raise exceptions.PeerUnreachable(
                f'{host}: this host has closed its links'
            )
        peer = self._peers.get(host)
        if peer is None:
            raise exceptions.PeerUnreachable(
                f'{host}: its address is unknown; wait for the host list or'
                ' for a heartbeat that names it'
            )
        return peer

    def _check_backoff(self, peer: _Peer) -> None:
        delay = peer.backoff.remaining(time.monotonic())
        if delay > 0:
            raise self._dial_error(peer, f', next attempt in {delay:.2f} s')

    def _dial_error(
        self, peer: _Peer, suffix: str = ''
    ) -> exceptions.PeerUnreachable:
        kind = exceptions.PeerUnreachable
        if peer.refused:
            kind = exceptions.HelloRefused
        return kind(f'{peer.host}: {peer.failure}{suffix}')

    def _dialled_link(self, peer: _Peer) -> _link.Link:
        if peer.link is None or peer.link.closed:
            raise self._dial_error(peer)
        return peer.link

    async def _dial(self, peer: _Peer) -> None:
        done = peer.dialling
        assert done is not None
        link = None
        try:
            link = await self._connect(peer)
        finally:
            peer.dialling = None
            await done.set()
        if link is not None:
            await self._run_link(peer, link)

    async def _connect(self, peer: _Peer) -> _link.Link | None:
        peer.refused = False
        try:
            peer.link = await _link.connect(
                self._party,
                peer.host,
                peer.address,
                peer.port,
                self._limits,
                self.counts,
            )
        except exceptions.HelloRefused as exc:
            peer.refused = True
            self.counts.hellos_refused += 1
            self._record_failure(peer, str(exc))
        except (OSError, curio.TaskTimeout, exceptions.PeerError) as exc:
            self._record_failure(peer, f'opening a link failed: {exc!r}')
        else:
            peer.backoff.reset()
            self.counts.links_made += 1
            return peer.link
        return None

    def _record_failure(self, peer: _Peer, failure: str) -> None:
        peer.failure = failure
        peer.backoff.record_failure(time.monotonic())

    async def _run_link(self, peer: _Peer, link: _link.Link) -> None:
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)
            self.counts.links_lost += 1
            if peer.link is link:
                peer.link = None
            peer.failure = 'the link was lost; try again'

    async def _spawn(self, coro) -> None:
        if self._sweeper is None:
            self._sweeper = await curio.spawn(
                self._close_idle_links(), daemon=True
            )
        task = await curio.spawn(self._run_task(coro), daemon=True)
        self._tasks.add(task)

    async def _run_task(self, coro) -> None:
        try:
            await coro
        finally:
            self._tasks.discard(await curio.current_task())

    async def _close_idle_links(self) -> None:
        while True:
            await curio.sleep(self._limits.idle_timeout / 4)
            cutoff = time.monotonic() - self._limits.idle_timeout
            for link in list(self._links):
                if link.last_used < cutoff and not link.pending:
                    await link.request_close()

    async def close(self) -> None:
        """Close all links; calls in flight raise PeerUnsettled."""
        self._closed = True
        tasks = list(self._tasks)
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            await task.cancel()
        self._tasks.clear()
