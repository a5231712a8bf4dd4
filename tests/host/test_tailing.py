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
