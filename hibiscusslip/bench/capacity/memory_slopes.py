"""Measure the bytes of memory that each thing takes that a host keeps."""

import dataclasses
import random

import curio
import msgspec

from hibiscusslip.bench.capacity import clocks
from hibiscusslip.bench.capacity import fleets
from hibiscusslip.bench.capacity import samples
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

MANY = 500
FEW_HOSTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class MemorySlopes:
    """Hold bytes kept by the allocator, sockets' buffers not counted."""

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


def _tasks(shape: sizes.Shape) -> tuple[float, float]:
    """Return the bytes of a queued and of a running task."""
    engine = fleets.new_engine(shape, MANY // 8)
    spec = samples.job(1, MANY)
    queued, _ = clocks.weigh(lambda: engine.submit(spec, 1.0))
    started, _ = clocks.weigh(lambda: len(fleets.start_all(engine, 1.0)))
    return queued / MANY, (queued + started) / MANY


def _ended_task(shape: sizes.Shape) -> float:
    """Return the bytes of a task of an ended job that is kept."""
    engine = fleets.new_engine(shape)
    assumed = shape.assumed

    def _run() -> int:
        now = 1.0
        for number in range(MANY // assumed.tasks_per_job):
            engine.submit(samples.job(number, assumed.tasks_per_job), now)
            while started := fleets.start_all(engine, now):
                now += 1.0
                fleets.end_all(engine, started, assumed.answer_bytes, now)
        return sum(len(job.tasks) for job in engine.jobs.values())

    used, kept = clocks.weigh(_run)
    return used / kept


def _endpoints(shape: sizes.Shape) -> float:
    used, _ = clocks.weigh(lambda: fleets.new_engine(shape, MANY))
    few, _ = clocks.weigh(lambda: fleets.new_engine(shape, 0))
    return (used - few) / MANY


class _Shard(shard_access.ShardAccess):
    worker_lease = 1e6
    settle = 1.0
    supervisor = supervision.Supervisor()

    def may_act(self, now: float) -> bool:
        """Tell that the shard is held."""
        return True

    async def changed(self) -> None:
        """Do nothing."""
        return None


async def _drivers() -> float:
    """Return the bytes of an endpoint's loops, before it is connected."""
    shard = _Shard()
    drivers = []
    for number in range(MANY):
        info = samples.endpoint(number)
        link = http_endpoint.HttpEndpoint(info.address, info.port)
        drivers.append(endpoint_driver.EndpointDriver(info, link, shard))
    before = clocks.traced()
    for driver in drivers:
        await driver.start()
    await curio.sleep(0)
    used = clocks.traced() - before
    for driver in drivers:
        await driver.stop()
    return used / MANY


def _known_host(shape: sizes.Shape) -> float:
    def _build(hosts: int) -> fleets.Beating:
        beating = fleets.Beating(hosts, shape.assumed, random.Random(1))
        for _ in range(50):
            beating.step()
        return beating

    many, _ = clocks.weigh(lambda: _build(MANY))
    few, _ = clocks.weigh(lambda: _build(FEW_HOSTS))
    return (many - few) / (MANY - FEW_HOSTS)


def _ignore(shard: places.Shard) -> None:
    pass


def _known_shard() -> float:
    def _build() -> directory.ShardDirectory:
        owners = directory.ShardDirectory(MANY, _ignore)
        for number in range(MANY):
            owners.update_loads(samples.host(1), [samples.load(number)], 1.0)
        return owners

    return clocks.weigh(_build)[0] / MANY


def _recorded_job(assumed: sizes.Assumptions) -> float:
    def _build() -> jobs_index.JobIndex:
        index = jobs_index.JobIndex(MANY, 1024 * 1024)
        for number in range(MANY):
            spec = samples.job(
                number, assumed.tasks_per_job, assumed.payload_bytes
            )
            data = job_records.encode_job(spec)
            index.apply(zone_records.JobAccepted(f'r{number}', 3, 17, data))
        return index

    return clocks.weigh(_build)[0] / MANY


def _team(shape: sizes.Shape) -> float:
    used, policy = clocks.weigh(lambda: samples.policy(shape.assumed))
    return used / len(policy.quotas)


def _host_entry() -> float:
    """Return the bytes of one line of the host list while it is read."""
    entries = [
        platform_wire.build_endpoint_entry(samples.endpoint(number))
        for number in range(MANY)
    ]
    data = msgspec.json.encode(platform_wire.HostsReply(entries, []))

    def _read() -> platform_wire.HostsReply:
        listing: platform_wire.HostsReply = platform_wire.decode(
            data, platform_wire.HostsReply
        )
        return listing

    return clocks.weigh(_read)[0] / MANY


def measure(shape: sizes.Shape) -> MemorySlopes:
    """Return the memory of each thing at the size of `shape`."""
    queued, running = _tasks(shape)
    return MemorySlopes(
        queued_task=queued,
        running_task=running,
        ended_task=_ended_task(shape),
        endpoint=_endpoints(shape),
        driver=clocks.tracing(lambda: curio.run(_drivers)),
        known_host=_known_host(shape),
        known_shard=_known_shard(),
        recorded_job=_recorded_job(shape.assumed),
        team=_team(shape),
        host_entry=_host_entry(),
    )
