"""Track the configuration in force on this host."""

import random

from hibiscusslip import codec
from hibiscusslip.configuration import _records
from hibiscusslip.configuration import _view

# A version is appended again after a third to two thirds of the retention,
# which leaves time for retries before the log trims it.
SNAPSHOT_DELAY_FRACTION = 1 / 3
SNAPSHOT_JITTER_FRACTION = 1 / 3
# Hosts that detect a trimmed log together must not all append at once.
TRIMMED_JITTER_S = 10.0


class ConfigTracker:
    """Track the newest valid configuration, from the log or from peers.

    The version in force never decreases. `retention` is how long the log
    retains a record, in seconds; `rng` adds jitter to the snapshots.
    """

    def __init__(self, retention: float, rng: random.Random) -> None:
        self._retention = retention
        self._rng = rng
        self._view = _view.LogView()
        self._newest: _view.ConfigAtOffset | None = None
        self._caught_up = False
        self._received_from_peer = False
        self._snapshot_at: float | None = None
        self.malformed = 0

    @property
    def current(self) -> _records.ConfigRecord | None:
        """Return the configuration in force.

        None until the log was read to its end once or a peer sent one;
        before that, no jobs may be accepted.
        """
        known = self._caught_up or self._received_from_peer
        return self._newest.config if self._newest and known else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 without one."""
        config = self.current
        return config.version if config else 0

    @property
    def offset(self) -> int:
        """Return the latest offset at which `current` was provably valid."""
        if self._newest is None:
            return -1
        known = self._newest.offset
        if self._view.anchored and self._view.version == self.version:
            return max(self._view.next_offset - 1, known)
        return known

    @property
    def next_offset(self) -> int:
        """Return the offset from which to read the stream."""
        return self._view.next_offset

    @property
    def anchored(self) -> bool:
        """Return True if the latest version is known from the log itself."""
        return self._view.anchored and self._caught_up

    def view(self) -> _view.LogView:
        """Return a copy of the view of the log."""
        return self._view.copy()

    def on_record(self, offset: int, data: bytes, now: float) -> bool:
        """Apply the record at `offset`; return True if the version rose.

        Records before `next_offset` were already read and are ignored.
        """
        if offset < self._view.next_offset:
            return False
        before = self.version
        record = self._decode(data)
        self._view.on_record(offset, record)
        self._adopt(self._view.latest, now)
        if isinstance(record, _records.ConfigSnapshot):
            self._adopt(_view.ConfigAtOffset(record.config, record.as_of), now)
            if record.config.version == self.version:
                self._schedule_snapshot(now)
        return self.version > before

    def on_trimmed(self, first: int, now: float) -> None:
        """Handle that the log has trimmed all records before `first`.

        The version in force stays and is soon appended again, so that new
        hosts find it.
        """
        if first <= self._view.next_offset:
            return
        self._view.on_trimmed(first)
        if self._newest is not None:
            self._view.anchor(self._newest.config, self._newest.offset)
        self._snapshot_at = now + self._rng.uniform(0, TRIMMED_JITTER_S)

    def on_caught_up(self, now: float) -> bool:
        """Record that the stream was read to its end.

        Return True if a version came into force.
        """
        before = self.version
        if not self._caught_up:
            self._caught_up = True
            # The records read so far may be old already, so the fixed delay
            # does not apply.
            self._snapshot_at = now + self._jitter()
        return self.version > before

    def on_peer_config(
        self, version: int, offset: int, data: bytes, now: float
    ) -> bool:
        """Apply a configuration that a peer knows was valid at `offset`.

        Return True if the version in force rose. Raise CodecError.
        """
        config = _records.decode_config(data)
        if config.version != version:
            raise codec.CodecError(
                f'the record contains version {config.version}, not {version};'
                ' ask another host'
            )
        before = self.version
        self._received_from_peer = True
        self._view.anchor(config, offset)
        self._adopt(_view.ConfigAtOffset(config, offset), now)
        self._adopt(self._view.latest, now)
        return self.version > before

    def snapshot_due(self, now: float) -> bool:
        """Return True if the version in force should be appended again."""
        due = self._snapshot_at is not None and now >= self._snapshot_at
        return due and self._caught_up and self.current is not None

    def make_snapshot(self, record_id: str, now: float) -> bytes:
        """Return a snapshot record of the version in force.

        Call it only if `snapshot_due`; it schedules the next snapshot.
        """
        config = self.current
        if config is None:
            raise RuntimeError(
                'no configuration is in force; check snapshot_due first'
            )
        self._schedule_snapshot(now)
        return _records.encode(
            _records.ConfigSnapshot(record_id, self.offset, config)
        )

    def _decode(self, data: bytes) -> _records.StreamRecord | None:
        try:
            return _records.decode(data)
        except codec.CodecError:
            self.malformed += 1
            return None

    def _adopt(
        self, candidate: _view.ConfigAtOffset | None, now: float
    ) -> None:
        newest = self._newest.config.version if self._newest else 0
        if candidate is not None and candidate.config.version > newest:
            self._newest = candidate
            if self._caught_up:
                self._schedule_snapshot(now)

    def _schedule_snapshot(self, now: float) -> None:
        after = self._retention * SNAPSHOT_DELAY_FRACTION
        self._snapshot_at = now + after + self._jitter()

    def _jitter(self) -> float:
        return self._rng.uniform(0, self._retention * SNAPSHOT_JITTER_FRACTION)
