"""Check that a host notices at once that the store is back."""

import curio

from hibiscusslip.host import tailing
from hibiscusslip.http import messages
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import fakes


class Store:
    """Fail the first reads; record the wait times of the others."""

    def __init__(self, failures):
        self.failures_left = failures
        self.waits = []

    async def read(self, topic, start, wait, timeout, part, began):
        if self.failures_left:
            self.failures_left -= 1
            raise exceptions.StoreUnavailable('503')
        self.waits.append(wait)
        await curio.sleep(0.01)
        return store.Batch(start, [], 0, start)


class EmptyTail(tailing.Tail):
    topic = 't'
    wait = 0.6

    async def load_snapshot(self):
        return 0

    async def apply(self, offset, record):
        pass


def test_first_read_after_a_failure_doesnt_wait_for_a_record():
    store = Store(failures=2)
    ctx = fakes.make_context(store)

    async def main():
        async with curio.ignore_after(0.5):
            await EmptyTail(ctx).run()

    curio.run(main)
    assert store.waits[0] == 0.0
    assert set(store.waits[1:]) == {0.6}


def test_failed_read_logs_how_much_of_the_response_had_arrived():
    class IncompleteReads:
        async def read(self, topic, start, wait, timeout, part, began):
            transfer = messages.Transfer(300, 1000, 0.25)
            raise exceptions.StoreOutcomeUnknown('late', transfer)

    ctx = fakes.make_context(IncompleteReads())

    async def main():
        async with curio.ignore_after(0.02):
            await EmptyTail(ctx).run()

    curio.run(main)
    (line,) = ctx.log.named('tail_failed')
    assert line['received'] == 300
    assert line['expected'] == 1000
    assert line['first_byte_after'] == 0.25
    assert 'tail_bytes{topic="t"} 300' in ctx.metrics.render().decode()


def test_record_of_an_unexpected_form_is_left_out_and_blocks_no_other():
    class FailingOnce(tailing.Tail):
        topic = 't'

        def __init__(self, ctx):
            super().__init__(ctx)
            self.applied = []

        async def load_snapshot(self):
            return 0

        async def apply(self, offset, record):
            if record == b'odd':
                raise ValueError('unexpected')
            self.applied.append(record)

    class Records:
        async def read(self, topic, start, wait, timeout, part, began):
            return store.Batch(0, [b'a', b'odd', b'b'], 0, 3)

    ctx = fakes.make_context(Records())
    feed = FailingOnce(ctx)
    curio.run(feed.read_once, 0.0)
    assert feed.applied == [b'a', b'b']
    (event,) = ctx.log.named('record_left_out')
    assert event['offset'] == 1


class PagedStore:
    """Serve one record a read, as a store does with large records."""

    def __init__(self, records):
        self.records = records
        self.reads = 0

    async def read(self, topic, start, wait, timeout, part, began):
        self.reads += 1
        page = self.records[start : start + 1]
        return store.Batch(start, page, 0, len(self.records))


class RecordingTail(EmptyTail):
    def __init__(self, ctx):
        super().__init__(ctx)
        self.applied = []

    async def apply(self, offset, record):
        self.applied.append(record)


def test_topic_is_read_to_its_end_page_by_page():
    """Guards against a 410 for a job whose record is on a later page."""
    tail = RecordingTail(fakes.make_context(PagedStore([b'a', b'b', b'c'])))
    curio.run(tail.read_once, 0.0)
    assert tail.behind
    curio.run(tail.read_to_end)
    assert tail.applied == [b'a', b'b', b'c'] and not tail.behind


def test_record_written_before_a_read_to_the_end_isnt_missed():
    """Guards against a read that drops its records, as another was faster."""

    class Overtaken(PagedStore):
        async def read(self, topic, start, wait, timeout, part, began):
            batch = await super().read(
                topic, start, wait, timeout, part, began
            )
            if self.reads == 1:  # an earlier read applies the first record
                tail.offset = 1
            return batch

    tail = RecordingTail(fakes.make_context(Overtaken([b'a', b'b'])))
    curio.run(tail.read_to_end)
    assert tail.applied == [b'b']


def test_read_to_the_end_gives_up_without_progress():
    class Stuck(PagedStore):
        async def read(self, topic, start, wait, timeout, part, began):
            return store.Batch(start, [], 0, 2)

    tail = RecordingTail(fakes.make_context(Stuck([])))
    try:
        curio.run(tail.read_to_end)
    except curio.TaskError as exc:
        assert isinstance(exc.__cause__, exceptions.StoreOutcomeUnknown)
    except exceptions.StoreOutcomeUnknown:
        pass
    else:
        raise AssertionError('the missing records went unnoticed')
