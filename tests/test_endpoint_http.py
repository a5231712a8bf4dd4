"""Test the endpoints' protocol against stand-in workers.

The workers start every request that hasn't expired, also duplicates, and
count what a caller should have prevented.
"""

import contextlib
import dataclasses

import curio
import pytest

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.endpoint import http_endpoint
from hibiscusslip.http import limits
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import payload
from hibiscusslip.standin import worker_handler
from hibiscusslip.standin import workers
from tests.faults import serving

CAPACITY = resources.Resources(4000, 8000, 0, 8, 64)
HALF = resources.Resources(2000, 1000)
States = base.RunState


def build_start_request(
    task='j/0', attempt=1, lease=60.0, saved=b'', **behaviour
):
    """Return the start request of a task with the payload `behaviour`."""
    data = payload.encode(payload.Payload(**behaviour))
    return base.StartRequest(task, attempt, HALF, lease, b'\x00t', data, saved)


def add_worker(fleet, name='w1'):
    """Add a worker to a fleet."""
    return fleet.add(places.EndpointInfo(name, 'a', 'r', '', 0, CAPACITY))


@contextlib.asynccontextmanager
async def endpoint_pair():
    """Yield a stand-in worker, an HTTP endpoint for it, and its port."""
    fleet = workers.Fleet()
    pump = memory_endpoint.FleetPump(fleet)
    pumping = await curio.spawn(pump.run, daemon=True)
    local = memory_endpoint.MemoryEndpoint(add_worker(fleet), pump)
    front = worker_handler.WorkerHandler(local, fleet.violations)
    async with serving.run_server(front, limits.DEFAULT) as (_, port):
        remote_endpoint = http_endpoint.HttpEndpoint('127.0.0.1', port)
        yield local, remote_endpoint, port
        await remote_endpoint.close()
    await pumping.cancel()


def test_run_ends_with_its_own_complete_answer():
    async def scenario():
        async with endpoint_pair() as (_, remote_endpoint, _):
            long = build_start_request(
                'j/1', answer_bytes=200_000, echo='b', run_s=0.0
            )
            batch = [build_start_request(echo='a', run_s=0.0), long]
            results = await remote_endpoint.start(batch)
            assert [res.started for res in results] == [True, True]
            ended = []
            while len(ended) < 2:
                events = await remote_endpoint.events(len(ended), 20)
                ended += events.ended
            runs = {run.task: run for run in ended}
            assert runs['j/0'].answer == payload.expected_answer('j/0', 'a')
            assert runs['j/0'].tag == b'\x00t'
            assert runs['j/1'].answer is None
            assert runs['j/1'].answer_size == 200_000
            whole = payload.expected_answer('j/1', 'b', 200_000)
            assert await remote_endpoint.answer('j/1', 1) == whole
            with pytest.raises(exceptions.CallRefused):
                await remote_endpoint.answer('j/1', 2)

    serving.run(scenario)


def test_start_with_a_lost_response_is_unsettled_and_runs():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, _):
            await local.set_faults(faults.WorkerFaults(lose_answers=1))
            with pytest.raises(exceptions.CallUnsettled):
                await remote_endpoint.start([build_start_request(run_s=60.0)])
            runs = (await remote_endpoint.runs()).runs
            assert [run.state for run in runs] == [States.RUNNING]

    serving.run(scenario)


def test_frozen_worker_handles_an_abandoned_start_late():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, port):
            await local.set_faults(faults.WorkerFaults(frozen=True))
            impatient = http_endpoint.HttpEndpoint(
                '127.0.0.1', port, timeout=1
            )
            with pytest.raises(exceptions.CallUnsettled):
                await impatient.start([build_start_request(run_s=60.0)])
            assert local.worker.used == resources.NOTHING
            await local.set_faults(faults.WorkerFaults(frozen=False))
            runs = (await remote_endpoint.runs()).runs
            assert [run.task for run in runs] == ['j/0']

    serving.run(scenario)


async def read_events(remote_endpoint, after, count):
    """Return the tasks of `count` events after `after`, and the position."""
    ended = []
    while len(ended) < count:
        batch = await remote_endpoint.events(after, 20)
        ended += batch.ended
        after = batch.next_event
    return [run.task for run in ended], after


def test_events_survive_lost_responses_and_an_outage():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, _):
            await remote_endpoint.start(
                [build_start_request('j/0', run_s=0.0)]
            )
            assert await read_events(remote_endpoint, 0, 1) == (['j/0'], 1)
            await local.set_faults(faults.WorkerFaults(lose_starts=2))
            for number in (1, 2):
                with pytest.raises(exceptions.CallUnsettled):
                    await remote_endpoint.start(
                        [build_start_request(f'j/{number}', run_s=0.0)]
                    )
            await local.set_faults(faults.WorkerFaults(down=True))
            with pytest.raises(exceptions.EndpointError):
                while True:
                    await remote_endpoint.events(1, 20)
            await local.set_faults(faults.WorkerFaults(down=False))
            events = await read_events(remote_endpoint, 1, 2)
            assert events == (['j/1', 'j/2'], 3)
            assert await read_events(remote_endpoint, 0, 3) == (
                ['j/0', 'j/1', 'j/2'],
                3,
            )

    serving.run(scenario)


def test_restart_resets_the_position_of_an_event_reader():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, _):
            await remote_endpoint.start(
                [build_start_request('j/0', run_s=0.0)]
            )
            await read_events(remote_endpoint, 0, 1)
            boot = local.worker.boot
            waiting = await curio.spawn(remote_endpoint.events, 1, 20)
            await local.set_faults(faults.WorkerFaults(restart=True))
            batch = await waiting.join()
            assert (batch.boot != boot, batch.next_event) == (True, 0)

    serving.run(scenario)


def test_restart_loses_runs_and_shows_a_new_boot():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, _):
            await remote_endpoint.start([build_start_request(never_ends=True)])
            before = await remote_endpoint.runs()
            await local.set_faults(faults.WorkerFaults(restart=True))
            after = await remote_endpoint.runs()
            assert after.boot != before.boot
            assert after.runs == []
            renewal = await remote_endpoint.renew(['j/0'], 60.0)
            assert renewal.gone == ['j/0']

    serving.run(scenario)


def test_stop_throttle_and_checkpoint_over_http():
    async def scenario():
        async with endpoint_pair() as (local, remote_endpoint, _):
            await remote_endpoint.start(
                [build_start_request(run_s=1000.0, stop_s=5.0)]
            )
            await remote_endpoint.throttle('j/0', 0.5)
            saved = await remote_endpoint.checkpoint('j/0')
            assert b'left_s' in saved
            local.worker.faults.usage_lag = 0.0
            (usage,) = await remote_endpoint.usage()
            assert usage.used.cpu_milli == 1000
            await remote_endpoint.stop('j/0', 0.05)
            events = await remote_endpoint.events(0, 20)
            assert [run.state for run in events.ended] == [States.STOPPED]
            with pytest.raises(exceptions.CallRefused):
                await remote_endpoint.checkpoint('j/0')

    serving.run(scenario)


def violations_of(fleet):
    """Return the violation counters of a fleet."""
    return fleet.violations.counters


def test_duplicate_runs_are_started_and_counted_across_workers():
    fleet = workers.Fleet()
    one, two = add_worker(fleet), add_worker(fleet, 'w2')
    assert one.start(0.0, build_start_request(run_s=5.0)).started
    assert two.start(1.0, build_start_request(run_s=5.0)).started
    assert violations_of(fleet).overlaps == 1
    fleet.advance(7.0)
    one.start(7.0, build_start_request(run_s=5.0))
    assert violations_of(fleet).overlaps == 1
    assert violations_of(fleet).repeated_starts == 0
    assert violations_of(fleet).violations == 1


def test_second_start_of_a_non_repeatable_task_is_counted():
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    behaviour = {'run_s': 1.0, 'repeatable': False, 'request': 'press'}
    worker.start(0.0, build_start_request('j/0', **behaviour))
    worker.start(0.0, build_start_request('j/1', **behaviour))
    assert violations_of(fleet).repeated_starts == 0
    fleet.advance(2.0)
    worker.start(2.0, build_start_request('other/1', **behaviour))
    assert violations_of(fleet).repeated_starts == 1
    assert violations_of(fleet).overlaps == 0


def test_overcommit_is_allowed_and_counted_with_its_peak():
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    for number in range(4):
        worker.start(0.0, build_start_request(f'j/{number}', run_s=5.0))
    assert violations_of(fleet).overcommits == {'cpu_milli': 2}
    assert violations_of(fleet).overcommit_peak == {'cpu_milli': 4000}
    fleet.advance(5.0)
    assert worker.used == resources.NOTHING


def test_run_ends_when_its_lease_expires():
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    worker.start(0.0, build_start_request('j/0', lease=5.0, never_ends=True))
    worker.start(0.0, build_start_request('j/1', lease=5.0, never_ends=True))
    assert worker.renew(4.0, ['j/0', 'none'], 5.0) == ['none']
    fleet.advance(8.0)
    (lapsed,) = worker.events(0).ended
    assert (lapsed.task, lapsed.state) == ('j/1', States.LAPSED)
    fleet.advance(9.0)
    assert worker.renew(9.0, ['j/0'], 5.0) == ['j/0']
    worker.start(9.0, build_start_request('j/0'))
    assert violations_of(fleet).overlaps == 0


def test_start_request_that_is_handled_late_has_expired():
    """An endpoint stalls until after the expiry of a start request."""
    worker = add_worker(workers.Fleet())
    late = dataclasses.replace(build_start_request('j/0'), void_at=5.0)
    assert not worker.start(5.1, late).started
    assert worker.list_runs(5.1).runs == []
    assert worker.start(4.9, late).started


def test_run_resumes_from_the_checkpoint_of_another():
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    worker.start(0.0, build_start_request('j/0', run_s=10.0))
    worker.throttle(2.0, 'j/0', 0.5)
    saved = worker.checkpoint(6.0, 'j/0')
    worker.stop(6.0, 'j/0', 0.0)
    fleet.advance(6.0)
    worker.start(
        6.0, build_start_request('j/0', attempt=2, run_s=10.0, saved=saved)
    )
    fleet.advance(11.9)
    assert [run.attempt for run in worker.events(0).ended] == [1]
    fleet.advance(12.0)
    last = worker.events(0).ended[-1]
    assert (last.attempt, last.state) == (2, States.SUCCEEDED)
    assert violations_of(fleet).overlaps == 0


def test_worker_that_fails_everything_fails_quickly():
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    worker.faults.fail_all = True
    worker.start(0.0, build_start_request(run_s=1000.0))
    fleet.advance(1.0)
    (failed,) = worker.events(0).ended
    assert failed.state is States.FAILED
    assert failed.answer is None


@pytest.mark.parametrize(
    ('data', 'state'),
    [
        (b'{no json', States.FAILED),
        (b'{"run_s": -1}', States.FAILED),
        (b'feed=north', States.SUCCEEDED),
        (b'', States.SUCCEEDED),
    ],
)
def test_opaque_payload_is_echoed_and_an_invalid_object_fails(data, state):
    fleet = workers.Fleet()
    worker = add_worker(fleet)
    worker.start(0.0, base.StartRequest('j/0', 1, HALF, 9.0, b'', data))
    fleet.advance(1.0)
    (run,) = worker.events(0).ended
    assert run.state is state
    if state is States.SUCCEEDED:
        assert run.answer == payload.expected_answer('j/0', data.decode())
