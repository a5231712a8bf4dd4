"""Measure the memory that a host needs for each object it keeps."""

import dataclasses
import random

import curio
import msgspec

from hibiscusslip.bench.capacity import measurement
from hibiscusslip.bench.capacity import samples
from hibiscusslip.bench.capacity import simulation
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.endpoint import http_endpoint
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.model import places
from hibiscusslip.node import endpoint_driver
from hibiscusslip.node import shard_access
from hibiscusslip.node import supervision
from hibiscusslip.platform import wire as platform_wire
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records
from hibiscusslip.routing import directory

OBJECT_COUNT = 500
FEW_HOSTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class MemorySlopes:
    """Represent bytes per object, without the buffers of sockets."""

    queued_task: float
    running_task: float
    ended_task: float
    endpoint: float
    driver: float
    known_host: float
    known_shard: float
    recorded_job: float
    team: float
    host_entry: float


def _queued_and_running_task(shape: sizes.Shape) -> tuple[float, float]:
    """Return the bytes of a queued and of a running task."""
    engine = simulation.new_engine(shape, OBJECT_COUNT // 8)
    spec = samples.job(1, OBJECT_COUNT)
    queued, _ = measurement.allocated_bytes(lambda: engine.submit(spec, 1.0))
    started, _ = measurement.allocated_bytes(
        lambda: len(simulation.start_all(engine, 1.0))
    )
    return queued / OBJECT_COUNT, (queued + started) / OBJECT_COUNT


def _ended_task(shape: sizes.Shape) -> float:
    """Return the bytes of a task of an ended job."""
    engine = simulation.new_engine(shape)
    assumed = shape.assumed

    def _run() -> int:
        now = 1.0
        for number in range(OBJECT_COUNT // assumed.tasks_per_job):
            engine.submit(samples.job(number, assumed.tasks_per_job), now)
            while started := simulation.start_all(engine, now):
                now += 1.0
                simulation.end_all(engine, started, assumed.answer_bytes, now)
        return sum(len(job.tasks) for job in engine.jobs.values())

    used, kept = measurement.allocated_bytes(_run)
    return used / kept


def _endpoint(shape: sizes.Shape) -> float:
    used, _ = measurement.allocated_bytes(
        lambda: simulation.new_engine(shape, OBJECT_COUNT)
    )
    few, _ = measurement.allocated_bytes(
        lambda: simulation.new_engine(shape, 0)
    )
    return (used - few) / OBJECT_COUNT


class _FakeShard(shard_access.ShardAccess):
    worker_lease = 1e6
    settle = 1.0
    supervisor = supervision.Supervisor()

    def may_act(self, now: float) -> bool:
        """Return True."""
        return True

    async def wake(self) -> None:
        """Do nothing."""
        return None


async def _driver() -> float:
    """Return the bytes of an endpoint's driver before it connects."""
    shard = _FakeShard()
    drivers = []
    for number in range(OBJECT_COUNT):
        info = samples.endpoint(number)
        endpoint = http_endpoint.HttpEndpoint(info.address, info.port)
        drivers.append(endpoint_driver.EndpointDriver(info, endpoint, shard))
    before = measurement.traced_bytes()
    for driver in drivers:
        await driver.start()
    await curio.sleep(0)
    used = measurement.traced_bytes() - before
    for driver in drivers:
        await driver.stop()
    return used / OBJECT_COUNT


def _known_host(shape: sizes.Shape) -> float:
    def _build(hosts: int) -> simulation.HeartbeatSimulation:
        heartbeats = simulation.HeartbeatSimulation(
            hosts, shape.assumed, random.Random(1)
        )
        for _ in range(50):
            heartbeats.step()
        return heartbeats

    many, _ = measurement.allocated_bytes(lambda: _build(OBJECT_COUNT))
    few, _ = measurement.allocated_bytes(lambda: _build(FEW_HOSTS))
    return (many - few) / (OBJECT_COUNT - FEW_HOSTS)


def _ignore(shard: places.Shard) -> None:
    pass


def _known_shard() -> float:
    def _build() -> directory.ShardDirectory:
        owners = directory.ShardDirectory(OBJECT_COUNT, _ignore)
        for number in range(OBJECT_COUNT):
            owners.update_loads(
                samples.host_name(1), [samples.shard_load(number)], 1.0
            )
        return owners

    return measurement.allocated_bytes(_build)[0] / OBJECT_COUNT


def _recorded_job(assumed: sizes.Assumptions) -> float:
    def _build() -> jobs_index.JobIndex:
        index = jobs_index.JobIndex(OBJECT_COUNT, 1024 * 1024)
        for number in range(OBJECT_COUNT):
            spec = samples.job(
                number, assumed.tasks_per_job, assumed.payload_bytes
            )
            data = job_records.encode_job(spec)
            index.apply(zone_records.JobAccepted(f'r{number}', 3, 17, data))
        return index

    return measurement.allocated_bytes(_build)[0] / OBJECT_COUNT


def _team(shape: sizes.Shape) -> float:
    used, policy = measurement.allocated_bytes(
        lambda: samples.policy(shape.assumed)
    )
    return used / len(policy.quotas)


def _host_entry() -> float:
    """Return the bytes of an entry of the host list while it is read."""
    entries = [
        platform_wire.build_endpoint_entry(samples.endpoint(number))
        for number in range(OBJECT_COUNT)
    ]
    data = msgspec.json.encode(platform_wire.HostsReply(entries, []))

    def _read() -> platform_wire.HostsReply:
        listing: platform_wire.HostsReply = platform_wire.decode(
            data, platform_wire.HostsReply
        )
        return listing

    return measurement.allocated_bytes(_read)[0] / OBJECT_COUNT


def measure(shape: sizes.Shape) -> MemorySlopes:
    """Return the memory of each kind of object at the size of `shape`."""
    queued, running = _queued_and_running_task(shape)
    return MemorySlopes(
        queued_task=queued,
        running_task=running,
        ended_task=_ended_task(shape),
        endpoint=_endpoint(shape),
        driver=measurement.run_traced(lambda: curio.run(_driver)),
        known_host=_known_host(shape),
        known_shard=_known_shard(),
        recorded_job=_recorded_job(shape.assumed),
        team=_team(shape),
        host_entry=_host_entry(),
    )
