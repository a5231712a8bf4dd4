"""Check that peers' configurations are used where the store doesn't answer."""

import dataclasses
import random
import zlib

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.host import config_exchange
from hibiscusslip.host import context
from hibiscusslip.host import feeds
from hibiscusslip.host import notices
from hibiscusslip.peer import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import settings
from hibiscusslip.platform import store
from tests.host import fakes
from tests.host import test_access
from tests.platform import cell

ORGANISATIONS = frozenset((settings.ORGANISATIONS_CONTRACT,))
ASKED = settings.Bounds().config_apply * config_exchange.UNCONFIRMED_SHARE


class Peers:
    """Hosts whose calls reach one another without a network."""

    def __init__(self):
        self.exchanges = {}
        self.calls = []
        self.documents = []

    def add(self, name, config, age, contracts=ORGANISATIONS):
        """Add a host whose store confirmed its configuration `age` s ago."""
        ctx = fakes.make_context(None, name)
        ctx.cfg = dataclasses.replace(ctx.cfg, contracts=contracts)
        ctx.config = config
        ctx.config_confirmed_at = context.monotonic() - age
        feed = feeds.ConfigFeed(ctx)
        feed.confirmed_at = ctx.config_confirmed_at
        exchange = config_exchange.ConfigExchange(ctx, feed, self)
        self.exchanges[name] = exchange
        record = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
        for known in self.exchanges.values():
            known._ctx.hosts = {other: record for other in self.exchanges}
        return ctx

    def ask(self, name):
        return curio.run(self.exchanges[name].ask_peers)

    async def call_all(self, names, query, timeout):
        replies = {}
        for name in names:
            self.calls.append((name, query))
            reply = self.exchanges[name].reply(query, context.monotonic())
            if getattr(reply, 'document', b''):
                self.documents.append(reply.document)
            replies[name] = reply
        return replies


def test_peer_confirms_a_version_only_as_of_its_own_confirmation():
    """Otherwise hosts without a store would keep each other current."""
    peers = Peers()
    ctx = peers.add('h1', test_access.read(), age=9.0)
    peers.add('h2', test_access.read(), age=1.0)
    assert peers.ask('h1')
    now = context.monotonic()
    assert 1.0 <= now - ctx.config_confirmed_at < 1.5
    assert ctx.config_is_current(now)
    before = ctx.config_confirmed_at
    peers.exchanges['h2']._ctx.config_confirmed_at -= 0.5
    assert peers.ask('h1')
    assert ctx.config_confirmed_at == before


def test_hosts_that_all_lack_the_store_confirm_one_another():
    peers = Peers()
    contexts = [peers.add(f'h{n}', test_access.read(), 9.0) for n in range(4)]
    confirmed_at = [ctx.config_confirmed_at for ctx in contexts]
    assert not any(peers.ask(f'h{number}') for number in range(4))
    assert confirmed_at == [ctx.config_confirmed_at for ctx in contexts]


@pytest.mark.parametrize('known', [test_access.read(), None])
def test_newer_version_is_fetched_from_several_peers(known):
    """A document has tens of kilobytes, and so one peer sends it, once."""
    newer = test_access.read({'o1': ['second-key']}, version=2)
    peers = Peers()
    ctx = peers.add('h1', known, age=9.0)
    for number in range(2, 6):
        peers.add(f'h{number}', newer, age=0.1)
    assert peers.ask('h1')
    assert peers.ask('h1')
    assert ctx.config == newer
    assert ctx.config_is_current(context.monotonic())
    assert len(peers.documents) == 1
    per_round = config_exchange.MAX_PEERS
    assert len(peers.calls) == 2 * per_round + 1


def test_older_version_of_a_peer_is_taken():
    peers = Peers()
    newer = test_access.read(version=2)
    ctx = peers.add('h1', newer, age=9.0)
    peers.add('h2', test_access.read(version=1), age=0.1)
    assert not peers.ask('h1')
    assert ctx.config is newer
    assert not ctx.config_is_current(context.monotonic())


def test_message_carries_keys():
    """Peers get the digests only."""
    document = zlib.decompress(config_exchange.encode(test_access.read()))
    assert b'-key' not in document
    assert documents.key_digest('first-key') in document


def test_document_of_another_build_is_refused():
    """A build may know more fields or fewer than its peer."""
    config = test_access.read()
    document = zlib.decompress(config_exchange.encode(config))
    fields = msgspec.msgpack.decode(document)
    fields['later'] = 1
    del fields['max_body_bytes']
    document = zlib.compress(msgspec.msgpack.encode(fields))
    assert config_exchange.decode(document) == config
    for invalid in (b'', b'\x01', zlib.compress(b'\x01')):
        assert config_exchange.decode(invalid) is None


def test_configuration_with_thousands_of_queues_takes_too_long_to_fetch():
    """Links have 5 Mbit/s, and a document is sent again if it comes late."""
    document = cell.large_config_document(1, routes=4248)
    config = documents.read_configuration(document)
    sent = config_exchange.encode(config)
    assert len(sent) < config_exchange.MAX_DOCUMENT_BYTES
    assert config_exchange.decode(sent) == config
    seconds = config_exchange.MAX_DOCUMENT_BYTES * 8 / 5e6
    assert seconds < config_exchange.FETCH_TIMEOUT_S


def test_fields_that_a_peer_of_another_build_left_out_stay_missing():
    """The store's record replaces what a peer sent of the same version."""
    ctx = fakes.make_context(None)
    feed = feeds.ConfigFeed(ctx)
    document = cell.organisations_document(2, test_access.KEYS)
    ctx.config = model.Configuration(2, {}, {})
    feed._apply_value(document)
    assert ctx.config == documents.read_configuration(document)
    taken = ctx.config
    feed._apply_value(document)
    feed._apply_value(cell.organisations_document(1, {}))
    assert ctx.config is taken


def test_late_answer_confirms_a_configuration_that_was_replaced_meanwhile():
    """The store may have sent it long before it arrives."""

    class LateStore:
        async def newest(self, topic, timeout, part=0):
            return store.NewestValues({}, {}, 0)

        async def read(self, topic, start, wait, timeout, part, began):
            await curio.sleep(wait + 0.2)
            return store.Batch(start, [], 0, start)

    ctx = fakes.make_context(LateStore())
    feed = feeds.ConfigFeed(ctx)

    async def read_once():
        asked_at = context.monotonic()
        await feed.read_once(0.1)
        return asked_at

    asked_at = curio.run(read_once)
    assert asked_at <= ctx.config_confirmed_at < asked_at + 0.2


def test_host_replies_where_the_deployment_has_no_organisations():
    peers = Peers()
    peers.add('h1', test_access.read(), age=9.0)
    peers.add('h2', test_access.read(), age=0.1, contracts=frozenset())
    assert not peers.ask('h1')
    query = messages.CellConfigQuery(0, True)
    reply = peers.exchanges['h2'].reply(query, context.monotonic())
    assert isinstance(reply, messages.Refusal)


def test_document_too_large_for_a_message_is_sent(monkeypatch):
    monkeypatch.setattr(config_exchange, 'MAX_DOCUMENT_BYTES', 10)
    peers = Peers()
    ctx = peers.add('h1', None, age=9.0)
    large = peers.add('h2', test_access.read(), age=0.1)
    assert not peers.ask('h1')
    assert ctx.config is None
    assert large.log.named('peer_config_too_large')


@pytest.mark.parametrize('config_apply', [2.0, 3.0, 4.0])
def test_peers_are_asked_too_late_to_know_a_key_in_time(config_apply):
    ctx = fakes.make_context(None)
    bounds = dataclasses.replace(ctx.cfg.bounds, config_apply=config_apply)
    ctx.cfg = dataclasses.replace(
        ctx.cfg, contracts=ORGANISATIONS, bounds=bounds
    )
    wait = feeds.ConfigFeed(ctx).wait
    exchange_time = (
        config_exchange.QUERY_TIMEOUT_S + config_exchange.CHECK_PERIOD_S
    )
    in_time = config_apply - exchange_time
    assert config_exchange.must_ask(in_time, False, wait, config_apply)
    assert config_exchange.must_ask(in_time, True, wait, config_apply)


def test_peers_are_asked_although_the_store_answers():
    """Each read waits for a record, and none comes for days."""
    must_ask = config_exchange.must_ask
    assert not must_ask(1.6, False, wait=1.5, config_apply=3.0)
    assert not must_ask(0.9, True, wait=1.5, config_apply=3.0)
    assert must_ask(1.1, True, wait=1.5, config_apply=3.0)


def test_only_peers_of_a_partitioned_zone_are_asked():
    hosts = {
        name: notices.HostRecord(name, 'i', zone, '10.0.0.1', 1)
        for name, zone in (
            ('h1', 'z1'),
            ('h2', 'z1'),
            ('h3', 'z1'),
            ('h4', 'z2'),
            ('h5', 'z3'),
            ('h6', 'z3'),
        )
    }
    rng = random.Random(1)
    for _ in range(20):
        chosen = config_exchange.choose_peers(hosts, 'h1', 'z1', rng)
        assert len(set(chosen)) == config_exchange.MAX_PEERS
        assert 'h1' not in chosen
        assert {hosts[name].zone for name in chosen} >= {'z1'}
        assert sum(hosts[name].zone != 'z1' for name in chosen) == 2
    del hosts['h2'], hosts['h3']
    chosen = config_exchange.choose_peers(hosts, 'h1', 'z1', rng)
    assert sorted(chosen) == ['h4', 'h5', 'h6']
    assert config_exchange.choose_peers({}, 'h1', 'z1', rng) == []


def test_round_without_a_reply_is_repeated_at_once():
    peers = Peers()
    peers.add('h1', test_access.read(), age=9.0)
    next_pause = peers.exchanges['h1']._next_pause
    pauses = [0.1]
    for _ in range(4):
        pauses.append(next_pause(pauses[-1], False))
    assert pauses[1:] == sorted(pauses[1:])
    assert pauses[-1] == pytest.approx(ASKED)
    assert next_pause(pauses[-1], True) < ASKED
