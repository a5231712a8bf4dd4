"""Check what a host answers callers, and what it records of that."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import feeds
from hibiscusslip.host import front
from hibiscusslip.host import lease_handover
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
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


def size_of_queue(ctx, handler):
    return curio.run(handler.handle, request(cell.PREFIX))


def heartbeat(**fields):
    return notices.OwnerNotice(
        notices.HEARTBEAT, 4, 'h2', 'i2', '127.0.0.1', 7000, **fields
    )


def test_queue_size_is_not_0_before_a_notice_of_an_owner_was_read():
    """A host that had just started told that no job was pending."""
    ctx, handler = make_handler()
    assert size_of_queue(ctx, handler).status == 503
    ctx.ownership.record_read(12, 1.0)  # its notices aren't retained
    assert size_of_queue(ctx, handler).status == 503
    load = notices.QueueLoad(3)
    ctx.ownership.apply_notice(heartbeat(loads={'r-small': load}), 1.0)
    response = size_of_queue(ctx, handler)
    assert (response.status, b'3' in response.content) == (200, True)


def test_queue_size_of_a_new_cell_is_0():
    ctx, handler = make_handler()
    ctx.ownership.record_read(0, 1.0)
    assert size_of_queue(ctx, handler).status == 200


def test_owner_that_knows_no_loads_yet_tells_so():
    """All hosts were killed, and the former notices are deleted."""
    ctx, handler = make_handler()
    ctx.ownership.record_read(12, 1.0)
    keeper = ownership_keeper.OwnershipKeeper(
        ctx,
        None,
        4,
        lease_handover.LeaseHandover(ctx.ownership, 4),
        lambda: None,
        None,
    )
    notice = keeper._notice(notices.HEARTBEAT)
    ctx.ownership.apply_notice(
        notices.decode_owner(notices.encode(notice)), 1.0
    )
    assert size_of_queue(ctx, handler).status == 503
