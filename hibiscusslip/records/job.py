"""Encode job specifications for peer messages, run tags and the log."""

import msgspec

from hibiscusslip import codec
from hibiscusslip.model import resources
from hibiscusslip.model import work


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent a job specification; fields are those of `work.JobSpec`.

    `demand` lists cpu_milli, memory_mb, accelerators, slots and connections,
    in this order.
    """

    job_id: str
    team: str
    kind: str
    form: str
    urgency: int
    tasks: int
    demand: list[int]
    run_time: float
    repeatable: bool = True
    durable: bool = False
    spread: bool = False
    workload: str = ''
    key: str = ''
    deadline: float | None = None
    payload: bytes = b''
    trace: str = ''


class Tag(msgspec.Struct, frozen=True):
    """Identify the job and the home shard of a run.

    An endpoint returns the tag with each of its runs, so that a new owner can
    adopt runs of jobs that it doesn't know. The payload is left out.
    """

    zone: str
    shard: int
    job: JobRecord


def to_record(spec: work.JobSpec, payload: bool = True) -> JobRecord:
    """Return the record of a specification.

    Without `payload`, the payload and the trace are left out.
    """
    demand = spec.demand
    return JobRecord(
        job_id=spec.job_id,
        team=spec.team,
        kind=spec.kind,
        form=spec.form.value,
        urgency=int(spec.urgency),
        tasks=spec.tasks,
        demand=[
            demand.cpu_milli,
            demand.memory_mb,
            demand.accelerators,
            demand.slots,
            demand.connections,
        ],
        run_time=spec.run_time,
        repeatable=spec.repeatable,
        durable=spec.durable,
        spread=spec.spread,
        workload=spec.workload,
        key=spec.key,
        deadline=spec.deadline,
        payload=spec.payload if payload else b'',
        trace=spec.trace if payload else '',
    )


def from_record(record: JobRecord) -> work.JobSpec:
    """Return the specification that a record represents.

    Raise ValueError or TypeError if a field has no valid value.
    """
    return work.JobSpec(
        job_id=record.job_id,
        team=record.team,
        kind=record.kind,
        form=work.Form(record.form),
        urgency=work.Urgency(record.urgency),
        tasks=record.tasks,
        demand=resources.Resources(*record.demand),
        run_time=record.run_time,
        repeatable=record.repeatable,
        durable=record.durable,
        spread=record.spread,
        workload=record.workload,
        key=record.key,
        deadline=record.deadline,
        payload=record.payload,
        trace=record.trace,
    )


def encode_job(spec: work.JobSpec) -> bytes:
    """Return an encoded specification, with its payload."""
    return codec.encode(to_record(spec))


def decode_job(data: bytes) -> work.JobSpec:
    """Return the specification in `data`; raise codec.CodecError."""
    try:
        return from_record(codec.decode(data, JobRecord))
    except (ValueError, TypeError) as exc:
        raise codec.CodecError(f'not a valid job: {exc}') from exc


def encode_tag(zone: str, shard: int, spec: work.JobSpec) -> bytes:
    """Return the encoded tag for the runs of a job's tasks."""
    return codec.encode(Tag(zone, shard, to_record(spec, payload=False)))


def decode_tag(data: bytes) -> Tag:
    """Return the tag in `data`; raise codec.CodecError."""
    return codec.decode(data, Tag)
