"""Check jobs whose home shard has no endpoint that could run them.

Their tasks must run on endpoints of other shards, and the home must not
refuse them as impossible.
"""

import curio

from hibiscusslip import sheet
from hibiscusslip.demo import cell
from hibiscusslip.demo import traffic
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.sheet import samples
from hibiscusslip.standin import payload

SHARDS_PER_ZONE = 4
REQUESTS = 24


async def run_in_cell(scenario):
    """Run a scenario in a cell that has more shards than endpoints."""
    groups = (
        cell.EndpointGroup('planner', 2, 64, 256, 0, 2),
        cell.EndpointGroup('print', 1, 128, 256, 8, 3),
    )
    cell_ = cell.Cell(
        cell.Deployment('t', 'r', ('a', 'b'), groups, b'', SHARDS_PER_ZONE), 1
    )
    await cell_.start()
    try:
        content = sheet.parse(samples.read('peachtree'))
        rows = tuple(
            row for row in content.workloads if row.copies and row.name == ''
        )
        empty = type(content)(content.shares, content.quotas, rows)
        await cell_.publish(0, traffic.with_standin_payloads(empty))
        assert await cell_.wait_until_serving(10.0)
        return await scenario(cell_)
    finally:
        await cell_.stop()


def spec(job_id, kind='timetable', team='planner-north', **demand):
    """Return a short request."""
    task_payload = payload.Payload(run_s=0.02, echo=job_id)
    wanted = {'cpu_milli': 1000, 'memory_mb': 512} | demand
    return work.JobSpec(
        job_id,
        team,
        kind,
        demand=resources.Resources(**wanted),
        payload=payload.encode(task_payload),
    )


async def submit_to_all_shards(cell_):
    """Submit jobs with keys to the home of each shard."""
    acceptor = cell_.nodes['a-h0'].acceptor
    homes = cell_.nodes['a-h0'].cfg.shards
    specs = [
        spec(f'{home.zone}.{home.number}.kx{number}')
        for number in range(REQUESTS // len(homes))
        for home in homes
    ]
    tasks = [
        await curio.spawn(acceptor.submit, job_spec, 20.0)
        for job_spec in specs
    ]
    states = [await task.join() for task in tasks]
    return specs, states, cell_.fleet.violations.counters


def test_jobs_of_a_shard_without_endpoints_run_in_other_shards():
    specs, states, counters = curio.run(run_in_cell, submit_to_all_shards)
    assert len(specs) == REQUESTS
    for job_spec, state in zip(specs, states, strict=True):
        assert state.outcome == work.Outcome.SUCCEEDED, state
        name = work.task_id(job_spec.job_id, 0)
        assert state.answer == payload.expected_answer(name, job_spec.job_id)
    assert counters.starts == REQUESTS
    assert counters.violations == 0


async def submit_accelerator_job(cell_):
    """Submit a job that fits only one endpoint of the cell."""
    acceptor = cell_.nodes['b-h0'].acceptor
    job_spec = spec('b.0.kacc', 'press', 'print', accelerators=2)
    return await acceptor.submit(job_spec, 20.0)


def test_job_that_fits_only_another_shard_is_not_refused_as_impossible():
    state = curio.run(run_in_cell, submit_accelerator_job)
    assert state.outcome == work.Outcome.SUCCEEDED, state
