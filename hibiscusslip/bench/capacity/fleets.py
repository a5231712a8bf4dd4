"""Drive engines, owners and members by hand at the size of a host."""

import random
import time

from hibiscusslip import scheduler
from hibiscusslip.bench.capacity import clocks
from hibiscusslip.bench.capacity import daemon
from hibiscusslip.bench.capacity import samples
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.membership import members
from hibiscusslip.model import places
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base
from hibiscusslip.scheduler import limits

TICK_SECONDS = 0.1
LIST_INTERVAL_SECONDS = 10.0
SHARD = places.Shard(samples.ZONE, 3)
_ME = places.HostId(samples.host(0), samples.INCARNATION)
_BOOT = 'boot'


def new_engine(
    shape: sizes.Shape, workers: int | None = None
) -> jobs_engine.ShardEngine:
    """Return the open engine of one shard with its workers listed."""
    count = round(shape.workers_per_shard) if workers is None else workers
    sched = scheduler.build(
        SHARD,
        samples.policy(shape.assumed),
        limits.Limits(),
        random.Random(1),
    )
    cfg = daemon.node().engine
    ids = jobs_engine.record_ids('record')
    engine = jobs_engine.ShardEngine(SHARD, 1, sched, cfg, ids, 0.0)
    for number in range(count):
        engine.set_endpoint(samples.endpoint(number), 0.0)
    engine.tick(0.0)
    engine.pop_commands()
    for name in list(engine.endpoints):
        listing = endpoint_base.RunListing(_BOOT, 0, [])
        engine.handle_run_listing(name, listing, 0.0, 0.0)
    engine.tick(0.0)
    return engine


def start_all(
    engine: jobs_engine.ShardEngine, now: float
) -> list[commands.StartTasks]:
    """Start what can start and answer that it did."""
    engine.decide(now)
    taken = [
        command
        for command in engine.pop_commands()
        if isinstance(command, commands.StartTasks)
    ]
    for command in taken:
        results = [
            endpoint_base.StartResult(order.task, True)
            for order in command.orders
        ]
        engine.handle_start_results(command.endpoint, results, now)
    return taken


def end_all(
    engine: jobs_engine.ShardEngine,
    started: list[commands.StartTasks],
    answer: int,
    now: float,
) -> None:
    """Tell the engine that all these runs ended well."""
    for command in started:
        runs = [samples.ended(order, answer) for order in command.orders]
        engine.handle_ended_runs(command.endpoint, _BOOT, runs, now)
    engine.pop_commands()


def start_cycle_micros(shape: sizes.Shape, cycles: int) -> float:
    """Return the time of one task from decision to end, in a full shard."""
    engine = new_engine(shape)
    assumed = shape.assumed
    now, tasks = 1.0, 0
    begun = time.process_time()
    for number in range(cycles // assumed.tasks_per_job):
        spec = samples.job(
            number, assumed.tasks_per_job, assumed.payload_bytes
        )
        engine.submit(spec, now)
        while started := start_all(engine, now):
            tasks += sum(len(command.orders) for command in started)
            now += 1.0
            end_all(engine, started, assumed.answer_bytes, now)
    spent = time.process_time() - begun
    return spent / tasks * clocks.MICROS_PER_SECOND


def loaded_engine(shape: sizes.Shape) -> jobs_engine.ShardEngine:
    """Return an engine whose workers run their share of the fleet's tasks."""
    engine = new_engine(shape)
    running = round(shape.running_per_host / shape.shards_per_host)
    engine.submit(samples.job(1, running), 1.0)
    start_all(engine, 1.0)
    return engine


def shard_tick_micros(shape: sizes.Shape, repeats: int) -> float:
    """Return the time of one tick of a shard that has nothing to start."""
    engine = loaded_engine(shape)
    return clocks.cpu_micros(lambda: engine.tick(1.0), repeats)


def holding_ownership(
    shape: sizes.Shape, rng: random.Random
) -> owner.Ownership:
    """Return the part of a host that holds its shards."""
    shards = round(shape.shards_per_host)
    own = owner.Ownership(
        _ME, samples.ZONE, shards, daemon.node().timing, rng, 0.0
    )
    own.on_caught_up(0, 0.0)
    for action in own.tick(0.0):
        if isinstance(action, actions.AppendRecord):
            record = action.record
            own.on_append_sent(record.record_id, 0.0)
            settled = owner.AppendOutcome.APPENDED
            own.on_append_outcome(record.record_id, settled, 0.1)
            own.on_record(0, record, 0.2)
    return own


class Beating:
    """Hold the members of one host and answer all its heartbeats."""

    def __init__(
        self, hosts: int, assumed: sizes.Assumptions, rng: random.Random
    ) -> None:
        self._members = members.Members(
            _ME, _zone_of(0), daemon.node().pacing, rng, 0.0
        )
        self._now = 0.0
        self.beats = 0
        listing = [
            platform_base.EntryHostInfo(
                samples.host(number),
                _zone_of(number // assumed.hosts_per_zone),
                '10.11.12.13',
                7402,
            )
            for number in range(hosts)
        ]
        self._members.on_listing(listing, 0.0)

    def step(self) -> None:
        """Tick once and answer what is due."""
        self._now += TICK_SECONDS
        for beat in self._members.tick(self._now):
            self.beats += 1
            ack = messages.HeartbeatAck(beat.number, False, 1, [], [])
            host = places.HostId(beat.name, samples.INCARNATION)
            self._members.on_ack(host, ack, self._now)

    def beats_per_second(self, seconds: float) -> float:
        """Return the heartbeats a second that the host sends."""
        before, begun = self.beats, self._now
        while self._now < begun + seconds:
            self.step()
        return (self.beats - before) / (self._now - begun)

    def tick_micros(self) -> float:
        """Return the time of one tick, with the answers it takes in."""
        return clocks.cpu_micros(self.step, 1_000)


def _zone_of(number: int) -> str:
    return f'{samples.ZONE}{number}'
