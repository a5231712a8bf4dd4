"""Derive the jobs that a shard runs without a request from the sheet."""

import hashlib

from hibiscusslip import sheet
from hibiscusslip.jobs import identity
from hibiscusslip.model import places
from hibiscusslip.model import work

SECONDS_PER_DAY = 86_400
DIGEST_BYTES = 8
SERVICE_PREFIX = 's'
BATCH_PREFIX = 'b'


def derive_jobs(
    content: sheet.Sheet,
    published: float,
    shard: places.Shard,
    shards: list[places.Shard],
) -> list[work.JobSpec]:
    """Return the jobs of a sheet whose home is `shard`.

    `published` is Unix time in seconds, `shards` are all of the region, in
    the same order on every host. Batch rows run once for each day on which
    a sheet with them is published; services run as long as they are listed.
    """
    specs = []
    for row in content.workloads:
        if row.form == work.Form.SERVICE:
            spec = _service_spec(row, shard, shards)
        else:
            spec = _batch_spec(row, published, shard, shards)
        if spec is not None:
            specs.append(spec)
    return specs


def is_service_id(job_id: str) -> bool:
    """Return whether a job id is that of a service from the sheet."""
    return job_id.rpartition('.')[2].startswith(SERVICE_PREFIX)


def is_batch_id(job_id: str) -> bool:
    """Return whether a job id is that of a batch run from the sheet."""
    return job_id.rpartition('.')[2].startswith(BATCH_PREFIX)


def _service_spec(
    row: sheet.Workload, shard: places.Shard, shards: list[places.Shard]
) -> work.JobSpec | None:
    """Return the job of a shard's copies of a service, None if it has none."""
    copies = _copies_on(row.name, row.copies, shard, shards)
    if copies == 0:
        return None
    digest = _digest(row, str(copies))
    job_id = f'{shard.zone}.{shard.number}.{SERVICE_PREFIX}{digest}'
    return _make_spec(row, job_id, copies, durable=False)


def _copies_on(
    name: str, copies: int, shard: places.Shard, shards: list[places.Shard]
) -> int:
    """Return a shard's number of copies, spread as evenly as possible.

    The digest of the name chooses the shards that get one more.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    first = int.from_bytes(digest, 'big') % len(shards)
    position = (shards.index(shard) - first) % len(shards)
    return copies // len(shards) + (position < copies % len(shards))


def _batch_spec(
    row: sheet.Workload,
    published: float,
    shard: places.Shard,
    shards: list[places.Shard],
) -> work.JobSpec | None:
    """Return the job of a batch or gang row, None if its home is elsewhere."""
    day = int(published // SECONDS_PER_DAY)
    digest = _digest(row, f'{row.copies}:{day}')
    if identity.keyed_home(row.team, digest, shards) != shard:
        return None
    job_id = f'{shard.zone}.{shard.number}.{BATCH_PREFIX}{digest}'
    return _make_spec(row, job_id, row.copies, durable=True)


def _digest(row: sheet.Workload, more: str) -> str:
    """Return a digest of `more` and of the fields that the tasks depend on."""
    text = '\0'.join(
        (
            row.name,
            row.team,
            row.kind,
            row.form.value,
            repr(row.demand),
            str(row.repeatable),
            row.payload,
            more,
        )
    )
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _make_spec(
    row: sheet.Workload, job_id: str, tasks: int, durable: bool
) -> work.JobSpec:
    return work.JobSpec(
        job_id=job_id,
        team=row.team,
        kind=row.kind,
        form=row.form,
        urgency=row.urgency,
        tasks=tasks,
        demand=row.demand,
        run_time=row.run_time,
        repeatable=row.repeatable,
        durable=durable,
        spread=row.spread,
        workload=row.name,
        payload=row.payload.encode(),
    )
