"""Decide from the log alone which version is valid.

Every reader of the same records comes to the same view, whatever its clock
shows and wherever it started to read.
"""

import dataclasses

from hibiscusslip.configuration import _records

MAX_PENDING = 256
FIRST_OFFSET = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Hold a configuration and an offset at which it was valid."""

    config: _records.ConfigRecord
    offset: int


class LogView:
    """Follow the stream and hold the latest valid version.

    A view that began behind a trimmed part is not anchored: it keeps
    records back until something states which version was valid at an
    offset from which on it has read every record.
    """

    def __init__(self) -> None:
        self.next_offset = FIRST_OFFSET
        self.anchored = True
        self.latest: Placed | None = None
        self._start = FIRST_OFFSET
        self._pending: list[Placed] = []

    @property
    def version(self) -> int:
        """Return the latest valid version, 0 for none."""
        return self.latest.config.version if self.latest else 0

    def copy(self) -> 'LogView':
        """Return a view that can go its own way from here."""
        other = LogView()
        other.next_offset = self.next_offset
        other.anchored = self.anchored
        other.latest = self.latest
        other._start = self._start
        other._pending = list(self._pending)
        return other

    def on_trimmed(self, first: int) -> None:
        """Take note that records before `first` are gone unread."""
        if first > self.next_offset:
            self.anchored = False
            self.next_offset = first
            self._start = first
            self._pending.clear()

    def on_record(
        self, offset: int, record: _records.StreamRecord | None
    ) -> None:
        """Take the record at `offset`, None for bytes that are no record."""
        self.next_offset = offset + 1
        if isinstance(record, _records.ConfigSnapshot):
            if record.as_of < offset:
                self.anchor(record.config, record.as_of)
        elif record is not None:
            self._on_config(Placed(record, offset))

    def anchor(self, config: _records.ConfigRecord, as_of: int) -> None:
        """Take `config` as the latest valid version at offset `as_of`.

        Jumps ahead of what was read. Does nothing when records after
        `as_of` were not all read here, or an anchored view read them.
        """
        ahead = as_of >= self.next_offset
        if not ahead and (self.anchored or as_of + 1 < self._start):
            return
        self.anchored = True
        self.latest = Placed(config, as_of)
        self.next_offset = max(self.next_offset, as_of + 1)
        pending, self._pending = self._pending, []
        for placed in pending:
            if placed.offset > as_of:
                self._apply(placed)

    def _on_config(self, placed: Placed) -> None:
        if self.anchored:
            self._apply(placed)
        elif placed.config.after_gap and placed.config.version > self.version:
            self.anchored = True
            self.latest = placed
            self._pending.clear()
        else:
            self._keep_back(placed)

    def _keep_back(self, placed: Placed) -> None:
        self._pending.append(placed)
        if len(self._pending) > MAX_PENDING:
            dropped = self._pending.pop(0)
            self._start = dropped.offset + 1

    def _apply(self, placed: Placed) -> None:
        config = placed.config
        follows = config.made_from == self.version
        if follows and config.version == config.made_from + 1:
            self.latest = placed
