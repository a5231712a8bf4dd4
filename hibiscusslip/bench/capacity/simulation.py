"""Simulate engines, ownership and membership at the size of one host."""

import random
import time

from hibiscusslip import scheduler
from hibiscusslip.bench.capacity import defaults
from hibiscusslip.bench.capacity import measurement
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
_ME = places.HostId(samples.host_name(0), samples.INCARNATION)
_BOOT = 'boot'


def new_engine(
    shape: sizes.Shape, workers: int | None = None
) -> jobs_engine.ShardEngine:
    """Return the opened engine of a shard that knows its workers' runs.

    The number of `workers` is by default that of a shard of `shape`.
    """
    count = round(shape.workers_per_shard) if workers is None else workers
    sched = scheduler.build(
        SHARD,
        samples.policy(shape.assumed),
        limits.Limits(),
        random.Random(1),
    )
    cfg = defaults.node_config().engine
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
    """Start all tasks that fit; return the commands, all confirmed."""
    engine.decide(now)
    started = [
        command
        for command in engine.pop_commands()
        if isinstance(command, commands.StartTasks)
    ]
    for command in started:
        results = [
            endpoint_base.StartResult(request.task, True)
            for request in command.orders
        ]
        engine.handle_start_results(command.endpoint, results, now)
    return started


def end_all(
    engine: jobs_engine.ShardEngine,
    started: list[commands.StartTasks],
    answer: int,
    now: float,
) -> None:
    """Report to the engine that all these runs succeeded.

    `answer` is the size of the answer of each run, in bytes.
    """
    for command in started:
        runs = [
            samples.ended_run(request, answer) for request in command.orders
        ]
        engine.handle_ended_runs(command.endpoint, _BOOT, runs, now)
    engine.pop_commands()


def start_cycle_micros(shape: sizes.Shape, cycles: int) -> float:
    """Return the microseconds per task from submission to completion.

    The shard has its full number of workers.
    """
    engine = new_engine(shape)
    assumed = shape.assumed
    now, tasks = 1.0, 0
    cpu_start = time.process_time()
    for number in range(cycles // assumed.tasks_per_job):
        spec = samples.job(
            number, assumed.tasks_per_job, assumed.payload_bytes
        )
        engine.submit(spec, now)
        while started := start_all(engine, now):
            tasks += sum(len(command.orders) for command in started)
            now += 1.0
            end_all(engine, started, assumed.answer_bytes, now)
    spent = time.process_time() - cpu_start
    return spent / tasks * measurement.MICROS_PER_SECOND


def loaded_engine(shape: sizes.Shape) -> jobs_engine.ShardEngine:
    """Return an engine whose workers run their share of the fleet's tasks."""
    engine = new_engine(shape)
    running = round(shape.running_per_host / shape.shards_per_host)
    engine.submit(samples.job(1, running), 1.0)
    start_all(engine, 1.0)
    return engine


def shard_tick_micros(shape: sizes.Shape, repeats: int) -> float:
    """Return the microseconds of a tick of a shard with nothing to start."""
    engine = loaded_engine(shape)
    return measurement.cpu_micros(lambda: engine.tick(1.0), repeats)


def ownership_of_all_shards(
    shape: sizes.Shape, rng: random.Random
) -> owner.Ownership:
    """Return the ownership state of a host that owns all its shards."""
    shards = round(shape.shards_per_host)
    ownership = owner.Ownership(
        _ME,
        samples.ZONE,
        shards,
        defaults.node_config().timing,
        rng,
        0.0,
    )
    ownership.on_caught_up(0, 0.0)
    for action in ownership.tick(0.0):
        if isinstance(action, actions.AppendRecord):
            record = action.record
            ownership.on_append_sent(record.record_id, 0.0)
            outcome = owner.AppendOutcome.APPENDED
            ownership.on_append_outcome(record.record_id, outcome, 0.1)
            ownership.on_record(0, record, 0.2)
    return ownership


class HeartbeatSimulation:
    """Simulate the membership of one host; all peers acknowledge."""

    def __init__(
        self, hosts: int, assumed: sizes.Assumptions, rng: random.Random
    ) -> None:
        self._members = members.Members(
            _ME, _zone_of(0), defaults.node_config().pacing, rng, 0.0
        )
        self._now = 0.0
        self.sent = 0
        listing = [
            platform_base.EntryHostInfo(
                samples.host_name(number),
                _zone_of(number // assumed.hosts_per_zone),
                '10.11.12.13',
                7402,
            )
            for number in range(hosts)
        ]
        self._members.on_listing(listing, 0.0)

    def step(self) -> None:
        """Advance by one tick and acknowledge its heartbeats."""
        self._now += TICK_SECONDS
        for heartbeat in self._members.tick(self._now):
            self.sent += 1
            ack = messages.HeartbeatAck(heartbeat.number, False, 1, [], [])
            host = places.HostId(heartbeat.name, samples.INCARNATION)
            self._members.on_ack(host, ack, self._now)

    def heartbeats_per_second(self, seconds: float) -> float:
        """Return the heartbeats per second that the host sends."""
        before, start = self.sent, self._now
        while self._now < start + seconds:
            self.step()
        return (self.sent - before) / (self._now - start)

    def tick_micros(self) -> float:
        """Return the microseconds of a tick with its acknowledgements."""
        return measurement.cpu_micros(self.step, 1_000)


def _zone_of(number: int) -> str:
    return f'{samples.ZONE}{number}'
