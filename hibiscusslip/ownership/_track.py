"""Follow one shard through the records of its zone's stream."""

import dataclasses
import enum
import math

from hibiscusslip.model import places

MAX_PENDING = 4096


class Kind(enum.Enum):
    """Name what an entry does to a shard."""

    CLAIM = 'claim'
    RENEWAL = 'renewal'
    TRANSFER = 'transfer'
    FOUNDING = 'founding'


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Hold the latest valid entry of a shard.

    `host` is None while nobody holds it, `read_at` is when this reader
    read the entry, in seconds on its own clock.
    """

    host: places.HostId | None
    epoch: int
    seq: int
    offset: int
    read_at: float


FREE = Holding(None, 0, 0, -1, -math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold one entry of a record for one shard.

    `epoch` and `seq` name the predecessor; for a founding `epoch` is the
    new epoch and `as_of` the offset after which no entry may lie.
    """

    kind: Kind
    host: places.HostId
    to_host: places.HostId | None
    epoch: int
    seq: int
    offset: int
    read_at: float
    as_of: int = -1


def follow(holding: Holding, step: Step) -> Holding | str:
    """Return the holding after an entry, or why the entry is void."""
    if (step.epoch, step.seq) != (holding.epoch, holding.seq):
        return (
            f'names {step.epoch}.{step.seq}, the latest is'
            f' {holding.epoch}.{holding.seq}'
        )
    if step.kind is Kind.CLAIM:
        return Holding(step.host, step.epoch + 1, 1, step.offset, step.read_at)
    if step.host != holding.host:
        return f'{step.host} is not the holder {holding.host}'
    if step.kind is Kind.RENEWAL:
        return Holding(
            step.host, step.epoch, step.seq + 1, step.offset, step.read_at
        )
    return Holding(step.to_host, step.epoch + 1, 1, step.offset, step.read_at)


class Track:
    """Keep the latest holding of one shard, or what is needed to find it.

    `floor` is the first offset that was read: with 0 the shard starts out
    free, else its state is unknown until an anchor is read.
    """

    def __init__(self, floor: int, now: float) -> None:
        self.holding: Holding | None = FREE if floor == 0 else None
        self.last_offset = -1
        self.last_read_at = now
        self.hosts: dict[places.HostId, float] = {}
        self._floor = floor
        self._pending: list[Step] = []

    def add(self, step: Step) -> str:
        """Apply an entry and return why it is void, or an empty text."""
        outcome = self._apply(step)
        self.last_offset = step.offset
        self.last_read_at = step.read_at
        return outcome

    def anchor(self, holding: Holding, as_of: int) -> bool:
        """Start from a holding that was the latest at offset `as_of`."""
        if self.holding is not None or as_of + 1 < self._floor:
            return False
        self.holding = holding
        pending, self._pending = self._pending, []
        for step in pending:
            if step.offset > as_of:
                self._apply(step)
        return True

    def _apply(self, step: Step) -> str:
        if step.kind is Kind.FOUNDING:
            return self._found(step)
        if self.holding is None:
            self._keep(step)
            return 'not known yet'
        after = follow(self.holding, step)
        if isinstance(after, str):
            return after
        self.holding = after
        return ''

    def _found(self, step: Step) -> str:
        if self.last_offset > step.as_of:
            return 'other entries came first'
        if step.as_of + 1 < self._floor:
            # Entries before the floor may have come first: only an anchor
            # after this offset tells.
            self.holding = None
            self._floor = step.offset + 1
            self._pending = []
            return 'not known yet'
        self.holding = Holding(None, step.epoch, 0, step.offset, step.read_at)
        self._pending = []
        return ''

    def _keep(self, step: Step) -> None:
        self.hosts.setdefault(step.host, step.read_at)
        if step.to_host is not None:
            self.hosts.setdefault(step.to_host, step.read_at)
        self._pending.append(step)
        if len(self._pending) > MAX_PENDING:
            self._floor = self._pending.pop(0).offset + 1
