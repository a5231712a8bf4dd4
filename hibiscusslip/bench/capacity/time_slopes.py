"""Measure the processor time of each operation, in microseconds."""

import dataclasses
import random
import time

import curio
import msgspec

from hibiscusslip import codec
from hibiscusslip import configuration
from hibiscusslip.bench import peer_link
from hibiscusslip.bench.capacity import defaults
from hibiscusslip.bench.capacity import measurement
from hibiscusslip.bench.capacity import samples
from hibiscusslip.bench.capacity import simulation
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
    """Represent microseconds of processor time per operation.

    `peer_call` and `http_call` count both ends, `start` is one task from
    submission to completion in the engine and the scheduler.
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


async def _wakeup() -> float:
    cpu_start = time.process_time()
    for _ in range(WAKEUPS):
        await curio.sleep(0.0002)
    return (
        (time.process_time() - cpu_start)
        / WAKEUPS
        * measurement.MICROS_PER_SECOND
    )


class _EchoHandler(server.Handler):
    async def handle(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        """Return the body of the request."""
        return http_messages.Response(200, {}, req.body)


async def _http_call() -> float:
    srv = server.Server(_EchoHandler())
    port = await srv.listen('127.0.0.1', 0)
    serving = await curio.spawn(srv.serve)
    pool = client.Pool('127.0.0.1', port, limits.DEFAULT, 1)
    body = bytes(200)
    await pool.call('POST', '/renew', body=body, timeout=5.0)
    cpu_start = time.process_time()
    for _ in range(HTTP_CALLS):
        await pool.call('POST', '/renew', body=body, timeout=5.0)
    spent = time.process_time() - cpu_start
    await pool.close()
    await serving.cancel()
    return spent / HTTP_CALLS * measurement.MICROS_PER_SECOND


def _peer_call() -> float:
    return curio.run(peer_link.measure, 1).cpu_micros


def _heartbeat(shape: sizes.Shape) -> float:
    """Return the time to encode and decode a heartbeat and its reply."""
    loads = round(shape.shards_per_host)
    body = samples.heartbeat(
        loads, defaults.node_config().pacing.known_hosts_per_message
    )
    envelope = messages.Envelope(412_345, False, '', 1.5, body)
    data = codec.encode(envelope)
    encode = measurement.cpu_micros(lambda: codec.encode(envelope), REPEATS)
    decode = measurement.cpu_micros(
        lambda: codec.decode(data, messages.Envelope), REPEATS
    )
    return 2 * (encode + decode)


def _start_codec(assumed: sizes.Assumptions) -> float:
    """Return the time to encode a start request and decode an ended run."""
    request = samples.start_request(7, assumed.payload_bytes)
    run = endpoint_wire.build_run_entry(
        samples.ended_run(request, assumed.answer_bytes)
    )
    data = msgspec.json.encode(endpoint_wire.RunsReply('boot', 7, [run]))
    encode = measurement.cpu_micros(
        lambda: msgspec.json.encode(endpoint_wire.build_start_entry(request)),
        REPEATS,
    )
    decode = measurement.cpu_micros(
        lambda: endpoint_wire.decode(data, endpoint_wire.RunsReply), REPEATS
    )
    return encode + decode


def _config_change(shape: sizes.Shape) -> float:
    """Return the time of a host to decode and apply one change."""
    content = samples.config_sheet(shape.target.teams, shape.assumed)
    data = configuration.encode(
        configuration.make_record('record', 7, 'operator', content, 0.0)
    )
    shards = [
        simulation.new_engine(shape)
        for _ in range(round(shape.shards_per_host))
    ]

    def _change() -> None:
        record = configuration.decode(data)
        assert isinstance(record, configuration.ConfigRecord)
        policy = configuration.to_policy(record.sheet, record.version)
        for engine in shards:
            engine.scheduler.set_policy(policy, 1.0)

    return measurement.cpu_micros(_change, CHANGES)


def _zone_record(assumed: sizes.Assumptions) -> float:
    """Return the mean time to decode and apply one record of a job."""
    index = jobs_index.JobIndex(100, 1024 * 1024)
    data = [codec.encode(item) for item in samples.job_records_of(assumed)]

    def _read() -> None:
        for item in data:
            index.apply(codec.decode(item, zone_records.ZoneRecord))

    return measurement.cpu_micros(_read, REPEATS // 4) / len(data)


def _host_entry() -> float:
    """Return the time to decode one entry of the host list."""
    entries = [
        platform_wire.build_endpoint_entry(samples.endpoint(number))
        for number in range(1_000)
    ]
    data = msgspec.json.encode(platform_wire.HostsReply(entries, []))

    def _read() -> None:
        platform_wire.decode(data, platform_wire.HostsReply).listing()

    return measurement.cpu_micros(_read, CHANGES) / len(entries)


def measure(shape: sizes.Shape) -> TimeSlopes:
    """Return the time of each operation at the size of `shape`."""
    rng = random.Random(1)
    ownership = simulation.ownership_of_all_shards(shape, rng)
    heartbeats = simulation.HeartbeatSimulation(
        shape.hosts_in_region, shape.assumed, rng
    )
    return TimeSlopes(
        wakeup=measurement.minimum(lambda: curio.run(_wakeup)),
        peer_call=measurement.minimum(_peer_call),
        heartbeat=_heartbeat(shape),
        http_call=measurement.minimum(lambda: curio.run(_http_call)),
        start=measurement.minimum(
            lambda: simulation.start_cycle_micros(shape, CYCLES)
        ),
        start_codec=_start_codec(shape.assumed),
        shard_tick=simulation.shard_tick_micros(shape, REPEATS),
        ownership_tick=measurement.cpu_micros(
            lambda: ownership.tick(1.0), REPEATS
        ),
        members_tick=heartbeats.tick_micros(),
        config_change=_config_change(shape),
        zone_record=_zone_record(shape.assumed),
        host_entry=_host_entry(),
    )
