"""Check that long work of an owner leaves the event loop to others."""

import curio
import pytest

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import records
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import owner
from hibiscusslip.host import recovery
from hibiscusslip.host import slices
from hibiscusslip.host import submissions
from hibiscusslip.host import tailing
from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.dispatch import support
from tests.host import fakes
from tests.host import inbox_cell

JOBS = 20


@pytest.fixture(autouse=True)
def shortest_slices(monkeypatch):
    """Have each slice end at its first chance."""
    monkeypatch.setattr(slices, 'MAX_SLICE_S', 0.0)


async def count_turns(func, *args):
    """Return how often another task had its turn while `func` ran."""
    turns = 0

    async def take_turns():
        nonlocal turns
        while True:
            await curio.sleep(0)
            turns += 1

    other = await curio.spawn(take_turns, daemon=True)
    await func(*args)
    await other.cancel()
    return turns


def make_owner():
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.ownership.record_claim(1, 0.0)
    local_owner = owner.Owner(ctx, None, None, 1)
    local_owner.engine.config = support.config(support.queue())
    local_owner.endpoints_read_at = context.monotonic()
    return local_owner


def submit_jobs(local_owner):
    submission = records.Submission('small', support.SERVICE, 1.0, b'')
    spec = support.model.JobSpec('p', (support.step(),))
    now = context.monotonic()
    entry = support.entry('e1', cpu=10**6, memory=10**6)
    local_owner.engine.register_endpoint(entry, now)
    report = support.model.EndpointReport(1.0, 1.0, (), ())
    local_owner.engine.handle_report('e1', report, now, now)
    for number in range(JOBS):
        local_owner.engine.submit(f'{number}', submission, spec, now, 1.0)


def test_heartbeats_go_on_during_a_scheduling_pass():
    """Guards against an owner that is succeeded while it plans."""
    local_owner = make_owner()
    submit_jobs(local_owner)
    now = context.monotonic()
    turns = curio.run(count_turns, local_owner._run_pass, now)
    assert turns >= JOBS
    assert len(local_owner.engine.starts) == JOBS


def test_rest_of_a_pass_is_left_out_once_the_host_stops():
    local_owner = make_owner()
    submit_jobs(local_owner)

    async def stop_meanwhile():
        local_owner.ctx.stopping = True

    async def run():
        await curio.spawn(stop_meanwhile, daemon=True)
        await local_owner._run_pass(context.monotonic())

    curio.run(run)
    assert len(local_owner.engine.starts) < JOBS


def test_endpoint_that_leaves_during_a_pass_gets_no_start():
    """Guards against a pass that goes on with what it has read before."""
    local_owner = make_owner()
    submit_jobs(local_owner)

    async def unlist():
        now = context.monotonic()
        local_owner.engine.unregister_endpoint('e1', now)

    async def run():
        await curio.spawn(unlist, daemon=True)
        await local_owner._run_pass(context.monotonic())

    curio.run(run)
    assert len(local_owner.engine.starts) < JOBS


def test_job_that_is_cancelled_during_a_pass_gets_no_start():
    local_owner = make_owner()
    submit_jobs(local_owner)
    engine = local_owner.engine

    async def cancel():
        for number in range(JOBS):
            engine.cancel(f'{number}', context.monotonic())

    async def run():
        await curio.spawn(cancel, daemon=True)
        await local_owner._run_pass(context.monotonic())

    curio.run(run)
    assert len(engine.starts) < JOBS
    started = {start.task.step.job.job_id for start in engine.starts}
    assert started <= {stop.task.partition('.')[0] for stop in engine.stops}


def test_heartbeats_go_on_while_records_are_encoded():
    local_owner = make_owner()
    submit_jobs(local_owner)
    local_owner.engine.dirty = set(local_owner.engine.jobs)
    turns = curio.run(count_turns, local_owner._writer._write)
    assert turns >= JOBS
    assert len(local_owner.ctx.store.keys()) == JOBS


def test_heartbeats_go_on_during_a_recovery():
    """Guards against owners that each lose the ownership in their recovery."""

    async def scenario():
        cell = inbox_cell.Cell()
        await cell.succeed()
        for number in range(JOBS):
            cell.submit(job_id=f'{number:016x}')
            cell.cancel(job_id=f'{number:016x}')
        await cell.read()
        await cell.write()
        ctx = fakes.make_context(cell.store)
        engine = engines.Engine(5.9)
        submits = submissions.Submissions(ctx)
        cancels = cancellations.Cancellations(ctx)
        reader = recovery.PartitionReader(ctx)
        turns = await count_turns(
            recovery.recover, ctx, engine, reader, submits, cancels
        )
        return turns, len(engine.jobs)

    turns, jobs = curio.run(scenario)
    assert jobs == JOBS and turns >= 3 * JOBS


def test_heartbeats_go_on_while_a_batch_is_applied():
    class Tail(tailing.Tail):
        topic = topics.INBOX

        async def load_snapshot(self):
            return 0

        async def apply(self, offset, record):
            applied.append(record)

    applied = []
    tail = Tail(fakes.make_context(fakes.FakeStore()))
    tail.offset = 0
    batch = store.Batch(0, [b'r'] * JOBS, 0, JOBS)
    turns = curio.run(count_turns, tail._apply_batch, batch)
    assert len(applied) == JOBS and turns >= JOBS


def test_batches_read_at_the_same_time_are_applied_once():
    """Guards against a job that is applied twice, or not at all."""
    applied = []

    class Tail(tailing.Tail):
        topic = topics.INBOX

        async def load_snapshot(self):
            return 0

        async def apply(self, offset, record):
            applied.append(offset)

    tail = Tail(fakes.make_context(fakes.FakeStore()))
    tail.offset = 0

    async def apply_both():
        async with curio.TaskGroup() as group:
            for start, size in ((0, 10), (0, 20)):
                batch = store.Batch(start, [b'r'] * size, 0, size)
                await group.spawn(tail._apply_batch, batch)

    curio.run(apply_both)
    assert applied == list(range(20))


def test_no_more_starts_are_decided_than_can_be_sent():
    """Guards against thousands of calls that only wait for each other."""
    local_owner = make_owner()
    submit_jobs(local_owner)
    now = context.monotonic()
    engine = local_owner.engine
    local_owner._starts_finished = 7 - owner.MAX_PENDING_STARTS
    curio.run(local_owner._run_pass, now)
    assert len(engine.starts) == 7
    curio.run(local_owner._run_pass, now)
    assert len(engine.starts) == 7
    curio.run(local_owner._send_starts, engine.starts)  # there is no session
    assert local_owner._starts_finished == 14 - owner.MAX_PENDING_STARTS
    curio.run(local_owner._run_pass, now)
    assert engine.starts_decided == 14


def test_stops_are_sent_a_few_at_a_time():
    local_owner = make_owner()
    sent = []

    class Session:
        async def send_stop(self, stop):
            sent.append(stop)

    local_owner._sessions['e1'] = Session()
    stops = [
        commands.Stop('e1', f'{number}', 1, 'cancelled')
        for number in range(owner.MAX_PENDING_COMMANDS + 1)
    ]
    local_owner.engine.stops = list(stops)

    async def dispatch():
        await local_owner._dispatch_commands()
        assert local_owner.engine.stops == stops[-1:]
        await curio.sleep(0.01)
        await local_owner._dispatch_commands()
        await curio.sleep(0.01)

    curio.run(dispatch)
    assert sent == stops and not local_owner._pending_commands
