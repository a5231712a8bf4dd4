"""Check configuration trackers against a simple oracle."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from hibiscusslip import codec
import hibiscusslip.configuration as configuration
from hibiscusslip.model import work
import hibiscusslip.sheet as sheet

RETENTION_S = 90.0
MAX_READERS = 4


def sheet_of(share):
    """Return a sheet with one kind."""
    row = sheet.Share('web', share, 1.0, work.Urgency.NORMAL, True)
    return sheet.Sheet((row,), (), ())


def record_of(number, made_from, after_gap=False):
    """Return a configuration record."""
    return configuration.make_record(
        f'r{number}', made_from, 'ann', sheet_of(0.5), 0.0, after_gap
    )


def tracker_of(*records):
    """Return a tracker that has read the records from offset 0."""
    tracker = configuration.ConfigTracker(RETENTION_S, random.Random(1))
    for offset, record in enumerate(records):
        tracker.on_record(offset, configuration.encode(record), 0.0)
    tracker.on_caught_up(0.0)
    return tracker


class Oracle:
    """Store the whole log and derive the valid version from it."""

    def __init__(self):
        self.log = []
        self.first = 0

    def valid_at(self, offset):
        """Return the latest valid record up to and including an offset."""
        latest = None
        for record in self.log[: offset + 1]:
            version = latest.version if latest else 0
            plain = isinstance(record, configuration.ConfigRecord)
            if plain and record.made_from == version:
                latest = record
        return latest

    def ever_valid(self):
        """Return the ids of all records that were ever valid."""
        found = {self.valid_at(offset) for offset in range(len(self.log))}
        return {record.record_id for record in found if record}


class Machine(stateful.RuleBasedStateMachine):
    """Publish, delay, trim, read and exchange records in any order."""

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()
        self.readers = [tracker_of()]
        self.highest = [0]
        self.in_flight = []
        self.number = 0

    def reader(self, pick):
        """Return one of the readers."""
        return self.readers[pick % len(self.readers)]

    @stateful.rule(pick=st.integers(0, 9), late=st.booleans())
    def publish(self, pick, late):
        """Publish based on a reader's version, with or without delay."""
        view = self.reader(pick).view()
        if view.anchored:
            self.number += 1
            self.send(record_of(self.number, view.version), late)

    @stateful.rule(pick=st.integers(0, 9), late=st.booleans())
    def keep(self, pick, late):
        """Append a snapshot of the version in force, due or not."""
        tracker = self.reader(pick)
        if tracker.current is not None:
            data = tracker.make_snapshot('s', 0.0)
            self.send(configuration.decode(data), late)

    def send(self, record, late):
        """Append a record now, or leave it in flight."""
        if late:
            self.in_flight.append(record)
        else:
            self.oracle.log.append(record)

    @stateful.rule(pick=st.integers(0, 9))
    def land(self, pick):
        """Append a record that was in flight."""
        if self.in_flight:
            record = self.in_flight.pop(pick % len(self.in_flight))
            self.oracle.log.append(record)

    @stateful.rule(count=st.integers(1, 4))
    def trim(self, count):
        """Trim the oldest records."""
        self.oracle.first = min(
            self.oracle.first + count, len(self.oracle.log)
        )

    @stateful.rule(pick=st.integers(0, 9), limit=st.integers(1, 9))
    def read(self, pick, limit):
        """Have a reader read more records, perhaps to the end."""
        tracker = self.reader(pick)
        tracker.on_trimmed(self.oracle.first, 0.0)
        start = tracker.next_offset
        for offset in range(start, min(start + limit, len(self.oracle.log))):
            data = configuration.encode(self.oracle.log[offset])
            tracker.on_record(offset, data, 0.0)
        if tracker.next_offset >= len(self.oracle.log):
            tracker.on_caught_up(0.0)

    @stateful.rule(giver=st.integers(0, 9), taker=st.integers(0, 9))
    def pass_on(self, giver, taker):
        """Send the version of one reader to another."""
        source = self.reader(giver)
        if source.current is not None:
            data = configuration.encode(source.current)
            self.reader(taker).on_peer_config(
                source.version, source.offset, data, 0.0
            )

    @stateful.rule(pick=st.integers(0, 9))
    def replace(self, pick):
        """Add a new reader, or replace one if there are enough."""
        tracker = configuration.ConfigTracker(RETENTION_S, random.Random(2))
        if len(self.readers) < MAX_READERS:
            self.readers.append(tracker)
            self.highest.append(0)
        else:
            self.readers[pick % MAX_READERS] = tracker
            self.highest[pick % MAX_READERS] = 0

    @stateful.invariant()
    def in_force_was_valid_and_never_reverts(self):
        """Check the version in force against the oracle."""
        valid = self.oracle.ever_valid()
        for index, tracker in enumerate(self.readers):
            assert tracker.version >= self.highest[index]
            self.highest[index] = tracker.version
            if tracker.current is not None:
                assert tracker.current.record_id in valid

    @stateful.invariant()
    def anchored_views_agree_with_the_whole_log(self):
        """Compare each anchored view with the oracle at its offset."""
        for tracker in self.readers:
            view = tracker.view()
            if view.anchored:
                latest = view.latest.config if view.latest else None
                assert latest == self.oracle.valid_at(view.next_offset - 1)


Machine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=60,
)
TestMachine = Machine.TestCase


def test_the_first_record_of_a_version_wins():
    tracker = tracker_of(record_of(1, 0), record_of(2, 0), record_of(3, 1))
    assert (tracker.version, tracker.current.record_id) == (2, 'r3')


def test_nothing_is_in_force_before_the_log_is_read_to_its_end():
    tracker = configuration.ConfigTracker(RETENTION_S, random.Random(1))
    data = configuration.encode(record_of(1, 0))
    assert not tracker.on_record(0, data, 0.0)
    assert tracker.current is None
    assert tracker.on_caught_up(0.0)
    assert tracker.version == 1


@pytest.mark.parametrize('cut', [0, 9, -1])
def test_malformed_records_are_skipped_and_counted(cut):
    tracker = tracker_of()
    tracker.on_record(0, configuration.encode(record_of(1, 0))[:cut], 0.0)
    assert (tracker.malformed, tracker.next_offset) == (1, 1)


def test_record_of_a_peer_must_have_the_announced_version():
    with pytest.raises(codec.CodecError, match='ask another host'):
        tracker_of().on_peer_config(
            9, 0, configuration.encode(record_of(1, 0)), 0.0
        )


def test_version_is_appended_again_before_the_log_trims_it():
    tracker = tracker_of(record_of(1, 0))
    due = next(n for n in range(99) if tracker.snapshot_due(float(n)))
    assert due <= RETENTION_S / 3
    snapshot = tracker.make_snapshot('s', float(due))
    assert not tracker.snapshot_due(due + RETENTION_S / 3 - 1)
    assert tracker.snapshot_due(due + RETENTION_S * 2 / 3)
    fresh = configuration.ConfigTracker(RETENTION_S, random.Random(2))
    fresh.on_trimmed(1, 0.0)
    fresh.on_record(1, snapshot, 0.0)
    fresh.on_caught_up(0.0)
    assert (fresh.version, fresh.anchored) == (1, True)


def test_snapshot_by_another_host_postpones_the_next_one():
    tracker = tracker_of(record_of(1, 0))
    other = tracker_of(record_of(1, 0))
    tracker.on_record(1, other.make_snapshot('s', 0.0), 40.0)
    assert not tracker.snapshot_due(40.0 + RETENTION_S / 3 - 1)


def test_operator_restarts_the_sequence_after_a_gap():
    tracker = tracker_of(record_of(1, 0))
    tracker.on_trimmed(5, 0.0)
    assert (tracker.version, tracker.anchored) == (1, False)
    tracker.on_record(5, configuration.encode(record_of(6, 1)), 0.0)
    assert (tracker.version, tracker.anchored) == (1, False)
    tracker.on_record(6, configuration.encode(record_of(7, 1, True)), 0.0)
    assert (tracker.current.record_id, tracker.anchored) == ('r7', True)


def test_policy_carries_shares_and_quotas():
    quota = sheet.Quota('red', 1000, 2048, 3, 2.0)
    content = sheet.Sheet(sheet_of(0.5).shares, (quota,), ())
    policy = configuration.to_policy(content, 7)
    assert policy.version == 7
    assert policy.shares['web'].guarantee == 0.5
    assert policy.quotas['red'].limit.memory_mb == 2048


def test_late_snapshot_does_not_validate_a_losing_record_after_a_gap():
    stale = configuration.ConfigSnapshot('s', 0, record_of(1, 0))
    fresh = configuration.ConfigTracker(RETENTION_S, random.Random(2))
    # Offset 1 held version 2 and is trimmed; it invalidates offset 3.
    fresh.on_trimmed(2, 0.0)
    fresh.on_record(2, configuration.encode(stale), 0.0)
    fresh.on_record(3, configuration.encode(record_of(3, 1)), 0.0)
    fresh.on_caught_up(0.0)
    assert (fresh.version, fresh.anchored) == (1, False)
    winner = configuration.encode(record_of(2, 1))
    assert fresh.on_peer_config(2, 1, winner, 0.0)
    assert (fresh.current.record_id, fresh.anchored) == ('r2', True)


def test_new_host_skips_to_the_offset_of_a_peer():
    fresh = configuration.ConfigTracker(RETENTION_S, random.Random(2))
    data = configuration.encode(record_of(9, 8))
    assert fresh.on_peer_config(9, 70, data, 0.0)
    assert (fresh.version, fresh.next_offset) == (9, 71)
