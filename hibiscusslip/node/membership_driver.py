"""Exchange heartbeats with the other entry hosts of the region."""

import collections.abc

import curio
from loguru import logger

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.node import config
from hibiscusslip.node import fleet
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base
from hibiscusslip.routing import directory

TICK_SECONDS = 0.1
HEARTBEAT_TIMEOUT_SECONDS = 1.5

HandlePeerVersion = collections.abc.Callable[
    [str, int], collections.abc.Awaitable[None]
]


class MembershipDriver:
    """Send and acknowledge heartbeats, and pass their content on.

    Heartbeats carry the members, ended processes, loads of shards and the
    version of the configuration.
    """

    def __init__(
        self,
        cfg: config.NodeConfig,
        members: members_.Members,
        ownership: owner.Ownership,
        shards: fleet.Fleet,
        owners: directory.ShardDirectory,
        peers: peer_base.Peers,
        handle_peer_version: HandlePeerVersion,
    ) -> None:
        self._cfg = cfg
        self._members = members
        self._ownership = ownership
        self._fleet = shards
        self._owners = owners
        self._peers = peers
        self._handle_peer_version = handle_peer_version
        self._has_host_list = False
        self.address = ''
        self.port = 0
        self.versions: dict[str, int] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = clock.now()
            for heartbeat in self._members.tick(now):
                await curio.spawn(self._send_heartbeat, heartbeat, daemon=True)
            self._ownership.set_members(
                self._members.members(now), now, self._has_host_list
            )
            self._owners.update_loads(
                self._cfg.me.name, self._fleet.loads(), now
            )
            await curio.sleep(TICK_SECONDS)

    async def _send_heartbeat(
        self, heartbeat: members_.OutgoingHeartbeat
    ) -> None:
        """Send one heartbeat and process its acknowledgement."""
        self._peers.set_address(
            heartbeat.name, heartbeat.address, heartbeat.port
        )
        body = self._make_heartbeat(
            heartbeat.number, heartbeat.known_hosts, False
        )
        ack = await self._call(heartbeat.name, body)
        if isinstance(ack, messages.HeartbeatAck):
            incarnation = self._peers.incarnation_of(heartbeat.name)
            sender = places.HostId(heartbeat.name, incarnation)
            await self._handle_ack(sender, ack)

    def _make_heartbeat(
        self, number: int, known: list[messages.KnownHost], ended: bool
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            number,
            self._ownership.draining,
            self._fleet.policy_version,
            self._fleet.loads(),
            known,
            self._cfg.zone,
            self.address,
            self.port,
            ended,
        )

    async def _call(
        self, host: str, body: messages.Heartbeat
    ) -> messages.PeerMessage | None:
        try:
            return await self._peers.call(
                host, body, HEARTBEAT_TIMEOUT_SECONDS
            )
        except peer_exceptions.PeerError as exc:
            logger.trace('heartbeat to {} failed: {}', host, exc)
            return None

    async def announce_ended(self) -> None:
        """Announce to the zone that this process acts for no shard any more.

        Call it only after all loops have stopped, as other hosts may then
        claim the shards at once.
        """
        body = self._make_heartbeat(0, [], True)
        async with curio.TaskGroup() as group:
            for member in self.get_peers():
                if member.zone == self._cfg.zone and member.alive:
                    await group.spawn(self._call, member.host.name, body)

    async def _handle_ack(
        self, sender: places.HostId, ack: messages.HeartbeatAck
    ) -> None:
        now = clock.now()
        ack_result = self._members.on_ack(sender, ack, now)
        if ack_result is None:
            return
        for ended in ack_result.ended:
            self._ownership.on_process_ended(ended, now)
        self._owners.update_loads(sender.name, ack.loads, now)
        self.versions[sender.name] = ack.config_version
        await self._handle_peer_version(sender.name, ack.config_version)

    async def handle_heartbeat(
        self, sender: places.HostId, body: messages.Heartbeat
    ) -> messages.PeerMessage:
        """Process a heartbeat and return its acknowledgement."""
        now = clock.now()
        ended = self._members.on_heartbeat(
            sender, body.zone, body.address, body.port, body, now
        )
        for host in ended:
            self._ownership.on_process_ended(host, now)
        self._owners.update_loads(sender.name, body.loads, now)
        self.versions[sender.name] = body.config_version
        await self._handle_peer_version(sender.name, body.config_version)
        return messages.HeartbeatAck(
            body.number,
            self._ownership.draining,
            self._fleet.policy_version,
            self._fleet.loads(),
            self._members.known_hosts(now),
        )

    def get_peers(self) -> list[members_.Member]:
        """Return the known peer hosts of the region."""
        zones = self._cfg.zones
        known = self._members.members(clock.now())
        return [member for member in known if member.zone in zones]

    def handle_host_list(self, listing: platform_base.HostListing) -> None:
        """Update the members from the platform's host list.

        The list is a hint about which hosts exist, and a proof that certain
        processes have ended.
        """
        now = clock.now()
        self._has_host_list = True
        for holder in self._ownership.possible_holders():
            self._members.on_named_in_log(holder, self._cfg.zone, now)
        hosts = [h for h in listing.entry_hosts if h.zone in self._cfg.zones]
        for ended in self._members.on_listing(hosts, now):
            self._ownership.on_process_ended(ended, now)

    def add_seed(self, name: str, zone: str, address: str, port: int) -> None:
        """Add a host named in the settings, with an unknown incarnation."""
        self._members.on_seed(name, zone, address, port, clock.now())

    def handle_joined(
        self, host: places.HostId, address: str, port: int
    ) -> None:
        """Add a host of this zone that has recorded its join on the log."""
        if host.name != self._cfg.me.name:
            self._members.on_named_in_log(
                host, self._cfg.zone, clock.now(), address, port
            )
