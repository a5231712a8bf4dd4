"""Run tasks on unguarded workers, as far as anybody can tell from outside.

A worker starts whatever it is told and drops no duplicate; the violations
are only counted. Time is an argument everywhere.
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

MAX_ENDED_KEPT = 1024
MAX_EVENTS_PER_BATCH = 256
CRASHED = 'crashed'


class Fleet:
    """Hold the workers of a process and what ends when on them."""

    def __init__(self, boot_prefix: str = 'boot') -> None:
        self.violations = violations.Violations()
        self.workers: dict[str, Worker] = {}
        self._boot_prefix = boot_prefix
        self._boots = itertools.count(1)
        self._order = itertools.count()
        self._agenda: list[tuple[float, int, Worker, _run.TaskRun]] = []

    def add(self, info: places.EndpointInfo) -> 'Worker':
        """Add a worker."""
        worker = Worker(info, self)
        self.workers[info.name] = worker
        return worker

    def new_boot(self) -> str:
        """Return a boot id that no worker has had."""
        return f'{self._boot_prefix}-{next(self._boots)}'

    def plan(self, worker: 'Worker', run: _run.TaskRun) -> None:
        """Note when a run ends."""
        if run.due < math.inf:
            entry = (run.due, next(self._order), worker, run)
            heapq.heappush(self._agenda, entry)

    def next_due(self) -> float:
        """Return when the next run may end."""
        return self._agenda[0][0] if self._agenda else math.inf

    def advance(self, now: float) -> set['Worker']:
        """End what is due and return the workers where something ended."""
        touched: set[Worker] = set()
        while self._agenda and self._agenda[0][0] <= now:
            _, _, worker, run = heapq.heappop(self._agenda)
            if not run.running:
                continue
            if run.due > now:
                self.plan(worker, run)
                continue
            worker.end(run)
            touched.add(worker)
        return touched


class Worker:
    """Hold the runs of one worker."""

    def __init__(self, info: places.EndpointInfo, fleet: Fleet) -> None:
        self.info = info
        self.faults = faults.WorkerFaultState()
        self.boot = fleet.new_boot()
        self.next_event = 0
        self._fleet = fleet
        self._used = resources.NOTHING
        self._running: dict[str, list[_run.TaskRun]] = {}
        self._ended: collections.deque[_run.TaskRun] = collections.deque(
            maxlen=MAX_ENDED_KEPT
        )

    @property
    def used(self) -> resources.Resources:
        """Return the demand of all runs together."""
        return self._used

    def start(self, now: float, order: base.StartRequest) -> base.StartResult:
        """Start a task, whatever else runs."""
        if self.faults.refuse_starts:
            return base.StartResult(order.task, False, 'starts are refused')
        if order.void_at and now > order.void_at:
            return base.StartResult(order.task, False, 'the order is void')
        fail_after = self.faults.fail_after if self.faults.fail_all else None
        run = _run.TaskRun(now, order, fail_after)
        self._running.setdefault(order.task, []).append(run)
        self._used += order.demand
        watch = self._fleet.violations
        name = self.info.name
        watch.note_start(
            name, order.task, run.identity, run.payload.repeatable
        )
        watch.note_use(name, self._used, self.info.capacity)
        self._fleet.plan(self, run)
        return base.StartResult(order.task, True)

    def renew(self, now: float, tasks: list[str], lease: float) -> list[str]:
        """Renew leases and return the tasks that run no longer."""
        gone: list[str] = []
        for task in tasks:
            found = self._running.get(task)
            if not found:
                gone.append(task)
                continue
            for run in found:
                run.lease_until = max(run.lease_until, now + lease)
        return gone

    def end(self, run: _run.TaskRun) -> None:
        """End a run that is due and keep it for a while."""
        run.end()
        self._forget(run, run.state.value)
        self._ended.append(run)
        self.next_event += 1

    def list_runs(self, now: float = 0.0) -> base.RunListing:
        """Return all runs, with no answers inline."""
        active = [run for found in self._running.values() for run in found]
        runs = [run.view(False) for run in (*self._ended, *active)]
        return base.RunListing(self.boot, self.next_event, runs, now)

    def events(self, after: int) -> base.EventBatch:
        """Return runs ended since event `after`, as far as they are kept."""
        oldest = self.next_event - len(self._ended)
        first = min(max(after, oldest), self.next_event)
        end = min(first + MAX_EVENTS_PER_BATCH, self.next_event)
        found = itertools.islice(self._ended, first - oldest, end - oldest)
        return base.EventBatch(
            self.boot, end, [run.view(True) for run in found]
        )

    def answer(self, task: str, attempt: int) -> bytes:
        """Return a whole answer; raises CallRefused when there is none."""
        for run in reversed(self._ended):
            if run.order.task == task and run.order.attempt == attempt:
                return run.answer()
        raise exceptions.CallRefused(f'{task} has no answer here; list runs')

    def checkpoint(self, now: float, task: str) -> bytes:
        """Return a checkpoint; raises CallRefused when it doesn't run."""
        return self._active(task)[-1].save(now)

    def throttle(self, now: float, task: str, share: float) -> None:
        """Slow a task; raises CallRefused when it doesn't run."""
        for run in self._active(task):
            run.throttle(now, share)
            self._fleet.plan(self, run)

    def stop(self, now: float, task: str, grace: float) -> float:
        """Stop a task and return when it will have ended."""
        ends_at = now
        for run in self._running.get(task, ()):
            run.stop(now, grace)
            self._fleet.plan(self, run)
            ends_at = max(ends_at, run.due)
        return ends_at

    def usage(self, now: float) -> list[base.Usage]:
        """Return the use of all runs that are older than the lag."""
        lag = self.faults.usage_lag
        return [
            base.Usage(task, _use_of(run), lag)
            for task, found in self._running.items()
            for run in found
            if run.started_at <= now - lag
        ]

    def restart(self) -> None:
        """Lose all runs and get a new boot id."""
        for found in list(self._running.values()):
            for run in list(found):
                run.state = base.RunState.LAPSED
                self._forget(run, CRASHED)
        self._ended.clear()
        self.next_event = 0
        self.boot = self._fleet.new_boot()

    def _active(self, task: str) -> list[_run.TaskRun]:
        found = self._running.get(task)
        if not found:
            raise exceptions.CallRefused(f'{task} does not run here')
        return found

    def _forget(self, run: _run.TaskRun, state: str) -> None:
        task = run.order.task
        found = self._running[task]
        found.remove(run)
        if not found:
            del self._running[task]
        self._used -= run.order.demand
        self._fleet.violations.note_end(task, state)


def _use_of(run: _run.TaskRun) -> resources.Resources:
    demand = run.order.demand
    share = run.payload.use
    return resources.Resources(
        int(demand.cpu_milli * share * run.speed),
        int(demand.memory_mb * share),
        demand.accelerators,
        demand.slots,
        demand.connections,
    )
