"""Check what publishing tells when answers are lost and operators race."""

import random

import curio
import pytest

import hibiscusslip.configuration as configuration
from hibiscusslip.model import work
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
import hibiscusslip.sheet as sheet


class FakeLog(base.Log):
    """Keep one stream in memory and fail as told."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.before_append = []
        self.lose_answer = False
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
        if self.lose_answer:
            raise exceptions.AppendUnsettled('no answer')
        return len(self.records) - len(records)

    async def read(self, stream, offset, limit, wait):
        if self.failed_reads:
            self.failed_reads -= 1
            raise exceptions.LogUnavailable('the log is down')
        if offset < self.first:
            raise exceptions.RecordsTrimmed(stream, offset, self.first)
        end = len(self.records)
        found = [
            base.LogRecord(number, self.records[number])
            for number in range(offset, min(end, offset + limit))
        ]
        return base.ReadBatch(found, offset + len(found), self.first, end)

    async def close(self):
        """Do nothing."""


class Clock:
    """Step on by a second at each look."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        self.now += 1.0
        return self.now


def record_of(author, made_from, share=0.5):
    """Return a record by an author."""
    row = sheet.Share('web', share, 1.0, work.Urgency.NORMAL, True)
    content = sheet.Sheet((row,), (), ())
    return configuration.make_record(author, made_from, author, content, 0.0)


def publish(log, record, tracker=None):
    """Publish by a host that has read the log to its end."""
    tracker = tracker or configuration.ConfigTracker(9.0, random.Random(1))

    async def run():
        await configuration.read_on(log, tracker, Clock(), 0.0)
        return await configuration.publish(
            log, tracker.view(), record, Clock(), 20.0
        )

    return curio.run(run)


def test_accepted_means_read_back_at_its_offset():
    log = FakeLog()
    assert publish(log, record_of('ann', 0)) == configuration.Accepted(1, 0)
    assert publish(log, record_of('bob', 1)) == configuration.Accepted(2, 1)


def test_lost_answer_is_settled_by_the_record_id():
    log = FakeLog()
    log.lose_answer = True
    log.failed_reads = 3
    tracker = configuration.ConfigTracker(9.0, random.Random(1))
    tracker.on_caught_up(0.0)

    async def run():
        return await configuration.publish(
            log, tracker.view(), record_of('ann', 0), Clock(), 20.0
        )

    assert curio.run(run) == configuration.Accepted(1, 0)
    assert len(log.records) == 1


def test_lost_answer_and_no_record_is_unsettled():
    log = FakeLog()
    log.lose_answer = log.lose_record = True
    found = publish(log, record_of('ann', 0))
    assert isinstance(found, configuration.OutcomeUnknown)
    assert found.record_id == 'ann'


@pytest.mark.parametrize('lost', [False, True])
def test_lost_race_names_the_winner_and_what_differs(lost):
    log = FakeLog()
    log.before_append = [configuration.encode(record_of('bob', 0, 0.25))]
    log.lose_answer = log.lose_record = lost
    found = publish(log, record_of('ann', 0))
    assert found.winner.author == 'bob'
    assert [str(change) for change in found.changes] == [
        'changed share web: guarantee 0.25 -> 0.5'
    ]


def test_sheet_made_from_an_old_version_is_refused_before_the_append():
    log = FakeLog()
    publish(log, record_of('bob', 0))
    found = publish(log, record_of('ann', 0))
    assert found.winner.author == 'bob'
    assert len(log.records) == 1


def test_log_down_means_nothing_was_written():
    log = FakeLog()
    log.down = True
    found = publish(log, record_of('ann', 0))
    assert isinstance(found, configuration.NotPublished)
    assert 'nothing was written' in found.detail


def test_host_with_a_gap_does_not_publish():
    log = FakeLog()
    log.records = [b'', b'']
    log.first = 1
    found = publish(log, record_of('ann', 0))
    assert '--after-gap' in found.detail
