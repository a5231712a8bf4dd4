"""Measure the processor time and memory of learning run times and speeds.

Runs of many organisations, queues, images and declared times end on all
endpoints, at a steady rate in virtual time. Prints the processor time that
learning takes for an end, with the comparison of endpoints that is due from
time to time, and what a forecast of the capacity in use takes. The memory is
that of all that is learned.
"""

import dataclasses
import random
import time
import tracemalloc

import cyclopts

from hibiscusslip.dispatch import estimates as run_estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import occupancy
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import run_learning
from hibiscusslip.dispatch import state

QUEUES = 12
IMAGES = 40
RUNS_PER_ENDPOINT = 4  # 10,000 at once on 2,500 endpoints
DEMAND = model.Demand(1000, 100)
LEARNED = policies.Policy(learned_run_times=True, endpoint_speeds=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """The cost of learning from `ends` ends, in seconds and bytes.

    `forecast` is the processor time of one forecast, `groups` the number of
    distributions that are kept.
    """

    ends: int
    learning: float
    forecast: float
    memory: int
    groups: int


class Learning:
    """Learn from the ends of random runs."""

    def __init__(self, seed: int, endpoints: int, organisations: int) -> None:
        self.estimates = run_estimates.Estimates(LEARNED)
        self._rng = random.Random(seed)
        self._organisations = organisations
        self._now = 1000.0
        self._jobs = 0
        self._endpoints = [_make_endpoint(n) for n in range(endpoints)]
        for endpoint in self._endpoints:
            for _ in range(RUNS_PER_ENDPOINT):
                task = self._make_task(endpoint)
                endpoint.allocate(task.name, self._allocation(task))

    def learn(self, ends: int, ends_per_s: float) -> float:
        """Learn from a number of ends; return the processor time."""
        used = 0.0
        for _ in range(ends):
            self._now += 1.0 / ends_per_s
            endpoint = self._rng.choice(self._endpoints)
            task = self._make_task(endpoint)
            allocation = self._allocation(task)
            began = time.process_time()
            run_learning.learn_done(
                self.estimates, endpoint, task, allocation, self._now
            )
            self.estimates.speeds.refresh(self._now)
            self.estimates.run_times.take_shifts()
            used += time.process_time() - began
        return used

    def forecast(self) -> float:
        """Return the processor time of a forecast of the capacity in use."""
        began = time.process_time()
        occupancy.find_releases(
            self._endpoints, lambda job: 0, self.estimates, self._now
        )
        return time.process_time() - began

    def _make_task(self, endpoint: state.Endpoint) -> state.Task:
        """Return a task that has just run for about its usual time."""
        rng = self._rng
        self._jobs += 1
        queue = rng.randrange(QUEUES)
        usual = 0.5 * 1.5**queue
        spec = model.Step(
            1,
            DEMAND,
            estimate=usual * rng.uniform(0.5, 2.0),
            image=f'i{rng.randrange(IMAGES)}',
        )
        job = state.Job(
            f'{self._jobs:016x}',
            f'q{queue}',
            'service',
            model.JobSpec('', (spec,)),
            self._now,
            organisation=f'o{rng.randrange(self._organisations)}',
        )
        step = state.StepState(job, 0, 0, spec)
        task = state.Task(f'{job.job_id}.0.0.0', step, 0)
        task.status = state.Status.RUNNING
        task.run, task.endpoint = 1, endpoint.name
        task.started_at = self._now - usual * rng.uniform(0.7, 1.3)
        return task

    def _allocation(self, task: state.Task) -> state.Allocation:
        return state.Allocation(task, 1, DEMAND, task.started_at)


def _make_endpoint(number: int) -> state.Endpoint:
    endpoint = state.Endpoint(f'e{number}')
    endpoint.entry = model.EndpointEntry(
        name=endpoint.name,
        service='service',
        address='',
        zone='z',
        labels=(f'k{number % 4}', 'r'),
        capacity=model.Demand(8000, 8000),
        draining=False,
        seq=1,
        born=1.0,
        clock=0.0,
    )
    return endpoint


def measure(
    seed: int,
    endpoints: int,
    organisations: int,
    ends_per_s: float,
    seconds: float,
) -> Cost:
    """Measure the cost of learning for a time."""
    ends = int(ends_per_s * seconds)
    learning = Learning(seed, endpoints, organisations)
    used = learning.learn(ends, ends_per_s)
    forecast = learning.forecast()
    again = Learning(seed, endpoints, organisations)
    tracemalloc.start()
    again.learn(ends, ends_per_s)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    groups = len(again.estimates.run_times)
    return Cost(ends, used, forecast, memory, groups)


app = cyclopts.App(name='learning', help=__doc__)


@app.default
def main(
    seed: int = 1,
    endpoints: int = 2500,
    organisations: int = 260,
    ends_per_s: float = 450.0,
    seconds: float = 60.0,
) -> None:
    """Measure at the design size, or another one."""
    cost = measure(seed, endpoints, organisations, ends_per_s, seconds)
    each = cost.learning / cost.ends
    print(
        f'{cost.ends} ends: {each * 1e6:.0f} us each,'
        f' {100 * each * ends_per_s:.1f}% of a core at {ends_per_s:.0f}/s'
    )
    print(f'forecast: {cost.forecast * 1e3:.1f} ms')
    print(f'{cost.memory / 1e6:.2f} MB, {cost.groups} groups of runs')


if __name__ == '__main__':
    app()
