"""Judge a trial by what endpoints did and callers were told."""

import collections
import json
import pathlib
import typing

from tests.platform.soak import callers
from tests.platform.soak import faults
from tests.platform.soak import layout

DONE = 'done'
FAILED = 'failed'
FINAL = ('completed', 'failed', 'cancelled')
NEAR_S = 3.0  # a fault so near may excuse an answer that is missing


class Judge:
    """Collect broken promises of one trial."""

    def __init__(
        self, jobs: dict[str, callers.Job], ledger: pathlib.Path
    ) -> None:
        self.broken: list[str] = []
        self._jobs = jobs
        rows = [json.loads(line) for line in ledger.read_text().splitlines()]
        self._rows = sorted(rows, key=lambda row: row[0])
        self._done: dict[str, list[tuple[float, int]]]
        self._done = collections.defaultdict(list)
        self._failed: collections.Counter[str] = collections.Counter()
        self._acked = {
            (row[2], row[3]) for row in self._rows if row[1] == 'ack'
        }
        self.starts = 0

    def judge_runs(self) -> None:
        """Replay the ledger: room, second runs, order, attempts."""
        running: dict[str, dict[str, int]] = collections.defaultdict(dict)
        noted: collections.Counter[str] = collections.Counter()
        for at, event, *fields in self._rows:
            if event == 'start':
                endpoint, task, run = fields
                self.starts += 1
                self._judge_start(at, task, run, running, noted)
                running[task][endpoint] = run
                self._judge_room(at, endpoint, running)
            elif event == 'end':
                endpoint, task, run, how = fields
                running[task].pop(endpoint, None)
                if how == DONE:
                    self._done[task].append((at, run))
                self._failed[task] += how == FAILED
            elif event == 'ack':
                task, run, how = fields
                noted[task] += how == FAILED

    def _judge_start(
        self,
        at: float,
        task: str,
        run: int,
        running: dict[str, dict[str, int]],
        noted: collections.Counter[str],
    ) -> None:
        job, step, index = self._find(task)
        if job is None or index >= job.counts[step]:
            self._break(at, 'UNASKED', task, run)
            return
        if job.refused:
            self._break(at, 'REFUSED', task, run)
        if running[task]:
            self._break(at, 'TWICE', task, run, running[task])
        for ended, number in self._done[task]:
            if (task, number) in self._acked:
                self._break(at, 'TWICE after done', task, run, ended)
        if noted[task] >= layout.MOST_ATTEMPTS:
            self._break(at, 'BUDGET', task, run)
        if step and not self._step_done(job, step - 1, at):
            self._break(at, 'ORDER', task, run)

    def _judge_room(
        self, at: float, endpoint: str, running: dict[str, dict[str, int]]
    ) -> None:
        used = 0
        for task, places in running.items():
            if endpoint in places:
                job, step, _ = self._find(task)
                used += job.cpus[step] if job else 0
        if used > layout.CAPACITY_CPU:
            self._break(at, 'LIMIT', endpoint, used)

    def _find(self, task: str) -> tuple[callers.Job | None, int, int]:
        ident, _, step, index = task.rsplit('.', 3)
        return self._jobs.get(ident), int(step), int(index)

    def _step_done(self, job: callers.Job, step: int, at: float) -> bool:
        return all(
            any(
                ended <= at
                for ended, _ in self._done[f'{job.ident}.0.{step}.{index}']
            )
            for index in range(job.counts[step])
        )

    def judge_answers(self) -> None:
        """Compare what callers were told with what ran."""
        for job in self._jobs.values():
            accepted = job.accepted_at
            for told in job.asks:
                if accepted is None:
                    continue
                late = told.sent > accepted + layout.VISIBLE_S
                if told.status == 410 and late:
                    self._break(told.at, 'LOST: 410', job.ident, told.host)
                if told.state == 'completed' and not all(
                    self._step_done(job, step, told.at)
                    for step in range(len(job.counts))
                ):
                    self._break(told.at, 'MIXED', job.ident, told.host)
                if told.state == 'failed' and not self._may_fail(job):
                    self._break(told.at, 'LOST: failed', job.ident)
                if told.state == 'cancelled' and not job.cancels:
                    self._break(told.at, 'LOST: cancelled', job.ident)

    def _may_fail(self, job: callers.Job) -> bool:
        return any(
            times >= layout.MOST_ATTEMPTS and task.startswith(job.ident)
            for task, times in self._failed.items()
        )

    def judge_end(self, running: list[str]) -> None:
        """Check after the calm that all work has come to its end."""
        for job in self._jobs.values():
            if job.accepted_at is None:
                continue
            last = job.asks[-1] if job.asks else None
            if last is None or last.state not in FINAL:
                self._break(0.0, 'LOST: no end', job.ident, last)
        for task in running:
            known, _, _ = self._find(task)
            if known is not None and known.cancels:
                if any(told.status == 200 for told in known.cancels):
                    self._break(0.0, 'UNASKED: cancelled runs', task)

    def judge_config(
        self, probes: list[callers.Told], final: list[callers.Told]
    ) -> None:
        """Check that a queue that was added is never gone again."""
        knew = set()
        for told in sorted(probes, key=lambda probe: probe.at):
            life = (told.host, told.life)
            if told.status == 200:
                knew.add(life)
            elif told.status == 404 and life in knew:
                self._break(told.at, 'CONFIG: back', told.host)
        for told in final:
            if told.status != 200:
                self._break(told.at, 'CONFIG: not in force', told)

    def judge_stops(self, harms: list[faults.Done]) -> None:
        """Check that planned stops cut off no request."""
        stops = [h for h in harms if h.fault.kind == 'term']
        for job in self._jobs.values():
            for told in (*job.submits, *job.asks, *job.cancels):
                if told.status != callers.NO_ANSWER:
                    continue
                for stop in stops:
                    if _excused(told, stop, harms):
                        continue
                    self._break(told.at, 'LOST: cut', job.ident, told.host)

    def _break(self, at: float, rule: str, *fields: typing.Any) -> None:
        self.broken.append(f'{at:.3f} {rule}: {fields}')


def _excused(
    told: callers.Told, stop: faults.Done, harms: list[faults.Done]
) -> bool:
    """Tell whether a missing answer isn't due to a planned stop alone."""
    if stop.fault.target != told.host:
        return True
    if told.at < stop.began or told.sent > stop.ended:
        return True
    return any(
        other is not stop
        and other.began - NEAR_S < told.at
        and other.ended + NEAR_S > told.sent
        for other in harms
    )
