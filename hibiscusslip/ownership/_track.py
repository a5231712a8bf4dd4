"""Track the latest valid entry of one shard in its zone's stream."""

import dataclasses
import enum
import math

from hibiscusslip.model import places

MAX_PENDING = 4096


class EntryKind(enum.Enum):
    """Enumerate the effects of an entry on a shard."""

    CLAIM = 'claim'
    RENEWAL = 'renewal'
    TRANSFER = 'transfer'
    BOOTSTRAP = 'founding'


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Represent a shard's holder by its latest valid entry.

    `host` is None while no host holds the shard. `read_at` is when this
    reader read the entry, in seconds on its own clock.
    """

    host: places.HostId | None
    epoch: int
    seq: int
    offset: int
    read_at: float


FREE = Holding(None, 0, 0, -1, -math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Represent the entry of a record for one shard.

    `epoch` and `seq` name the predecessor. For a bootstrap entry, `epoch` is
    the new epoch, and the entry is valid only if it is the first one after
    offset `as_of`.
    """

    kind: EntryKind
    host: places.HostId
    to_host: places.HostId | None
    epoch: int
    seq: int
    offset: int
    read_at: float
    as_of: int = -1


def next_holding(holding: Holding, entry: Entry) -> Holding | str:
    """Return the holding after an entry, or why the entry is invalid."""
    if (entry.epoch, entry.seq) != (holding.epoch, holding.seq):
        return (
            f'names {entry.epoch}.{entry.seq}, the latest is'
            f' {holding.epoch}.{holding.seq}'
        )
    if entry.kind is EntryKind.CLAIM:
        return Holding(
            entry.host, entry.epoch + 1, 1, entry.offset, entry.read_at
        )
    if entry.host != holding.host:
        return f'{entry.host} is not the holder {holding.host}'
    if entry.kind is EntryKind.RENEWAL:
        return Holding(
            entry.host, entry.epoch, entry.seq + 1, entry.offset, entry.read_at
        )
    return Holding(
        entry.to_host, entry.epoch + 1, 1, entry.offset, entry.read_at
    )


class Track:
    """Track the holding of one shard, or buffer entries until it is known.

    Read from offset 0, the shard starts free. With a later `first_offset`
    its holding is unknown until a snapshot anchors it.
    """

    def __init__(self, first_offset: int, now: float) -> None:
        self.holding: Holding | None = FREE if first_offset == 0 else None
        self.last_offset = -1
        self.last_read_at = now
        self.named_hosts: dict[places.HostId, float] = {}
        self._first_offset = first_offset
        self._pending: list[Entry] = []

    def add(self, entry: Entry) -> str:
        """Apply an entry; return why it is invalid, or an empty string."""
        outcome = self._apply(entry)
        self.last_offset = entry.offset
        self.last_read_at = entry.read_at
        return outcome

    def anchor(self, holding: Holding, as_of: int) -> bool:
        """Adopt the holding that was the latest at offset `as_of`.

        Return False if the holding is known already, or if entries after
        `as_of` were not read.
        """
        if self.holding is not None or as_of + 1 < self._first_offset:
            return False
        self.holding = holding
        pending, self._pending = self._pending, []
        for entry in pending:
            if entry.offset > as_of:
                self._apply(entry)
        return True

    def _apply(self, entry: Entry) -> str:
        if entry.kind is EntryKind.BOOTSTRAP:
            return self._apply_bootstrap(entry)
        if self.holding is None:
            self._buffer(entry)
            return 'not known yet'
        after = next_holding(self.holding, entry)
        if isinstance(after, str):
            return after
        self.holding = after
        return ''

    def _apply_bootstrap(self, entry: Entry) -> str:
        if self.last_offset > entry.as_of:
            return 'other entries came first'
        if entry.as_of + 1 < self._first_offset:
            # Entries that were not read may precede this one; only an anchor
            # at this offset or later shows the holding.
            self.holding = None
            self._first_offset = entry.offset + 1
            self._pending = []
            return 'not known yet'
        self.holding = Holding(
            None, entry.epoch, 0, entry.offset, entry.read_at
        )
        self._pending = []
        return ''

    def _buffer(self, entry: Entry) -> None:
        self.named_hosts.setdefault(entry.host, entry.read_at)
        if entry.to_host is not None:
            self.named_hosts.setdefault(entry.to_host, entry.read_at)
        self._pending.append(entry)
        if len(self._pending) > MAX_PENDING:
            self._first_offset = self._pending.pop(0).offset + 1
