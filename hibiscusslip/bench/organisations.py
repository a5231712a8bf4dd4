"""Replay the load of organisations of which some send many times as much.

The arrivals of the other organisations, and how long their runs take, are
the same with and without the surplus. Prints what share of the jobs of each
group of organisations was on time, the decisions per second of processor
time, and the memory that the engine keeps for an organisation.
"""

import dataclasses
import random
import tracemalloc

import cyclopts

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatch_report
from hibiscusslip.bench import dispatching
from hibiscusslip.bench import queue_costs
from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import entitlement
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import shares
from hibiscusslip.dispatch import state

ENTITLED_RATIO = 2.0  # of an organisation's usual rate
UNEVENNESS = 0.7  # exponent of the organisations' usual rates, by rank
SURPLUS_PREFIX = 'surplus'
PREEMPTING = policies.Policy(urgent_preemption=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """Multiply the jobs of organisations between two times.

    `names` are the organisations; `begin` and `end` are in seconds from the
    start of the replay.
    """

    names: tuple[str, ...]
    factor: float
    begin: float
    end: float


class OrganisationReplay(dispatching.Replay):
    """Replay the arrivals of `count` organisations on one dispatch engine.

    Without `enabled` the configuration has no organisations, and the jobs
    are the same. The rates of organisations are judged over
    `entitlement_window` seconds. `counts` are those of the jobs within the
    entitlement of their organisation, `rejected` how many jobs of each hosts
    would reject.
    """

    def __init__(
        self,
        seed: int,
        load: dispatch_loads.Load,
        count: int,
        bursts: tuple[dispatch_loads.Burst, ...] = (),
        surges: tuple[Surge, ...] = (),
        enabled: bool = True,
        adviser_count: int = dispatching.ADVISER_COUNT,
        policy: policies.Policy = PREEMPTING,
        entitlement_window: float = entitlement.DEFAULT_WINDOW_S,
    ) -> None:
        super().__init__(seed, load, bursts, policy)
        self._engine.shares = shares.Shares(entitlement_window)
        self._engine.adviser_count = adviser_count
        self._surges = surges
        self._owner_rng = random.Random(seed + 1)
        self._surplus_rng = random.Random(seed + 2)
        self.rates = usual_rates(load, count)
        self.counts = {
            name: dispatch_report.JobCounts() for name in self.rates
        }
        self.rejected = dict.fromkeys(self.rates, 0)
        config = self._engine.config
        assert config is not None
        if enabled:
            organisations = {
                name: model.Organisation(name, rate * ENTITLED_RATIO)
                for name, rate in self.rates.items()
            }
            self._engine.config = dataclasses.replace(
                config, organisations=organisations
            )

    def _submit_arrivals(self, begin: float) -> None:
        super()._submit_arrivals(begin)
        elapsed = self._now - begin
        for surge in self._surges:
            if surge.begin <= elapsed < surge.end:
                self._submit_surplus(surge)

    def _submit_surplus(self, surge: Surge) -> None:
        """Submit what a surge adds to the usual jobs."""
        rng = self._surplus_rng
        total = sum(kind.arrivals_per_s for kind in self._kinds.values())
        for name in surge.names:
            usual = self.rates[name] / total
            for kind in self._kinds.values():
                rate = kind.arrivals_per_s * usual * (surge.factor - 1.0)
                expected = rate * dispatching.STEP_S
                count = int(expected) + (rng.random() < expected % 1)
                for _ in range(count):
                    job_id = f'{SURPLUS_PREFIX}-{rng.getrandbits(40):x}'
                    spec = dispatch_loads.make_spec(kind, rng)
                    self._accept(job_id, kind, spec, name)

    def _accept(
        self,
        job_id: str,
        kind: dispatch_loads.Kind,
        spec: model.JobSpec,
        organisation: str = '',
    ) -> None:
        if not organisation:
            names = list(self.rates)
            weights = list(self.rates.values())
            organisation = self._owner_rng.choices(names, weights)[0]
        if self._rejects(job_id, kind, spec, organisation):
            self.rejected[organisation] += 1
            return
        super()._accept(job_id, kind, spec, organisation)
        if self._engine.jobs[job_id].within_entitlement:
            self.counts[organisation].submitted += 1

    def _rejects(
        self,
        job_id: str,
        kind: dispatch_loads.Kind,
        spec: model.JobSpec,
        organisation: str,
    ) -> bool:
        """Return True if a host would reject a job."""
        config = self._engine.config
        forecast = self._engine.shares.forecast
        prediction = forecast.predictions.get(kind.name)
        if config is None or prediction is None:
            return False
        percent = forecast.beyond_percents.get(organisation, 0)
        queue = config.queues[kind.name]
        ratios = self._engine.estimates.reported_ratios()
        rejection = admission.decide(
            job_id,
            spec,
            queue,
            prediction,
            percent,
            ratios.get(queue.name, 1.0),
            self._counted_limit(organisation),
        )
        return rejection is not None

    def _counted_limit(self, organisation: str) -> model.Demand:
        """Return the limit by which hosts count waves, if they do."""
        config = self._engine.config
        if config is None or not self._engine.policy.learned_run_times:
            return admission.NO_LIMIT
        return admission.limit_of(config, organisation)

    def _counts_of(self, job: state.Job) -> list[dispatch_report.JobCounts]:
        counts: list[dispatch_report.JobCounts] = []
        if job.within_entitlement:
            counts.append(self.counts[job.organisation])
        if not job.job_id.startswith(SURPLUS_PREFIX):
            counts += super()._counts_of(job)
        return counts

    @property
    def all_ended(self) -> bool:
        """Return True if every accepted job has ended."""
        return not self._open_jobs

    def on_time(self, names: tuple[str, ...]) -> float:
        """Return the share of the jobs of organisations that was on time.

        Jobs beyond an entitlement aren't considered.
        """
        counts = [self.counts[name] for name in names]
        submitted = sum(item.submitted for item in counts)
        return sum(item.on_time for item in counts) / max(submitted, 1)


def usual_rates(load: dispatch_loads.Load, count: int) -> dict[str, float]:
    """Return the usual jobs a second of `count` organisations, by name."""
    total = sum(kind.arrivals_per_s for kind in load.kinds)
    parts = [(rank + 1) ** -UNEVENNESS for rank in range(count)]
    return {
        f'o{rank}': total * part / sum(parts)
        for rank, part in enumerate(parts)
    }


def bytes_per_organisation(count: int, services: tuple[str, ...]) -> float:
    """Return the memory that an engine keeps for one organisation."""
    organisations = {
        f'o{number}': model.Organisation(f'o{number}')
        for number in range(count)
    }
    config = model.Configuration(1, {}, {}, organisations=organisations)
    spec = model.JobSpec('', (model.Step(1, model.Demand(1000)),))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = shares.Shares()
    for name in organisations:
        for service in services:
            job = state.Job('j', 'q', service, spec, 0.0, organisation=name)
            kept.classify(job, config, 1.0, 1.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / count


def print_queue_costs(
    seed: int,
    load: dispatch_loads.Load,
    count: int,
    queues: tuple[int, ...],
    steps: int,
) -> None:
    """Print what each number of queues costs under the same load."""
    spread = queue_costs.spread_over_queues(load)
    for number in queues:
        replay = OrganisationReplay(seed, spread, count)
        config = replay.engine.config
        assert config is not None
        replay.engine.config = queue_costs.add_idle_queues(config, number)
        costs = queue_costs.measure(replay, steps)
        queue_costs.print_costs(number, costs)


app = cyclopts.App(name='organisations', help=__doc__)


@app.default
def main(
    seed: int = 1,
    seconds: float = 15.0,
    count: int = 20,
    surging: int = 2,
    factor: float = 5.0,
    burst: str = 'timetable',
    burst_factor: float = 1.5,
    scale: int = 1,
    deployment: str = 'planning',
    enabled: bool = True,
    queues: tuple[int, ...] = (),
    steps: int = 200,
) -> None:
    """Replay the arrivals of organisations on a grown deployment.

    Parameters
    ----------
    count
        Number of organisations; 260 with a scale of 14 is the largest load.
    surging
        Number of organisations that send `factor` times their usual load
        from 3 s to 12 s: the second largest and those after it.
    burst
        Kind whose arrivals are multiplied by `burst_factor` from 5 s to 9 s.
    scale
        Factor for the number of endpoints, of hosts that call the advice
        service, and the rate of arrivals.
    enabled
        Whether the configuration has the organisations.
    queues
        Print instead what a pass and a heartbeat cost if the configuration
        has so many queues, of which the same 10 of each kind have jobs.
    steps
        Number of steps of 0.05 s to replay with `queues`.
    """
    load = dispatch_loads.LOADS[deployment].scaled(scale)
    if queues:
        print_queue_costs(seed, load, count, queues, steps)
        return
    bursts = (dispatch_loads.Burst(burst, burst_factor, 5.0, 9.0),)
    names = tuple(f'o{rank}' for rank in range(1, 1 + surging))
    surges = (Surge(names, factor, 3.0, 12.0),) if names else ()
    advisers = dispatching.ADVISER_COUNT * scale
    replay = OrganisationReplay(
        seed,
        load,
        count,
        bursts,
        surges,
        enabled,
        advisers,
        policies.Policy(urgent_preemption=enabled),
    )
    dispatch_report.print_report(replay.run(seconds))
    others = tuple(name for name in replay.rates if name not in names)
    print(f'on time: surging {replay.on_time(names):.3f}')
    print(f'on time: others {replay.on_time(others):.3f}')
    rejected = sum(replay.rejected[name] for name in others)
    total = sum(replay.rejected.values())
    print(f'rejected: surging {total - rejected}, others {rejected}')
    services = tuple(pool.service for pool in load.pools)
    size = bytes_per_organisation(count, services)
    print(f'{size:.0f} bytes per organisation')


if __name__ == '__main__':
    app()
