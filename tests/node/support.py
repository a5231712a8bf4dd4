"""Run a small cell in one process, without jobs of its own."""

import contextlib

from hibiscusslip import sheet
from hibiscusslip.demo import cell
from hibiscusslip.demo import traffic
from hibiscusslip.model import work
from hibiscusslip.sheet import samples
from hibiscusslip.standin import payload


@contextlib.asynccontextmanager
async def serving_cell(zones, hosts_per_zone=1):
    """Run a cell whose shards accept requests."""
    groups = (cell.EndpointGroup('planner', 2, 64, 256, 0, 2),)
    cell_ = cell.Cell(cell.Deployment('t', 'r', zones, groups, b''), 1)
    await cell_.start(hosts_per_zone)
    try:
        content = sheet.parse(samples.read('peachtree'))
        empty = type(content)(content.shares, content.quotas, ())
        await cell_.publish(0, traffic.with_standin_payloads(empty))
        assert await cell_.wait_until_serving(10.0)
        yield cell_
    finally:
        await cell_.stop()


def not_repeatable(job_id, run_s):
    """Return a request that must not run twice."""
    task_payload = payload.Payload(run_s=run_s, repeatable=False)
    return work.JobSpec(
        job_id,
        'planner-north',
        'timetable',
        repeatable=False,
        payload=payload.encode(task_payload),
    )
