"""Check what a host answers callers, and what it records of that."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import feeds
from hibiscusslip.host import front
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import store
from tests.host import fakes
from tests.platform import cell


def make_handler(config_age=0.0):
    ctx = fakes.make_context(None)
    ctx.config = documents.read_configuration(cell.config_document(7))
    ctx.config_confirmed_at = context.monotonic() - config_age
    return ctx, front.FrontHandler(ctx, None, None)


def request(path):
    headers = {'host': cell.HOST}
    return messages.Request('GET', path, {}, headers, b'', '127.0.0.1:1')


def test_unknown_queue_is_counted_and_logged_with_the_version():
    ctx, handler = make_handler()
    response = curio.run(handler.handle, request('/elsewhere/1'))
    assert response.status == 404
    (line,) = ctx.log.named('queue_not_found')
    assert line['path'] == '/elsewhere/1'
    assert line['version'] == 7
    assert 0 <= line['config_age'] < 5
    rendered = ctx.metrics.render().decode()
    assert 'answers{method="GET",status="404"} 1' in rendered


def test_unknown_queue_is_not_denied_by_an_outdated_configuration():
    """A newer version may have it; the caller may try again elsewhere."""
    ctx, handler = make_handler(config_age=2.5)
    response = curio.run(handler.handle, request('/elsewhere/1'))
    assert response.status == 503
    assert 'retry-after' in response.headers
    (line,) = ctx.log.named('queue_not_found')
    assert line['config_age'] >= 2.5


def test_configuration_is_confirmed_before_it_counts_as_outdated():
    """On an idle day each read waits, after a change the next one doesn't."""
    config = store.encode_keyed('config', cell.config_document(8))

    class ChangingStore:
        def __init__(self):
            self.waits = []

        async def newest(self, topic, timeout, part=0):
            values = {'config': cell.config_document(7)}
            return store.NewestValues(values, {'config': 0}, 1)

        async def read(self, topic, start, wait, timeout, part, began):
            self.waits.append(wait)
            records = [config] if len(self.waits) == 3 else []
            return store.Batch(start, records, 0, start + len(records))

    changing_store = ChangingStore()
    ctx = fakes.make_context(changing_store)
    feed = feeds.ConfigFeed(ctx)

    async def read_five_times():
        for _ in range(5):
            ctx.config_confirmed_at = 0.0
            await feed.read_once(feed._next_wait())
            confirmed.append(ctx.config_is_current(context.monotonic()))

    confirmed = []
    curio.run(read_five_times)
    assert 0 < feed.wait < ctx.cfg.bounds.config_apply
    assert changing_store.waits == [0.0, feed.wait, feed.wait, 0.0, feed.wait]
    assert confirmed == [True, True, False, True, True]
    assert ctx.config.version == 8
