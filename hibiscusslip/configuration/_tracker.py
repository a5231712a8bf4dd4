"""Track which configuration is in force on this host."""

import random

from hibiscusslip import codec
from hibiscusslip.configuration import _records
from hibiscusslip.configuration import _view

# A version is kept again after a third to two thirds of the retention, so
# that even lost attempts leave time for others.
KEEP_AFTER_PART = 1 / 3
KEEP_SPREAD_PART = 1 / 3
# Hosts that notice a trimmed log together must not all append at once.
TRIMMED_SPREAD_S = 10.0


class ConfigTracker:
    """Hold the newest valid configuration known, from log or neighbours.

    The version in force never goes down. `retention` is how long the log
    keeps a record, in seconds; `rng` spreads the hosts' re-appends.
    """

    def __init__(self, retention: float, rng: random.Random) -> None:
        self._retention = retention
        self._rng = rng
        self._view = _view.LogView()
        self._newest: _view.Placed | None = None
        self._caught_up = False
        self._passed_on = False
        self._keep_at: float | None = None
        self.malformed = 0

    @property
    def current(self) -> _records.ConfigRecord | None:
        """Return the configuration in force.

        None until the log was read to its end once or a neighbour passed
        one on: no work may be taken before.
        """
        known = self._caught_up or self._passed_on
        return self._newest.config if self._newest and known else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        config = self.current
        return config.version if config else 0

    @property
    def offset(self) -> int:
        """Return the latest offset at which `current` surely was valid."""
        if self._newest is None:
            return -1
        known = self._newest.offset
        if self._view.anchored and self._view.version == self.version:
            return max(self._view.next_offset - 1, known)
        return known

    @property
    def next_offset(self) -> int:
        """Return the offset to read the stream from."""
        return self._view.next_offset

    @property
    def anchored(self) -> bool:
        """Tell whether the log decides here which version is the latest."""
        return self._view.anchored and self._caught_up

    def view(self) -> _view.LogView:
        """Return a copy of what the log says so far."""
        return self._view.copy()

    def on_record(self, offset: int, data: bytes, now: float) -> bool:
        """Take the record at `offset`; return whether a version came.

        Records before `next_offset` were read already and are ignored.
        """
        if offset < self._view.next_offset:
            return False
        before = self.version
        record = self._decode(data)
        self._view.on_record(offset, record)
        self._adopt(self._view.latest, now)
        if isinstance(record, _records.ConfigSnapshot):
            self._adopt(_view.Placed(record.config, record.as_of), now)
            if record.config.version == self.version:
                self._schedule(now)
        return self.version > before

    def on_trimmed(self, first: int, now: float) -> None:
        """Take note that the log keeps nothing before `first`.

        The version in force stays, and is appended again soon so that new
        hosts find it.
        """
        if first <= self._view.next_offset:
            return
        self._view.on_trimmed(first)
        if self._newest is not None:
            self._view.anchor(self._newest.config, self._newest.offset)
        self._keep_at = now + self._rng.uniform(0, TRIMMED_SPREAD_S)

    def on_caught_up(self, now: float) -> bool:
        """Take note that the stream is read to its end.

        Return whether a version came into force by it.
        """
        before = self.version
        if not self._caught_up:
            self._caught_up = True
            # How old the records read so far are can't be told.
            self._keep_at = now + self._spread()
        return self.version > before

    def on_peer_config(
        self, version: int, offset: int, data: bytes, now: float
    ) -> bool:
        """Take a configuration that a neighbour holds valid at `offset`.

        Return whether a version came. Raises CodecError.
        """
        config = _records.decode_config(data)
        if config.version != version:
            raise codec.CodecError(
                f'the record holds version {config.version}, not {version};'
                ' ask another host'
            )
        before = self.version
        self._passed_on = True
        self._view.anchor(config, offset)
        self._adopt(_view.Placed(config, offset), now)
        self._adopt(self._view.latest, now)
        return self.version > before

    def snapshot_due(self, now: float) -> bool:
        """Tell whether the version in force should be appended again."""
        due = self._keep_at is not None and now >= self._keep_at
        return due and self._caught_up and self.current is not None

    def make_snapshot(self, record_id: str, now: float) -> bytes:
        """Return the record that keeps the version in force.

        Call it only when `snapshot_due`; the next one is due much later.
        """
        config = self.current
        if config is None:
            raise RuntimeError(
                'there is no configuration to keep; check snapshot_due first'
            )
        self._schedule(now)
        return _records.encode(
            _records.ConfigSnapshot(record_id, self.offset, config)
        )

    def _decode(self, data: bytes) -> _records.StreamRecord | None:
        try:
            return _records.decode(data)
        except codec.CodecError:
            self.malformed += 1
            return None

    def _adopt(self, placed: _view.Placed | None, now: float) -> None:
        newest = self._newest.config.version if self._newest else 0
        if placed is not None and placed.config.version > newest:
            self._newest = placed
            if self._caught_up:
                self._schedule(now)

    def _schedule(self, now: float) -> None:
        after = self._retention * KEEP_AFTER_PART
        self._keep_at = now + after + self._spread()

    def _spread(self) -> float:
        return self._rng.uniform(0, self._retention * KEEP_SPREAD_PART)
