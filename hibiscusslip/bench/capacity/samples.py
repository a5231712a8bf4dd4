"""Create messages, records and jobs of typical size."""

import random

from hibiscusslip.bench.capacity import sizes
from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.peer import messages
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base
import hibiscusslip.sheet as sheet

ZONE = 'eu-north-a'
INCARNATION = '6f1c2a9be04d'
CAPACITY = resources.Resources(64_000, 262_144, 8, 8, 64)
DEMAND = resources.Resources(2_000, 8_192, 0, 1, 1)
UNLIMITED = resources.Resources(10**9, 10**9, 10**6, 10**6, 10**6)


def host_name(number: int) -> str:
    """Return a host name of typical length."""
    return f'{ZONE}-host-{number:02}'


def job_id(number: int) -> str:
    """Return a job id of typical length."""
    return f'{ZONE}.3.r{number:016x}'


def shard_load(number: int) -> messages.ShardLoad:
    """Return the load of one shard."""
    return messages.ShardLoad(
        zone=ZONE,
        number=number,
        epoch=17,
        free_cpu_milli=212_000,
        free_memory_mb=1_048_576,
        free_accelerators=24,
        free_slots=31,
        largest_cpu_milli=64_000,
        largest_memory_mb=262_144,
        largest_accelerators=8,
        queued=120,
        running=34,
    )


def known_host(number: int) -> messages.KnownHost:
    """Return one host as heartbeats carry it."""
    return messages.KnownHost(
        host_name(number), INCARNATION, ZONE, '10.11.12.13', 7402, 0.417233
    )


def heartbeat(loads: int, hosts: int) -> messages.Heartbeat:
    """Return a heartbeat with `loads` shard loads and `hosts` known hosts."""
    return messages.Heartbeat(
        412_345,
        False,
        7_300,
        [shard_load(number) for number in range(loads)],
        [known_host(number) for number in range(hosts)],
        ZONE,
        '10.11.12.13',
        7402,
    )


def job(number: int, tasks: int, payload: int = 0) -> work.JobSpec:
    """Return a job; `payload` is the size of its payload in bytes."""
    return work.JobSpec(
        job_id=job_id(number),
        team=f'team-{number % 8}',
        kind=f'kind-{number % 4}',
        tasks=tasks,
        demand=DEMAND,
        run_time=40.0,
        workload='weekly-reflow',
        payload=bytes(payload),
    )


def start_request(number: int, payload: int) -> endpoint_base.StartRequest:
    """Return the request to start one task."""
    spec = job(number, 1, payload)
    return endpoint_base.StartRequest(
        work.task_id(spec.job_id, 0),
        1,
        spec.demand,
        12.0,
        job_records.encode_tag(ZONE, 3, spec),
        spec.payload,
    )


def ended_run(
    request: endpoint_base.StartRequest, answer: int
) -> endpoint_base.Run:
    """Return the succeeded run of a request; `answer` is a size in bytes."""
    return endpoint_base.Run(
        request.task,
        request.attempt,
        endpoint_base.RunState.SUCCEEDED,
        request.demand,
        request.tag,
        bytes(answer),
    )


def endpoint(number: int) -> places.EndpointInfo:
    """Return a worker as the host list describes it."""
    return places.EndpointInfo(
        f'{ZONE}-worker-{number:04}',
        ZONE,
        f'{ZONE}-rack-{number // 5:03}',
        '10.11.12.13',
        7000,
        CAPACITY,
    )


def policy(assumed: sizes.Assumptions) -> scheduler_base.FleetPolicy:
    """Return shares and quotas for the kinds and teams of `job`."""
    part = 1.0 / assumed.kinds
    shares = {
        f'kind-{number}': scheduler_base.KindShare(f'kind-{number}', part, 1.0)
        for number in range(assumed.kinds)
    }
    quotas = {
        f'team-{number}': scheduler_base.TeamQuota(f'team-{number}', UNLIMITED)
        for number in range(sizes.Target().teams)
    }
    return scheduler_base.FleetPolicy(1, shares, quotas)


def config_sheet(teams: int, assumed: sizes.Assumptions) -> sheet.Sheet:
    """Return a configuration sheet with random names and amounts.

    Repeated values would compress too well to give a realistic size.
    """
    rng = random.Random(teams)
    shares = tuple(
        sheet.Share(
            f'kind-{number}',
            1.0 / assumed.kinds,
            1.0,
            work.Urgency.NORMAL,
            True,
        )
        for number in range(assumed.kinds)
    )
    quotas = tuple(_quota(rng) for _ in range(teams))
    workloads = tuple(_workload(rng) for _ in range(assumed.workloads))
    return sheet.Sheet(shares, quotas, workloads)


def _name(rng: random.Random) -> str:
    return f'{rng.getrandbits(48):012x}'


def _quota(rng: random.Random) -> sheet.Quota:
    return sheet.Quota(
        _name(rng),
        rng.randrange(1, 2_000) * 1_000,
        rng.randrange(1, 8_000) * 1_024,
        rng.randrange(16),
    )


def _workload(rng: random.Random) -> sheet.Workload:
    return sheet.Workload(
        _name(rng),
        _name(rng),
        f'kind-{rng.randrange(4)}',
        rng.choice(list(work.Form)),
        rng.choice(list(work.Urgency)),
        rng.randrange(1, 40),
        resources.Resources(
            rng.randrange(1, 64) * 500, rng.randrange(1, 64) * 512, 0, 1, 1
        ),
        rng.randrange(1, 9_000) / 10,
        rng.random() < 0.8,
        rng.random() < 0.2,
    )


def renewal(shards: int) -> zone_records.Renewal:
    """Return the renewal record of a host that owns `shards` shards."""
    entries = [zone_records.ClaimEntry(n, 17, 40_123) for n in range(shards)]
    return zone_records.Renewal(
        f'{host_name(1)}#{INCARNATION}.99123',
        host_name(1),
        INCARNATION,
        entries,
    )


def job_records_of(
    assumed: sizes.Assumptions,
) -> tuple[zone_records.ZoneRecord, ...]:
    """Return the three records of a job that is recorded on the log."""
    spec = job(7, assumed.tasks_per_job, assumed.payload_bytes)
    name = f'{host_name(1)}#{INCARNATION}.99123'
    tasks = list(range(spec.tasks))
    return (
        zone_records.JobAccepted(name, 3, 17, job_records.encode_job(spec)),
        zone_records.StartIntent(name, 3, 17, spec.job_id, tasks, 1, 'p'),
        zone_records.JobEnded(
            name,
            3,
            17,
            spec.job_id,
            'succeeded',
            '',
            bytes(assumed.answer_bytes),
        ),
    )
