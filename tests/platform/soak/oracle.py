"""Check a trial: compare endpoints' runs with the responses to callers."""

import collections
import json
import pathlib
import typing

from tests.platform.soak import callers
from tests.platform.soak import faults
from tests.platform.soak import layout

DONE = 'done'
FAILED = 'failed'
CRASHED = 'crashed'
FINAL = ('completed', 'failed', 'cancelled')
EXCUSE_MARGIN_S = 3.0  # a fault this close may explain a missing response


def read_ledger(ledger: pathlib.Path) -> list[list[typing.Any]]:
    """Return the events that the platform has recorded, sorted by time."""
    rows = [json.loads(line) for line in ledger.read_text().splitlines()]
    return sorted(rows, key=lambda row: row[0])


class Checker:
    """Collect the violations of one trial in `broken`.

    `ledger` is the file in which the platform recorded the runs. `rows` are
    its events, sorted by time.
    """

    def __init__(
        self, jobs: dict[str, callers.Job], ledger: pathlib.Path
    ) -> None:
        self.broken: list[str] = []
        self._jobs = jobs
        self.rows = read_ledger(ledger)
        self._done: dict[str, list[tuple[float, int]]]
        self._done = collections.defaultdict(list)
        self._failed: collections.Counter[str] = collections.Counter()
        self._crashes: collections.Counter[str] = collections.Counter()
        self._kinds: dict[str, tuple[float, str]] = {}
        self._acked = {
            (row[2], row[3]) for row in self.rows if row[1] == 'ack'
        }
        self.starts = 0
        self.copies = 0
        self.longest_stall_s = 0.0
        self.longest_hold_ms = 0

    def check_runs(self) -> None:
        """Check the ledger: capacity, duplicate runs, step order, attempts."""
        running: dict[str, dict[str, int]] = collections.defaultdict(dict)
        acked_failures: collections.Counter[str] = collections.Counter()
        for at, event, *fields in self.rows:
            if event == 'start':
                endpoint, task, run = fields
                self.starts += 1
                self.copies += bool(running[task])
                self._check_start(at, task, run, running, acked_failures)
                running[task][endpoint] = run
                self._check_kind(at, endpoint, task, run)
                self._check_capacity(at, endpoint, running)
            elif event == 'end':
                endpoint, task, run, how = fields
                running[task].pop(endpoint, None)
                if how == DONE:
                    self._done[task].append((at, run))
                self._failed[task] += how == FAILED
                self._crashes[task] += how == CRASHED and self._is_deadly(task)
            elif event == 'ack':
                task, run, how = fields
                acked_failures[task] += how == FAILED
            elif event == 'kind':
                endpoint, kind = fields
                self._kinds[endpoint] = at, kind
            elif event == 'stall':
                self.longest_stall_s = max(self.longest_stall_s, *fields)

    def _check_start(
        self,
        at: float,
        task: str,
        run: int,
        running: dict[str, dict[str, int]],
        acked_failures: collections.Counter[str],
    ) -> None:
        job, step, index = self._parse_task(task)
        if job is None or index >= job.counts[step]:
            self._add_violation(at, 'UNASKED', task, run)
            return
        if job.refused:
            self._add_violation(at, 'REFUSED', task, run)
        if len(running[task]) > job.speculative:
            self._add_violation(at, 'TWICE', task, run, running[task])
        for ended, number in self._done[task]:
            if (task, number) in self._acked:
                self._add_violation(at, 'TWICE after done', task, run, ended)
        if acked_failures[task] >= layout.MAX_ATTEMPTS:
            self._add_violation(at, 'BUDGET', task, run)
        if self._crashes[task] >= layout.MAX_CRASHING_STARTS:
            self._add_violation(at, 'BUDGET crashes', task, run)
        if step and not self._step_done(job, step - 1, at):
            self._add_violation(at, 'ORDER', task, run)

    def _check_kind(
        self, at: float, endpoint: str, task: str, run: int
    ) -> None:
        job, _, _ = self._parse_task(task)
        changed_at, kind = self._kinds[endpoint]
        may_lag = at > changed_at + layout.MAX_ENTRY_LAG_S
        if job is not None and job.kind not in ('', kind) and not may_lag:
            self._add_violation(at, 'ROUTE', task, run, endpoint, kind)

    def _check_capacity(
        self, at: float, endpoint: str, running: dict[str, dict[str, int]]
    ) -> None:
        used = 0
        for task, runs in running.items():
            if endpoint in runs:
                job, step, _ = self._parse_task(task)
                used += job.cpus[step] if job else 0
        if used > layout.ENDPOINT_CPU[int(endpoint[1:])]:
            self._add_violation(at, 'LIMIT', endpoint, used)

    def _parse_task(self, task: str) -> tuple[callers.Job | None, int, int]:
        job_id, _, step, index = task.rsplit('.', 3)
        return self._jobs.get(job_id), int(step), int(index)

    def _step_done(self, job: callers.Job, step: int, at: float) -> bool:
        return all(
            any(
                ended <= at
                for ended, _ in self._done[
                    f'{job.job_id}.{occurrence}.{step}.{index}'
                ]
            )
            for occurrence in range(job.times or 1)
            for index in range(job.counts[step])
        )

    def check_responses(self) -> None:
        """Compare the responses to callers with the runs."""
        for job in self._jobs.values():
            accepted = job.accepted_at
            for result in job.queries:
                if accepted is None:
                    continue
                must_be_visible = (
                    result.sent > accepted + layout.MAX_VISIBILITY_DELAY_S
                )
                if result.status == 410 and must_be_visible:
                    self._add_violation(
                        result.at, 'LOST: 410', job.job_id, result.host
                    )
                if result.state == 'completed' and not all(
                    self._step_done(job, step, result.at)
                    for step in range(len(job.counts))
                ):
                    self._add_violation(
                        result.at, 'MIXED', job.job_id, result.host
                    )
                if result.state == 'failed' and not self._may_fail(job):
                    self._add_violation(result.at, 'LOST: failed', job.job_id)
                if result.state == 'cancelled' and not job.cancellations:
                    self._add_violation(
                        result.at, 'LOST: cancelled', job.job_id
                    )

    def _is_deadly(self, task: str) -> bool:
        job, step, index = self._parse_task(task)
        return job is not None and job.deadly and (step, index) == (0, 0)

    def _may_fail(self, job: callers.Job) -> bool:
        return job.deadly or any(
            times >= layout.MAX_ATTEMPTS and task.startswith(job.job_id)
            for task, times in self._failed.items()
        )

    def check_completion(self, running: list[str]) -> None:
        """Check that accepted jobs have ended and cancelled ones don't run."""
        for job in self._jobs.values():
            if job.accepted_at is None:
                continue
            last = job.queries[-1] if job.queries else None
            if last is None or last.state not in FINAL:
                self._add_violation(0.0, 'LOST: no end', job.job_id, last)
        for task in running:
            running_job, _, _ = self._parse_task(task)
            if running_job is not None and running_job.cancellations:
                if any(
                    result.status == 200
                    for result in running_job.cancellations
                ):
                    self._add_violation(0.0, 'UNASKED: cancelled runs', task)

    def check_config(
        self, probes: list[callers.CallResult], final: list[callers.CallResult]
    ) -> None:
        """Check that the added queue is in force and no host lost it again."""
        seen = set()
        for result in sorted(probes, key=lambda probe: probe.at):
            incarnation = (result.host, result.life)
            if result.status == 200:
                seen.add(incarnation)
            elif result.status == 404 and incarnation in seen:
                self._add_violation(result.at, 'CONFIG: back', result.host)
        for result in final:
            if result.status != 200:
                self._add_violation(result.at, 'CONFIG: not in force', result)

    def check_holds(self, folder: pathlib.Path) -> None:
        """Check that no task of a host held its loop for long."""
        for log in folder.glob('*.log'):
            for line in log.read_text(errors='replace').splitlines():
                if '"event":"loop_held"' not in line:
                    continue
                row = json.loads(line)
                self.longest_hold_ms = max(
                    self.longest_hold_ms, row['processor_ms']
                )
                if row['processor_ms'] > layout.MAX_LOOP_HOLD_MS:
                    self._add_violation(0.0, 'HELD', row['host'], row)

    def check_graceful_stops(
        self, injected: list[faults.InjectedFault]
    ) -> None:
        """Check that a graceful stop leaves no request without a response."""
        stops = [item for item in injected if item.fault.kind == 'term']
        for job in self._jobs.values():
            for result in (*job.submissions, *job.queries, *job.cancellations):
                if result.status != callers.NO_RESPONSE:
                    continue
                for stop in stops:
                    if _excused(result, stop, injected):
                        continue
                    self._add_violation(
                        result.at, 'LOST: cut', job.job_id, result.host
                    )

    def _add_violation(
        self, at: float, rule: str, *fields: typing.Any
    ) -> None:
        self.broken.append(f'{at:.3f} {rule}: {fields}')


def _excused(
    result: callers.CallResult,
    stop: faults.InjectedFault,
    injected: list[faults.InjectedFault],
) -> bool:
    """Return True if a missing response has a cause other than the stop."""
    if stop.fault.target != result.host:
        return True
    if result.at < stop.began or result.sent > stop.ended:
        return True
    return any(
        other is not stop
        and other.began - EXCUSE_MARGIN_S < result.at
        and other.ended + EXCUSE_MARGIN_S > result.sent
        for other in injected
    )
