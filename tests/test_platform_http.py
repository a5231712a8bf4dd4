"""Check the clients of the log and the host list against stand-ins."""

import contextlib

import curio
import pytest

from hibiscusslip.http import limits
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import http_hosts
from hibiscusslip.platform import http_log
from hibiscusslip.standin import faults
from hibiscusslip.standin import host_list_handler
from hibiscusslip.standin import log_handler
from hibiscusslip.standin import memory_hosts
from hibiscusslip.standin import memory_log
from hibiscusslip.standin import streams
from tests.faults import process
from tests.faults import serving

STREAM = 'zone.a'


@contextlib.asynccontextmanager
async def log_pair(**kwargs):
    """Yield the log of a stand-in and a client that is connected to it."""
    memory = memory_log.MemoryLog(**kwargs)
    front = log_handler.LogHandler(memory)
    async with serving.run_server(front, limits.DEFAULT) as (_, port):
        log = http_log.HttpLog('127.0.0.1', port)
        yield memory, log
        await log.close()


def data_of(batch):
    """Return the data of the records in a batch."""
    return [record.data for record in batch.records]


def test_records_are_read_back_unchanged_and_in_order():
    async def scenario():
        async with log_pair() as (_, log):
            assert await log.append(STREAM, [b'\x00\xff', b'']) == 0
            assert await log.append(STREAM, [b'c' * 100_000]) == 2
            batch = await log.read(STREAM, 1, 10, 0)
            assert data_of(batch) == [b'', b'c' * 100_000]
            assert (batch.next_offset, batch.end_offset) == (3, 3)
            assert data_of(await log.read('other', 0, 10, 0)) == []

    serving.run(scenario)


def test_waiting_read_returns_when_a_record_is_appended():
    async def scenario():
        async with log_pair() as (memory, log):
            reading = await curio.spawn(log.read, STREAM, 0, 10, 20)
            while not memory.counters.reads:
                await curio.sleep(0.01)
            await log.append(STREAM, [b'a'])
            assert data_of(await reading.join()) == [b'a']

    serving.run(scenario)


def test_lost_response_has_an_unknown_outcome_and_the_record_is_there():
    async def scenario():
        async with log_pair() as (memory, log):
            await memory.set_faults(faults.LogFaults(lose_answers=1))
            with pytest.raises(exceptions.AppendOutcomeUnknown):
                await log.append(STREAM, [b'a'])
            assert data_of(await log.read(STREAM, 0, 10, 0)) == [b'a']
            assert await log.append(STREAM, [b'b']) == 1

    serving.run(scenario)


def test_delayed_append_takes_effect_after_later_ones():
    async def scenario():
        async with log_pair() as (memory, log):
            plan = faults.LogFaults(delay_appends=1, delay_s=0.3)
            await memory.set_faults(plan)
            with pytest.raises(exceptions.AppendOutcomeUnknown):
                await log.append(STREAM, [b'late'])
            await log.append(STREAM, [b'soon'])
            batch = await log.read(STREAM, 1, 10, 20)
            assert data_of(batch) == [b'late']

    serving.run(scenario)


def test_unavailable_log_has_written_nothing():
    async def scenario():
        async with log_pair() as (memory, log):
            await memory.set_faults(faults.LogFaults(down=True))
            with pytest.raises(exceptions.LogUnavailable):
                await log.append(STREAM, [b'a'])
            with pytest.raises(exceptions.LogUnavailable):
                await log.read(STREAM, 0, 10, 0)
            await memory.set_faults(faults.LogFaults(down=False))
            assert (await log.read(STREAM, 0, 10, 0)).end_offset == 0

    serving.run(scenario)


def test_refused_connection_raises_log_unavailable():
    async def scenario():
        log = http_log.HttpLog('127.0.0.1', process.Ports().reserve())
        with pytest.raises(exceptions.LogUnavailable):
            await log.append(STREAM, [b'a'])

    serving.run(scenario)


def test_read_of_trimmed_records_raises():
    async def scenario():
        retention = streams.Retention(records=2)
        async with log_pair(retention=retention) as (_, log):
            await log.append(STREAM, [b'a', b'b', b'c'])
            with pytest.raises(exceptions.RecordsTrimmed) as caught:
                await log.read(STREAM, 0, 10, 0)
            assert caught.value.first == 1
            assert data_of(await log.read(STREAM, 1, 10, 0)) == [b'b', b'c']

    serving.run(scenario)


def test_retention_by_age_is_applied_by_reads():
    store = streams.StreamStore(streams.Retention(seconds=10))
    store.get_or_create_stream(STREAM).append(0.0, [b'a'])
    store.get_or_create_stream(STREAM).append(8.0, [b'b'])
    with pytest.raises(exceptions.RecordsTrimmed):
        store.read(11.0, STREAM, 0, 10)
    assert data_of(store.read(11.0, STREAM, 1, 10)) == [b'b']


def test_append_rate_is_limited_and_the_queue_is_bounded():
    async def scenario():
        async with log_pair(appends_per_s=1.0) as (memory, log):
            tasks = [
                await curio.spawn(log.append, STREAM, [b'a']) for _ in range(2)
            ]
            for task in tasks:
                await task.join()
            for _ in range(8):
                await curio.spawn(memory.append, STREAM, [b'a'], daemon=True)
            await curio.sleep(0)
            with pytest.raises(exceptions.LogUnavailable):
                await memory.append(STREAM, [b'b'])
            assert memory.counters.refused > 0

    serving.run(scenario)


@pytest.mark.parametrize('body', [b'', b'{}', b'{"records":[1]}', b'\xff'])
def test_invalid_append_is_refused(body):
    async def scenario():
        memory = memory_log.MemoryLog()
        async with serving.run_server(log_handler.LogHandler(memory)) as (
            _,
            port,
        ):
            head = b'POST /streams/a HTTP/1.1\r\nhost: x\r\nconnection: close'
            length = b'\r\ncontent-length: %d\r\n\r\n' % len(body)
            response = await serving.send(port, head + length + body)
            assert b' 400 ' in response.split(b'\r\n')[0]
            assert memory.end_offsets() == {}

    serving.run(scenario)


def endpoint(name):
    """Return an endpoint of the host list."""
    capacity = resources.Resources(4000, 8000, 2, 8, 64)
    return places.EndpointInfo(name, 'a', 'r1', '10.0.0.1', 80, capacity)


def test_host_list_lags_behind_changes():
    table = memory_hosts.HostTable()
    table.put(0.0, endpoint('w1'))
    table.put(5.0, endpoint('w2'))
    table.set_state(6.0, 'w1', places.EndpointState.LEAVING)
    table.remove(9.0, 'w2')

    def states(now):
        members = table.list_members(now, 2.0).endpoints
        return {member.name: member.state.value for member in members}

    assert states(1.0) == {}
    assert states(2.0) == {'w1': 'live'}
    assert states(7.5) == {'w1': 'live', 'w2': 'live'}
    assert states(8.0) == {'w1': 'leaving', 'w2': 'live'}
    assert states(11.0) == {'w1': 'leaving'}


def test_host_list_is_read_over_http_or_raises_platform_error():
    async def scenario():
        hosts = memory_hosts.MemoryHostList()
        other = base.EntryHostInfo('h1', 'a', '10.0.0.2', 81)
        hosts.table.put(0.0, endpoint('w1'))
        hosts.table.put(0.0, other)
        async with serving.run_server(
            host_list_handler.HostListHandler(hosts)
        ) as (_, port):
            host_list = http_hosts.HttpHostList('127.0.0.1', port)
            expected = base.HostListing([endpoint('w1')], [other])
            assert await host_list.fetch() == expected
            hosts.faults.down = True
            with pytest.raises(exceptions.PlatformError):
                await host_list.fetch()

    serving.run(scenario)
