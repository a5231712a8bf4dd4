"""Replay arrivals on the dispatch engine in virtual time.

Prints the share of jobs of each kind that completed on time or late, and the
processor time of a scheduling pass. Endpoints, the advice service and the
store are simulated: records are durable at once, advice takes as long as its
declared cost, and run times differ from the declared estimates. The same seed
gives the same arrivals and run times, whatever the engine decides.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import time
import typing
import zlib

import cyclopts

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatch_report
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import lease_timing

STEP_S = 0.05
WALL_TIME_S = 1_000_000.0
ADVISER_COUNT = 45
STOP_S = 0.3
STOPPED = model.RunOutcome.STOPPED


def _ignore(event: str, **fields: typing.Any) -> None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """Represent a run by its start and its duration, in seconds."""

    started: float
    duration: float

    def percent(self, now: float) -> int:
        """Return the progress in percent, below 100 until it completes."""
        return min(int(100 * (now - self.started) / self.duration), 99)


class Replay:
    """Replay the arrivals of a seed on one dispatch engine."""

    def __init__(
        self,
        seed: int,
        load: dispatch_loads.Load,
        bursts: tuple[dispatch_loads.Burst, ...] = (),
        policy: policies.Policy = policies.Policy(),
        note: engines.Note = _ignore,
    ) -> None:
        self._seed = seed
        self._arrivals_rng = random.Random(seed)
        self._job_numbers = itertools.count()
        self._kinds = {kind.name: kind for kind in load.kinds}
        self._bursts = bursts
        self._now = 100.0
        self._sequence = itertools.count()
        self._run_ends: list[
            tuple[float, int, commands.Start | commands.Stop]
        ] = []
        self._advice_replies: list[
            tuple[float, int, commands.AdviceRequest, float]
        ] = []
        self._ended_counts: collections.Counter[str] = collections.Counter()
        self._running: dict[str, dict[tuple[str, int], _Run]]
        self._running = collections.defaultdict(dict)
        self._remaining: dict[str, float] = {}
        self._open_jobs: dict[str, tuple[float, float]] = {}
        self._started_jobs: set[str] = set()
        self._report = dispatch_report.Report(
            {k: dispatch_report.JobCounts() for k in self._kinds}, []
        )
        self._speeds: dict[str, float] = {}
        self._engine = engines.Engine(
            lease_timing.USUAL_LEASE_S, note, policy=policy
        )
        self._engine.config = _make_configuration(load.kinds)
        self._engine.adviser_count = ADVISER_COUNT
        for pool in load.pools:
            for number in range(pool.count):
                self._add_endpoint(pool, number)

    def run(self, seconds: float) -> dispatch_report.Report:
        """Replay arrivals for a time and return the results.

        Jobs that are still open then get another 60 s to complete.
        """
        ends_at = self._now + seconds
        while self._now < ends_at:
            self._submit_arrivals(ends_at - seconds)
            self._step()
        while self._open_jobs and self._now < ends_at + 60.0:
            self._step()
        return self._report

    @property
    def engine(self) -> engines.Engine:
        """Return the dispatch engine."""
        return self._engine

    def advance(self) -> float:
        """Replay one step; return the processor time of its pass in s."""
        self._submit_arrivals(self._now)
        self._step()
        return self._report.pass_times[-1]

    def _step(self) -> None:
        self._now += STEP_S
        self._deliver_advice()
        self._end_due_runs()
        cpu_start = time.process_time()
        self._engine.plan(self._now, WALL_TIME_S)
        self._report.pass_times.append(time.process_time() - cpu_start)
        self._execute_commands()
        self._count_completed()

    def _add_endpoint(self, pool: dispatch_loads.Pool, number: int) -> None:
        name = f'{pool.service}-{number}'
        self._speeds[name] = pool.speed(number)
        entry = model.EndpointEntry(
            name=name,
            service=pool.service,
            address=f'{name}:1',
            zone='z',
            labels=(),
            capacity=pool.capacity(number),
            draining=False,
            seq=1,
            born=1.0,
            clock=0.0,
        )
        self._engine.register_endpoint(entry, self._now)
        self._report_runs(name, ())

    def _report_runs(
        self, name: str, ended: tuple[model.EndedRun, ...]
    ) -> None:
        running = tuple(
            model.RunningRun(*key, '', run.percent(self._now), 0.0)
            for key, run in self._running[name].items()
        )
        endpoint_report = model.EndpointReport(1.0, self._now, running, ended)
        self._engine.handle_report(name, endpoint_report, self._now, self._now)

    def _submit_arrivals(self, begin: float) -> None:
        for kind in self._kinds.values():
            expected = (
                kind.arrivals_per_s * self._burst_factor(kind, begin) * STEP_S
            )
            extra = self._arrivals_rng.random() < expected % 1
            count = int(expected) + extra
            for _ in range(count):
                self._submit(kind)

    def _burst_factor(self, kind: dispatch_loads.Kind, begin: float) -> float:
        elapsed = self._now - begin
        for burst in self._bursts:
            if burst.kind == kind.name and burst.begin <= elapsed < burst.end:
                return burst.factor
        return 1.0

    def _submit(self, kind: dispatch_loads.Kind) -> None:
        job_id = f'{kind.name}-{next(self._job_numbers)}'
        spec = dispatch_loads.make_spec(kind, self._arrivals_rng)
        self._report.kinds[kind.name].submitted += 1
        self._accept(job_id, kind, spec)

    def _accept(
        self,
        job_id: str,
        kind: dispatch_loads.Kind,
        spec: model.JobSpec,
        organisation: str = '',
    ) -> None:
        wall_time = WALL_TIME_S + self._now
        submission = records.Submission(
            kind.name, kind.service, wall_time, b'', organisation
        )
        self._engine.submit(job_id, submission, spec, self._now, wall_time)
        advice = kind.advice.cost(30) if kind.advice else 0.0
        allowed = kind.stretch * (kind.run + advice) + 0.25
        self._open_jobs[job_id] = (self._now, allowed)

    def _execute_commands(self) -> None:
        engine = self._engine
        engine.paces = []
        stops, engine.stops = engine.stops, []
        for stop in stops:
            self._stop(stop)
        advice_requests, engine.advice_requests = engine.advice_requests, []
        for request in advice_requests:
            row = (
                self._now + request.cost,
                next(self._sequence),
                request,
                self._now,
            )
            heapq.heappush(self._advice_replies, row)
        starts, engine.starts = engine.starts, []
        self._report.starts += len(starts)
        for start in starts:
            self._start(start)
        engine.dirty = set()

    def _start(self, start: commands.Start) -> None:
        """Start a run, which resumes from the checkpoint of a stopped run."""
        self._engine.confirm_start(start, self._now)
        kind = self._kinds[start.task.step.job.queue]
        full_duration = kind.duration(
            self._chance(start, 'time'), self._chance(start, 'tail')
        )
        duration = full_duration * self._remaining.pop(start.task.name, 1.0)
        duration /= self._speeds[start.endpoint]
        self._count_start(start.task.step.job)
        run = _Run(self._now, duration)
        self._running[start.endpoint][start.task.name, start.run] = run
        row = (self._now + duration, next(self._sequence), start)
        heapq.heappush(self._run_ends, row)

    def _count_start(self, job: state.Job) -> None:
        """Count the wait of a job, up to its first start."""
        known = self._open_jobs.get(job.job_id)
        if known is None or job.job_id in self._started_jobs:
            return
        self._started_jobs.add(job.job_id)
        sent, _ = known
        for counts in self._counts_of(job):
            counts.add_start(self._now - sent)

    def _stop(self, stop: commands.Stop) -> None:
        """Schedule the end of a run; its progress is kept as a checkpoint."""
        run = (stop.task, stop.run)
        if run not in self._running[stop.endpoint]:
            return
        row = (self._now + STOP_S, next(self._sequence), stop)
        heapq.heappush(self._run_ends, row)

    def _deliver_advice(self) -> None:
        while self._advice_replies and self._advice_replies[0][0] <= self._now:
            _, _, request, sent = heapq.heappop(self._advice_replies)
            kind = self._kinds[request.step.job.queue]
            tickets = {
                name: 't'
                for name in request.endpoints
                if _uniform_hash(f'{request.step.name}/{name}') < kind.eligible
            }
            valid = kind.advice.valid if kind.advice else 0.0
            valid_until = sent + valid + request.cost
            self._engine.handle_advice(
                request, tickets, valid_until, self._now
            )

    def _end_due_runs(self) -> None:
        while self._run_ends and self._run_ends[0][0] <= self._now:
            _, _, command = heapq.heappop(self._run_ends)
            if isinstance(command, commands.Stop):
                self._end_run(
                    command.endpoint, command.task, command.run, STOPPED
                )
                continue
            failed = self._chance(command, 'end') < self._failure_rate(command)
            outcome = (
                model.RunOutcome.FAILED if failed else model.RunOutcome.DONE
            )
            self._end_run(
                command.endpoint, command.task.name, command.run, outcome
            )

    def _chance(self, start: commands.Start, of: str) -> float:
        """Return a number in [0, 1) that depends on the seed and the run."""
        return _uniform_hash(
            f'{self._seed}/{start.task.name}/{start.run}/{of}'
        )

    def _failure_rate(self, start: commands.Start) -> float:
        return self._kinds[start.task.step.job.queue].failure_rate

    def _end_run(
        self, endpoint: str, task: str, run: int, outcome: model.RunOutcome
    ) -> None:
        ended = self._running[endpoint].pop((task, run), None)
        if ended is None:
            return
        if outcome is STOPPED:
            self._remaining[task] = 1.0 - ended.percent(self._now) / 100
        self._ended_counts[endpoint] += 1
        number = self._ended_counts[endpoint]
        self._report_runs(
            endpoint, (model.EndedRun(number, task, run, outcome, ''),)
        )

    def _count_completed(self) -> None:
        for job_id, (sent, allowed) in list(self._open_jobs.items()):
            job = self._engine.jobs[job_id]
            elapsed = self._now - sent
            if job.state is model.JobState.COMPLETED:
                for counts in self._counts_of(job):
                    counts.add(elapsed, allowed)
            if job.state.final:
                del self._open_jobs[job_id]

    def _counts_of(self, job: state.Job) -> list[dispatch_report.JobCounts]:
        return [self._report.kinds[job.queue]]


def _uniform_hash(text: str) -> float:
    """Return a number in [0, 1) that depends only on the text."""
    return zlib.crc32(text.encode()) / 2**32


def _make_configuration(
    kinds: tuple[dispatch_loads.Kind, ...],
) -> model.Configuration:
    queues = {
        kind.name: model.Queue(
            kind.name,
            'a.example',
            f'/{kind.name}/',
            service=kind.service,
            priority=kind.priority,
            stretch=kind.stretch,
            target_latency=0.25,
            max_attempts=4,
            advice=kind.advice,
        )
        for kind in kinds
    }
    services = {k.service: model.Service(k.service) for k in kinds}
    return model.Configuration(1, queues, services)


app = cyclopts.App(name='dispatching', help=__doc__)


@app.default
def main(
    seed: int = 1,
    seconds: float = 20.0,
    burst: str = '',
    factor: float = 2.5,
    scale: int = 1,
    deployment: str = 'planning',
    learned: bool = False,
    speeds: bool = False,
) -> None:
    """Replay the arrivals of a grown deployment.

    Parameters
    ----------
    deployment
        Name of its load: 'planning', 'recheck' or 'uneven'.
    burst
        Kind whose arrivals are multiplied by `factor` from 5 s to 9 s; none
        if empty.
    scale
        Factor for the number of endpoints and the rate of arrivals.
    learned
        Expect run times as learned from finished runs.
    speeds
        Consider the speeds of endpoints.
    """
    load = dispatch_loads.LOADS[deployment].scaled(scale)
    bursts = (dispatch_loads.Burst(burst, factor, 5.0, 9.0),) if burst else ()
    policy = policies.Policy(learned_run_times=learned, endpoint_speeds=speeds)
    replay = Replay(seed, load, bursts, policy)
    dispatch_report.print_report(replay.run(seconds))


if __name__ == '__main__':
    app()
