"""Replay scenarios with a scheduling policy on a fleet."""

import dataclasses
import random
import time

from hibiscusslip.bench import fleets
from hibiscusslip.bench import loads
from hibiscusslip.bench import replay
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
import hibiscusslip.scheduler
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
from hibiscusslip.scheduler import strategies

WARM_UP_S = 20.0
FLOOD_S = 40.0
QUEUE_TASKS = 20_000
DEEP_QUEUE_TASKS = 200_000
PLACEMENTS = tuple(strategies.PlacementName)
OVERLOAD_FACTOR = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Describe a combination of scheduling strategies to measure."""

    name: str
    order: str
    placement: str
    quarantine: bool = True
    backfill: bool = True


CHOSEN = Policy(
    'chosen', strategies.OrderName.FAIR, strategies.PlacementName.BEST_FIT
)
BASELINE = Policy(
    'baseline',
    strategies.OrderName.FIFO,
    strategies.PlacementName.FIRST_FIT,
    quarantine=False,
)


def scheduler(
    fleet: fleets.Fleet, policy: Policy, seed: int, queue: int = QUEUE_TASKS
) -> base.Scheduler:
    """Return a scheduler with the strategies of `policy`.

    `queue` bounds the queued tasks of a kind; a team may queue a quarter of
    that, all kinds four times as many.
    """
    bounds = limits.Limits(
        max_queued=queue * 4,
        max_queued_per_kind=queue,
        max_queued_per_team=queue // 4,
        quarantine_enabled=policy.quarantine,
        backfill=policy.backfill,
    )
    return hibiscusslip.scheduler.build(
        places.Shard('z', 0),
        fleets.policy(fleet, loads.SHARES),
        bounds,
        random.Random(seed),
        policy.placement,
        policy.order,
    )


class Trial:
    """Prepare one replay on a fleet.

    Services run from the start. `broken` is the fraction of endpoints on
    which every run fails.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        policy: Policy,
        seed: int,
        broken: float = 0.0,
        queue: int = QUEUE_TASKS,
    ) -> None:
        self.fleet = fleet
        rng = random.Random(seed)
        infos = fleets.endpoints(fleet)
        broken_endpoints = rng.sample(infos, round(broken * len(infos)))
        self.sources = {
            kind.name: loads.Source(kind, fleet, rng) for kind in loads.MIX
        }
        self.arrivals: list[loads.Arrival] = []
        for source in self.sources.values():
            self.arrivals.extend(source.steady_state())
        self.replay = replay.Replay(
            scheduler(fleet, policy, seed, queue),
            infos,
            frozenset(info.name for info in broken_endpoints),
        )

    def add_mix(self, until: float, factor: float = 1.0) -> None:
        """Add the usual mix of arrivals, without services."""
        for name, source in self.sources.items():
            if name != 'service':
                self.add(source.arrivals(0.0, until, factor))

    def add(self, more: 'object') -> None:
        """Add arrivals."""
        self.arrivals.extend(more)  # type: ignore

    def run(self, until: float, measure_from: float) -> replay.Tally:
        """Replay all arrivals and return the measurements."""
        ordered = sorted(self.arrivals, key=lambda a: a.at)
        return self.replay.run(ordered, until, measure_from)


def usual_mix(fleet: fleets.Fleet, policy: Policy, seed: int) -> replay.Tally:
    """Replay the usual mix of arrivals."""
    trial = Trial(fleet, policy, seed)
    until = WARM_UP_S + FLOOD_S
    trial.add_mix(until)
    return trial.run(until, WARM_UP_S)


def flood(
    fleet: fleets.Fleet,
    policy: Policy,
    seed: int,
    urgency: work.Urgency,
    team: str | None,
) -> replay.Tally:
    """Replay the usual mix with ten times its batch work.

    The surplus comes from one team, or from all teams when `team` is None.
    """
    trial = Trial(fleet, policy, seed)
    until = WARM_UP_S + FLOOD_S
    trial.add_mix(until)
    rng = random.Random(seed + 1)
    source = loads.Source(loads.BATCH, fleet, rng)
    changes: dict[str, object] = {'urgency': urgency}
    if team is not None:
        changes['team'] = team
    for arrival in source.arrivals(WARM_UP_S / 2, until, 9.0):
        spec = dataclasses.replace(
            arrival.spec,
            job_id=f'flood-{arrival.spec.job_id}',
            **changes,  # type: ignore
        )
        trial.add([dataclasses.replace(arrival, spec=spec)])
    return trial.run(until, WARM_UP_S)


def saturated(fleet: fleets.Fleet, placement: str, seed: int) -> replay.Tally:
    """Replay more work of every kind than fits, to measure the packing."""
    name = strategies.PlacementName(placement)
    policy = Policy(placement, strategies.OrderName.FAIR, name)
    trial = Trial(fleet, policy, seed, queue=DEEP_QUEUE_TASKS)
    until = WARM_UP_S + FLOOD_S
    trial.add_mix(until, OVERLOAD_FACTOR)
    backlog = [
        source.arrival(0.0)
        for source in trial.sources.values()
        if source.kind.name != 'service'
        for _ in range(_backlog(source, until))
    ]
    trial.add(backlog)
    return trial.run(until, WARM_UP_S)


def _backlog(source: loads.Source, until: float) -> int:
    """Return how many jobs to queue so that some still wait at the end."""
    return round(3 * source.rate * until)


def wrong_declarations(
    fleet: fleets.Fleet, policy: Policy, seed: int
) -> replay.Tally:
    """Replay wrong run times, broken endpoints and impossible demands."""
    trial = Trial(fleet, policy, seed, broken=0.05)
    until = WARM_UP_S + FLOOD_S
    trial.add_mix(until)
    rng = random.Random(seed + 2)
    trial.arrivals = [_falsify(a, rng) for a in trial.arrivals]
    return trial.run(until, WARM_UP_S)


def _falsify(arrival: loads.Arrival, rng: random.Random) -> loads.Arrival:
    spec = arrival.spec
    draw = rng.random()
    if draw < 0.2 and spec.form is work.Form.BATCH:
        impossible_demand = resources.Resources(10**6, 1024)
        spec = dataclasses.replace(spec, demand=impossible_demand)
    elif draw < 0.2 + 0.8 / 3:
        factor = rng.choice((0.1, 10.0))
        spec = dataclasses.replace(spec, run_time=spec.run_time * factor)
    return dataclasses.replace(arrival, spec=spec)


def cancel_many(fleet: fleets.Fleet, seed: int) -> tuple[int, float, float]:
    """Return the cancelled jobs, and the mean and maximum time of one.

    The times are microseconds of processor time.
    """
    sched = scheduler(fleet, CHOSEN, seed)
    rng = random.Random(seed)
    for info in fleets.endpoints(fleet):
        sched.set_endpoint(info, 0.0)
    source = loads.Source(loads.BATCH, fleet, rng)
    jobs = [source.arrival(0.0).spec for _ in range(18_000)]
    queued = [j for j in jobs if sched.submit(j, 0.0) == base.Admitted()]
    times_us = []
    for spec in queued[-10_000:]:
        cpu_start = time.process_time_ns()
        sched.cancel(spec.job_id, 1.0)
        times_us.append((time.process_time_ns() - cpu_start) / 1e3)
    return len(times_us), sum(times_us) / len(times_us), max(times_us)


def gangs(fleet: fleets.Fleet, policy: Policy, seed: int) -> replay.Tally:
    """Replay gangs of 2 to 64 tasks in the usual mix."""
    trial = Trial(fleet, policy, seed)
    until = 2 * (WARM_UP_S + FLOOD_S)
    trial.add_mix(until, OVERLOAD_FACTOR)
    rng = random.Random(seed + 3)
    source = loads.Source(loads.BATCH, fleet, rng)
    slots = sum(p.number for p in fleet.pools) * fleets.SLOTS_PER_ENDPOINT
    at = 0.0
    while at < until - FLOOD_S / 2:
        at += rng.expovariate(1 / 4.0)
        tasks = min(2 ** rng.randint(1, 6), max(2, slots // 16))
        demand = resources.Resources(4000, 8192)
        trial.add(
            [
                source.arrival(
                    at,
                    job_id=f'gang-{at:.3f}',
                    form=work.Form.GANG,
                    tasks=tasks,
                    demand=demand,
                    urgency=work.Urgency.HIGH,
                    workload='gang',
                )
            ]
        )
    return trial.run(until, WARM_UP_S)
