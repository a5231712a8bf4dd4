"""Run the sample deployments and check the scheduler's guarantees."""

import collections
import dataclasses
import importlib.resources
import random
import resource
import sys
import time

import curio

from hibiscusslip import sheet
from hibiscusslip.demo import cell
from hibiscusslip.demo import traffic
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.observe import logs

SEED = 20
REQUESTS_PER_S = 60.0
TRAFFIC_S = 4.0
READY_TIMEOUT_S = 8.0
FINISH_TIMEOUT_S = 8.0

PEACHTREE_GROUPS = (
    cell.EndpointGroup('planner', 18, 64, 256, 0, 5),
    cell.EndpointGroup('print', 7, 128, 256, 8, 3),
)
ESTENDAL_GROUPS = (
    cell.EndpointGroup('sales', 19, 32, 128, 0, 4),
    cell.EndpointGroup('engineering', 8, 128, 256, 8, 3),
)


@dataclasses.dataclass(slots=True)
class Report:
    """Represent the results of running a deployment.

    `peak_usage` is the largest share of the processors in use, `cpu_s` the
    processor time of the whole process, stand-ins included.
    """

    calls: list[traffic.Call]
    violations: list[str]
    peak_usage: float
    cpu_s: float
    starts: int
    appends: int


def deployments() -> list[cell.Deployment]:
    """Return the sample deployments of both firms."""
    samples = importlib.resources.files('hibiscusslip.sheet') / 'samples'
    return [
        cell.Deployment(
            'Peachtree Term Planners',
            'ga-east',
            ('ga-east-a', 'ga-east-b', 'ga-east-c'),
            PEACHTREE_GROUPS,
            (samples / 'peachtree.csv').read_bytes(),
        ),
        cell.Deployment(
            'Estendal Norte',
            'pt-norte',
            ('pt-norte-a', 'pt-norte-b', 'pt-norte-c', 'pt-norte-d'),
            ESTENDAL_GROUPS,
            (samples / 'estendal.csv').read_bytes(),
        ),
    ]


async def run(deployment: cell.Deployment, seed: int) -> Report:
    """Run one deployment under traffic and return its report."""
    rng = random.Random(seed)
    parsed = sheet.parse(deployment.sheet)
    assert isinstance(parsed, sheet.Sheet), parsed
    content = traffic.with_standin_payloads(parsed)
    demo_cell = cell.Cell(deployment, seed)
    await demo_cell.start()
    try:
        await demo_cell.publish(0, content)
        violations = []
        if not await demo_cell.wait_until_serving(READY_TIMEOUT_S):
            violations.append('not every shard accepted requests in time')
        cpu_start_s = _cpu_time_s()
        acceptors = [node.acceptor for node in demo_cell.nodes.values()]
        traffic_task = await curio.spawn(
            traffic.run, acceptors, content, REQUESTS_PER_S, TRAFFIC_S, rng
        )
        peak_usage = await _measure_peak_usage(demo_cell, TRAFFIC_S)
        calls = await traffic_task.join()
        await _wait_until_finished(demo_cell, content)
        violations.extend(_find_violations(demo_cell, content, calls))
        return Report(
            calls,
            violations,
            peak_usage,
            _cpu_time_s() - cpu_start_s,
            demo_cell.fleet.violations.counters.starts,
            demo_cell.log.counters.appends,
        )
    finally:
        await demo_cell.stop()


def _cpu_time_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _measure_peak_usage(
    demo_cell: cell.Cell, duration_s: float
) -> float:
    """Sample the fleet and return the peak share of processors in use."""
    total = sum(
        worker.info.capacity.cpu_milli
        for worker in demo_cell.fleet.workers.values()
    )
    peak = 0.0
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        used = sum(w.used.cpu_milli for w in demo_cell.fleet.workers.values())
        peak = max(peak, used / total)
        await curio.sleep(0.1)
    return peak


async def _wait_until_finished(
    demo_cell: cell.Cell, content: sheet.Sheet
) -> None:
    """Wait until the sheet's batch jobs ended and its services run."""
    deadline = time.monotonic() + FINISH_TIMEOUT_S
    while time.monotonic() < deadline and _unfinished(demo_cell, content):
        await curio.sleep(0.1)


def _sheet_jobs(demo_cell: cell.Cell) -> dict[str, list[model.Job]]:
    """Return the jobs that the sheet started, by workload."""
    jobs: dict[str, list[model.Job]] = collections.defaultdict(list)
    for node in demo_cell.nodes.values():
        for runner in node.fleet.runners.values():
            for job in runner.engine.jobs.values():
                if job.spec.job_id.rpartition('.')[2][0] in 'sb':
                    jobs[job.spec.workload].append(job)
    return jobs


def _unfinished(demo_cell: cell.Cell, content: sheet.Sheet) -> list[str]:
    """Return a message for each listed workload not running or ended."""
    jobs = _sheet_jobs(demo_cell)
    messages = []
    for row in content.workloads:
        if row.form == work.Form.SERVICE:
            running = sum(
                task.phase == model.Phase.RUNNING
                for job in jobs[row.name]
                for task in job.tasks.values()
            )
            if running != row.copies:
                messages.append(f'{row.name}: {running} of {row.copies} run')
        elif not jobs[row.name] or not jobs[row.name][0].outcome.final:
            messages.append(f'{row.name}: has no outcome')
    return messages


def _find_violations(
    demo_cell: cell.Cell, content: sheet.Sheet, calls: list[traffic.Call]
) -> list[str]:
    """Return the violations that workers and callers observed."""
    counters = demo_cell.fleet.violations.counters
    violations = _unfinished(demo_cell, content)
    if counters.overlaps:
        violations.append(f'{counters.overlaps} tasks ran in two places')
    if counters.repeated_starts:
        violations.append(f'{counters.repeated_starts} runs were repeated')
    if counters.overcommits:
        violations.append(f'hosts overcommitted: {counters.overcommits}')
    without_outcome = sum(call.outcome is None for call in calls)
    if without_outcome:
        violations.append(f'{without_outcome} requests have no outcome')
    wrong_answers = sum(not call.answer_correct for call in calls)
    if wrong_answers:
        violations.append(
            f"{wrong_answers} answers were not the caller's own and whole"
        )
    return violations


def print_report(name: str, report: Report) -> None:
    """Print the report of a deployment as a table."""
    print(f'\n{name}')
    print(
        f'{"kind":<12}{"requests":>9}{"succeeded":>10}{"not_run":>8}'
        f'{"other":>6}{"wait p50":>10}{"wait p99":>10}'
    )
    by_kind = collections.defaultdict(list)
    for call in report.calls:
        by_kind[call.kind].append(call)
    for kind, calls in sorted(by_kind.items()):
        _print_kind(kind, calls)
    cost = 1e6 * report.cpu_s / max(1, report.starts)
    print(
        f'packing: at most {100 * report.peak_usage:.0f} % of the processors;'
        f' {report.starts} starts, {report.appends} log appends;'
        f' {cost:.0f} us of processor time a start, stand-ins included'
    )
    for violation in report.violations:
        print(f'BROKEN: {violation}')


def _print_kind(kind: str, calls: list[traffic.Call]) -> None:
    outcomes = collections.Counter(call.outcome for call in calls)
    succeeded = outcomes[work.Outcome.SUCCEEDED]
    not_run = outcomes[work.Outcome.NOT_RUN]
    other = len(calls) - succeeded - not_run
    waits = sorted(call.wait_s for call in calls)
    p50 = waits[len(waits) // 2]
    p99 = waits[min(len(waits) - 1, int(len(waits) * 0.99))]
    print(
        f'{kind:<12}{len(calls):>9}{succeeded:>10}{not_run:>8}{other:>6}'
        f'{1000 * p50:>7.0f} ms{1000 * p99:>7.0f} ms'
    )


def main() -> int:
    """Run both deployments; return 1 if there was any violation."""
    logs.configure('ERROR')
    failed = False
    for deployment in deployments():
        report = curio.run(run, deployment, SEED)
        print_report(deployment.name, report)
        failed = failed or bool(report.violations)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
