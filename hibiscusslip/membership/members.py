"""Detect which entry hosts are alive, by heartbeats and by gossip."""

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
    """Request a heartbeat to a host; its incarnation may be unknown."""

    name: str
    address: str
    port: int
    number: int
    known_hosts: list[messages.KnownHost]


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessProof:
    """Represent what the response to a heartbeat proves.

    The host was alive after `sent_at`, and the processes in `ended` have
    ended, as one host never runs two.
    """

    sent_at: float
    ended: list[places.HostId]


class Members:
    """Track all other hosts, one for each name.

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
        self._last_number = 0
        self._gossip_offset = 0

    def tick(self, now: float) -> list[OutgoingHeartbeat]:
        """Return the heartbeats to send now; drop stale hosts.

        A host is stale if the host list omits it and neither a message from
        it nor a report about it has come in for `forget_after` seconds.
        """
        self._remove_stale(now)
        heartbeats = []
        for peer in self._heartbeat_targets(now):
            if now < peer.next_heartbeat_at or not peer.address:
                continue
            jitter = self._rng.uniform(0.9, 1.0)
            peer.next_heartbeat_at = now + self._interval(peer) * jitter
            self._last_number += 1
            peer.record_heartbeat(self._last_number, now)
            heartbeats.append(
                OutgoingHeartbeat(
                    peer.name,
                    peer.address,
                    peer.port,
                    self._last_number,
                    self.known_hosts(now),
                )
            )
        return heartbeats

    def on_heartbeat(
        self,
        host: places.HostId,
        zone: str,
        address: str,
        port: int,
        message: messages.Heartbeat | messages.HeartbeatAck,
        now: float,
    ) -> list[places.HostId]:
        """Apply a heartbeat; the caller answers it with `known_hosts`.

        Return the host if its process announced that it terminates.
        """
        peer = self._get_or_add_peer(host.name, zone, address, port, now)
        if peer is None:
            return []
        peer.zone, peer.address, peer.port = zone, address, port
        peer.record_contact(host, now)
        peer.draining = peer.draining or message.draining
        for known in message.known_hosts:
            self._apply_known_host(known, now)
        if isinstance(message, messages.Heartbeat) and message.ended:
            peer.last_contact_at = peer.last_alive_at = -math.inf
            return [host]
        return []

    def on_ack(
        self, host: places.HostId, ack: messages.HeartbeatAck, now: float
    ) -> LivenessProof | None:
        """Apply a response; return None if no such heartbeat was sent."""
        peer = self._peers.get(host.name)
        if peer is None:
            return None
        sent_at = peer.unanswered.pop(ack.number, None)
        if sent_at is None:
            return None
        self.on_heartbeat(host, peer.zone, peer.address, peer.port, ack, now)
        return LivenessProof(
            sent_at, peer.pop_ended(host.incarnation, sent_at)
        )

    def on_named_in_log(
        self,
        host: places.HostId,
        zone: str,
        now: float,
        address: str = '',
        port: int = 0,
    ) -> None:
        """Add a host that the log names, so that heartbeats are sent to it.

        Call it for records of host starts, and before each host list for the
        holders of shards, so that their absence from the list is detected.
        """
        peer = self._get_or_add_peer(host.name, zone, address, port, now)
        if peer is None:
            return
        peer.record_incarnation(host.incarnation, now)
        if peer.host is None:
            peer.host = host
        if address and not peer.address:
            peer.address, peer.port = address, port

    def on_seed(
        self, name: str, zone: str, address: str, port: int, now: float
    ) -> None:
        """Add a seed host of the settings; its incarnation is unknown."""
        self._get_or_add_peer(name, zone, address, port, now)

    def on_listing(
        self, entry_hosts: list[platform.EntryHostInfo], now: float
    ) -> list[places.HostId]:
        """Apply the host list and return the processes that have ended.

        A process has provably ended if the list omitted its host, or showed
        it as gone, for longer than the list may lag, and for as long no
        message from the host or report about it came in.
        """
        listed = {info.name: info for info in entry_hosts}
        for info in entry_hosts:
            peer = self._get_or_add_peer(
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
            self._record_absence(peer, gone, now)
            ended.extend(self._provably_ended(peer, now))
        return ended

    def known_hosts(self, now: float) -> list[messages.KnownHost]:
        """Return the next few live hosts, in turn, for a message."""
        alive = [
            peer
            for peer in self._peers.values()
            if peer.host is not None and self._is_alive(peer, now)
        ]
        count = min(len(alive), self._pacing.known_hosts_per_message)
        start = self._gossip_offset
        self._gossip_offset += count
        chosen = [alive[(start + i) % len(alive)] for i in range(count)]
        return [
            messages.KnownHost(
                peer.name,
                peer.host.incarnation if peer.host else '',
                peer.zone,
                peer.address,
                peer.port,
                now - peer.last_alive_at,
            )
            for peer in chosen
        ]

    def members(self, now: float) -> list[Member]:
        """Return all peers; the incarnation is empty if unknown."""
        return [
            Member(
                peer.host or places.HostId(peer.name, ''),
                peer.zone,
                peer.address,
                peer.port,
                self._is_alive(peer, now),
                peer.draining,
                peer.leaving,
            )
            for peer in self._peers.values()
        ]

    def _get_or_add_peer(
        self, name: str, zone: str, address: str, port: int, now: float
    ) -> _peer.Peer | None:
        if name == self._me.name:
            return None
        peer = self._peers.get(name)
        if peer is None and len(self._peers) < self._pacing.max_hosts:
            peer = _peer.Peer(name, zone, address, port, now)
            self._peers[name] = peer
        return peer

    def _apply_known_host(self, known: messages.KnownHost, now: float) -> None:
        if known.age > self._pacing.forget_after:
            return
        peer = self._get_or_add_peer(
            known.host, known.zone, known.address, known.port, now
        )
        if peer is None:
            return
        host = places.HostId(known.host, known.incarnation)
        if peer.host is not None and peer.host != host:
            peer.address, peer.port = known.address, known.port
        peer.record_report(host, now - max(0.0, known.age), now)

    def _interval(self, peer: _peer.Peer) -> float:
        if peer.zone == self._zone:
            return self._pacing.heartbeat
        return self._pacing.foreign_heartbeat

    def _is_alive(self, peer: _peer.Peer, now: float) -> bool:
        if peer.zone == self._zone:
            return now < peer.last_contact_at + self._pacing.suspect_after
        return now < peer.last_alive_at + self._pacing.foreign_suspect_after

    def _heartbeat_targets(self, now: float) -> list[_peer.Peer]:
        """Return all hosts of this zone and a few of the other zones."""
        own = [p for p in self._peers.values() if p.zone == self._zone]
        foreign = [p for p in self._peers.values() if p.zone != self._zone]
        foreign.sort(
            key=lambda p: (
                not self._is_alive_or_new(p, now),
                self._stable_order(p),
            )
        )
        return own + foreign[: self._pacing.foreign_fanout]

    def _is_alive_or_new(self, peer: _peer.Peer, now: float) -> bool:
        return peer.host is None or self._is_alive(peer, now)

    def _stable_order(self, peer: _peer.Peer) -> bytes:
        text = f'{self._me.name}|{peer.name}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def _record_absence(
        self, peer: _peer.Peer, gone: bool, now: float
    ) -> None:
        if not gone:
            peer.absent_since = None
        elif peer.absent_since is None:
            peer.absent_since = now

    def _provably_ended(
        self, peer: _peer.Peer, now: float
    ) -> list[places.HostId]:
        since = peer.absent_since
        if since is None or now < since + self._pacing.list_lag:
            return []
        if now < peer.last_alive_at + self._pacing.list_lag:
            return []
        known = {'': peer.known_at, **peer.incarnations}
        return [
            places.HostId(peer.name, incarnation)
            for incarnation, known_at in known.items()
            if known_at <= since
        ]

    def _remove_stale(self, now: float) -> None:
        limit = now - self._pacing.forget_after
        for name, peer in list(self._peers.items()):
            listed = peer.absent_since is None
            if max(peer.last_alive_at, peer.known_at) < limit and not listed:
                del self._peers[name]
