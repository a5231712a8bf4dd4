"""Compare the chosen scheduling policy with a baseline.

Measures waits, floods of one kind of work, packing, faults and gangs.
"""

import collections.abc
import dataclasses
import pathlib
import time
import typing

import cyclopts

from hibiscusslip.bench import decide
from hibiscusslip.bench import fleets
from hibiscusslip.bench import loads
from hibiscusslip.bench import replay
from hibiscusslip.bench import scenarios
from hibiscusslip.model import work

SEED = 1
OUTPUT_DIRECTORY = pathlib.Path('out')
FLEETS = (fleets.PEACHTREE, fleets.ESTENDAL, fleets.TWO_YEAR_TARGET)
POLICIES = (scenarios.CHOSEN, scenarios.BASELINE)
MAX_URGENT_P99_S = 8.7
MIN_RETAINED_FRACTION = 0.95
MAX_P99_GROWTH = 1.1
MIN_BOTTLENECK_USE = 0.92
PROTECTED_KINDS = ('quote', 'render')
FLOODS = (
    ('least urgent, one team', loads.LOW, 'team0'),
    ('most urgent, one team', loads.URGENT, 'team0'),
    ('least urgent, one kind', loads.LOW, None),
    ('most urgent, one kind', loads.URGENT, None),
)

Tallies = dict[str, replay.Tally]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitQuantiles:
    """Represent the quantiles of waits, in seconds."""

    fleet: str
    case: str
    policy: str
    kind: str
    p50: float
    p99: float
    maximum: float


def quantiles(waits: list[float]) -> tuple[float, float, float]:
    """Return median, 99th percentile and maximum of sorted waits."""
    if not waits:
        return (float('nan'),) * 3
    size = len(waits)
    return waits[size // 2], waits[size * 99 // 100], waits[-1]


class Report:
    """Print tables and collect the waits for the plot."""

    def __init__(self) -> None:
        self.waits: list[WaitQuantiles] = []

    def title(self, text: str) -> None:
        """Print a heading."""
        print(f'\n{text}', flush=True)

    def add_waits(
        self, fleet: str, case: str, policy: str, tally: replay.Tally
    ) -> None:
        """Print and collect the waits by kind and urgency."""
        for (kind, urgency), waits in sorted(tally.waits.items()):
            p50, p99, maximum = quantiles(sorted(waits))
            row = WaitQuantiles(fleet, case, policy, kind, p50, p99, maximum)
            self.waits.append(row)
            name = f'{kind}/{urgency.name.lower()}'
            print(
                f'{fleet:10} {case:24} {policy:9} {name:14} '
                f'n={len(waits):6} p50={p50:7.2f} p99={p99:7.2f} '
                f'max={maximum:7.2f}',
                flush=True,
            )


def verdict(reached: bool) -> str:
    """Return the words for a target that is reached or not."""
    return 'reached' if reached else 'NOT REACHED'


def measure_waits(report: Report, fleet: fleets.Fleet) -> Tallies:
    """Measure the waits of the usual mix; return the tallies by policy."""
    report.title(f'1. waits in seconds, usual mix, {fleet.name}')
    tallies = {}
    for policy in POLICIES:
        tally = scenarios.usual_mix(fleet, policy, SEED)
        tallies[policy.name] = tally
        report.add_waits(fleet.name, 'usual', policy.name, tally)
    urgent = tallies['chosen'].waits['quote', work.Urgency.URGENT]
    p99 = quantiles(sorted(urgent))[1]
    starts = sum(map(len, tallies['chosen'].waits.values()))
    rate = starts / scenarios.FLOOD_S
    print(
        f'urgent p99 {p99:.2f} s at {rate:.0f} starts/s, target '
        f'{MAX_URGENT_P99_S} s: {verdict(p99 <= MAX_URGENT_P99_S)}'
    )
    return tallies


def measure_floods(
    report: Report, fleet: fleets.Fleet, without_flood: Tallies
) -> None:
    """Measure what other kinds retain during floods of batch work."""
    cases = FLOODS if fleet is not fleets.TWO_YEAR_TARGET else FLOODS[1:3]
    for case, urgency, team in cases:
        report.title(f'2. ten-fold flood, {case}, {fleet.name}')
        for policy in POLICIES:
            tally = scenarios.flood(fleet, policy, SEED, urgency, team)
            report.add_waits(fleet.name, case, policy.name, tally)
            for kind in PROTECTED_KINDS:
                _compare(
                    fleet, policy.name, kind, without_flood[policy.name], tally
                )
            print(
                f'{policy.name}: {tally.preempted} tasks preempted, '
                f'{tally.lost:.0f} core seconds lost, refused '
                f'{sum(tally.refused.values())}',
                flush=True,
            )


def _compare(
    fleet: fleets.Fleet,
    policy: str,
    kind: str,
    without_flood: replay.Tally,
    tally: replay.Tally,
) -> None:
    retained = retained_fraction(fleet, kind, without_flood, tally)
    before = quantiles(without_flood.waits_of_kind(kind))[1]
    after = quantiles(tally.waits_of_kind(kind))[1]
    growth = after / before if before > 0 else float('inf')
    reached = retained >= MIN_RETAINED_FRACTION and growth <= MAX_P99_GROWTH
    print(
        f'  {policy:9} {kind:7} keeps {retained:.3f} of '
        f'min(demand, guarantee), p99 wait {before:.3f} -> {after:.3f} s '
        f'(x{growth:.1f}): '
        f'{verdict(reached)}',
        flush=True,
    )


def retained_fraction(
    fleet: fleets.Fleet,
    kind: str,
    without_flood: replay.Tally,
    tally: replay.Tally,
) -> float:
    """Return the fraction of its entitlement that a kind held in a flood.

    A kind is entitled to the smaller of its demand, which is what it held
    without a flood, and its guarantee. The resource with the lowest
    fraction counts.
    """
    totals = {
        'cores': sum(p.number * p.cores for p in fleet.pools),
        'acc': sum(p.number * p.accelerators for p in fleet.pools),
        'slots': sum(p.number for p in fleet.pools)
        * fleets.SLOTS_PER_ENDPOINT,
    }
    worst = 1.0
    for name, capacity in totals.items():
        demand = without_flood.held[kind, name] / without_flood.samples
        entitled = min(demand, loads.SHARES[kind][0] * capacity)
        if entitled > 0:
            worst = min(
                worst, tally.held[kind, name] / tally.samples / entitled
            )
    return worst


def measure_packing(report: Report, fleet: fleets.Fleet) -> None:
    """Measure the use of the bottleneck resource when all kinds queue.

    The bottleneck is the fullest resource of each pool. The relaxed bound is
    its use if work were divisible, when it could be full in each pool.
    """
    report.title(f'3. packing when saturated, {fleet.name}')
    for name in scenarios.PLACEMENTS:
        tally = scenarios.saturated(fleet, name, SEED)
        sizes = {pool.prefix: pool.number for pool in fleet.pools}
        weighted_use = sum(
            tally.bottleneck_use[p] / tally.samples * n
            for p, n in sizes.items()
        )
        mean_use = weighted_use / sum(sizes.values())
        pools = ', '.join(
            f'{pool} {tally.bottleneck_use[pool] / tally.samples:.3f}'
            for pool in sizes
        )
        held = sum(v for (_, r), v in tally.held.items() if r == 'acc')
        total = sum(p.number * p.accelerators for p in fleet.pools)
        print(
            f'{name:10} bottleneck resource {mean_use:.3f} of the relaxed '
            f'bound 1.0 ({pools}), stranded accelerators '
            f'{1 - held / tally.samples / total:.3f}: '
            f'{verdict(mean_use >= MIN_BOTTLENECK_USE)}',
            flush=True,
        )


def measure_faults(report: Report, fleet: fleets.Fleet) -> None:
    """Measure wrong declarations, broken endpoints, impossible jobs."""
    report.title(
        '4. a third declared wrong by 10, 5% of endpoints broken, 20% '
        f'impossible, {fleet.name}'
    )
    for policy in POLICIES:
        tally = scenarios.wrong_declarations(fleet, policy, SEED)
        report.add_waits(fleet.name, 'faults', policy.name, tally)
        print(
            f'{policy.name}: failed after '
            f'{replay.MAX_ATTEMPTS} attempts {tally.failed}, runs '
            f'{tally.started}, refused {dict(tally.refused)}',
            flush=True,
        )
    number, mean, maximum = scenarios.cancel_many(fleet, SEED)
    print(
        f'{number} cancelled at once: {mean:.1f} us each on average, the '
        f'longest {maximum:.0f} us',
        flush=True,
    )


def measure_gangs(report: Report, fleet: fleets.Fleet) -> None:
    """Measure gangs in the usual mix, with and without backfill."""
    report.title(f'6. gangs of 2 to 64 tasks, {fleet.name}')
    without_backfill = dataclasses.replace(
        scenarios.CHOSEN, name='no fill', backfill=False
    )
    for policy in (scenarios.CHOSEN, without_backfill, scenarios.BASELINE):
        tally = scenarios.gangs(fleet, policy, SEED)
        report.add_waits(fleet.name, 'gangs', policy.name, tally)
        cores = sum(v for (_, r), v in tally.held.items() if r == 'cores')
        total = sum(p.number * p.cores for p in fleet.pools)
        print(
            f'{policy.name}: cores held {cores / tally.samples / total:.3f}, '
            f'starts {tally.started}',
            flush=True,
        )


def plot(report: Report, path: pathlib.Path) -> None:
    """Draw the 99th percentiles of the waits by policy."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    path.parent.mkdir(exist_ok=True)
    rows = [w for w in report.waits if w.kind in PROTECTED_KINDS]
    cases = list(dict.fromkeys((w.fleet, w.case) for w in rows))
    fig, axes = pyplot.subplots(figsize=(9, 0.3 * len(cases) + 2))
    for offset, name in ((-0.2, 'chosen'), (0.2, 'baseline')):
        worst = [
            max(
                (
                    w.p99
                    for w in rows
                    if (w.fleet, w.case) == case and w.policy == name
                ),
                default=0.0,
            )
            for case in cases
        ]
        positions = [i + offset for i in range(len(cases))]
        axes.barh(positions, worst, height=0.35, label=name)
    axes.set_yticks(range(len(cases)), [f'{f}: {c}' for f, c in cases])
    axes.set_xlabel('worst p99 wait of quote and render work, s')
    axes.legend()
    fig.tight_layout()
    fig.savefig(path)
    print(f'plot: {path}')


def timed(call: typing.Callable[..., typing.Any], *args: object) -> object:
    """Call a measurement and print the processor time that it took."""
    cpu_start = time.process_time()
    result = call(*args)
    print(f'({time.process_time() - cpu_start:.0f} s of processor time)')
    return result


def select_fleets(names: str) -> collections.abc.Iterator[fleets.Fleet]:
    """Yield the fleets named in a comma-separated list, or all."""
    selected = names.split(',')
    for fleet in FLEETS:
        if names == 'all' or fleet.name in selected:
            yield fleet


def main(
    fleet: str = 'all', slopes: bool = True, only_waits: bool = False
) -> None:
    """Run all measurements for the named fleets and draw the plot."""
    report = Report()
    for selected in select_fleets(fleet):
        without_flood = timed(measure_waits, report, selected)
        if only_waits:
            continue
        timed(measure_floods, report, selected, without_flood)
        timed(measure_packing, report, selected)
        timed(measure_faults, report, selected)
        timed(measure_gangs, report, selected)
    if slopes:
        report.title('5. processor time of a decision')
        decide.main()
    plot(report, OUTPUT_DIRECTORY / 'policy-waits.svg')


if __name__ == '__main__':
    cyclopts.run(main)
