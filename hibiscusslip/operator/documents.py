"""Define the JSON documents of the operators' API."""

import typing

import msgspec

import hibiscusslip.configuration as configuration
from hibiscusslip.operator import service
import hibiscusslip.sheet as sheet

OutcomeFilter = typing.Literal['', 'queued', 'running']
Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class CancelDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request the cancellation of the jobs that match a selector.

    `at_most` is the number of jobs in the operator's preview.
    """

    at_most: Count
    team: str = ''
    kind: str = ''
    workload: str = ''
    outcome: OutcomeFilter = ''


class ConfigDocument(msgspec.Struct, frozen=True):
    """Represent the configuration in force; version 0 means none."""

    version: int
    made_from: int = 0
    author: str = ''
    published: float = 0.0
    record_id: str = ''
    sheet: str = ''


class ApplyResultDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent the outcome of an attempt to publish a configuration.

    `result` is accepted, lost_race, not_published, unsettled or faulty.
    """

    result: str
    version: int = 0
    detail: str = ''
    winner_author: str = ''
    winner_version: int = 0
    changes: list[str] = []
    faults: list[sheet.Fault] = []


class EventsDocument(msgspec.Struct, frozen=True):
    """List events, newest first."""

    events: list[service.Event]


class JobHistoryDocument(msgspec.Struct, frozen=True):
    """Represent a job's event history, oldest event first."""

    job_id: str
    lines: list[str]


class ConfigVersionsDocument(msgspec.Struct, frozen=True):
    """List the configuration version in force on each host."""

    hosts: list[service.HostConfigVersion]


def from_record(record: configuration.ConfigRecord | None) -> ConfigDocument:
    """Return the document of a configuration record, or of none."""
    if record is None:
        return ConfigDocument(0)
    return ConfigDocument(
        record.version,
        record.made_from,
        record.author,
        record.published,
        record.record_id,
        sheet.render(record.sheet).decode(),
    )


def from_publication(
    result: configuration.Publication,
) -> ApplyResultDocument:
    """Return the document of the outcome of a publication."""
    if isinstance(result, configuration.Accepted):
        return ApplyResultDocument('accepted', result.version)
    if isinstance(result, configuration.NotPublished):
        return ApplyResultDocument('not_published', detail=result.detail)
    if isinstance(result, configuration.OutcomeUnknown):
        return ApplyResultDocument('unsettled', detail=result.detail)
    winner = result.winner
    return ApplyResultDocument(
        'lost_race',
        detail=f'{winner.author} published version {winner.version} first;'
        ' get it, repeat your changes on it and apply again',
        winner_author=winner.author,
        winner_version=winner.version,
        changes=[str(change) for change in result.changes],
    )
