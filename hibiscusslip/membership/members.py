"""Know which entry hosts live, by heartbeats and by hearsay."""

import dataclasses
import hashlib
import math
import random

from hibiscusslip.membership import _member
from hibiscusslip.membership import _peer
from hibiscusslip.membership import pacing as pacing_
from hibiscusslip.model import places
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform

Member = _member.Member


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """Ask for a heartbeat to a host; its incarnation may be unknown."""

    name: str
    address: str
    port: int
    number: int
    known_hosts: list[messages.KnownHost]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Tell what an answered heartbeat proves.

    The host was alive after `asked_at`, and the processes in `ended` have
    ended, as one host never runs two.
    """

    asked_at: float
    ended: list[places.HostId]


class Members:
    """Hold what one host knows of all others, one entry for each name.

    Times are seconds on this host's monotonic clock.
    """

    def __init__(
        self,
        me: places.HostId,
        zone: str,
        pacing: pacing_.Pacing,
        rng: random.Random,
        now: float,
    ) -> None:
        self._me = me
        self._zone = zone
        self._pacing = pacing
        self._rng = rng
        self._peers: dict[str, _peer.Peer] = {}
        self._numbers = 0
        self._passed_on = 0

    def tick(self, now: float) -> list[OutgoingHeartbeat]:
        """Return the heartbeats to send now and forget silent hosts."""
        self._forget(now)
        beats = []
        for peer in self._watched(now):
            if now < peer.next_beat_at or not peer.address:
                continue
            jitter = self._rng.uniform(0.9, 1.0)
            peer.next_beat_at = now + self._interval(peer) * jitter
            self._numbers += 1
            peer.beat(self._numbers, now)
            beats.append(
                OutgoingHeartbeat(
                    peer.name,
                    peer.address,
                    peer.port,
                    self._numbers,
                    self.known_hosts(now),
                )
            )
        return beats

    def on_heartbeat(
        self,
        host: places.HostId,
        zone: str,
        address: str,
        port: int,
        message: messages.Heartbeat | messages.HeartbeatAck,
        now: float,
    ) -> list[places.HostId]:
        """Take in a heartbeat; answer it with `known_hosts`.

        Return the host if the heartbeat was its last word.
        """
        peer = self._peer_of(host.name, zone, address, port, now)
        if peer is None:
            return []
        peer.zone, peer.address, peer.port = zone, address, port
        peer.hear(host, now)
        peer.draining = peer.draining or message.draining
        for known in message.known_hosts:
            self._hear_of(known, now)
        if isinstance(message, messages.Heartbeat) and message.ended:
            peer.direct_at = peer.heard_at = -math.inf
            return [host]
        return []

    def on_ack(
        self, host: places.HostId, ack: messages.HeartbeatAck, now: float
    ) -> Answered | None:
        """Take in an answer, None when no such heartbeat was sent."""
        peer = self._peers.get(host.name)
        if peer is None:
            return None
        asked_at = peer.beats.pop(ack.number, None)
        if asked_at is None:
            return None
        self.on_heartbeat(host, peer.zone, peer.address, peer.port, ack, now)
        return Answered(asked_at, peer.outlived(host.incarnation, asked_at))

    def on_named_in_log(
        self,
        host: places.HostId,
        zone: str,
        now: float,
        address: str = '',
        port: int = 0,
    ) -> None:
        """Take a host that the log names as a hint of whom to look for.

        Call it for records that tell of a start, and before each listing
        for the holders of shards, so that their absence is noted.
        """
        peer = self._peer_of(host.name, zone, address, port, now)
        if peer is None:
            return
        peer.see(host.incarnation, now)
        if peer.host is None:
            peer.host = host
        if address and not peer.address:
            peer.address, peer.port = address, port

    def on_seed(
        self, name: str, zone: str, address: str, port: int, now: float
    ) -> None:
        """Take a host from the settings; its incarnation is open."""
        self._peer_of(name, zone, address, port, now)

    def on_listing(
        self, entry_hosts: list[platform.EntryHostInfo], now: float
    ) -> list[places.HostId]:
        """Take in the lagging host list and return who has surely ended.

        That is who the list leaves out, or calls gone, for longer than it
        may lag, and who has been silent as well.
        """
        listed = {info.name: info for info in entry_hosts}
        for info in entry_hosts:
            peer = self._peer_of(
                info.name, info.zone, info.address, info.port, now
            )
            if peer is not None:
                if not peer.address:
                    peer.address, peer.port = info.address, info.port
                peer.leaving = info.state is places.EndpointState.LEAVING
        ended: list[places.HostId] = []
        for peer in self._peers.values():
            known = listed.get(peer.name)
            gone = known is None or known.state is places.EndpointState.GONE
            self._note_absence(peer, gone, now)
            ended.extend(self._given_up(peer, now))
        return ended

    def known_hosts(self, now: float) -> list[messages.KnownHost]:
        """Return some known hosts to pass on, others the next time."""
        alive = [
            peer
            for peer in self._peers.values()
            if peer.host is not None and self._alive(peer, now)
        ]
        count = min(len(alive), self._pacing.known_hosts_per_message)
        start = self._passed_on
        self._passed_on += count
        chosen = [alive[(start + i) % len(alive)] for i in range(count)]
        return [
            messages.KnownHost(
                peer.name,
                peer.host.incarnation if peer.host else '',
                peer.zone,
                peer.address,
                peer.port,
                now - peer.heard_at,
            )
            for peer in chosen
        ]

    def members(self, now: float) -> list[Member]:
        """Return the other hosts; the incarnation is empty if unknown."""
        return [
            Member(
                peer.host or places.HostId(peer.name, ''),
                peer.zone,
                peer.address,
                peer.port,
                self._alive(peer, now),
                peer.draining,
                peer.leaving,
            )
            for peer in self._peers.values()
        ]

    def _peer_of(
        self, name: str, zone: str, address: str, port: int, now: float
    ) -> _peer.Peer | None:
        if name == self._me.name:
            return None
        peer = self._peers.get(name)
        if peer is None and len(self._peers) < self._pacing.max_hosts:
            peer = _peer.Peer(name, zone, address, port, now)
            self._peers[name] = peer
        return peer

    def _hear_of(self, known: messages.KnownHost, now: float) -> None:
        if known.age > self._pacing.forget_after:
            return
        peer = self._peer_of(
            known.host, known.zone, known.address, known.port, now
        )
        if peer is None:
            return
        host = places.HostId(known.host, known.incarnation)
        if peer.host is not None and peer.host != host:
            peer.address, peer.port = known.address, known.port
        peer.hear_of(host, now - max(0.0, known.age), now)

    def _interval(self, peer: _peer.Peer) -> float:
        if peer.zone == self._zone:
            return self._pacing.heartbeat
        return self._pacing.foreign_heartbeat

    def _alive(self, peer: _peer.Peer, now: float) -> bool:
        if peer.zone == self._zone:
            return now < peer.direct_at + self._pacing.suspect_after
        return now < peer.heard_at + self._pacing.foreign_suspect_after

    def _watched(self, now: float) -> list[_peer.Peer]:
        """Return all hosts of this zone and a few of the others."""
        own = [p for p in self._peers.values() if p.zone == self._zone]
        foreign = [p for p in self._peers.values() if p.zone != self._zone]
        foreign.sort(key=lambda p: (not self._fresh(p, now), self._order(p)))
        return own + foreign[: self._pacing.foreign_fanout]

    def _fresh(self, peer: _peer.Peer, now: float) -> bool:
        return peer.host is None or self._alive(peer, now)

    def _order(self, peer: _peer.Peer) -> bytes:
        text = f'{self._me.name}|{peer.name}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def _note_absence(self, peer: _peer.Peer, gone: bool, now: float) -> None:
        if not gone:
            peer.absent_since = None
        elif peer.absent_since is None:
            peer.absent_since = now

    def _given_up(self, peer: _peer.Peer, now: float) -> list[places.HostId]:
        since = peer.absent_since
        if since is None or now < since + self._pacing.list_lag:
            return []
        if now < peer.heard_at + self._pacing.list_lag:
            return []
        known = {'': peer.known_at, **peer.seen}
        return [
            places.HostId(peer.name, incarnation)
            for incarnation, known_at in known.items()
            if known_at <= since
        ]

    def _forget(self, now: float) -> None:
        limit = now - self._pacing.forget_after
        for name, peer in list(self._peers.items()):
            listed = peer.absent_since is None
            if max(peer.heard_at, peer.known_at) < limit and not listed:
                del self._peers[name]
