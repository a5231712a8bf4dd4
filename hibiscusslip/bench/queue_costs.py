"""Measure what a number of configured queues costs the owner and the hosts.

The jobs are those of the same queues whatever the number, so the difference
is the cost of queues without jobs.
"""

import collections.abc
import dataclasses
import itertools
import time

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import summary
from hibiscusslip.host import load_report
from hibiscusslip.host import notices

QUEUES_PER_KIND = 10  # with jobs
STEPS_PER_HEARTBEAT = 8  # of 0.05 s
MS_PER_S = 1000
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """The processor time of what depends on the configuration's queues.

    `passes` and `forecast_passes` are the times of the scheduling passes
    without and with an update of the forecast, `heartbeats` those for
    composing a heartbeat, `readings` those for decoding it, `lookups` those
    for finding the queue of a request, all in seconds. `sizes` are the bytes
    of the heartbeats, `named` the numbers of queues that they name.
    """

    passes: list[float] = dataclasses.field(default_factory=list)
    forecast_passes: list[float] = dataclasses.field(default_factory=list)
    heartbeats: list[float] = dataclasses.field(default_factory=list)
    readings: list[float] = dataclasses.field(default_factory=list)
    lookups: list[float] = dataclasses.field(default_factory=list)
    sizes: list[int] = dataclasses.field(default_factory=list)
    named: list[int] = dataclasses.field(default_factory=list)


def spread_over_queues(load: dispatch_loads.Load) -> dispatch_loads.Load:
    """Return a load of the same arrivals in QUEUES_PER_KIND queues a kind."""
    kinds = tuple(
        dataclasses.replace(
            kind,
            name=f'{kind.name}-{number}',
            arrivals_per_s=kind.arrivals_per_s / QUEUES_PER_KIND,
        )
        for kind in load.kinds
        for number in range(QUEUES_PER_KIND)
    )
    return dataclasses.replace(load, kinds=kinds)


def add_idle_queues(
    config: model.Configuration, count: int
) -> model.Configuration:
    """Return a configuration of `count` queues, the added ones without jobs.

    These are like the present ones, so they have the same services and
    priorities.
    """
    queues = dict(config.queues)
    for queue in itertools.cycle(list(config.queues.values())):
        if len(queues) >= count:
            break
        name = f'idle-{len(queues)}'
        queues[name] = dataclasses.replace(
            queue, name=name, prefix=f'/{name}/'
        )
    return dataclasses.replace(config, queues=queues)


def measure(replay: dispatching.Replay, steps: int) -> Costs:
    """Replay a number of steps and return what they cost."""
    costs = Costs()
    forecast = replay.engine.shares.forecast
    for number in range(steps):
        known = forecast.predictions
        taken = replay.advance()
        updated = forecast.predictions is not known
        (costs.forecast_passes if updated else costs.passes).append(taken)
        if number % STEPS_PER_HEARTBEAT == 0:
            _measure_heartbeat(replay, costs)
    config = replay.engine.config
    assert config is not None
    for queue in itertools.islice(
        itertools.cycle(config.queues.values()), steps
    ):
        costs.lookups.append(
            _time(config.find_queue, queue.host, f'{queue.prefix}0' * 2)
        )
    return costs


def _measure_heartbeat(replay: dispatching.Replay, costs: Costs) -> None:
    started = time.process_time()
    notice = _compose(replay)
    data = notices.encode(notice)
    costs.heartbeats.append(time.process_time() - started)
    costs.readings.append(_time(notices.decode_owner, data))
    costs.sizes.append(len(data))
    costs.named.append(len(notice.loads))


def _compose(replay: dispatching.Replay) -> notices.OwnerNotice:
    forecast = replay.engine.shares.forecast
    pending = summary.count_pending(replay.engine)
    return notices.OwnerNotice(
        notices.HEARTBEAT,
        1,
        'host',
        'incarnation',
        '10.0.0.1',
        1,
        load_report.make_loads(pending, forecast, {}),
        beyond=forecast.beyond_percents,
        waits=load_report.make_waits(forecast),
    )


def _time(
    function: collections.abc.Callable[..., object], *args: object
) -> float:
    started = time.process_time()
    function(*args)
    return time.process_time() - started


def print_costs(queues: int, costs: Costs) -> None:
    """Print the means of the costs of one number of queues."""

    def mean(values: collections.abc.Sequence[float]) -> float:
        return sum(values) / max(len(values), 1)

    print(
        f'{queues} queues: pass {mean(costs.passes) * MS_PER_S:.2f} ms,'
        f' with forecast {mean(costs.forecast_passes) * MS_PER_S:.2f} ms'
        f' ({len(costs.passes)} and {len(costs.forecast_passes)} passes);'
        f' heartbeat {mean(costs.heartbeats) * MS_PER_S:.3f} ms,'
        f' {mean(costs.sizes):.0f} bytes,'
        f' names {mean(costs.named):.0f} queues;'
        f' reading it {mean(costs.readings) * MS_PER_S:.3f} ms;'
        f' finding a queue {mean(costs.lookups[1:]) * US_PER_S:.1f} us,'
        f' the first {costs.lookups[0] * US_PER_S:.1f} us'
    )
