"""Check, compare and apply sheets."""

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

POLL_S = 0.5
RECORD_ID_BYTES = 8
CONFIG_PATH = '/v1/configuration'
CSV_HEADERS = {'content-type': 'text/csv'}


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReport:
    """Tell the faults of a sheet."""

    file: str
    faults: list[sheet.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class DiffReport:
    """Tell what a sheet would change."""

    version: int
    changes: list[sheet.Change]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyReport:
    """Tell what became of an applied sheet, and where it is in force."""

    applied: documents.AppliedDocument
    in_force: int
    hosts: int
    missing: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Tell how a sheet is applied; `wait` is in seconds.

    `made_from` None takes the version in force now.
    """

    made_from: int | None
    author: str
    wait: float
    after_gap: bool


def read(path: pathlib.Path, as_json: bool) -> sheet.Sheet:
    """Return the sheet in a file; prints every fault and raises."""
    found = sheet.parse(_options.read_file(path))
    if isinstance(found, sheet.Sheet):
        return found
    report = CheckReport(str(path), found)
    _output.show(report, as_json, '\n'.join(str(fault) for fault in found))
    raise exceptions.CommandError(
        f'{path}: {len(found)} faults, nothing was changed'
    )


def show_summary(
    path: pathlib.Path, found: sheet.Sheet, as_json: bool
) -> None:
    """Print that a sheet has no fault."""
    text = (
        f'{path}: no fault; {len(found.shares)} shares,'
        f' {len(found.quotas)} quotas, {len(found.workloads)} workloads'
    )
    _output.show(CheckReport(str(path), []), as_json, text)


async def fetch(client: _client.Client) -> documents.ConfigDocument:
    """Return the configuration in force on the host that is called."""
    document: documents.ConfigDocument = await _client.fetch(
        client, _client.Call('GET', CONFIG_PATH), documents.ConfigDocument
    )
    return document


def compare(
    current: documents.ConfigDocument, content: sheet.Sheet
) -> list[sheet.Change]:
    """Return what changes from the configuration in force to a sheet."""
    if not current.version:
        return sheet.diff(None, content)
    old = sheet.parse(current.sheet.encode())
    if isinstance(old, list):
        raise exceptions.CommandError(
            'the sheet in force can not be read by this program; install the'
            ' version that the entry hosts run'
        )
    return sheet.diff(old, content)


async def diff(
    client: _client.Client, content: sheet.Sheet, as_json: bool
) -> int:
    """Print what a sheet would change."""
    current = await fetch(client)
    changes = compare(current, content)
    lines = [_output.cut(str(change)) for change in changes]
    lines.append(f'{len(changes)} changes against version {current.version}')
    _output.show(
        DiffReport(current.version, changes), as_json, '\n'.join(lines)
    )
    return exceptions.Exit.DONE


async def apply(
    client: _client.Client,
    data: bytes,
    options: ApplyOptions,
    as_json: bool,
) -> int:
    """Publish a sheet and wait until it is in force everywhere."""
    deadline = time.monotonic() + options.wait
    made_from = options.made_from
    if made_from is None:
        made_from = (await fetch(client)).version
    record_id = secrets.token_hex(RECORD_ID_BYTES)
    applied = await _publish(client, data, options, made_from, record_id)
    if applied.result != 'accepted':
        _output.show(ApplyReport(applied, 0, 0, []), as_json, _tell(applied))
        return _exit_of(applied.result)
    _note(f'accepted as version {applied.version}', as_json)
    report = await _wait_in_force(client, applied, deadline, as_json)
    text = f'in force at {report.in_force} of {report.hosts} hosts'
    if report.missing:
        text += f'\nnot known to be in force at: {", ".join(report.missing)}'
    _output.show(report, as_json, text)
    if report.missing:
        return exceptions.Exit.INCOMPLETE
    return exceptions.Exit.DONE


async def _publish(
    client: _client.Client,
    data: bytes,
    options: ApplyOptions,
    made_from: int,
    record_id: str,
) -> documents.AppliedDocument:
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
        if exc.code is not exceptions.Exit.UNSETTLED:
            raise
        # The same record id makes it safe to ask again.
        reply = await client.call(call)
    if reply.status not in (200, 409, 422, 503, 504):
        raise _client.tell_problem(reply)
    document: documents.AppliedDocument = reply.read(documents.AppliedDocument)
    return document


async def _wait_in_force(
    client: _client.Client,
    applied: documents.AppliedDocument,
    deadline: float,
    as_json: bool,
) -> ApplyReport:
    shown = -1
    while True:
        call = _client.Call('GET', f'{CONFIG_PATH}/in-force')
        found = await _client.fetch(client, call, documents.InForceDocument)
        hosts = found.hosts
        missing = [
            host.host for host in hosts if host.version < applied.version
        ]
        done = len(hosts) - len(missing)
        report = ApplyReport(applied, done, len(hosts), missing)
        if not missing or time.monotonic() >= deadline:
            return report
        if done != shown:
            shown = done
            _note(f'in force at {done} of {len(hosts)} hosts', as_json)
        await curio.sleep(POLL_S)


def _note(text: str, as_json: bool) -> None:
    print(text, file=sys.stderr if as_json else sys.stdout, flush=True)


def _tell(applied: documents.AppliedDocument) -> str:
    lines = [f'{applied.result}: {applied.detail}']
    if applied.changes:
        lines.append('your sheet differs from the one in force by:')
        lines += [f'  {change}' for change in applied.changes]
    lines += [str(fault) for fault in applied.faults]
    return '\n'.join(lines)


def _exit_of(result: str) -> exceptions.Exit:
    if result == 'lost_race':
        return exceptions.Exit.LOST_RACE
    if result == 'unsettled':
        return exceptions.Exit.UNSETTLED
    return exceptions.Exit.REFUSED
