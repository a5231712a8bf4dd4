"""Check the size, order and sequence numbers of the owner's appends."""

import random

import curio

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.dispatch import support
from tests.host import fakes

MAX_WRITE_S = 10.0


def test_groups_keep_order_and_size():
    batch = [b'a' * 4, b'b' * 4, b'c' * 9, b'd' * 2]
    groups = writer.split_batch(batch, 8)
    assert groups == [batch[:2], batch[2:3], batch[3:]]


def test_many_deletions_are_split_over_several_appends():
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, 0.0)
    engine = engines.Engine(5.0, ctx.log.note)
    sizes = []

    async def scenario():
        owner_writer = writer.Writer(
            ctx, engine, 1, lambda starts: curio.sleep(0)
        )
        owner_writer.mark_used([1])
        names = [f'{number:0200}' for number in range(8000)]
        await owner_writer.delete_jobs(names)
        store.script = [record_size] * 10
        writer_task = await curio.spawn(owner_writer.run, daemon=True)
        wanted = names * topics.JOBS_PARTS
        async with curio.ignore_after(MAX_WRITE_S):
            while len(store.records) < len(wanted):
                await curio.sleep(0.01)
        await curio.sleep(0.2)  # nothing more may follow
        await writer_task.cancel()
        assert store.keys() == wanted

    async def record_size(store, topic, records):
        sizes.append(sum(map(len, records)))

    curio.run(scenario)
    assert len(sizes) > 1
    assert max(sizes) <= writer.MAX_APPEND_BYTES


def make_writer(store):
    """Return a writer whose epoch is held."""
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, 0.0)
    engine = engines.Engine(5.0, ctx.log.note)
    return writer.Writer(ctx, engine, 1, lambda starts: curio.sleep(0))


class Partitions(fakes.FakeStore):
    """Record partition, sequence number and batch of each append."""

    def __init__(self):
        super().__init__()
        self.appended = []

    async def append(self, topic, records, timeout, **options):
        producer = options['producer']
        self.appended.append((options['part'], producer[2], list(records)))
        return await super().append(topic, records, timeout)


async def lose_answer(store, topic, records):
    raise exceptions.StoreOutcomeUnknown('no answer')


async def refuse(store, topic, records):
    raise exceptions.StoreUnavailable('503')


def delete_jobs(store, *names):
    """Delete each job in an append of its own; return all appends."""

    async def scenario():
        owner_writer = make_writer(store)
        writer_task = await curio.spawn(owner_writer.run, daemon=True)
        for name in names:
            await owner_writer.delete_jobs([name])
            await curio.sleep(0.15)
        await writer_task.cancel()

    curio.run(scenario)
    return [
        (part, number, len(batch)) for part, number, batch in store.appended
    ]


def test_refused_append_is_retried_at_the_other_partition():
    store = Partitions()
    store.script = [refuse]
    assert delete_jobs(store, 'j1', 'j2') == [(0, 0, 1), (1, 0, 1), (1, 1, 1)]


def test_sequence_number_of_an_unanswered_append_isnt_reused():
    store = Partitions()
    store.script = [lose_answer, None, refuse]
    delete_jobs(store, 'j1', 'j2')
    first, second = [store.appended[0][2], store.appended[2][2]]
    assert store.appended == [
        (0, 0, first),  # no answer: may be carried out late
        (1, 0, first),
        (1, 1, second),  # refused: back to the first partition
        (0, 0, first),
        (0, 1, second),
        (1, 1, second),  # deletions go to all used partitions
    ]


def test_all_partitions_are_fenced():
    store = Partitions()
    curio.run(make_writer(store).fence)
    assert [(part, batch) for part, _, batch in store.appended] == [
        (0, []),
        (1, []),
    ]


def write_all(ctx, engine):
    """Write the records of all jobs that have changed."""

    async def scenario():
        owner_writer = writer.Writer(
            ctx, engine, 1, lambda starts: curio.sleep(0)
        )
        writer_task = await curio.spawn(owner_writer.run, daemon=True)
        await owner_writer.flush(2.0)
        await writer_task.cancel()

    curio.run(scenario)


def write_large_job(make_checkpoint, make_endpoint=lambda rng: 'e1'):
    """Write a job of 10,000 running tasks and a small one.

    Return the job, its first step as a new owner restores it from the record
    (None if the job has ended), and the events.
    """
    rng = random.Random(1)
    fake_store = fakes.FakeStore()
    ctx = fakes.make_context(fake_store)
    ctx.ownership.record_claim(1, 0.0)
    bench = support.Bench()
    bench.endpoint('e1', cpu=10**9, memory=10**9)
    step = support.step(10_000, checkpoints=True)
    large = bench.submit('large', step)
    bench.submit('small', support.step())
    bench.confirm(bench.plan())
    for task in large.occurrences[0][0].tasks:
        task.checkpoint = make_checkpoint(rng)
        task.endpoint = make_endpoint(rng)
    bench.engine.dirty |= {'large', 'small'}
    write_all(ctx, bench.engine)
    sizes = [len(record) for _, record in fake_store.records]
    assert max(sizes) <= 262_144  # the largest record of the store
    assert set(fake_store.keys()) == {'large', 'small'}
    if large.state.final:
        return large, None, ctx.log
    values = [store.decode_keyed(record) for _, record in fake_store.records]
    row = records.decode_job(dict(values)['large'])
    copy = support.Bench().submit('large', step)
    records.restore(copy, row)
    return large, copy.occurrences[0][0], ctx.log


def test_job_whose_record_is_too_large_stops_all_other_jobs():
    # No job that hosts accept is as large: each task is on another endpoint.
    large, _, log = write_large_job(
        lambda rng: '', lambda rng: f'{rng.getrandbits(512):x}'
    )
    assert large.durable_state is model.JobState.FAILED
    assert log.named('record_too_large')


def test_running_job_isnt_given_up_for_its_checkpoints():
    # Failure: a job of 7,000 tasks that checkpoint ended as failed.
    large, restored, log = write_large_job(
        lambda rng: f'{rng.getrandbits(64):016x}'
    )
    assert not large.state.final
    tasks = large.occurrences[0][0].tasks
    assert [task.checkpoint for task in restored.tasks] == [
        task.checkpoint for task in tasks
    ]
    assert {task.status for task in restored.tasks} == {state.Status.RUNNING}
    assert not log.named('record_reduced')


def test_running_job_keeps_its_runs_if_its_checkpoints_are_too_large():
    # Failure: as above, with checkpoints of 32 random bytes.
    large, restored, log = write_large_job(
        lambda rng: f'{rng.getrandbits(256):064x}'
    )
    assert not large.state.final
    assert {task.status for task in restored.tasks} == {state.Status.RUNNING}
    assert {task.checkpoint for task in restored.tasks} == {''}
    assert len(log.named('record_reduced')) == 1


def test_periodic_job_isnt_given_up_for_its_completed_occurrences():
    fake_store = fakes.FakeStore()
    ctx = fakes.make_context(fake_store)
    ctx.ownership.record_claim(1, 0.0)
    bench = support.Bench()
    due = support.WALL_TIME
    bench.endpoint('e1', cpu=10**9, memory=10**9)
    job = bench.submit('j', support.step(5000), times=3, first_due=due)
    for start in bench.plan():
        bench.end(start, checkpoint='x' * 80)
    bench.engine.plan(bench.now, due)
    write_all(ctx, bench.engine)
    assert job.created > 1
    assert not job.state.final
    assert fake_store.keys() == ['j']
    assert not job.state.final
    assert fake_store.keys() == ['j']
    assert max(len(record) for _, record in fake_store.records) <= 262_144


def test_record_tells_for_how_long_a_task_mustnt_be_started():
    """A new owner would start it while a former start may take effect."""
    fake_store = fakes.FakeStore()
    ctx = fakes.make_context(fake_store)
    ctx.ownership.record_claim(1, 0.0)
    bench = support.Bench()
    job = bench.submit('j', support.step())
    job.occurrences[0][0].tasks[0].not_before = context.monotonic() + 60.0
    bench.engine.dirty.add('j')
    write_all(ctx, bench.engine)
    ((_, record),) = fake_store.records
    (row,) = records.decode_job(store.decode_keyed(record)[1]).delays
    assert 0 < row.left_ms <= 60_000
