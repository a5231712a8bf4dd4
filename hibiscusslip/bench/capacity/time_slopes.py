"""Measure the processor time of each step, in microseconds."""

import dataclasses
import random
import time

import curio
import msgspec

from hibiscusslip import codec
from hibiscusslip import configuration
from hibiscusslip.bench import peer_link
from hibiscusslip.bench.capacity import clocks
from hibiscusslip.bench.capacity import daemon
from hibiscusslip.bench.capacity import fleets
from hibiscusslip.bench.capacity import samples
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.endpoint import wire as endpoint_wire
from hibiscusslip.http import client
from hibiscusslip.http import limits
from hibiscusslip.http import messages as http_messages
from hibiscusslip.http import server
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.peer import messages
from hibiscusslip.platform import wire as platform_wire
from hibiscusslip.records import zone as zone_records

REPEATS = 2_000
HTTP_CALLS = 2_000
WAKEUPS = 2_000
CYCLES = 1_000
CHANGES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class TimeSlopes:
    """Hold microseconds of processor time.

    `peer_call` and `http_call` count both ends, `start` is one task from
    decision to end in the engine and the scheduler.
    """

    wakeup: float
    peer_call: float
    heartbeat: float
    http_call: float
    start: float
    start_codec: float
    shard_tick: float
    ownership_tick: float
    members_tick: float
    config_change: float
    zone_record: float
    host_entry: float


async def _sleep_often() -> float:
    begun = time.process_time()
    for _ in range(WAKEUPS):
        await curio.sleep(0.0002)
    return (time.process_time() - begun) / WAKEUPS * clocks.MICROS_PER_SECOND


class _Ok(server.Handler):
    async def handle(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        """Return an answer at once."""
        return http_messages.Response(200, {}, req.body)


async def _http_call() -> float:
    srv = server.Server(_Ok())
    port = await srv.listen('127.0.0.1', 0)
    serving = await curio.spawn(srv.serve)
    pool = client.Pool('127.0.0.1', port, limits.DEFAULT, 1)
    body = bytes(200)
    await pool.call('POST', '/renew', body=body, timeout=5.0)
    begun = time.process_time()
    for _ in range(HTTP_CALLS):
        await pool.call('POST', '/renew', body=body, timeout=5.0)
    spent = time.process_time() - begun
    await pool.close()
    await serving.cancel()
    return spent / HTTP_CALLS * clocks.MICROS_PER_SECOND


def _peer_call() -> float:
    return curio.run(peer_link.measure, 1).cpu_micros


def _heartbeat(shape: sizes.Shape) -> float:
    """Return what a heartbeat and its answer cost in the codec."""
    loads = round(shape.shards_per_host)
    body = samples.heartbeat(
        loads, daemon.node().pacing.known_hosts_per_message
    )
    envelope = messages.Envelope(412_345, False, '', 1.5, body)
    data = codec.encode(envelope)
    encode = clocks.cpu_micros(lambda: codec.encode(envelope), REPEATS)
    decode = clocks.cpu_micros(
        lambda: codec.decode(data, messages.Envelope), REPEATS
    )
    return 2 * (encode + decode)


def _start_codec(assumed: sizes.Assumptions) -> float:
    """Return what the order to start and the ended run cost in JSON."""
    order = samples.order(7, assumed.payload_bytes)
    run = endpoint_wire.build_run_entry(
        samples.ended(order, assumed.answer_bytes)
    )
    data = msgspec.json.encode(endpoint_wire.RunsReply('boot', 7, [run]))
    encode = clocks.cpu_micros(
        lambda: msgspec.json.encode(endpoint_wire.build_start_entry(order)),
        REPEATS,
    )
    decode = clocks.cpu_micros(
        lambda: endpoint_wire.decode(data, endpoint_wire.RunsReply), REPEATS
    )
    return encode + decode


def _config_change(shape: sizes.Shape) -> float:
    """Return what one change costs a host, from the log into force."""
    content = samples.morning_sheet(shape.target.teams, shape.assumed)
    data = configuration.encode(
        configuration.make_record('record', 7, 'operator', content, 0.0)
    )
    shards = [
        fleets.new_engine(shape) for _ in range(round(shape.shards_per_host))
    ]

    def _change() -> None:
        record = configuration.decode(data)
        assert isinstance(record, configuration.ConfigRecord)
        policy = configuration.to_policy(record.sheet, record.version)
        for engine in shards:
            engine.scheduler.set_policy(policy, 1.0)

    return clocks.cpu_micros(_change, CHANGES)


def _zone_record(assumed: sizes.Assumptions) -> float:
    """Return what reading one record of a job costs on average."""
    index = jobs_index.JobIndex(100, 1024 * 1024)
    data = [codec.encode(item) for item in samples.job_records_of(assumed)]

    def _read() -> None:
        for item in data:
            index.apply(codec.decode(item, zone_records.ZoneRecord))

    return clocks.cpu_micros(_read, REPEATS // 4) / len(data)


def _host_entry() -> float:
    """Return what one line of the host list costs to read."""
    entries = [
        platform_wire.build_endpoint_entry(samples.endpoint(number))
        for number in range(1_000)
    ]
    data = msgspec.json.encode(platform_wire.HostsReply(entries, []))

    def _read() -> None:
        platform_wire.decode(data, platform_wire.HostsReply).listing()

    return clocks.cpu_micros(_read, CHANGES) / len(entries)


def measure(shape: sizes.Shape) -> TimeSlopes:
    """Return the processor time of each step at the size of `shape`."""
    rng = random.Random(1)
    own = fleets.holding_ownership(shape, rng)
    members = fleets.Beating(shape.hosts_in_region, shape.assumed, rng)
    return TimeSlopes(
        wakeup=clocks.best(lambda: curio.run(_sleep_often)),
        peer_call=clocks.best(_peer_call),
        heartbeat=_heartbeat(shape),
        http_call=clocks.best(lambda: curio.run(_http_call)),
        start=clocks.best(lambda: fleets.start_cycle_micros(shape, CYCLES)),
        start_codec=_start_codec(shape.assumed),
        shard_tick=fleets.shard_tick_micros(shape, REPEATS),
        ownership_tick=clocks.cpu_micros(lambda: own.tick(1.0), REPEATS),
        members_tick=members.tick_micros(),
        config_change=_config_change(shape),
        zone_record=_zone_record(shape.assumed),
        host_entry=_host_entry(),
    )
