"""Show both deployments at work and check what must always hold."""

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
RATE_PER_SECOND = 60.0
TRAFFIC_SECONDS = 4.0
OPEN_SECONDS = 8.0
SETTLE_SECONDS = 8.0

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
    """Hold what a deployment's run showed."""

    calls: list[traffic.Call]
    faults: list[str]
    packing: float
    cpu_seconds: float
    starts: int
    appends: int


def deployments() -> list[cell.Deployment]:
    """Return both firms' deployments at their sizes of today."""
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
    """Run one deployment through its morning."""
    rng = random.Random(seed)
    parsed = sheet.parse(deployment.sheet)
    assert isinstance(parsed, sheet.Sheet), parsed
    content = traffic.with_standin_payloads(parsed)
    made = cell.Cell(deployment, seed)
    await made.start()
    try:
        await made.publish(0, content)
        faults = []
        if not await made.wait_until_serving(OPEN_SECONDS):
            faults.append('not every shard opened in time')
        cpu = _cpu_seconds()
        doors = [node.acceptor for node in made.nodes.values()]
        traffic_task = await curio.spawn(
            traffic.run, doors, content, RATE_PER_SECOND, TRAFFIC_SECONDS, rng
        )
        packing = await _watch_packing(made, TRAFFIC_SECONDS)
        calls = await traffic_task.join()
        await _settle(made, content)
        faults.extend(_broken(made, content, calls))
        return Report(
            calls,
            faults,
            packing,
            _cpu_seconds() - cpu,
            made.fleet.violations.counters.starts,
            made.log.counters.appends,
        )
    finally:
        await made.stop()


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _watch_packing(made: cell.Cell, seconds: float) -> float:
    """Return the highest part of the fleet's processors in use."""
    total = sum(
        worker.info.capacity.cpu_milli
        for worker in made.fleet.workers.values()
    )
    highest = 0.0
    due = time.monotonic() + seconds
    while time.monotonic() < due:
        used = sum(w.used.cpu_milli for w in made.fleet.workers.values())
        highest = max(highest, used / total)
        await curio.sleep(0.1)
    return highest


async def _settle(made: cell.Cell, content: sheet.Sheet) -> None:
    """Wait until the sheet's own jobs have ended or run."""
    due = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < due and _unfinished(made, content):
        await curio.sleep(0.1)


def _listed_jobs(made: cell.Cell) -> dict[str, list[model.Job]]:
    """Return the jobs that came from the sheet, by workload."""
    found: dict[str, list[model.Job]] = collections.defaultdict(list)
    for node in made.nodes.values():
        for runner in node.fleet.runners.values():
            for job in runner.engine.jobs.values():
                if job.spec.job_id.rpartition('.')[2][0] in 'sb':
                    found[job.spec.workload].append(job)
    return found


def _unfinished(made: cell.Cell, content: sheet.Sheet) -> list[str]:
    """Return what the sheet lists and is neither running nor ended."""
    jobs = _listed_jobs(made)
    found = []
    for row in content.workloads:
        if row.form == work.Form.SERVICE:
            running = sum(
                task.phase == model.Phase.RUNNING
                for job in jobs[row.name]
                for task in job.tasks.values()
            )
            if running != row.copies:
                found.append(f'{row.name}: {running} of {row.copies} run')
        elif not jobs[row.name] or not jobs[row.name][0].outcome.final:
            found.append(f'{row.name}: has no outcome')
    return found


def _broken(
    made: cell.Cell, content: sheet.Sheet, calls: list[traffic.Call]
) -> list[str]:
    """Return the promises that did not hold, as workers and callers saw."""
    counters = made.fleet.violations.counters
    faults = _unfinished(made, content)
    if counters.overlaps:
        faults.append(f'{counters.overlaps} tasks ran in two places')
    if counters.repeated_starts:
        faults.append(f'{counters.repeated_starts} runs were repeated')
    if counters.overcommits:
        faults.append(f'hosts overcommitted: {counters.overcommits}')
    without = sum(call.outcome is None for call in calls)
    if without:
        faults.append(f'{without} requests have no outcome')
    torn = sum(not call.whole for call in calls)
    if torn:
        faults.append(f"{torn} answers were not the caller's own and whole")
    return faults


def show(name: str, report: Report) -> None:
    """Print a deployment's table."""
    print(f'\n{name}')
    print(
        f'{"kind":<12}{"requests":>9}{"succeeded":>10}{"not_run":>8}'
        f'{"other":>6}{"wait p50":>10}{"wait p99":>10}'
    )
    by_kind = collections.defaultdict(list)
    for call in report.calls:
        by_kind[call.kind].append(call)
    for kind, calls in sorted(by_kind.items()):
        _show_kind(kind, calls)
    cost = 1e6 * report.cpu_seconds / max(1, report.starts)
    print(
        f'packing: at most {100 * report.packing:.0f} % of the processors;'
        f' {report.starts} starts, {report.appends} log appends;'
        f' {cost:.0f} us of processor time a start, stand-ins included'
    )
    for fault in report.faults:
        print(f'BROKEN: {fault}')


def _show_kind(kind: str, calls: list[traffic.Call]) -> None:
    outcomes = collections.Counter(call.outcome for call in calls)
    succeeded = outcomes[work.Outcome.SUCCEEDED]
    not_run = outcomes[work.Outcome.NOT_RUN]
    other = len(calls) - succeeded - not_run
    waits = sorted(call.waited for call in calls)
    middle = waits[len(waits) // 2]
    high = waits[min(len(waits) - 1, int(len(waits) * 0.99))]
    print(
        f'{kind:<12}{len(calls):>9}{succeeded:>10}{not_run:>8}{other:>6}'
        f'{1000 * middle:>7.0f} ms{1000 * high:>7.0f} ms'
    )


def main() -> int:
    """Run both deployments; return 1 when anything was broken."""
    logs.configure('ERROR')
    broken = False
    for deployment in deployments():
        report = curio.run(run, deployment, SEED)
        show(deployment.name, report)
        broken = broken or bool(report.faults)
    return int(broken)


if __name__ == '__main__':
    sys.exit(main())
