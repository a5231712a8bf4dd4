"""Decode the platform's JSON documents into this package's data types."""

import collections.abc
import hashlib
import typing

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import queue_records
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import fields
from hibiscusslip.platform import queue_documents
from hibiscusslip.platform import settings

MAX_SPEC_CHARS = 4000
MAX_STEPS = 100
MAX_TASKS = 10000
MAX_OCCURRENCES = 10000
MAX_COUNT = 2**63 - 1
# Decoding an object of two bytes takes hundreds. A valid body has one for each
# step, and braces in its texts.
MAX_BRACES = 2 * (MAX_STEPS + MAX_SPEC_CHARS)
MAX_LISTED_ENDS = 500  # in one report; more of them follow later


class _Step(fields.Resources):
    count: int = 1
    estimate_ms: float = 0.0
    depends_on: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


class _Job(fields.Document):
    spec: str
    steps: list[_Step]
    times: int = 0
    start_ms: float = 0.0
    interval_ms: float = 0.0


class _Organisation(fields.Document):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    at_most: fields.Resources | None = None


class _Service(fields.Document):
    name: str
    health_path: str = ''
    rejects_overload: bool = False
    standby: bool = False


class _Limits(fields.Document):
    max_body_bytes: int = settings.DEFAULT_MAX_BODY_BYTES


class ConfigDocument(fields.Document):
    """Represent the operator's configuration."""

    version: int
    routes: list[queue_documents.Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    organisations: list[_Organisation] | None = msgspec.field(
        name='Tenants', default=None
    )


def read_job(body: bytes) -> model.JobSpec:
    """Return the job in the body of a request; raises JobInvalid."""
    if body.count(b'{') > MAX_BRACES:
        raise exceptions.JobInvalid(
            f'the body has over {MAX_BRACES} braces, a job 1 to {MAX_STEPS}'
            ' steps; mend the body'
        )
    try:
        job = msgspec.json.decode(body, type=_Job)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise exceptions.JobInvalid(
            f"the job can't be read: {exc}; mend the body"
        ) from exc
    _validate_job(job)
    return model.JobSpec(
        payload=job.spec,
        steps=tuple(_to_step(step) for step in job.steps),
        times=job.times,
        first_due=job.start_ms / settings.MS_PER_S,
        interval=job.interval_ms / settings.MS_PER_S,
    )


def _validate_job(job: _Job) -> None:
    if not 1 <= len(job.steps) <= MAX_STEPS:
        raise exceptions.JobInvalid(
            f'a job has 1 to {MAX_STEPS} steps; mend the body'
        )
    if len(job.spec) > MAX_SPEC_CHARS:
        raise exceptions.JobInvalid(
            f'the specification is over {MAX_SPEC_CHARS} characters;'
            ' shorten it'
        )
    tasks = sum(max(step.count, 0) for step in job.steps)
    if tasks > MAX_TASKS or any(step.count < 1 for step in job.steps):
        raise exceptions.JobInvalid(
            f'a step has at least one task, a job at most {MAX_TASKS}; mend'
            ' the counts'
        )
    if any(min(_numbers_of(step)) < 0 for step in job.steps):
        raise exceptions.JobInvalid(
            "a step's amounts and times aren't negative; mend the body"
        )
    numbers = [number for step in job.steps for number in _numbers_of(step)]
    times = (job.times, job.start_ms, job.interval_ms)
    if not fields.are_plausible([*numbers, *times]):
        raise exceptions.JobInvalid(
            'a number is too large to compute with; mend the body'
        )
    if job.times > MAX_OCCURRENCES or (job.times > 1 and job.interval_ms <= 0):
        raise exceptions.JobInvalid(
            f'a job has at most {MAX_OCCURRENCES} occurrences, at an interval'
            ' above 0; mend the body'
        )
    for number, step in enumerate(job.steps):
        if any(not 0 <= needed < number for needed in step.depends_on):
            raise exceptions.JobInvalid(
                f"step {number} depends on a step that isn't an earlier one;"
                ' order the steps'
            )


def _numbers_of(step: _Step) -> tuple[float, ...]:
    return (
        step.cpu,
        step.mem_mb,
        step.gpu,
        step.estimate_ms,
        step.anti_affinity,
        step.target_ms,
        step.may_miss,
    )


def _to_step(step: _Step) -> model.Step:
    return model.Step(
        count=step.count,
        demand=step.demand(),
        estimate=step.estimate_ms / settings.MS_PER_S or 1.0,
        after=tuple(sorted(set(step.depends_on))),
        checkpoints=step.checkpoints,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        spread=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_latency_target=step.target_ms / settings.MS_PER_S,
        fills=step.fills,
        may_miss=step.may_miss,
    )


def read_configuration(
    value: bytes, known: model.Configuration | None = None
) -> model.Configuration | None:
    """Return the configuration in a record, or None if it is invalid.

    It shares its unchanged queues with `known`, the former version.
    """
    config = decode_configuration(value, known)
    if config is None or not queue_records.are_plausible(_numbers_in(config)):
        return None
    return config


def decode_configuration(
    value: bytes, known: model.Configuration | None = None
) -> model.Configuration | None:
    """Return a configuration whose numbers aren't checked, None if invalid.

    It shares its unchanged queues with `known`, the former version.
    """
    try:
        config = msgspec.json.decode(value, type=ConfigDocument)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return model.Configuration(
        version=config.version,
        queues=queue_documents.to_queues(
            config.routes, known.queues if known else {}
        ),
        services={
            service.name: to_service(service) for service in config.services
        },
        max_body_bytes=config.limits.max_body_bytes,
        organisations=_to_organisations(config.organisations),
    )


def _numbers_in(
    config: model.Configuration,
) -> collections.abc.Iterator[float]:
    """Yield all numbers of a configuration."""
    yield config.version
    yield config.max_body_bytes
    for queue in config.queues.values():
        yield from queue_records.numbers_of(queue)
    for organisation in (config.organisations or {}).values():
        limit = organisation.limit
        yield organisation.weight
        yield from (limit.cpu, limit.memory, limit.accelerators)


def _to_organisations(
    documents: list[_Organisation] | None,
) -> dict[str, model.Organisation] | None:
    """Return the organisations, None if the deployment has none."""
    if documents is None:
        return None
    return {document.name: to_organisation(document) for document in documents}


def to_service(document: _Service) -> model.Service:
    """Return the service that an entry configures."""
    return model.Service(
        document.name,
        document.health_path,
        document.rejects_overload,
        document.standby,
    )


def to_organisation(document: _Organisation) -> model.Organisation:
    """Return the organisation that an entry configures."""
    limit = document.at_most or fields.Resources()
    return model.Organisation(
        name=document.name,
        weight=document.weight,
        limit=limit.demand(),
        key_digests=frozenset(
            key_digest(key) for key in document.api_keys if key
        ),
    )


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of an API key."""
    return hashlib.sha256(key.encode()).digest()


class _Report(fields.Document):
    clock_ms: float
    running: list[tuple[typing.Any, ...]] = []
    ended: list[tuple[typing.Any, ...]] = []
    born: int = msgspec.field(name='born', default=0)


def read_endpoint_report(body: bytes) -> model.EndpointReport:
    """Return an endpoint's reply to a poll.

    Raises RequestOutcomeUnknown if the reply is invalid: the endpoint may
    have renewed the leases.
    """
    try:
        report = msgspec.json.decode(body, type=_Report)
        return model.EndpointReport(
            born=report.born / settings.MS_PER_S,
            clock=report.clock_ms / settings.MS_PER_S,
            running=tuple(_to_running_run(row) for row in report.running),
            ended=tuple(_to_ended_run(row) for row in report.ended),
            ends_complete=len(report.ended) < MAX_LISTED_ENDS,
        )
    except (
        msgspec.MsgspecError,
        RecursionError,
        ValueError,
        TypeError,
        IndexError,
        OverflowError,
    ) as exc:
        raise exceptions.RequestOutcomeUnknown(
            f'the endpoint sent an invalid report: {exc}; poll it again'
        ) from exc


def _to_running_run(row: tuple[typing.Any, ...]) -> model.RunningRun:
    usage = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return model.RunningRun(
        _to_text(row[0]),
        _to_count(row[1]),
        _to_text(row[2]),
        _to_count(row[3] or 0),
        usage,
    )


def _to_ended_run(row: tuple[typing.Any, ...]) -> model.EndedRun:
    how = model.RunOutcome(row[3])
    return model.EndedRun(
        _to_count(row[0]),
        _to_text(row[1]),
        _to_count(row[2]),
        how,
        _to_text(row[4]),
    )


def _to_count(value: typing.Any) -> int:
    """Return a number that records can hold; raises ValueError."""
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f'{value!r} is no count')
    return count


def _to_text(value: typing.Any) -> str:
    """Return a text, '' for none; raises TypeError for anything else."""
    if value is not None and not isinstance(value, str):
        raise TypeError(f'expected a text, not {value!r}')
    return value or ''
