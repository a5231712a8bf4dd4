"""Validate, compare and publish sheets."""

import dataclasses
import getpass
import pathlib
import secrets
import sys
import time

import curio

from hibiscusslip.commands import _client
from hibiscusslip.commands import _options
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
from hibiscusslip.operator import documents
import hibiscusslip.sheet as sheet

POLL_INTERVAL_S = 0.5
RECORD_ID_BYTES = 8
CONFIG_PATH = '/v1/configuration'
CSV_HEADERS = {'content-type': 'text/csv'}


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReport:
    """Report the faults of a sheet."""

    file: str
    faults: list[sheet.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class DiffReport:
    """Report what a sheet would change."""

    version: int
    changes: list[sheet.Change]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyReport:
    """Report the outcome of a publication, and where it is in force."""

    applied: documents.ApplyResultDocument
    in_force: int
    hosts: int
    missing: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Define how a sheet is published; `wait` is in seconds.

    `made_from` None stands for the version in force.
    """

    made_from: int | None
    author: str
    wait: float
    after_gap: bool


def read(path: pathlib.Path, as_json: bool) -> sheet.Sheet:
    """Return the sheet in a file.

    Prints all faults and raises CommandError if there are any.
    """
    parsed = sheet.parse(_options.read_file(path))
    if isinstance(parsed, sheet.Sheet):
        return parsed
    report = CheckReport(str(path), parsed)
    _output.show(report, as_json, '\n'.join(str(fault) for fault in parsed))
    raise exceptions.CommandError(
        f'{path}: {len(parsed)} faults, nothing was changed'
    )


def show_summary(
    path: pathlib.Path, content: sheet.Sheet, as_json: bool
) -> None:
    """Print the numbers of rows of a sheet without faults."""
    text = (
        f'{path}: no fault; {len(content.shares)} shares,'
        f' {len(content.quotas)} quotas, {len(content.workloads)} workloads'
    )
    _output.show(CheckReport(str(path), []), as_json, text)


async def fetch_current(client: _client.Client) -> documents.ConfigDocument:
    """Return the configuration that is in force on the called host."""
    document: documents.ConfigDocument = await _client.fetch(
        client, _client.Call('GET', CONFIG_PATH), documents.ConfigDocument
    )
    return document


def compare(
    current: documents.ConfigDocument, content: sheet.Sheet
) -> list[sheet.Change]:
    """Return the changes from the configuration in force to a sheet."""
    if not current.version:
        return sheet.diff(None, content)
    old = sheet.parse(current.sheet.encode())
    if isinstance(old, list):
        raise exceptions.CommandError(
            'this program can not parse the sheet in force; install the'
            ' version that the entry hosts run'
        )
    return sheet.diff(old, content)


async def diff(
    client: _client.Client, content: sheet.Sheet, as_json: bool
) -> int:
    """Print what a sheet would change; return the exit code."""
    current = await fetch_current(client)
    changes = compare(current, content)
    lines = [_output.truncate(str(change)) for change in changes]
    lines.append(f'{len(changes)} changes against version {current.version}')
    _output.show(
        DiffReport(current.version, changes), as_json, '\n'.join(lines)
    )
    return exceptions.ExitCode.DONE


async def apply(
    client: _client.Client,
    data: bytes,
    options: ApplyOptions,
    as_json: bool,
) -> int:
    """Publish a sheet and wait until it is in force everywhere.

    Return the exit code.
    """
    deadline = time.monotonic() + options.wait
    made_from = options.made_from
    if made_from is None:
        made_from = (await fetch_current(client)).version
    record_id = secrets.token_hex(RECORD_ID_BYTES)
    applied = await _publish(client, data, options, made_from, record_id)
    if applied.result != 'accepted':
        _output.show(
            ApplyReport(applied, 0, 0, []), as_json, _format_rejection(applied)
        )
        return _exit_code_for(applied.result)
    _print_progress(f'accepted as version {applied.version}', as_json)
    report = await _wait_until_in_force(client, applied, deadline, as_json)
    text = f'in force at {report.in_force} of {report.hosts} hosts'
    if report.missing:
        text += (
            f'\nnot confirmed to be in force at: {", ".join(report.missing)}'
        )
    _output.show(report, as_json, text)
    if report.missing:
        return exceptions.ExitCode.INCOMPLETE
    return exceptions.ExitCode.DONE


async def _publish(
    client: _client.Client,
    data: bytes,
    options: ApplyOptions,
    made_from: int,
    record_id: str,
) -> documents.ApplyResultDocument:
    query = {
        'made_from': str(made_from),
        'author': options.author or getpass.getuser(),
        'record_id': record_id,
        'after_gap': 'yes' if options.after_gap else '',
    }
    call = _client.Call(
        'POST', CONFIG_PATH, query, CSV_HEADERS, data, wait=options.wait
    )
    try:
        reply = await client.call(call)
    except exceptions.CommandError as exc:
        if exc.code is not exceptions.ExitCode.OUTCOME_UNKNOWN:
            raise
        # A retry is idempotent, as it has the same record id.
        reply = await client.call(call)
    if reply.status not in (200, 409, 422, 503, 504):
        raise _client.make_error(reply)
    document: documents.ApplyResultDocument = reply.decode(
        documents.ApplyResultDocument
    )
    return document


async def _wait_until_in_force(
    client: _client.Client,
    applied: documents.ApplyResultDocument,
    deadline: float,
    as_json: bool,
) -> ApplyReport:
    last_count = -1
    while True:
        call = _client.Call('GET', f'{CONFIG_PATH}/in-force')
        document = await _client.fetch(
            client, call, documents.ConfigVersionsDocument
        )
        hosts = document.hosts
        missing = [
            host.host for host in hosts if host.version < applied.version
        ]
        in_force = len(hosts) - len(missing)
        report = ApplyReport(applied, in_force, len(hosts), missing)
        if not missing or time.monotonic() >= deadline:
            return report
        if in_force != last_count:
            last_count = in_force
            _print_progress(
                f'in force at {in_force} of {len(hosts)} hosts', as_json
            )
        await curio.sleep(POLL_INTERVAL_S)


def _print_progress(text: str, as_json: bool) -> None:
    print(text, file=sys.stderr if as_json else sys.stdout, flush=True)


def _format_rejection(applied: documents.ApplyResultDocument) -> str:
    lines = [f'{applied.result}: {applied.detail}']
    if applied.changes:
        lines.append('your sheet differs from the one in force by:')
        lines += [f'  {change}' for change in applied.changes]
    lines += [str(fault) for fault in applied.faults]
    return '\n'.join(lines)


def _exit_code_for(result: str) -> exceptions.ExitCode:
    if result == 'lost_race':
        return exceptions.ExitCode.LOST_RACE
    if result == 'unsettled':
        return exceptions.ExitCode.OUTCOME_UNKNOWN
    return exceptions.ExitCode.REFUSED
