"""Decide from the log alone which version is valid.

All readers of the same records reach the same view, independent of their
clocks and of the offset at which they started.
"""

import dataclasses

from hibiscusslip.configuration import _records

MAX_PENDING = 256
FIRST_OFFSET = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAtOffset:
    """Represent a configuration with an offset of the stream.

    The offset is the record's own or, as of a snapshot, a later one.
    """

    config: _records.ConfigRecord
    offset: int


class LogView:
    """Track the latest valid version of the stream.

    A view that started after trimmed records is not anchored. It buffers
    records until it learns which version was valid at an offset after which
    it has read all records.
    """

    def __init__(self) -> None:
        self.next_offset = FIRST_OFFSET
        self.anchored = True
        self.latest: ConfigAtOffset | None = None
        self._first_read = FIRST_OFFSET
        self._pending: list[ConfigAtOffset] = []

    @property
    def version(self) -> int:
        """Return the latest valid version, 0 without one."""
        return self.latest.config.version if self.latest else 0

    def copy(self) -> 'LogView':
        """Return an independent copy of the view."""
        other = LogView()
        other.next_offset = self.next_offset
        other.anchored = self.anchored
        other.latest = self.latest
        other._first_read = self._first_read
        other._pending = list(self._pending)
        return other

    def on_trimmed(self, first: int) -> None:
        """Handle that records before `first` were trimmed unread."""
        if first > self.next_offset:
            self.anchored = False
            self.next_offset = first
            self._first_read = first
            self._pending.clear()

    def on_record(
        self, offset: int, record: _records.StreamRecord | None
    ) -> None:
        """Apply the record at `offset`; None for bytes that don't decode."""
        self.next_offset = offset + 1
        if isinstance(record, _records.ConfigSnapshot):
            if record.as_of < offset:
                self.anchor(record.config, record.as_of)
        elif record is not None:
            self._on_config(ConfigAtOffset(record, offset))

    def anchor(self, config: _records.ConfigRecord, as_of: int) -> None:
        """Adopt `config` as the latest valid version at offset `as_of`.

        If `as_of` is ahead of the view, the view skips to it. Otherwise
        nothing changes if the view is anchored already, or if it has not
        read all records after `as_of`.
        """
        ahead = as_of >= self.next_offset
        if not ahead and (self.anchored or as_of + 1 < self._first_read):
            return
        self.anchored = True
        self.latest = ConfigAtOffset(config, as_of)
        self.next_offset = max(self.next_offset, as_of + 1)
        pending, self._pending = self._pending, []
        for entry in pending:
            if entry.offset > as_of:
                self._apply(entry)

    def _on_config(self, entry: ConfigAtOffset) -> None:
        if self.anchored:
            self._apply(entry)
        elif entry.config.after_gap and entry.config.version > self.version:
            self.anchored = True
            self.latest = entry
            self._pending.clear()
        else:
            self._buffer(entry)

    def _buffer(self, entry: ConfigAtOffset) -> None:
        self._pending.append(entry)
        if len(self._pending) > MAX_PENDING:
            dropped = self._pending.pop(0)
            self._first_read = dropped.offset + 1

    def _apply(self, entry: ConfigAtOffset) -> None:
        config = entry.config
        follows = config.made_from == self.version
        if follows and config.version == config.made_from + 1:
            self.latest = entry
