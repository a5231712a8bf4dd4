"""Call other entry hosts over links that are made when needed."""

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
    """Keep at most one link to each host that is called.

    A link that isn't used is closed, so that the number of open links
    follows the hosts that are called, not the fleet.
    """

    def __init__(
        self,
        me: places.HostId,
        info: hello.HelloInfo,
        keys: hello.Keys,
        lim: limits.Limits | None = None,
        rng: random.Random | None = None,
    ):
        self._side = _handshake.Side(me, info, keys)
        self._limits = lim or limits.Limits()
        self._rng = rng or random.Random()
        self._peers: dict[str, _Peer] = {}
        self._links: set[_link.Link] = set()
        self._tasks: set[curio.Task] = set()
        self._sweeper: curio.Task | None = None
        self._closed = False
        self.counts = counts.Counts()

    def set_address(self, host: str, address: str, port: int) -> None:
        """Tell where a host listens.

        A changed address ends the backoff and the use of the old link;
        calls that wait on the old link may still be answered.
        """
        peer = self._peers.get(host)
        if peer is not None and (peer.address, peer.port) == (address, port):
            return
        backoff = _backoff.Backoff(self._limits, self._rng)
        self._peers[host] = _Peer(host, address, port, backoff)

    def remove_host(self, host: str) -> None:
        """Drop what is known of a host that is gone for good."""
        self._peers.pop(host, None)

    def set_keys(self, keys: hello.Keys) -> None:
        """Use other shared keys for the links made from now on."""
        self._side.keys = keys

    def incarnation_of(self, host: str) -> str:
        """Return the incarnation at the other end, empty if not linked."""
        link = self._open_link(host)
        return link.peer.incarnation if link else ''

    def info_of(self, host: str) -> hello.HelloInfo | None:
        """Return what the other end told of itself, None if not linked."""
        link = self._open_link(host)
        return link.info if link else None

    def linked(self) -> list[str]:
        """Return the hosts with an open link."""
        return [host for host in self._peers if self._open_link(host)]

    def _open_link(self, host: str) -> _link.Link | None:
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

        `incarnation`, when set, must be the one at the other end.
        Raises PeerUnreachable, PeerUnsettled or PeerRefused.
        """
        started = time.monotonic()
        link = self._open_link(host)
        if link is None:
            link = await self._link_to(host, timeout)
        if incarnation and link.peer.incarnation != incarnation:
            raise exceptions.PeerUnreachable(
                f'{host}#{incarnation} is gone, {link.peer} runs now; look'
                ' up the owner again'
            )
        left = timeout - (time.monotonic() - started)
        return await link.call(body, left, trace)

    async def _link_to(self, host: str, timeout: float) -> _link.Link:
        peer = self._known(host)
        if peer.dialling is None:
            self._check_backoff(peer)
            peer.dialling = curio.Event()
            await self._spawn(self._dial(peer))
        try:
            async with curio.timeout_after(timeout):
                await peer.dialling.wait()
        except curio.TaskTimeout:
            raise exceptions.PeerUnreachable(
                f'{host}: no link in time; nothing was sent, try again'
            ) from None
        return self._dialled(peer)

    def _known(self, host: str) -> _Peer:
        if self._closed:
            raise exceptions.PeerUnreachable('this host is closing its links')
        peer = self._peers.get(host)
        if peer is None:
            raise exceptions.PeerUnreachable(
                f'{host}: no address is known; wait for the host list or a'
                ' heartbeat that names it'
            )
        return peer

    def _check_backoff(self, peer: _Peer) -> None:
        pause = peer.backoff.remaining(time.monotonic())
        if pause > 0:
            raise self._failed(peer, f', next attempt in {pause:.2f} s')

    def _failed(
        self, peer: _Peer, suffix: str = ''
    ) -> exceptions.PeerUnreachable:
        kind = exceptions.PeerUnreachable
        if peer.refused:
            kind = exceptions.HelloRefused
        return kind(f'{peer.host}: {peer.failure}{suffix}')

    def _dialled(self, peer: _Peer) -> _link.Link:
        if peer.link is None or peer.link.closed:
            raise self._failed(peer)
        return peer.link

    async def _dial(self, peer: _Peer) -> None:
        done = peer.dialling
        assert done is not None
        link = None
        try:
            link = await self._attempt(peer)
        finally:
            peer.dialling = None
            await done.set()
        if link is not None:
            await self._carry(peer, link)

    async def _attempt(self, peer: _Peer) -> _link.Link | None:
        peer.refused = False
        try:
            peer.link = await _link.connect(
                self._side,
                peer.host,
                peer.address,
                peer.port,
                self._limits,
                self.counts,
            )
        except exceptions.HelloRefused as exc:
            peer.refused = True
            self.counts.hellos_refused += 1
            self._note_failure(peer, str(exc))
        except (OSError, curio.TaskTimeout, exceptions.PeerError) as exc:
            self._note_failure(peer, f'no link: {exc!r}')
        else:
            peer.backoff.reset()
            self.counts.links_made += 1
            return peer.link
        return None

    def _note_failure(self, peer: _Peer, failure: str) -> None:
        peer.failure = failure
        peer.backoff.failed(time.monotonic())

    async def _carry(self, peer: _Peer, link: _link.Link) -> None:
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
            self._sweeper = await curio.spawn(self._sweep(), daemon=True)
        task = await curio.spawn(self._run_and_forget(coro), daemon=True)
        self._tasks.add(task)

    async def _run_and_forget(self, coro) -> None:
        try:
            await coro
        finally:
            self._tasks.discard(await curio.current_task())

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(self._limits.idle_timeout / 4)
            oldest = time.monotonic() - self._limits.idle_timeout
            for link in list(self._links):
                if link.last_used < oldest and not link.pending:
                    await link.shut()

    async def close(self) -> None:
        """Close all links; calls in flight become unsettled."""
        self._closed = True
        tasks = list(self._tasks)
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            await task.cancel()
        self._tasks.clear()
