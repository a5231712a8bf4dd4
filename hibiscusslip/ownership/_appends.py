"""Track this host's appends until the log shows their outcome."""

import dataclasses
import enum

from hibiscusslip.ownership import _track
from hibiscusslip.records import zone as zone_records

MAX_PENDING = 16
CLAIM_KINDS = (_track.EntryKind.CLAIM, _track.EntryKind.BOOTSTRAP)

Predecessor = tuple[int, int]


class AppendOutcome(enum.Enum):
    """Enumerate the outcomes of an append as known from its response.

    REFUSED means that the record was not appended. UNKNOWN stands for a lost
    response: only reading the log shows the outcome.
    """

    APPENDED = 'appended'
    REFUSED = 'refused'
    UNKNOWN = 'unsettled'


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """Represent a record of this host that may have been appended.

    `shards` maps each shard to the predecessor (epoch, seq) that the record
    names. `outcome_unknown` is set once the response is lost. `blocking` is
    true while the response is awaited and, after a lost one, until the log
    has been read to its end without the record. `abandoned` marks claims
    that take no effect even if they are appended.
    """

    record_id: str
    kind: _track.EntryKind
    sent_at: float
    shards: dict[int, tuple[int, int]]
    blocking: bool = True
    outcome_unknown: bool = False
    abandoned: bool = False


class PendingAppends:
    """Store the pending appends of one host.

    When there are too many, the oldest one that no longer blocks is evicted.
    An evicted record gives no lease if it is appended after all, but each
    shard retains that a claim of it may still be appended.
    """

    def __init__(self) -> None:
        self._pending: dict[str, PendingAppend] = {}
        self._evicted_claims: dict[
            tuple[int, _track.EntryKind], Predecessor
        ] = {}

    def add(self, append: PendingAppend) -> None:
        """Add a record that is about to be sent."""
        if len(self._pending) >= MAX_PENDING:
            self._evict(
                next(a for a in self._pending.values() if not a.blocking)
            )
        self._pending[append.record_id] = append

    def _evict(self, append: PendingAppend) -> None:
        del self._pending[append.record_id]
        if append.kind in CLAIM_KINDS and not append.abandoned:
            for shard, predecessor in append.shards.items():
                self._evicted_claims[shard, append.kind] = predecessor

    def mark_sent(self, record_id: str, sent_at: float) -> None:
        """Record the time right before the first send, in seconds."""
        append = self._pending.get(record_id)
        if append is not None and not append.outcome_unknown:
            append.sent_at = sent_at

    def record_outcome(
        self, record_id: str, outcome: AppendOutcome
    ) -> PendingAppend | None:
        """Record an outcome; return the append if it provably failed."""
        append = self._pending.get(record_id)
        if append is None:
            return None
        if outcome is AppendOutcome.REFUSED and not append.outcome_unknown:
            return self._pending.pop(record_id)
        if outcome is AppendOutcome.UNKNOWN:
            append.outcome_unknown = True
        return None

    def pop(self, record_id: str) -> PendingAppend | None:
        """Remove and return the append whose record was read from the log."""
        return self._pending.pop(record_id, None)

    def on_caught_up(self) -> None:
        """Unblock shards of lost responses, as the log was read to its end."""
        for append in self._pending.values():
            if append.outcome_unknown:
                append.blocking = False

    def mark_all_unknown(self) -> None:
        """Mark all outcomes unknown, as records of the log were missed."""
        for append in self._pending.values():
            append.outcome_unknown = True

    def drop_superseded(
        self, shard: int, latest: _track.Holding, is_new_entry: bool
    ) -> None:
        """Drop the appends that a shard's latest entry makes invalid.

        `is_new_entry` is False if a snapshot revealed an earlier entry; only
        a new entry invalidates a bootstrap record.
        """
        now_latest = (latest.epoch, latest.seq)
        if is_new_entry:
            self._evicted_claims.pop((shard, _track.EntryKind.BOOTSTRAP), None)
        if (
            self._evicted_claims.get((shard, _track.EntryKind.CLAIM))
            != now_latest
        ):
            self._evicted_claims.pop((shard, _track.EntryKind.CLAIM), None)
        for record_id, append in list(self._pending.items()):
            if append.kind is _track.EntryKind.BOOTSTRAP:
                superseded = is_new_entry and shard in append.shards
            else:
                superseded = append.shards.get(shard, now_latest) != now_latest
            if superseded:
                del append.shards[shard]
                if not append.shards:
                    del self._pending[record_id]

    def is_blocked(self, shard: int) -> bool:
        """Return True while no further record may name the shard."""
        return any(
            append.blocking and shard in append.shards
            for append in self._pending.values()
        )

    def is_full(self) -> bool:
        """Return True if no further append may be added."""
        waiting = sum(append.blocking for append in self._pending.values())
        return waiting >= MAX_PENDING

    def claim_may_take_effect(self, shard: int) -> bool:
        """Return True if a claim of the shard may still take effect."""
        if any((shard, kind) in self._evicted_claims for kind in CLAIM_KINDS):
            return True
        return any(
            append.kind in CLAIM_KINDS
            and not append.abandoned
            and shard in append.shards
            for append in self._pending.values()
        )

    def abandon_claims(self) -> None:
        """Abandon all claims, so that they take no effect if appended."""
        self._evicted_claims.clear()
        for append in self._pending.values():
            append.abandoned = True


def claim_entries(
    shards: dict[int, tuple[int, int]],
) -> list[zone_records.ClaimEntry]:
    """Return a record's entries, given the predecessor of each shard."""
    return [
        zone_records.ClaimEntry(shard, epoch, seq)
        for shard, (epoch, seq) in sorted(shards.items())
    ]
