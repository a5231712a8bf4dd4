"""Test that each component that handles a request records a span."""

import json

import curio

from hibiscusslip import sheet
from hibiscusslip.demo import cell
from hibiscusslip.demo import traffic
from hibiscusslip.model import work
from hibiscusslip.node import caller_service
from hibiscusslip.observe import traces
from hibiscusslip.sheet import samples

ZONES = ('a', 'b')
PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def deployment():
    """Return a small cell that can run the sample sheet."""
    groups = (cell.EndpointGroup('planner', 4, 64, 256, 0, 2),)
    return cell.Deployment('t', 'r', ZONES, groups, b'')


def spec(job_id=''):
    """Return a request with a trace of its own."""
    content = sheet.parse(samples.read('peachtree'))
    row = next(r for r in content.workloads if r.kind == 'timetable')
    return work.JobSpec(
        job_id, row.team, row.kind, demand=row.demand, trace=PARENT
    )


async def scenario(tracer):
    cell_ = cell.Cell(deployment(), 1, tracer)
    await cell_.start()
    try:
        content = sheet.parse(samples.read('peachtree'))
        await cell_.publish(0, traffic.with_standin_payloads(content))
        assert await cell_.wait_until_serving(10.0)
        service = caller_service.CallerService(cell_.nodes['a-h0'])
        foreign = service.new_job_id('planner-north', 'key-of-zone-b-1')
        return await service.submit_and_wait(spec(foreign), 10.0)
    finally:
        await cell_.stop()


def test_each_component_records_a_span_of_the_request(tmp_path):
    path = tmp_path / 'spans.json'
    tracer = traces.create_tracer(str(path), 'a-h0')
    state = curio.run(scenario, tracer)
    tracer.close()
    assert state.outcome == work.Outcome.SUCCEEDED
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    trace_id = PARENT.split('-')[1]
    matching = [s for s in spans if trace_id in json.dumps(s)]
    assert {s['name'] for s in matching} >= {'accept', 'home', 'start'}
