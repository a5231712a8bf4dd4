"""Check that single records are left out, logged and counted."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import cancellations
from hibiscusslip.host import cell_feeds
from hibiscusslip.host import owner
from hibiscusslip.host import record_errors
from hibiscusslip.host import recovery
from hibiscusslip.host import submissions
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import fakes
from tests.platform import standin
from tests.platform import test_odd_entries

VALID = standin.Endpoint('e').entry('10.0.0.3:9', 's')


@pytest.mark.parametrize('value', test_odd_entries.REFUSED)
def test_odd_entry_is_logged_once_and_counted_each_time(value):
    ctx = fakes.make_context(None)
    for _ in range(3):
        assert record_errors.read_entry(ctx, 'e', value) is None
    (line,) = ctx.log.named('endpoint_entry_refused')
    assert line['endpoint'] == 'e'
    assert b'entries_refused 3' in ctx.metrics.render()
    assert record_errors.read_entry(ctx, 'e', VALID) is not None
    assert record_errors.read_entry(ctx, 'e', value) is None
    assert len(ctx.log.named('endpoint_entry_refused')) == 2


@pytest.mark.parametrize('name', ['', 'a\r\nb', 'a\x00b', '\xe4', ' e'])
def test_endpoint_with_a_name_that_cant_be_sent_is_refused(name):
    ctx = fakes.make_context(None)
    assert record_errors.read_entry(ctx, name, VALID) is None


class ListStore:
    """Return these entries as the list of endpoints."""

    def __init__(self, entries):
        self._entries = entries

    async def newest(self, topic, timeout, part=0):
        values = self._entries if topic == store.ENDPOINTS_TOPIC else {}
        offsets = {name: number for number, name in enumerate(values)}
        return store.NewestValues(values, offsets, len(values))


def fail_for(name, registered):
    """Return a method that fails for one endpoint, in any way."""

    def register_endpoint(self, entry, now):
        if entry.name == name:
            raise OverflowError('not expected by anybody')
        registered.append(entry.name)

    return register_endpoint


def test_recovery_goes_on_beside_an_entry_that_cant_be_applied(monkeypatch):
    """Each host that claimed the cell lost it again by this entry."""
    registered = []
    monkeypatch.setattr(
        engines.Engine, 'register_endpoint', fail_for('e1', registered)
    )
    ctx = fakes.make_context(ListStore({'e1': VALID, 'e2': VALID}))
    curio.run(
        recovery.recover,
        ctx,
        engines.Engine(5.9),
        recovery.PartitionReader(ctx),
        submissions.Submissions(ctx),
        cancellations.Cancellations(ctx),
    )
    assert registered == ['e2']
    (line,) = ctx.log.named('record_left_out')
    assert (line['key'], line['offset']) == ('e1', 0)


def test_feed_goes_on_beside_an_entry_that_cant_be_applied(monkeypatch):
    """The feed of a live owner ended, which then followed nothing."""
    registered = []
    monkeypatch.setattr(
        engines.Engine, 'register_endpoint', fail_for('e1', registered)
    )
    ctx = fakes.make_context(ListStore({'e1': VALID, 'e2': VALID}))
    local_owner = owner.Owner(ctx, None, None, 1)
    feed = cell_feeds.EndpointFeed(local_owner, 0)
    curio.run(feed.load_snapshot)
    assert registered == ['e2']
    assert len(ctx.log.named('record_left_out')) == 1


def test_errors_of_the_store_are_raised_as_they_are():
    ctx = fakes.make_context(None)
    with pytest.raises(exceptions.StoreUnavailable):
        with record_errors.leaving_out(ctx, 'topic', 0, 1, 'key'):
            raise exceptions.StoreUnavailable('503')
    assert ctx.log.events == []
