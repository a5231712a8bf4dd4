"""Follow the configuration, from the log and from peer hosts."""

import collections.abc
import random

import curio
from loguru import logger

from hibiscusslip import codec
from hibiscusslip import configuration
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.records import zone as zone_records

READ_LIMIT_RECORDS = 100
READ_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.3
FETCH_TIMEOUT_SECONDS = 2.0

ApplyConfig = collections.abc.Callable[
    [configuration.ConfigRecord], collections.abc.Awaitable[None]
]


class ConfigFeed:
    """Keep the newest configuration in force; never apply an older one."""

    def __init__(
        self,
        log: base.Log,
        peers: peer_base.Peers,
        retention: float,
        rng: random.Random,
        ids: collections.abc.Iterator[str],
        apply_config: ApplyConfig,
    ) -> None:
        self._log = log
        self._peers = peers
        self._ids = ids
        self._apply_config = apply_config
        self._fetching: set[str] = set()
        self.tracker = configuration.ConfigTracker(retention, rng)

    async def run(self) -> None:
        """Read the configuration's stream until cancelled."""
        while True:
            tracker = self.tracker
            try:
                batch = await self._log.read(
                    zone_records.CONFIG_STREAM,
                    tracker.next_offset,
                    READ_LIMIT_RECORDS,
                    READ_WAIT_SECONDS,
                )
            except exceptions.RecordsTrimmed as exc:
                tracker.on_trimmed(exc.first, clock.now())
                continue
            except exceptions.PlatformError:
                await curio.sleep(RETRY_SECONDS)
                continue
            await self._process_batch(batch)

    async def _process_batch(self, batch: base.ReadBatch) -> None:
        tracker = self.tracker
        now = clock.now()
        changed = False
        for record in batch.records:
            changed |= tracker.on_record(record.offset, record.data, now)
        if tracker.next_offset >= batch.end_offset:
            changed |= tracker.on_caught_up(now)
        if changed:
            await self._apply_current()
        if tracker.snapshot_due(now):
            await self._append_snapshot(
                tracker.make_snapshot(next(self._ids), now)
            )

    async def _apply_current(self) -> None:
        """Apply the newest configuration on this host."""
        current = self.tracker.current
        if current is not None:
            logger.info('configuration {} is in force', current.version)
            await self._apply_config(current)

    async def _append_snapshot(self, data: bytes) -> None:
        """Append the configuration again before the log's retention ends."""
        try:
            await self._log.append(zone_records.CONFIG_STREAM, [data])
        except exceptions.PlatformError as exc:
            logger.warning('configuration snapshot not appended: {}', exc)

    async def handle_peer_version(self, host: str, version: int) -> None:
        """Fetch a peer's configuration if it is newer than this host's."""
        if version <= self.tracker.version or host in self._fetching:
            return
        self._fetching.add(host)
        await curio.spawn(self._fetch, host, daemon=True)

    async def _fetch(self, host: str) -> None:
        query = messages.ConfigQuery(self.tracker.version)
        try:
            reply = await self._peers.call(host, query, FETCH_TIMEOUT_SECONDS)
        except peer_exceptions.PeerError:
            return
        finally:
            self._fetching.discard(host)
        if isinstance(reply, messages.ConfigState) and reply.record:
            await self._process_peer_config(host, reply)

    async def _process_peer_config(
        self, host: str, state: messages.ConfigState
    ) -> None:
        try:
            changed = self.tracker.on_peer_config(
                state.version, state.offset, state.record, clock.now()
            )
        except codec.CodecError as exc:
            logger.error('{} sent an invalid configuration: {}', host, exc)
            return
        if changed:
            await self._apply_current()

    async def handle_query(
        self, sender: places.HostId, body: messages.ConfigQuery
    ) -> messages.PeerMessage:
        """Return the configuration in force to a peer with an older one."""
        current = self.tracker.current
        if current is None or current.version <= body.above:
            return messages.ConfigState(0, -1, b'')
        return messages.ConfigState(
            current.version,
            self.tracker.offset,
            configuration.encode(current),
        )
