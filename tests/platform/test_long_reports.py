"""Check what an engine concludes from reports as endpoints send them."""

import json

from hibiscusslip.dispatch import model
from hibiscusslip.platform import documents
from tests.dispatch import support

PAGE = 500  # ended runs in one report
TASKS = 900


def body(starts, clock):
    """Return a report of an endpoint whose runs have all ended as done."""
    rows = [
        [number, start.task.name, start.run, 'done', '']
        for number, start in enumerate(starts, 1)
    ]
    report = {'ClockMs': clock, 'Running': [], 'Ended': rows, 'born': 1000}
    return json.dumps(report).encode()


def test_runs_whose_ends_are_beyond_the_first_500_arent_started_again():
    """Guards against a second run of tasks that are done (review/7)."""
    bench = support.Bench()
    bench.endpoint('e1', cpu=TASKS, memory=TASKS)
    bench.submit('j', support.step(TASKS, cpu=1, memory=1))
    starts = bench.plan()
    assert len(starts) == TASKS
    for allocation in bench.engine.endpoints['e1'].allocations.values():
        allocation.recovered = True  # the owner is a new one
    bench.now += 1.0
    for page in (starts[:PAGE], starts):
        report = documents.read_endpoint_report(body(page, 101_000))
        bench.engine.handle_report('e1', report, bench.now, bench.now)
        assert bench.plan() == []
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED
