"""Count what each organisation has running.

A run counts with the full demand of its task from the decision to start it
until its end is certain. The endpoints of an engine tell the ledger of each
allocation, so that a scheduling pass needn't look at all of them.
"""

import collections.abc
import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

RunKey = tuple[str, str, int]  # names of endpoint and task, number of the run


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What an organisation has running: `runs` runs that need `demand`."""

    demand: model.Demand = model.Demand()
    runs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CountedRun:
    """A run that counts, and where it is or may still start."""

    task: state.Task
    run: int
    endpoint: str
    address: str
    born: float

    @property
    def is_current(self) -> bool:
        """Return True if it is the run that its task's state names."""
        task = self.task
        return (
            task.status.placed
            and task.run == self.run
            and task.endpoint == self.endpoint
        )


class Ledger:
    """Track the runs of all jobs that have an organisation.

    Runs of jobs without one, and of jobs that aren't known, don't count.
    """

    def __init__(self) -> None:
        self._usage: dict[str, Usage] = {}
        self._runs_by_job: dict[str, dict[RunKey, CountedRun]] = {}
        self._held_until: dict[RunKey, tuple[float, CountedRun]] = {}

    def usage_of(self, organisation: str) -> Usage:
        """Return what an organisation has running."""
        return self._usage.get(organisation, Usage())

    def usages(self) -> dict[str, Usage]:
        """Return what each organisation that has runs has running."""
        return dict(self._usage)

    def runs_of(self, job_id: str) -> collections.abc.Collection[CountedRun]:
        """Return the runs of a job that count."""
        return self._runs_by_job.get(job_id, {}).values()

    def held_runs(self) -> list[CountedRun]:
        """Return the released runs that may still start."""
        return [run for _, run in self._held_until.values()]

    def record_allocation(
        self,
        endpoint: state.Endpoint,
        name: str,
        allocation: state.Allocation,
        active: bool,
    ) -> None:
        """Apply that an endpoint has allocated or released a run.

        `name` is that of the task.
        """
        task = allocation.task
        if task is None or not task.step.job.organisation:
            return
        key = (endpoint.name, name, allocation.run)
        if active:
            run = CountedRun(
                task,
                allocation.run,
                endpoint.name,
                endpoint.address,
                endpoint.born,
            )
            self._add(key, run)
        else:
            self._remove(key, task)

    def hold(
        self,
        endpoint: state.Endpoint,
        name: str,
        allocation: state.Allocation,
        until: float,
    ) -> None:
        """Count a released run, which may still start, until a time.

        If it starts, it is allocated again and counts as usual.
        """
        self.record_allocation(endpoint, name, allocation, True)
        key = (endpoint.name, name, allocation.run)
        task = allocation.task
        run = task and self._runs_by_job.get(task.step.job.job_id, {}).get(key)
        if run:
            self._held_until[key] = until, run

    def end_holds(self, now: float) -> list[str]:
        """Drop the runs that can't start any more; return their jobs."""
        ended = [
            (key, run.task)
            for key, (until, run) in self._held_until.items()
            if now >= until
        ]
        for key, task in ended:
            self._remove(key, task)
        return [task.step.job.job_id for _, task in ended]

    def _add(self, key: RunKey, run: CountedRun) -> None:
        self._held_until.pop(key, None)
        job = run.task.step.job
        runs = self._runs_by_job.setdefault(job.job_id, {})
        if key not in runs:
            used = self.usage_of(job.organisation)
            demand = run.task.step.spec.demand
            self._usage[job.organisation] = Usage(
                used.demand + demand, used.runs + 1
            )
        runs[key] = run

    def _remove(self, key: RunKey, task: state.Task) -> None:
        self._held_until.pop(key, None)
        job = task.step.job
        runs = self._runs_by_job.get(job.job_id, {})
        if runs.pop(key, None) is None:
            return
        if not runs:
            del self._runs_by_job[job.job_id]
        used = self._usage[job.organisation]
        if used.runs == 1:
            del self._usage[job.organisation]
        else:
            self._usage[job.organisation] = Usage(
                used.demand - task.step.spec.demand, used.runs - 1
            )
