"""Simulate endpoints that are slow, hang or can't be reached."""

import random

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy
from tests.dispatch import crashing_cell

LONG_SHARE = 0.03
LONG_FACTOR = 7.0  # of the tasks with more work than others
SLOW_FACTOR = 4.0


class CopyingCell(crashing_cell.Cell):
    """A cell whose runs fail, straggle and lose answers at random.

    `runs_at_once` is the highest number of runs of a task that were at work
    at the same time, by whether its step allows copies. `failed` are the runs
    that failed and whose end was acknowledged, `failed_late` those of them
    that were reported after another run of the task was done.
    """

    def __init__(self, seed, lost_answers=0.0, fail_share=0.0, **fields):
        self.rng = random.Random(f'cell {seed}')
        self.seed = seed
        self.lost_answers = lost_answers
        self.fail_share = fail_share
        self.durations = {}
        self.muted = {}
        self.hung = {}
        self.slow = {}
        self.leases = {}
        self.run_numbers = {}
        self.runs_at_once = {False: 0, True: 0}
        self.numbers_used_again = []
        self.failed = set()
        self.failed_late = set()
        self.done = set()
        self.events = []
        super().__init__(policy=policy.Policy(copies=True), **fields)

    def _make_engine(self):
        engine = super()._make_engine()
        engine.note = self._note
        return engine

    def _note(self, event, **fields):
        self.events.append((event, fields))
        if event != 'run_ended':
            return
        if fields['how'] == model.RunOutcome.DONE:
            self.done.add(fields['task'])
        elif fields['task'] in self.done:
            self.failed_late.add((fields['task'], fields['run']))

    def count(self, event):
        return sum(name == event for name, _ in self.events)

    def mute(self, machine, seconds):
        """Lose all calls to a machine; its runs go on."""
        self.muted[machine.number] = self.now + seconds

    def hang(self, machine, seconds):
        """Let the runs of a machine make no progress."""
        self.hung[machine.number] = self.now + seconds

    def slow_down(self, machine, seconds):
        """Let runs that start on a machine take longer."""
        self.slow[machine.number] = self.now + seconds

    def _is(self, faults, machine):
        return self.now < faults.get(machine.number, 0.0)

    def _tick(self):
        self.answers = self.rng.random() >= self.lost_answers
        for machine in self.machines:
            if self._is(self.hung, machine):
                for key in machine.running:
                    machine.running[key] += crashing_cell.TICK_S
        super()._tick()
        self._count_runs()

    def _count_runs(self):
        counts = {}
        for machine in self.machines:
            for task, _ in machine.running:
                counts[task] = counts.get(task, 0) + 1
        for task, count in counts.items():
            copied = self._allows_copies(task)
            self.runs_at_once[copied] = max(self.runs_at_once[copied], count)

    def _allows_copies(self, task):
        job_id, _, number, _ = task.split('.')
        step = self.specs[job_id].steps[int(number)]
        return step.speculative and not step.gang

    def _chance(self, *of):
        return random.Random(f'{self.seed} {of}').random()

    def _duration(self, machine, task):
        duration = self.run_s
        if self._chance(task) < LONG_SHARE:
            duration *= LONG_FACTOR
        if self._is(self.slow, machine):
            duration *= SLOW_FACTOR
        return duration

    def _outcome(self, task, run):
        if self._chance(task, run) < self.fail_share:
            return model.RunOutcome.FAILED
        return model.RunOutcome.DONE

    def _percent(self, task, run, ends_at):
        left = (ends_at - self.now) / self.durations[task, run]
        return min(max(round(100 * (1 - left)), 0), 99)

    def _work(self, machine):
        super()._work(machine)
        if self.now > self.leases.get(machine.name, 0.0):
            for key in list(machine.running):
                del machine.running[key]
                self._end(machine, *key, model.RunOutcome.LAPSED)

    def _poll(self, machine):
        if not self._is(self.muted, machine):
            super()._poll(machine)
            return
        engine = self.engine
        engine.handle_no_response(machine.name, self.now, self.now)
        endpoint = engine.endpoints.get(machine.name)
        if endpoint is not None and endpoint.suspected_at:
            doubted_s = self.now - endpoint.suspected_at
            if doubted_s >= crashing_cell.UNRESPONSIVE_AFTER_S:
                engine.mark_unresponsive(machine.name)

    def _report(self, machine):
        super()._report(machine)
        self._extend(machine.name, self.now + crashing_cell.LEASE_S)

    def _extend(self, name, until):
        self.leases[name] = max(self.leases.get(name, 0.0), until)

    def _forget_acknowledged(self, machine):
        ended = list(machine.ended)
        super()._forget_acknowledged(machine)
        self.failed.update(
            (end.task, end.run)
            for end in ended
            if end not in machine.ended and end.how is model.RunOutcome.FAILED
        )

    def _start(self, start):
        (machine,) = (m for m in self.machines if m.name == start.endpoint)
        if self._is(self.muted, machine) or machine.crashed_at is not None:
            self.engine.handle_no_response(machine.name, self.now, self.now)
            return
        name, run = start.task.name, start.run
        if run <= self.run_numbers.get(name, 0):
            self.numbers_used_again.append((name, run))
        self.run_numbers[name] = run
        self._extend(machine.name, start.deadline)
        super()._start(start)
        duration = self._duration(machine, name)
        self.durations[name, run] = duration
        machine.running[name, run] = self.now + duration

    def _stop(self, stop):
        machines = [m for m in self.machines if m.name == stop.endpoint]
        if any(self._is(self.muted, machine) for machine in machines):
            return
        if self.rng.random() >= self.lost_answers:
            super()._stop(stop)

    def _check_once(self, name, run):
        """Record a run that is started beside others, unless it may be."""
        if name in self.acknowledged:
            self.twice.append((self.now, name, run))
        others = sum(
            name == other and run != other_run
            for machine in self.machines
            for other, other_run in machine.running
        )
        if others > self._allows_copies(name):
            self.twice.append((self.now, name, run))
