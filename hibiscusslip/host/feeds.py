"""Tail the store's topics of the configuration, hosts and owner."""

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.host import store_share
from hibiscusslip.host import tailing
from hibiscusslip.host import topics
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

LOAD_TIMEOUT_S = 1.5
CONFIG_MAX_WAIT_S = 2.0
CONFIG_WAIT_SHARE = 0.75  # of the time until a configuration is in force
# Lower where peers have to be asked in time if the store doesn't answer.
ORGANISATIONS_WAIT_SHARE = 0.5


class ConfigFeed(tailing.Tail):
    """Tail the operator's configuration; older versions are ignored.

    `confirmed_at` is when the store last had no newer configuration, on the
    monotonic clock.
    """

    topic = store.CONFIG_TOPIC
    confirms_records = True
    max_lag = 3.0  # only the newest of several missed versions counts

    def __init__(self, ctx: context.Context) -> None:
        super().__init__(ctx)
        self.confirmed_at = 0.0
        self._read_version: int | None = None
        share = CONFIG_WAIT_SHARE
        if ctx.cfg.has_organisations:
            share = ORGANISATIONS_WAIT_SHARE
        self.wait = min(CONFIG_MAX_WAIT_S, ctx.cfg.bounds.config_apply * share)

    async def load_snapshot(self) -> int:
        """Read and apply the newest configuration."""
        newest = await self.ctx.store.newest(self.topic, LOAD_TIMEOUT_S)
        with self._leaving_out(newest.end - 1, store.CONFIG_KEY):
            self._apply_value(newest.values.get(store.CONFIG_KEY, b''))
        return newest.end

    async def apply(self, offset: int, record: bytes) -> None:
        """Apply a configuration that the operator has written."""
        key, value = store.decode_keyed(record)
        if key == store.CONFIG_KEY:
            self._apply_value(value)

    async def handle_caught_up(self, batch: store.Batch) -> None:
        """Record that the store has no newer configuration now."""
        if not batch.records:
            now = context.monotonic()
            self.confirmed_at = min(now, self.answer_due_at)
            self.ctx.config_confirmed_at = max(
                self.ctx.config_confirmed_at, self.confirmed_at
            )

    def _apply_value(self, value: bytes) -> None:
        if not value:
            return
        config = documents.read_configuration(value, self.ctx.config)
        if config is None:
            self.ctx.metrics.count('records_left_out', topic=self.topic)
            self.ctx.log.note('config_unreadable', size=len(value))
            return
        if self._is_newer(config):
            self._read_version = config.version
            self.ctx.take_config(config, 'store', len(value))

    def _is_newer(self, config: model.Configuration) -> bool:
        """Return True for a version that was never read from the store.

        One that came from a peer is replaced, as a peer of another build may
        have left fields out.
        """
        known = self.ctx.config
        if known is None or known.version < config.version:
            return True
        return (
            known.version == config.version
            and self._read_version != config.version
        )


class HostFeed(tailing.Tail):
    """Tail the addresses and strengths of all hosts."""

    topic = topics.HOSTS
    wait = 5.0

    def pause_after_read(self) -> float:
        """Return a pause that leaves the store to others while all start."""
        return store_share.hosts_read_pause(len(self.ctx.hosts))

    async def load_snapshot(self) -> int:
        """Read and apply the newest record of each host."""
        newest = await self.ctx.store.newest(self.topic, LOAD_TIMEOUT_S)
        self.ctx.ownership.own_record = None
        for name, value in newest.values.items():
            offset = newest.offsets[name]
            with self._leaving_out(offset, name):
                self._apply_value(offset, name, value)
        self.ctx.ownership.record_hosts_read(newest.end)
        _update_strongest(self.ctx)
        return newest.end

    async def apply(self, offset: int, record: bytes) -> None:
        """Apply the record of a host, or its removal."""
        name, value = store.decode_keyed(record)
        try:
            self._apply_value(offset, name, value)
        finally:
            self.ctx.ownership.record_hosts_read(offset + 1)
        _update_strongest(self.ctx)

    def _apply_value(self, offset: int, name: str, value: bytes) -> None:
        host = notices.decode_host(value) if value else None
        if name == self.ctx.cfg.name:
            is_own = (
                host is not None and host.incarnation == self.ctx.incarnation
            )
            self.ctx.ownership.own_record = offset if is_own else None
        if host is not None and host.name == name:
            self.ctx.hosts[name] = host
            return
        self.ctx.hosts.pop(name, None)
        if value:
            raise ValueError('the record names no host that can be called')


def _update_strongest(ctx: context.Context) -> None:
    """Set the highest strength of all hosts for a cell of this size."""
    ctx.ownership.strongest = ownership.strongest(
        ctx.hosts.values(), ctx.ownership.endpoints
    )


class OwnerFeed(tailing.Tail):
    """Tail the claims, heartbeats and releases of the ownership."""

    topic = topics.OWNER
    wait = 0.6
    timeout = 0.5  # short, to detect an unavailable store early

    def __init__(self, ctx: context.Context) -> None:
        super().__init__(ctx)
        self._endpoints = 0  # for which the strongest host was determined

    async def load_snapshot(self) -> int:
        """Return the offset of the oldest retained record."""
        try:
            batch = await self.ctx.store.read(
                self.topic, 0, 0.0, LOAD_TIMEOUT_S
            )
        except exceptions.HistoryTrimmed as exc:
            return exc.first
        return batch.first

    async def apply(self, offset: int, record: bytes) -> None:
        """Apply a notice."""
        notice = notices.decode_owner(record)
        # A claim's epoch is its offset + 1. After a higher one all true
        # notices would count as those of a former owner.
        if notice is None or notice.epoch > offset + 1:
            self.ctx.metrics.count('records_left_out', topic=self.topic)
            self.ctx.log.note('owner_notice_unreadable', offset=offset)
            return
        before = self.ctx.ownership.epoch
        self.ctx.ownership.apply_notice(notice, context.monotonic())
        if self.ctx.ownership.endpoints != self._endpoints:
            self._endpoints = self.ctx.ownership.endpoints
            _update_strongest(self.ctx)
        if self.ctx.ownership.epoch != before:
            self.ctx.log.note(
                'owner_known', epoch=notice.epoch, owner=notice.host
            )

    async def handle_caught_up(self, batch: store.Batch) -> None:
        """Record that the topic was read to its end."""
        self.ctx.ownership.record_read(batch.end, context.monotonic())
