"""Replay arrivals on the dispatch engine in virtual time.

It tells what each kind of work got (on time, late, not in time) and what a
round of planning cost. Endpoints, advice and the store are stood in for here:
records are written at once, advice takes its time, run times differ from
what was declared. The same seed gives the same arrivals and run times.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import time
import zlib

import cyclopts

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import owner

STEP_S = 0.05
WALL = 1_000_000.0
ADVISERS = 45
FAILED_SHARE = 0.005
STOP_S = 0.3
STOPPED = model.RunOutcome.STOPPED


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of work; times in seconds, `cpu` in cores."""

    name: str
    service: str
    arrivals_per_s: float
    tasks: int
    cpu: float
    run: float
    priority: int
    stretch: float
    accelerators: int = 0
    gang: bool = False
    checkpoints: bool = False
    advice: model.Advice | None = None
    eligible: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Describe the endpoints of a service."""

    service: str
    count: int
    cores: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Multiply the arrivals of a kind for a while."""

    kind: str
    factor: float
    begin: float
    end: float


@dataclasses.dataclass(slots=True)
class Share:
    """Count what a kind of work got."""

    submitted: int = 0
    on_time: int = 0
    late: int = 0


@dataclasses.dataclass(slots=True)
class Report:
    """Hold what each kind got, and each round's processor time in s."""

    kinds: dict[str, Share]
    rounds: list[float]


# The grown planning deployment's kinds, each step taken as a job of its own.
KINDS = (
    Kind(
        'timetable',
        'planner',
        29.0,
        10,
        11,
        0.7,
        0,
        1.5,
        advice=model.Advice(0.022, 0.0003, 2.0),
        eligible=0.7,
    ),
    Kind(
        'reflow',
        'planner',
        2.3,
        22,
        18,
        4.5,
        2,
        4.0,
        checkpoints=True,
        advice=model.Advice(0.21, 0.003, 2.0),
        eligible=0.45,
    ),
    Kind(
        'layout',
        'print',
        2.2,
        3,
        62,
        5.6,
        1,
        2.2,
        accelerators=3,
        gang=True,
        advice=model.Advice(0.72, 0.01, 2.0),
        eligible=0.3,
    ),
    Kind(
        'art',
        'print',
        2.5,
        13,
        11,
        3.8,
        2,
        4.0,
        accelerators=1,
        advice=model.Advice(0.2, 0.003, 2.0),
        eligible=0.45,
    ),
)
POOLS = (Pool('planner', 126, 64), Pool('print', 50, 128, 8))


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """Hold when a run began, and how long it takes, in seconds."""

    began: float
    takes: float

    def percent(self, now: float) -> int:
        """Return how far the run is."""
        return min(int(100 * (now - self.began) / self.takes), 99)


class Replay:
    """Drive one engine through the arrivals of a seed."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...] = KINDS,
        pools: tuple[Pool, ...] = POOLS,
        bursts: tuple[Burst, ...] = (),
    ) -> None:
        self._rng = random.Random(seed)
        self._kinds = {kind.name: kind for kind in kinds}
        self._bursts = bursts
        self._now = 100.0
        self._numbers = itertools.count()
        self._ends: list[
            tuple[float, int, commands.Start | commands.Stop]
        ] = []
        self._answers: list[
            tuple[float, int, commands.AdviceRequest, float]
        ] = []
        self._ended: collections.Counter[str] = collections.Counter()
        self._running: dict[str, dict[tuple[str, int], _Run]]
        self._running = collections.defaultdict(dict)
        self._left: dict[str, float] = {}
        self._open: dict[str, tuple[Kind, float, float]] = {}
        self._report = Report({k: Share() for k in self._kinds}, [])
        self._engine = engines.Engine(
            owner.LEASE_S, lambda event, **fields: None
        )
        self._engine.config = _configuration(kinds)
        self._engine.advisers = ADVISERS
        for pool in pools:
            for number in range(pool.count):
                self._add(pool, f'{pool.service}-{number}')

    def run(self, seconds: float) -> Report:
        """Replay so many seconds of arrivals and those after them."""
        ends_at = self._now + seconds
        while self._now < ends_at:
            self._arrive(ends_at - seconds)
            self._turn()
        while self._open and self._now < ends_at + 60.0:
            self._turn()
        return self._report

    def _turn(self) -> None:
        self._now += STEP_S
        self._answer()
        self._finish()
        begun = time.process_time()
        self._engine.plan(self._now, WALL)
        self._report.rounds.append(time.process_time() - begun)
        self._carry_out()
        self._judge()

    def _add(self, pool: Pool, name: str) -> None:
        room = model.Demand(pool.cores * 1000, 512_000, pool.accelerators)
        entry = model.EndpointEntry(
            name=name,
            service=pool.service,
            address=f'{name}:1',
            zone='z',
            labels=(),
            capacity=room,
            draining=False,
            seq=1,
            born=1.0,
            clock=0.0,
        )
        self._engine.register_endpoint(entry, self._now)
        self._look(name, ())

    def _look(self, name: str, ended: tuple[model.EndedRun, ...]) -> None:
        running = tuple(
            model.RunningRun(*key, '', run.percent(self._now), 0.0)
            for key, run in self._running[name].items()
        )
        look = model.EndpointReport(1.0, self._now, running, ended)
        self._engine.polled(name, look, self._now, self._now)

    def _arrive(self, began: float) -> None:
        for kind in self._kinds.values():
            expected = kind.arrivals_per_s * self._factor(kind, began) * STEP_S
            count = int(expected) + (self._rng.random() < expected % 1)
            for _ in range(count):
                self._submit(kind)

    def _factor(self, kind: Kind, began: float) -> float:
        at = self._now - began
        for burst in self._bursts:
            if burst.kind == kind.name and burst.begin <= at < burst.end:
                return burst.factor
        return 1.0

    def _submit(self, kind: Kind) -> None:
        ident = f'{kind.name}.{next(self._numbers)}'
        declared = kind.run * self._rng.uniform(0.6, 1.6)
        step = model.Step(
            max(int(kind.tasks * self._rng.uniform(0.5, 1.5)), 1),
            model.Demand(int(kind.cpu * 1000), 1000, kind.accelerators),
            estimate=declared,
            checkpoints=kind.checkpoints,
            gang=kind.gang,
        )
        spec = model.JobSpec('', (step,))
        given = records.Submission(kind.name, kind.service, WALL, b'')
        self._engine.submit(ident, given, spec, self._now, WALL)
        advice = kind.advice.cost(30) if kind.advice else 0.0
        allowed = kind.stretch * (kind.run + advice) + 0.25
        self._open[ident] = (kind, self._now, allowed)
        self._report.kinds[kind.name].submitted += 1

    def _carry_out(self) -> None:
        engine = self._engine
        engine.paces = []
        stops, engine.stops = engine.stops, []
        for stop in stops:
            self._stop(stop)
        advice_requests, engine.advice_requests = engine.advice_requests, []
        for ask in advice_requests:
            row = (self._now + ask.cost, next(self._numbers), ask, self._now)
            heapq.heappush(self._answers, row)
        starts, engine.starts = engine.starts, []
        for start in starts:
            self._start(start)
        engine.dirty = set()

    def _start(self, start: commands.Start) -> None:
        """Run a task, from where it was stopped before."""
        self._engine.started(start, self._now)
        kind = self._kinds[start.task.step.job.queue]
        whole = kind.run * self._rng.uniform(0.7, 1.3)
        took = whole * self._left.pop(start.task.name, 1.0)
        run = _Run(self._now, took)
        self._running[start.endpoint][start.task.name, start.run] = run
        row = (self._now + took, next(self._numbers), start)
        heapq.heappush(self._ends, row)

    def _stop(self, stop: commands.Stop) -> None:
        """End a run soon; what it has done up to now is saved."""
        run = (stop.task, stop.run)
        if run not in self._running[stop.endpoint]:
            return
        row = (self._now + STOP_S, next(self._numbers), stop)
        heapq.heappush(self._ends, row)

    def _answer(self) -> None:
        while self._answers and self._answers[0][0] <= self._now:
            _, _, ask, sent = heapq.heappop(self._answers)
            kind = self._kinds[ask.step.job.queue]
            tickets = {
                name: 't'
                for name in ask.endpoints
                if _luck(f'{ask.step.name}/{name}') < kind.eligible
            }
            valid = kind.advice.valid if kind.advice else 0.0
            until = sent + valid + ask.cost
            self._engine.advised(ask, tickets, until, self._now)

    def _finish(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            _, _, order = heapq.heappop(self._ends)
            if isinstance(order, commands.Stop):
                self._end(order.endpoint, order.task, order.run, STOPPED)
                continue
            failed = self._rng.random() < FAILED_SHARE
            how = model.RunOutcome.FAILED if failed else model.RunOutcome.DONE
            self._end(order.endpoint, order.task.name, order.run, how)

    def _end(
        self, endpoint: str, task: str, run: int, how: model.RunOutcome
    ) -> None:
        ended = self._running[endpoint].pop((task, run), None)
        if ended is None:
            return
        if how is STOPPED:
            self._left[task] = 1.0 - ended.percent(self._now) / 100
        self._ended[endpoint] += 1
        number = self._ended[endpoint]
        self._look(endpoint, (model.EndedRun(number, task, run, how, ''),))

    def _judge(self) -> None:
        for ident, (kind, sent, allowed) in list(self._open.items()):
            job = self._engine.jobs[ident]
            took = self._now - sent
            share = self._report.kinds[kind.name]
            if job.state is model.JobState.COMPLETED:
                share.on_time += took <= allowed
                share.late += allowed < took <= estimates.LATE_FACTOR * allowed
            if job.state.final:
                del self._open[ident]


def _luck(text: str) -> float:
    """Return a number of 0 to 1 that is always the same for a text."""
    return zlib.crc32(text.encode()) / 2**32


def _configuration(kinds: tuple[Kind, ...]) -> model.Configuration:
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


def show(report: Report) -> None:
    """Print what each kind got, and what planning cost."""
    print(f'{"kind":<12}{"handed in":>10}{"on time":>9}{"late":>7}')
    for name, share in report.kinds.items():
        count = max(share.submitted, 1)
        print(
            f'{name:<12}{share.submitted:>10}{share.on_time / count:>9.3f}'
            f'{share.late / count:>7.3f}'
        )
    costs = sorted(report.rounds)
    print(
        f'{len(costs)} rounds: mean {sum(costs) / len(costs) * 1e3:.2f} ms,'
        f' p99 {costs[len(costs) * 99 // 100] * 1e3:.2f} ms'
    )


app = cyclopts.App(name='dispatching', help=__doc__)


@app.default
def main(
    seed: int = 1,
    seconds: float = 20.0,
    burst: str = '',
    factor: float = 2.5,
    scale: int = 1,
) -> None:
    """Replay the grown deployment's arrivals, with a burst of one kind.

    Parameters
    ----------
    burst
        Kind whose arrivals are multiplied by `factor` from 5 s to 9 s.
    scale
        Multiple of endpoints and arrivals.
    """
    kinds = tuple(
        dataclasses.replace(k, arrivals_per_s=k.arrivals_per_s * scale)
        for k in KINDS
    )
    pools = tuple(dataclasses.replace(p, count=p.count * scale) for p in POOLS)
    bursts = (Burst(burst, factor, 5.0, 9.0),) if burst else ()
    show(Replay(seed, kinds, pools, bursts).run(seconds))


if __name__ == '__main__':
    app()
