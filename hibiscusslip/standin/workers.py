"""Simulate workers that run tasks without any check of their own.

A worker accepts every start request, duplicates included; violations are
only counted. The current time is an argument of each call.
"""

import collections
import heapq
import itertools
import math

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.standin import _run
from hibiscusslip.standin import faults
from hibiscusslip.standin import violations

MAX_ENDED_RUNS = 1024
MAX_EVENTS_PER_BATCH = 256
CRASHED = 'crashed'


class Fleet:
    """Store the workers of a process and the scheduled ends of their runs."""

    def __init__(self, boot_prefix: str = 'boot') -> None:
        self.violations = violations.ViolationMonitor()
        self.workers: dict[str, Worker] = {}
        self._boot_prefix = boot_prefix
        self._boots = itertools.count(1)
        self._sequence = itertools.count()
        self._scheduled_ends: list[
            tuple[float, int, Worker, _run.TaskRun]
        ] = []

    def add(self, info: places.EndpointInfo) -> 'Worker':
        """Add a worker."""
        worker = Worker(info, self)
        self.workers[info.name] = worker
        return worker

    def new_boot(self) -> str:
        """Return a boot id that no worker has used."""
        return f'{self._boot_prefix}-{next(self._boots)}'

    def schedule_end(self, worker: 'Worker', run: _run.TaskRun) -> None:
        """Schedule the end of a run."""
        if run.due_at < math.inf:
            entry = (run.due_at, next(self._sequence), worker, run)
            heapq.heappush(self._scheduled_ends, entry)

    def next_due_at(self) -> float:
        """Return when the next run may end, infinity if there is none."""
        return self._scheduled_ends[0][0] if self._scheduled_ends else math.inf

    def advance(self, now: float) -> set['Worker']:
        """End all runs that are due and return the affected workers."""
        affected: set[Worker] = set()
        while self._scheduled_ends and self._scheduled_ends[0][0] <= now:
            _, _, worker, run = heapq.heappop(self._scheduled_ends)
            if not run.running:
                continue
            if run.due_at > now:
                self.schedule_end(worker, run)
                continue
            worker.end(run)
            affected.add(worker)
        return affected


class Worker:
    """Store the runs of one worker."""

    def __init__(self, info: places.EndpointInfo, fleet: Fleet) -> None:
        self.info = info
        self.faults = faults.WorkerFaultState()
        self.boot = fleet.new_boot()
        self.next_event = 0
        self._fleet = fleet
        self._used = resources.NOTHING
        self._running: dict[str, list[_run.TaskRun]] = {}
        self._ended: collections.deque[_run.TaskRun] = collections.deque(
            maxlen=MAX_ENDED_RUNS
        )

    @property
    def used(self) -> resources.Resources:
        """Return the total demand of all active runs."""
        return self._used

    def start(
        self, now: float, start_request: base.StartRequest
    ) -> base.StartResult:
        """Start a task, regardless of other runs.

        An expired start request isn't carried out.
        """
        if self.faults.refuse_starts:
            return base.StartResult(
                start_request.task, False, 'starts are refused'
            )
        if start_request.void_at and now > start_request.void_at:
            return base.StartResult(
                start_request.task, False, 'the order is void'
            )
        fail_after = self.faults.fail_after if self.faults.fail_all else None
        run = _run.TaskRun(now, start_request, fail_after)
        self._running.setdefault(start_request.task, []).append(run)
        self._used += start_request.demand
        monitor = self._fleet.violations
        name = self.info.name
        monitor.record_start(
            name, start_request.task, run.identity, run.payload.repeatable
        )
        monitor.record_allocation(name, self._used, self.info.capacity)
        self._fleet.schedule_end(self, run)
        return base.StartResult(start_request.task, True)

    def renew(self, now: float, tasks: list[str], lease: float) -> list[str]:
        """Renew leases and return the tasks that no longer run."""
        gone: list[str] = []
        for task in tasks:
            runs = self._running.get(task)
            if not runs:
                gone.append(task)
                continue
            for run in runs:
                run.lease_until = max(run.lease_until, now + lease)
        return gone

    def end(self, run: _run.TaskRun) -> None:
        """End a run that is due and retain it for listings."""
        run.end()
        self._remove_run(run, run.state.value)
        self._ended.append(run)
        self.next_event += 1

    def list_runs(self, now: float = 0.0) -> base.RunListing:
        """Return active and retained runs, without inline answers."""
        active = [run for group in self._running.values() for run in group]
        runs = [run.build_run(False) for run in (*self._ended, *active)]
        return base.RunListing(self.boot, self.next_event, runs, now)

    def events(self, after: int) -> base.EventBatch:
        """Return the retained runs that ended since event `after`."""
        oldest = self.next_event - len(self._ended)
        first = min(max(after, oldest), self.next_event)
        end = min(first + MAX_EVENTS_PER_BATCH, self.next_event)
        ended = itertools.islice(self._ended, first - oldest, end - oldest)
        return base.EventBatch(
            self.boot, end, [run.build_run(True) for run in ended]
        )

    def answer(self, task: str, attempt: int) -> bytes:
        """Return a whole answer; raises CallRefused when there is none."""
        for run in reversed(self._ended):
            if (
                run.start_request.task == task
                and run.start_request.attempt == attempt
            ):
                return run.answer()
        raise exceptions.CallRefused(f'{task} has no answer here; list runs')

    def checkpoint(self, now: float, task: str) -> bytes:
        """Return a checkpoint; raises CallRefused unless the task runs."""
        return self._require_active(task)[-1].build_checkpoint(now)

    def throttle(self, now: float, task: str, share: float) -> None:
        """Throttle a task; raises CallRefused unless it runs."""
        for run in self._require_active(task):
            run.throttle(now, share)
            self._fleet.schedule_end(self, run)

    def stop(self, now: float, task: str, grace: float) -> float:
        """Stop a task and return when it will have ended."""
        ends_at = now
        for run in self._running.get(task, ()):
            run.stop(now, grace)
            self._fleet.schedule_end(self, run)
            ends_at = max(ends_at, run.due_at)
        return ends_at

    def usage(self, now: float) -> list[base.Usage]:
        """Return the usage of all runs older than the usage lag."""
        lag = self.faults.usage_lag
        return [
            base.Usage(task, _usage_of(run), lag)
            for task, runs in self._running.items()
            for run in runs
            if run.started_at <= now - lag
        ]

    def restart(self) -> None:
        """Drop all runs and get a new boot id, as after a crash."""
        for runs in list(self._running.values()):
            for run in list(runs):
                run.state = base.RunState.LAPSED
                self._remove_run(run, CRASHED)
        self._ended.clear()
        self.next_event = 0
        self.boot = self._fleet.new_boot()

    def _require_active(self, task: str) -> list[_run.TaskRun]:
        runs = self._running.get(task)
        if not runs:
            raise exceptions.CallRefused(f'{task} does not run here')
        return runs

    def _remove_run(self, run: _run.TaskRun, state: str) -> None:
        task = run.start_request.task
        runs = self._running[task]
        runs.remove(run)
        if not runs:
            del self._running[task]
        self._used -= run.start_request.demand
        self._fleet.violations.record_end(task, state)


def _usage_of(run: _run.TaskRun) -> resources.Resources:
    demand = run.start_request.demand
    share = run.payload.use
    return resources.Resources(
        int(demand.cpu_milli * share * run.speed),
        int(demand.memory_mb * share),
        demand.accelerators,
        demand.slots,
        demand.connections,
    )
