"""Measure the policy beside a baseline: waits, floods, packing, faults."""

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
OUT = pathlib.Path('out')
FLEETS = (fleets.PEACHTREE, fleets.ESTENDAL, fleets.LETTER)
POLICIES = (scenarios.CHOSEN, scenarios.BASELINE)
URGENT_TARGET_S = 8.7
KEPT_TARGET = 0.95
GROWTH_TARGET = 1.1
PACKING_TARGET = 0.92
OTHERS = ('quote', 'render')
FLOODS = (
    ('least urgent, one team', loads.LOW, 'team0'),
    ('most urgent, one team', loads.URGENT, 'team0'),
    ('least urgent, one kind', loads.LOW, None),
    ('most urgent, one kind', loads.URGENT, None),
)

Tallies = dict[str, replay.Tally]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Hold quantiles of waits in seconds, for the plot."""

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
    """Print tables and collect the waits."""

    def __init__(self) -> None:
        self.waits: list[Wait] = []

    def title(self, text: str) -> None:
        """Print a heading."""
        print(f'\n{text}', flush=True)

    def note_wait(
        self, fleet: str, case: str, policy: str, tally: replay.Tally
    ) -> None:
        """Print the waits by kind and urgency."""
        for (kind, urgency), waits in sorted(tally.waits.items()):
            p50, p99, most = quantiles(sorted(waits))
            row = Wait(fleet, case, policy, kind, p50, p99, most)
            self.waits.append(row)
            name = f'{kind}/{urgency.name.lower()}'
            print(
                f'{fleet:10} {case:24} {policy:9} {name:14} '
                f'n={len(waits):6} p50={p50:7.2f} p99={p99:7.2f} '
                f'max={most:7.2f}',
                flush=True,
            )


def verdict(reached: bool) -> str:
    """Return a word for a target."""
    return 'reached' if reached else 'NOT REACHED'


def waits(report: Report, fleet: fleets.Fleet) -> Tallies:
    """Measure the waits of the usual mix."""
    report.title(f'1. waits in seconds, usual mix, {fleet.name}')
    found = {}
    for policy in POLICIES:
        tally = scenarios.usual(fleet, policy, SEED)
        found[policy.name] = tally
        report.note_wait(fleet.name, 'usual', policy.name, tally)
    urgent = found['chosen'].waits['quote', work.Urgency.URGENT]
    p99 = quantiles(sorted(urgent))[1]
    starts = sum(map(len, found['chosen'].waits.values()))
    rate = starts / scenarios.FLOOD_S
    print(
        f'urgent p99 {p99:.2f} s at {rate:.0f} starts/s, target '
        f'{URGENT_TARGET_S} s: {verdict(p99 <= URGENT_TARGET_S)}'
    )
    return found


def floods(report: Report, fleet: fleets.Fleet, calm: Tallies) -> None:
    """Measure what other kinds keep during floods of batch work."""
    cases = FLOODS if fleet is not fleets.LETTER else FLOODS[1:3]
    for case, urgency, team in cases:
        report.title(f'2. ten-fold flood, {case}, {fleet.name}')
        for policy in POLICIES:
            tally = scenarios.flood(fleet, policy, SEED, urgency, team)
            report.note_wait(fleet.name, case, policy.name, tally)
            for kind in OTHERS:
                _compare(fleet, policy.name, kind, calm[policy.name], tally)
            print(
                f'{policy.name}: {tally.preempted} tasks taken back, '
                f'{tally.lost:.0f} core seconds lost, refused '
                f'{sum(tally.refused.values())}',
                flush=True,
            )


def _compare(
    fleet: fleets.Fleet,
    policy: str,
    kind: str,
    calm: replay.Tally,
    tally: replay.Tally,
) -> None:
    kept = kept_fraction(fleet, kind, calm, tally)
    before = quantiles(calm.of_kind(kind))[1]
    after = quantiles(tally.of_kind(kind))[1]
    growth = after / before if before > 0 else float('inf')
    reached = kept >= KEPT_TARGET and growth <= GROWTH_TARGET
    print(
        f'  {policy:9} {kind:7} keeps {kept:.3f} of min(demand, guarantee), '
        f'p99 wait {before:.3f} -> {after:.3f} s (x{growth:.1f}): '
        f'{verdict(reached)}',
        flush=True,
    )


def kept_fraction(
    fleet: fleets.Fleet, kind: str, calm: replay.Tally, tally: replay.Tally
) -> float:
    """Return held over the smaller of demand and guarantee, at its worst.

    The demand is what the kind held without a flood.
    """
    whole = {
        'cores': sum(p.number * p.cores for p in fleet.pools),
        'acc': sum(p.number * p.accelerators for p in fleet.pools),
        'slots': sum(p.number for p in fleet.pools) * fleets.SLOTS,
    }
    worst = 1.0
    for name, capacity in whole.items():
        wanted = calm.held[kind, name] / calm.span
        due = min(wanted, loads.SHARES[kind][0] * capacity)
        if due > 0:
            worst = min(worst, tally.held[kind, name] / tally.span / due)
    return worst


def packing(report: Report, fleet: fleets.Fleet) -> None:
    """Measure how full the bound resource is when all kinds wait.

    The bound resource is the fullest one of each pool; relaxed to
    divisible work, each pool's could be full.
    """
    report.title(f'3. packing when saturated, {fleet.name}')
    for name in scenarios.PLACEMENTS:
        tally = scenarios.saturated(fleet, name, SEED)
        sizes = {pool.prefix: pool.number for pool in fleet.pools}
        full = sum(tally.full[p] / tally.span * n for p, n in sizes.items())
        bound = full / sum(sizes.values())
        pools = ', '.join(
            f'{pool} {tally.full[pool] / tally.span:.3f}' for pool in sizes
        )
        held = sum(v for (_, r), v in tally.held.items() if r == 'acc')
        whole = sum(p.number * p.accelerators for p in fleet.pools)
        print(
            f'{name:10} bound resource {bound:.3f} of the relaxed bound 1.0 '
            f'({pools}), stranded accelerators '
            f'{1 - held / tally.span / whole:.3f}: '
            f'{verdict(bound >= PACKING_TARGET)}',
            flush=True,
        )


def faults(report: Report, fleet: fleets.Fleet) -> None:
    """Measure wrong declarations, broken endpoints, impossible jobs."""
    report.title(
        '4. a third declared wrong by 10, 5% of endpoints broken, 20% '
        f'impossible, {fleet.name}'
    )
    for policy in POLICIES:
        tally = scenarios.wrong_declarations(fleet, policy, SEED)
        report.note_wait(fleet.name, 'faults', policy.name, tally)
        print(
            f'{policy.name}: given up after '
            f'{replay.MAX_ATTEMPTS} attempts {tally.failed}, runs '
            f'{tally.started}, refused {dict(tally.refused)}',
            flush=True,
        )
    number, mean, most = scenarios.cancel_wave(fleet, SEED)
    print(
        f'{number} cancelled at once: {mean:.1f} us each on average, the '
        f'longest {most:.0f} us',
        flush=True,
    )


def gangs(report: Report, fleet: fleets.Fleet) -> None:
    """Measure gangs among the rest, with and without backfill."""
    report.title(f'6. gangs of 2 to 64 tasks, {fleet.name}')
    alone = dataclasses.replace(
        scenarios.CHOSEN, name='no fill', backfill=False
    )
    for policy in (scenarios.CHOSEN, alone, scenarios.BASELINE):
        tally = scenarios.gangs(fleet, policy, SEED)
        report.note_wait(fleet.name, 'gangs', policy.name, tally)
        cores = sum(v for (_, r), v in tally.held.items() if r == 'cores')
        whole = sum(p.number * p.cores for p in fleet.pools)
        print(
            f'{policy.name}: cores held {cores / tally.span / whole:.3f}, '
            f'starts {tally.started}',
            flush=True,
        )


def plot(report: Report, path: pathlib.Path) -> None:
    """Draw the 99th percentile of the waits, chosen beside baseline."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    path.parent.mkdir(exist_ok=True)
    rows = [w for w in report.waits if w.kind in OTHERS]
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
        spots = [i + offset for i in range(len(cases))]
        axes.barh(spots, worst, height=0.35, label=name)
    axes.set_yticks(range(len(cases)), [f'{f}: {c}' for f, c in cases])
    axes.set_xlabel('worst p99 wait of quote and render work, s')
    axes.legend()
    fig.tight_layout()
    fig.savefig(path)
    print(f'plot: {path}')


def timed(call: typing.Callable[..., typing.Any], *args: object) -> object:
    """Call a part and print the processor time it took."""
    begun = time.process_time()
    found = call(*args)
    print(f'({time.process_time() - begun:.0f} s of processor time)')
    return found


def chosen_fleets(names: str) -> collections.abc.Iterator[fleets.Fleet]:
    """Yield the fleets whose names are in a list with commas."""
    wanted = names.split(',')
    for fleet in FLEETS:
        if names == 'all' or fleet.name in wanted:
            yield fleet


def main(
    fleet: str = 'all', slopes: bool = True, only_waits: bool = False
) -> None:
    """Run all parts for the named fleets and draw the plot."""
    report = Report()
    for one in chosen_fleets(fleet):
        calm = timed(waits, report, one)
        if only_waits:
            continue
        timed(floods, report, one, calm)
        timed(packing, report, one)
        timed(faults, report, one)
        timed(gangs, report, one)
    if slopes:
        report.title('5. processor time of a decision')
        decide.main()
    plot(report, OUT / 'policy-waits.svg')


if __name__ == '__main__':
    cyclopts.run(main)
