"""Check publishing with lost responses and concurrent operators."""

import random

import curio
import pytest

import hibiscusslip.configuration as configuration
from hibiscusslip.model import work
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
import hibiscusslip.sheet as sheet


class FakeLog(base.Log):
    """Store one stream in memory and fail as configured."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.before_append = []
        self.lose_response = False
        self.lose_record = False
        self.down = False
        self.failed_reads = 0

    async def append(self, stream, records):
        if self.down:
            raise exceptions.LogUnavailable('the log is down')
        self.records += self.before_append
        self.before_append = []
        if not self.lose_record:
            self.records += records
        if self.lose_response:
            raise exceptions.AppendOutcomeUnknown('no answer')
        return len(self.records) - len(records)

    async def read(self, stream, offset, limit, wait):
        if self.failed_reads:
            self.failed_reads -= 1
            raise exceptions.LogUnavailable('the log is down')
        if offset < self.first:
            raise exceptions.RecordsTrimmed(stream, offset, self.first)
        end = len(self.records)
        result = [
            base.LogRecord(number, self.records[number])
            for number in range(offset, min(end, offset + limit))
        ]
        return base.ReadBatch(result, offset + len(result), self.first, end)

    async def close(self):
        """Do nothing."""


class Clock:
    """Advance by a second at each call."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        self.now += 1.0
        return self.now


def record_of(author, made_from, share=0.5):
    """Return a record published by an author."""
    row = sheet.Share('web', share, 1.0, work.Urgency.NORMAL, True)
    content = sheet.Sheet((row,), (), ())
    return configuration.make_record(author, made_from, author, content, 0.0)


def publish(log, record, tracker=None):
    """Publish on a host that has read the log to its end."""
    tracker = tracker or configuration.ConfigTracker(9.0, random.Random(1))

    async def run():
        await configuration.read_next(log, tracker, Clock(), 0.0)
        return await configuration.publish(
            log, tracker.view(), record, Clock(), 20.0
        )

    return curio.run(run)


def test_accepted_means_read_back_at_its_offset():
    log = FakeLog()
    assert publish(log, record_of('ann', 0)) == configuration.Accepted(1, 0)
    assert publish(log, record_of('bob', 1)) == configuration.Accepted(2, 1)


def test_outcome_after_a_lost_response_is_found_by_record_id():
    log = FakeLog()
    log.lose_response = True
    log.failed_reads = 3
    tracker = configuration.ConfigTracker(9.0, random.Random(1))
    tracker.on_caught_up(0.0)

    async def run():
        return await configuration.publish(
            log, tracker.view(), record_of('ann', 0), Clock(), 20.0
        )

    assert curio.run(run) == configuration.Accepted(1, 0)
    assert len(log.records) == 1


def test_lost_response_without_a_record_is_an_unknown_outcome():
    log = FakeLog()
    log.lose_response = log.lose_record = True
    result = publish(log, record_of('ann', 0))
    assert isinstance(result, configuration.OutcomeUnknown)
    assert result.record_id == 'ann'


@pytest.mark.parametrize('lost', [False, True])
def test_version_conflict_names_the_winner_and_the_differences(lost):
    log = FakeLog()
    log.before_append = [configuration.encode(record_of('bob', 0, 0.25))]
    log.lose_response = log.lose_record = lost
    result = publish(log, record_of('ann', 0))
    assert result.winner.author == 'bob'
    assert [str(change) for change in result.changes] == [
        'changed share web: guarantee 0.25 -> 0.5'
    ]


def test_sheet_made_from_an_old_version_is_rejected_before_the_append():
    log = FakeLog()
    publish(log, record_of('bob', 0))
    result = publish(log, record_of('ann', 0))
    assert result.winner.author == 'bob'
    assert len(log.records) == 1


def test_unavailable_log_means_nothing_was_written():
    log = FakeLog()
    log.down = True
    result = publish(log, record_of('ann', 0))
    assert isinstance(result, configuration.NotPublished)
    assert 'nothing was written' in result.detail


def test_host_with_a_gap_does_not_publish():
    log = FakeLog()
    log.records = [b'', b'']
    log.first = 1
    result = publish(log, record_of('ann', 0))
    assert '--after-gap' in result.detail
