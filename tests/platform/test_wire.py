"""Check the clients of the platform against its stand-ins."""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.http import server
from hibiscusslip.http import uplink
from hibiscusslip.platform import documents
from hibiscusslip.platform import endpoint_client
from hibiscusslip.platform import entry_documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings
from hibiscusslip.platform import store
from tests.platform import cell
from tests.platform import standin

LINK_MBPS = 1000.0
SETTINGS_FILE = cell.SETTINGS_FILE.format(
    name='h', ip='10.0.0.1', store='10.0.0.9:8'
)


def test_settings_file_is_read():
    cfg = settings.parse(SETTINGS_FILE + 'Advice=10.9.9.9:7\nNew.Thing=3\n')
    assert (cfg.name, cfg.zone, cfg.zones) == ('h', 'z1', ('z1',))
    assert str(cfg.front) == '10.0.0.1:18149'
    assert str(cfg.advice) == '10.9.9.9:7'
    assert cfg.cloud is None
    assert cfg.bounds.max_lease == 6.0
    assert cfg.bounds.limit_overage == 0.0
    assert cfg.ports == (17380, 17395)


def test_share_above_the_limits_is_read():
    cfg = settings.parse(SETTINGS_FILE + 'Bounds.QuotaOverage=0.1\n')
    assert cfg.bounds.limit_overage == 0.1


def test_window_of_the_entitlement_comes_from_the_settings():
    """Guards against judging rates over another span than the deployment."""
    cfg = settings.parse(SETTINGS_FILE)
    assert cfg.bounds.entitlement_window == 1.0
    cfg = settings.parse(SETTINGS_FILE + 'Bounds.QuotaWindowS=5\n')
    assert cfg.bounds.entitlement_window == 5.0


@pytest.mark.parametrize(
    'text',
    ['', 'Node=x', SETTINGS_FILE.replace('17380,17395', 'a,b'), '\x00' * 10],
)
def test_invalid_settings_raise(text):
    with pytest.raises(exceptions.SettingsInvalid):
        settings.parse(text)


@pytest.mark.parametrize(
    ('text', 'contracts'),
    [
        ('', set()),
        ('Contracts=\n', set()),
        ('Contracts=quota, tenants,\n', {'quota', 'tenants'}),
    ],
)
def test_contracts_are_read(text, contracts):
    cfg = settings.parse(SETTINGS_FILE + text)
    assert cfg.contracts == contracts
    assert cfg.has_organisations == ('tenants' in contracts)


def test_missing_settings_file_raises(tmp_path):
    with pytest.raises(exceptions.SettingsInvalid):
        settings.load(str(tmp_path / 'none'))


def test_job_is_decoded():
    job = documents.read_job(
        b'{"Spec":"s","Times":2,"StartMs":5000,"IntervalMs":1500,"Steps":['
        b'{"Count":3,"Cpu":500,"MemMb":64,"Gpu":1,"EstimateMs":900,'
        b'"Gang":true,"SameRack":true,"Requires":"a","Affinity":"r1",'
        b'"AntiAffinity":2,"Checkpoints":true,"Image":"i"},'
        b'{"Count":1,"DependsOn":[0],"LongRunning":true,"TargetMs":80,'
        b'"Fills":true,"MayMiss":1,"Speculative":true}]}'
    )
    assert (job.times, job.first_due, job.interval) == (2, 5.0, 1.5)
    first, second = job.steps
    assert first == model.Step(
        3,
        model.Demand(500, 64, 1),
        estimate=0.9,
        checkpoints=True,
        gang=True,
        same_rack=True,
        label='a',
        rack='r1',
        spread=2,
        image='i',
    )
    assert second.after == (0,)
    assert (second.long_running, second.fills, second.may_miss) == (
        True,
        True,
        1,
    )
    assert second.tail_latency_target == 0.08


def test_configuration_is_decoded_and_finds_queues_by_prefix():
    config = documents.read_configuration(cell.config_document(7))
    assert config.version == 7
    queue = config.find_queue('a.example', '/small/x')
    assert (queue.service, queue.max_attempts) == ('planner', 2)
    assert config.find_queue('b.example', '/small/x') is None
    assert config.find_queue('a.example', '/smal') is None
    assert documents.read_configuration(b'{"Version":1}') is None


def test_deeply_nested_configuration_is_invalid():
    """A host's feed must not end with a RecursionError."""
    assert documents.read_configuration(b'{"X":' + b'[' * 100_000) is None


def test_deeply_nested_documents_of_others_are_refused():
    """A caller's or an endpoint's body must not end a host's task."""
    nested = b'{"X":' + b'[' * 100_000
    with pytest.raises(exceptions.JobInvalid):
        documents.read_job(nested)
    with pytest.raises(exceptions.EntryInvalid):
        entry_documents.read_endpoint_entry('e1', nested)
    with pytest.raises(exceptions.RequestOutcomeUnknown):
        documents.read_endpoint_report(nested)


def test_organisations_are_decoded_without_their_keys():
    """A missing amount or weight, or an unlimited one, is no error."""
    config = documents.read_configuration(
        b'{"Version":1,"Routes":[],"Services":[],"Tenants":['
        b'{"Name":"a","ApiKeys":["k1","k2",""],"Priority":1,"Weight":13,'
        b'"AtMost":{"Cpu":3000,"Gpu":0}},'
        b'{"Name":"b"}]}'
    )
    first, second = config.organisations.values()
    assert first == model.Organisation(
        'a',
        13.0,
        model.Demand(3000, 0, 0),
        frozenset((documents.key_digest('k1'), documents.key_digest('k2'))),
    )
    assert second == model.Organisation('b')
    assert 'k1' not in repr(config)


def test_missing_list_of_organisations_differs_from_an_empty_one():
    without = documents.read_configuration(cell.config_document())
    empty = documents.read_configuration(cell.organisations_document())
    assert without.organisations is None
    assert empty.organisations == {}
    assert not empty.queues['r-small'].public
    public = documents.read_configuration(cell.config_document(Public=True))
    assert public.queues['r-small'].public


def test_endpoint_entry_is_decoded():
    endpoint = standin.Endpoint('e')
    entry = entry_documents.read_endpoint_entry(
        'e', endpoint.entry('10.0.0.3:9', 's')
    )
    assert entry.capacity == model.Demand(8000, 8000, 0)
    assert (entry.rack, entry.draining) == ('r1', False)
    draining = endpoint.entry('10.0.0.3:9', 's', state='draining')
    assert entry_documents.read_endpoint_entry('e', draining).draining
    unknown = endpoint.entry('10.0.0.3:9', 's', state='odd')
    with pytest.raises(exceptions.EntryInvalid):
        entry_documents.read_endpoint_entry('e', unknown)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{}',
        b'{"ClockMs":1,"Ended":[[1,"t",1,"odd",""]]}',
        b'{"ClockMs":1,"Running":[["t"]]}',
    ],
)
def test_invalid_endpoint_report_raises(body):
    with pytest.raises(exceptions.RequestOutcomeUnknown):
        documents.read_endpoint_report(body)


def with_store(scenario, handler=None):
    handler = handler or standin.Store()

    async def main():
        http_server = server.Server(handler)
        port = await http_server.listen('127.0.0.1', 0)
        task = await curio.spawn(http_server.serve, daemon=True)
        try:
            address = settings.Address('127.0.0.1', port)
            client = store.Store(address, uplink.Uplink(LINK_MBPS))
            await scenario(handler, client)
        finally:
            await task.cancel()

    curio.run(main)


def test_appended_records_are_read_back():
    async def scenario(handler, client):
        assert await client.append('t', [b'a', b''], 1) == 0
        assert await client.append('t', [b'c'], 1) == 2
        batch = await client.read('t', 1, 0.0, 1)
        assert (batch.records, batch.next_offset, batch.end) == (
            [b'', b'c'],
            3,
            3,
        )

    with_store(scenario)


def test_append_at_another_end_raises_conflict():
    async def scenario(handler, client):
        await client.append('t', [b'a'], 1, at=0)
        with pytest.raises(exceptions.StoreConflict) as caught:
            await client.append('t', [b'b'], 1, at=0)
        assert caught.value.end == 1

    with_store(scenario)


def test_append_is_idempotent_and_a_higher_epoch_fences():
    async def scenario(handler, client):
        for _ in range(2):
            first = await client.append('t', [b'a'], 1, producer=('o', 5, 0))
            assert first == 0
        with pytest.raises(exceptions.OutOfOrderSequence) as caught:
            await client.append('t', [b'a'], 1, producer=('o', 5, 7))
        assert caught.value.expected == 1
        await client.append('t', [], 1, producer=('o', 9, 0))
        with pytest.raises(exceptions.ProducerFenced):
            await client.append('t', [b'b'], 1, producer=('o', 5, 1))

    with_store(scenario)


def test_newest_values_of_all_pages_are_read():
    async def scenario(handler, client):
        for number in range(7):
            record = store.encode_keyed(f'k{number}', b'v%d' % number)
            await client.append('keyed.t', [record], 1)
        await client.append('keyed.t', [store.encode_keyed('k3')], 1)
        newest = await client.newest('keyed.t', 1)
        assert sorted(newest.values) == ['k0', 'k1', 'k2', 'k4', 'k5', 'k6']
        assert newest.values['k6'] == b'v6'
        assert newest.end == 8

    with_store(scenario)


@pytest.mark.parametrize('broken', ['empty', 'missing'])
def test_list_that_ends_before_its_last_page_raises(broken):
    """Guards against taking the entries so far for all that there are."""

    class BrokenPages(standin.Store):
        def _newest(self, req, part):
            if not req.query.get('DependsOn', ''):
                return super()._newest(req, part)
            if broken == 'missing':
                return standin.json_response(404)
            return standin.json_response(
                200, {'items': [], 'MorePages': True, 'End': 8}
            )

    async def scenario(handler, client):
        for number in range(8):
            handler.put('keyed.t', f'k{number}', b'v')
        with pytest.raises(exceptions.PlatformError):
            await client.newest('keyed.t', 1)

    with_store(scenario, BrokenPages())


@pytest.mark.parametrize(
    'ends, complete', [(0, True), (499, True), (500, False)]
)
def test_report_with_a_full_page_of_ends_is_partial(ends, complete):
    """Guards against taking the first ends of an endpoint for all of them."""
    rows = ','.join(
        f'[{n},"j.0.0.{n}",1,"done",""]' for n in range(1, 1 + ends)
    )
    body = f'{{"ClockMs":1,"Running":[],"Ended":[{rows}],"born":1}}'
    report = documents.read_endpoint_report(body.encode())
    assert report.ends_complete is complete


def test_read_of_trimmed_history_raises():
    async def scenario(handler, client):
        await client.append('t', [b'a', b'b'], 1)
        handler.partition('t').drop_history()
        with pytest.raises(exceptions.HistoryTrimmed) as caught:
            await client.read('t', 0, 0.0, 1)
        assert caught.value.first == 2

    with_store(scenario)


@pytest.mark.parametrize(
    'mode, expected',
    [
        ('refuse', exceptions.StoreUnavailable),
        ('silent', exceptions.StoreOutcomeUnknown),
        ('lost', exceptions.StoreOutcomeUnknown),
    ],
)
def test_refused_append_differs_from_an_unknown_outcome(mode, expected):
    async def scenario(handler, client):
        handler.mode = mode
        with pytest.raises(expected):
            await client.append('t', [b'a'], 0.2)
        assert bool(handler.partition('t').records) == (mode == 'lost')

    with_store(scenario)


def test_failed_page_doesnt_restart_the_list():
    """The second call of each page is the first that succeeds."""

    class FailingPages(standin.Store):
        def __init__(self):
            super().__init__()
            self.pages = []

        def _newest(self, req, part):
            page = req.query.get('DependsOn', '')
            self.pages.append(page)
            if page and self.pages.count(page) < 2:
                return standin.json_response(503)
            return super()._newest(req, part)

    async def scenario(handler, client):
        for number in range(8):
            handler.put('keyed.t', f'k{number}', b'v')
        newest = await client.newest('keyed.t', 1)
        assert len(newest.values) == 8
        assert handler.pages.count('') == 1

    with_store(scenario, FailingPages())


def test_refused_connection_means_that_nothing_was_written():
    async def scenario():
        address = settings.Address('127.0.0.1', 9)
        client = store.Store(address, uplink.Uplink(LINK_MBPS))
        with pytest.raises(exceptions.StoreUnavailable):
            await client.append('t', [b'a'], 1)

    curio.run(scenario)


def with_endpoint(scenario):
    async def main():
        endpoint = standin.Endpoint('e', run_s=0.05)
        http_server = server.Server(endpoint)
        port = await http_server.listen('127.0.0.1', 0)
        task = await curio.spawn(http_server.serve, daemon=True)
        try:
            address = f'127.0.0.1:{port}'
            link = uplink.Uplink(LINK_MBPS)
            client = endpoint_client.EndpointClient('e', address, link)
            await scenario(endpoint, client)
        finally:
            await task.cancel()

    curio.run(main)


def start_request(run=1, deadline=1000.0, fence=1):
    return endpoint_client.StartRequest('j.0.0.0', run, 'x', deadline, fence)


def test_started_run_is_reported_until_its_end_is_acknowledged():
    async def scenario(endpoint, client):
        await client.start(start_request(), 1)
        report = await client.poll(100.0, 1, 0, 0.0, 1)
        assert [(r.task, r.run) for r in report.running] == [('j.0.0.0', 1)]
        report = await client.poll(100.0, 1, 0, 1.0, 1)
        assert [(e.number, e.how) for e in report.ended] == [
            (1, model.RunOutcome.DONE)
        ]
        report = await client.poll(100.0, 1, 1, 0.0, 1)
        assert report.ended == ()

    with_endpoint(scenario)


@pytest.mark.parametrize(
    'start, reason',
    [
        (start_request(deadline=-1.0), 'late'),
        (start_request(fence=0), 'fence'),
    ],
)
def test_refused_start_has_the_reason(start, reason):
    async def scenario(endpoint, client):
        await client.poll(100.0, 1, 0, 0.0, 1)
        with pytest.raises(exceptions.RequestRefused) as caught:
            await client.start(start, 1)
        assert caught.value.reason == reason

    with_endpoint(scenario)


def test_call_to_another_incarnation_is_refused():
    async def scenario(endpoint, client):
        endpoint.name = 'another'
        with pytest.raises(exceptions.RequestRefused) as caught:
            await client.poll(None, 1, 0, 0.0, 1)
        assert caught.value.reason == 'instance'

    with_endpoint(scenario)


def test_start_without_response_has_an_unknown_outcome():
    async def scenario(endpoint, client):
        endpoint.mode = 'deaf'
        with pytest.raises(exceptions.RequestOutcomeUnknown):
            await client.start(start_request(), 0.1)

    with_endpoint(scenario)


@pytest.mark.parametrize(
    'address', ['10.0.0.1:x', ':80', '10.0.0.1:99999', '10.0.0.1:', 'x']
)
def test_entry_with_an_address_that_cant_be_called_names_no_endpoint(address):
    """It ended the owner, and each host that succeeded it."""
    endpoint = standin.Endpoint('e', 0.1)
    value = endpoint.entry('10.0.0.1:80', 's')
    assert entry_documents.read_endpoint_entry('e', value) is not None
    odd = value.replace(b'10.0.0.1:80', address.encode())
    with pytest.raises(exceptions.EntryInvalid):
        entry_documents.read_endpoint_entry('e', odd)
