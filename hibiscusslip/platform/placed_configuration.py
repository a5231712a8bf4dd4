"""Read the operator's configuration along with the places of its parts."""

import collections.abc
import math
import types
import typing

import msgspec

from hibiscusslip import config_check
from hibiscusslip.platform import documents
from hibiscusslip.platform import queue_documents
from hibiscusslip.platform import settings

DRAFT_FIELDS = {
    'version': 'Version',
    'queues': 'Routes',
    'services': 'Services',
    'organisations': 'Tenants',
    'max_body_bytes': 'Limits.MaxBodyBytes',
}
QUEUE_FIELDS = {
    'name': 'Name',
    'host': 'Host',
    'prefix': 'PathPrefix',
    'service': 'Service',
    'target_latency': 'TargetLatencyMs',
    'timeout': 'TimeoutMs',
    'priority': 'Priority',
    'max_attempts': 'MaxAttempts',
    'stretch': 'Stretch',
    'advice': 'Advice',
    'decision': 'Advice.DecisionMs',
    'per_endpoint': 'Advice.PeriodMs',
    'valid': 'Advice.ValidMs',
    'public': 'Public',
}
SERVICE_FIELDS = {
    'name': 'Name',
    'health_path': 'HealthPath',
    'rejects_overload': 'RejectsOverload',
    'standby': 'Standby',
}
ORGANISATION_FIELDS = {
    'name': 'Name',
    'key_digests': 'ApiKeys',
    'weight': 'Weight',
    'cpu': 'AtMost.Cpu',
    'memory': 'AtMost.MemMb',
    'accelerators': 'AtMost.Gpu',
}

Findings = collections.abc.Iterator[config_check.Finding]
Members = dict[str, msgspec.Raw]


class _TimeoutRoute(msgspec.Struct, rename='pascal'):
    """Represent the field of a queue that hosts don't read.

    The names of its other fields may be any bytes, as they may for hosts.
    """

    timeout_ms: msgspec.Raw = msgspec.Raw(b'null')


class _Timeouts(msgspec.Struct, rename='pascal'):
    routes: list[_TimeoutRoute]


def read(value: bytes) -> config_check.Draft | list[config_check.Finding]:
    """Return a configuration, or all that a host would refuse in it."""
    configuration = documents.decode_configuration(value)
    if configuration is None:
        return list(_find_refusals(value, documents.ConfigDocument, ''))
    document = msgspec.json.decode(value, type=documents.ConfigDocument)
    timeouts = msgspec.json.decode(value, type=_Timeouts).routes
    return config_check.Draft(
        config_check.Place('', DRAFT_FIELDS),
        configuration,
        tuple(
            config_check.QueueEntry(
                _place('queues', number, QUEUE_FIELDS),
                queue_documents.to_queue(route),
                _read_timeout(timeouts[number].timeout_ms),
            )
            for number, route in enumerate(document.routes)
        ),
        tuple(
            config_check.ServiceEntry(
                _place('services', number, SERVICE_FIELDS),
                documents.to_service(service),
            )
            for number, service in enumerate(document.services)
        ),
        tuple(_read_organisations(document)),
    )


def _place(
    section: str, number: int, fields: dict[str, str]
) -> config_check.Place:
    return config_check.Place(f'{DRAFT_FIELDS[section]}[{number}]', fields)


def _read_timeout(raw: msgspec.Raw) -> float | None:
    """Return a time-out in seconds, NaN if it isn't a number."""
    try:
        timeout_ms = msgspec.json.decode(raw, type=float | None)
    except (msgspec.MsgspecError, RecursionError):
        return math.nan
    return None if timeout_ms is None else timeout_ms / settings.MS_PER_S


def _read_organisations(
    document: documents.ConfigDocument,
) -> collections.abc.Iterator[config_check.OrganisationEntry]:
    for number, entry in enumerate(document.organisations or []):
        place = _place('organisations', number, ORGANISATION_FIELDS)
        keys = tuple(
            config_check.KeyEntry(
                f'{place.of("key_digests")}[{index}]',
                documents.key_digest(key),
            )
            for index, key in enumerate(entry.api_keys)
            if key
        )
        yield config_check.OrganisationEntry(
            place, documents.to_organisation(entry), keys
        )


def _find_refusals(
    raw: bytes | msgspec.Raw, kind: typing.Any, path: str
) -> Findings:
    """Find the innermost parts that can't be decoded as `kind`."""
    try:
        msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as exc:
        problem, _, inner = str(exc).partition(' - at `$')
    except RecursionError:
        problem, inner = 'the values are nested too deeply', ''
    else:
        return
    parts = list(_find_refusals_of_parts(raw, _strip_none(kind), path))
    yield from parts or [
        config_check.Finding(
            config_check.Severity.ERROR,
            _join(path, inner.rstrip('`')) or 'document',
            problem,
            'mend it, as hosts refuse the whole document',
        )
    ]


def _join(path: str, inner: str) -> str:
    """Return the place of a part of a place; `inner` may start with a dot."""
    return f'{path}{inner}'.removeprefix('.')


def _strip_none(kind: typing.Any) -> typing.Any:
    """Return the alternative of an optional type that isn't None."""
    if isinstance(kind, types.UnionType):
        return next(
            part
            for part in typing.get_args(kind)
            if part is not types.NoneType
        )
    return kind


def _find_refusals_of_parts(
    raw: bytes | msgspec.Raw, kind: typing.Any, path: str
) -> Findings:
    try:
        if typing.get_origin(kind) is list:
            yield from _find_refusals_of_items(raw, kind, path)
        elif isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            yield from _find_refusals_of_fields(raw, kind, path)
    except (msgspec.MsgspecError, RecursionError):
        # What contains the parts is refused itself.
        return


def _find_refusals_of_items(
    raw: bytes | msgspec.Raw, kind: typing.Any, path: str
) -> Findings:
    (item_kind,) = typing.get_args(kind)
    items = msgspec.json.decode(raw, type=list[msgspec.Raw])
    for number, item in enumerate(items):
        yield from _find_refusals(item, item_kind, f'{path}[{number}]')


def _find_refusals_of_fields(
    raw: bytes | msgspec.Raw, kind: type[msgspec.Struct], path: str
) -> Findings:
    members = msgspec.json.decode(raw, type=Members)
    for field in msgspec.structs.fields(kind):
        name = field.encode_name
        place = _join(path, f'.{name}')
        if name in members:
            yield from _find_refusals(members[name], field.type, place)
        elif field.required:
            yield config_check.Finding(
                config_check.Severity.ERROR,
                place,
                'the field is missing',
                'add it, as hosts refuse the whole document',
            )
