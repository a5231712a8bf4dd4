"""Check that the wire's documents are read into the product's types."""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.http import server
from hibiscusslip.platform import documents
from hibiscusslip.platform import endpoint_client
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings
from hibiscusslip.platform import store
from tests.platform import cell
from tests.platform import standin

NODE_FILE = cell.NODE_FILE.format(name='h', ip='10.0.0.1', store='10.0.0.9:8')


def test_settings_file_is_read():
    cfg = settings.parse(NODE_FILE + 'Advice=10.9.9.9:7\nNew.Thing=3\n')
    assert (cfg.name, cfg.zone, cfg.zones) == ('h', 'z1', ('z1',))
    assert str(cfg.front) == '10.0.0.1:18149'
    assert str(cfg.advice) == '10.9.9.9:7'
    assert cfg.cloud is None
    assert cfg.bounds.max_lease == 6.0
    assert cfg.ports == (17380, 17395)


@pytest.mark.parametrize(
    'text',
    ['', 'Node=x', NODE_FILE.replace('17380,17395', 'a,b'), '\x00' * 10],
)
def test_unusable_settings_are_told(text):
    with pytest.raises(exceptions.SettingsInvalid):
        settings.parse(text)


def test_missing_settings_file_is_told(tmp_path):
    with pytest.raises(exceptions.SettingsInvalid):
        settings.load(str(tmp_path / 'none'))


def test_job_is_read():
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


def test_configuration_is_read_and_finds_the_longest_prefix():
    config = documents.read_configuration(cell.config_document(7))
    assert config.version == 7
    queue = config.find_queue('a.example', '/small/x')
    assert (queue.service, queue.max_attempts) == ('planner', 2)
    assert config.find_queue('b.example', '/small/x') is None
    assert config.find_queue('a.example', '/smal') is None
    assert documents.read_configuration(b'{"Version":1}') is None


def test_report_of_an_endpoint_is_read():
    endpoint = standin.Endpoint('e')
    entry = documents.read_endpoint_entry(
        'e', endpoint.entry('10.0.0.3:9', 's')
    )
    assert entry.capacity == model.Demand(8000, 8000, 0)
    assert (entry.rack, entry.draining) == ('r1', False)
    draining = endpoint.entry('10.0.0.3:9', 's', state='draining')
    assert documents.read_endpoint_entry('e', draining).draining
    unknown = endpoint.entry('10.0.0.3:9', 's', state='odd')
    assert documents.read_endpoint_entry('e', unknown) is None


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
def test_broken_list_of_runs_is_told(body):
    with pytest.raises(exceptions.RequestOutcomeUnknown):
        documents.read_endpoint_report(body)


def with_store(scenario):
    async def main():
        handler = standin.Store()
        serving = server.Server(handler)
        port = await serving.listen('127.0.0.1', 0)
        task = await curio.spawn(serving.serve, daemon=True)
        try:
            address = settings.Address('127.0.0.1', port)
            await scenario(handler, store.Store(address))
        finally:
            await task.cancel()

    curio.run(main)


def test_appended_records_are_read_back():
    async def scenario(handler, calls):
        assert await calls.append('t', [b'a', b''], 1) == 0
        assert await calls.append('t', [b'c'], 1) == 2
        batch = await calls.read('t', 1, 0.0, 1)
        assert (batch.records, batch.next_offset, batch.end) == (
            [b'', b'c'],
            3,
            3,
        )

    with_store(scenario)


def test_condition_on_the_end_is_told():
    async def scenario(handler, calls):
        await calls.append('t', [b'a'], 1, at=0)
        with pytest.raises(exceptions.StoreConflict) as told:
            await calls.append('t', [b'b'], 1, at=0)
        assert told.value.end == 1

    with_store(scenario)


def test_repeated_append_is_one_and_a_later_epoch_fences():
    async def scenario(handler, calls):
        for _ in range(2):
            first = await calls.append('t', [b'a'], 1, producer=('o', 5, 0))
            assert first == 0
        with pytest.raises(exceptions.OutOfOrderSequence) as told:
            await calls.append('t', [b'a'], 1, producer=('o', 5, 7))
        assert told.value.expected == 1
        await calls.append('t', [], 1, producer=('o', 9, 0))
        with pytest.raises(exceptions.ProducerFenced):
            await calls.append('t', [b'b'], 1, producer=('o', 5, 1))

    with_store(scenario)


def test_newest_reads_all_pages():
    async def scenario(handler, calls):
        for number in range(7):
            record = store.encode_keyed(f'k{number}', b'v%d' % number)
            await calls.append('keyed.t', [record], 1)
        await calls.append('keyed.t', [store.encode_keyed('k3')], 1)
        newest = await calls.newest('keyed.t', 1)
        assert sorted(newest.values) == ['k0', 'k1', 'k2', 'k4', 'k5', 'k6']
        assert newest.values['k6'] == b'v6'
        assert newest.end == 8

    with_store(scenario)


def test_dropped_history_is_told():
    async def scenario(handler, calls):
        await calls.append('t', [b'a', b'b'], 1)
        handler.partition('t').drop_history()
        with pytest.raises(exceptions.HistoryTrimmed) as told:
            await calls.read('t', 0, 0.0, 1)
        assert told.value.first == 2

    with_store(scenario)


@pytest.mark.parametrize(
    'mode, expected',
    [
        ('refuse', exceptions.StoreUnavailable),
        ('silent', exceptions.StoreOutcomeUnknown),
        ('lost', exceptions.StoreOutcomeUnknown),
    ],
)
def test_trouble_of_the_store_is_told_apart(mode, expected):
    async def scenario(handler, calls):
        handler.mode = mode
        with pytest.raises(expected):
            await calls.append('t', [b'a'], 0.2)
        assert bool(handler.partition('t').records) == (mode == 'lost')

    with_store(scenario)


def test_store_that_isnt_there_has_done_nothing():
    async def scenario():
        calls = store.Store(settings.Address('127.0.0.1', 9))
        with pytest.raises(exceptions.StoreUnavailable):
            await calls.append('t', [b'a'], 1)

    curio.run(scenario)


def with_endpoint(scenario):
    async def main():
        endpoint = standin.Endpoint('e', run_s=0.05)
        serving = server.Server(endpoint)
        port = await serving.listen('127.0.0.1', 0)
        task = await curio.spawn(serving.serve, daemon=True)
        try:
            given = endpoint_client.EndpointClient('e', f'127.0.0.1:{port}')
            await scenario(endpoint, given)
        finally:
            await task.cancel()

    curio.run(main)


def start_order(run=1, deadline=1000.0, fence=1):
    return endpoint_client.StartRequest('j.0.0.0', run, 'x', deadline, fence)


def test_started_run_is_listed_and_its_end_too():
    async def scenario(endpoint, given):
        await given.start(start_order(), 1)
        look = await given.poll(100.0, 1, 0, 0.0, 1)
        assert [(r.task, r.run) for r in look.running] == [('j.0.0.0', 1)]
        look = await given.poll(100.0, 1, 0, 1.0, 1)
        assert [(e.number, e.how) for e in look.ended] == [
            (1, model.RunOutcome.DONE)
        ]
        look = await given.poll(100.0, 1, 1, 0.0, 1)
        assert look.ended == ()

    with_endpoint(scenario)


@pytest.mark.parametrize(
    'order, reason',
    [
        (start_order(deadline=-1.0), 'late'),
        (start_order(fence=0), 'fence'),
    ],
)
def test_refused_start_tells_why(order, reason):
    async def scenario(endpoint, given):
        await given.poll(100.0, 1, 0, 0.0, 1)
        with pytest.raises(exceptions.RequestRefused) as told:
            await given.start(order, 1)
        assert told.value.reason == reason

    with_endpoint(scenario)


def test_other_incarnation_is_told():
    async def scenario(endpoint, given):
        endpoint.name = 'another'
        with pytest.raises(exceptions.RequestRefused) as told:
            await given.poll(None, 1, 0, 0.0, 1)
        assert told.value.reason == 'instance'

    with_endpoint(scenario)


def test_unanswered_order_is_in_doubt():
    async def scenario(endpoint, given):
        endpoint.mode = 'deaf'
        with pytest.raises(exceptions.RequestOutcomeUnknown):
            await given.start(start_order(), 0.1)

    with_endpoint(scenario)
