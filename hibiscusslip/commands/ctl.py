"""Define hibiscusslip-ctl, with which operators control the fleet."""

import pathlib
import sys
import typing

import curio
import cyclopts
import msgspec

from hibiscusslip.commands import _client
from hibiscusslip.commands import _configurations
from hibiscusslip.commands import _drains
from hibiscusslip.commands import _options
from hibiscusslip.commands import _output
from hibiscusslip.commands import _sheets
from hibiscusslip.commands import _timeline
from hibiscusslip.commands import _views
from hibiscusslip.commands import exceptions
from hibiscusslip.operator import documents
from hibiscusslip.operator import service
from hibiscusslip.operator import views

CLEAR_SCREEN = '\x1b[2J\x1b[H'

app = cyclopts.App(
    name='hibiscusslip-ctl',
    help='Show and control the fleet: sheets, status, drains, cancellations.',
    help_epilogue=exceptions.EXIT_HELP,
    result_action='return_value',
)
config = cyclopts.App(
    name='config', help="Check the platform's configuration document."
)
app.command(config)

Options = _options.OperatorOptions
DEFAULTS = Options()
Flag = typing.Annotated[bool, cyclopts.Parameter(negative='')]


@app.command
def check(sheet_file: pathlib.Path, *, options: Options = DEFAULTS) -> int:
    """Report all faults of a sheet with row, column and remedy.

    Contacts no host.
    """
    content = _sheets.read(sheet_file, options.json)
    _sheets.show_summary(sheet_file, content, options.json)
    return exceptions.ExitCode.DONE


@app.command
def diff(sheet_file: pathlib.Path, *, options: Options = DEFAULTS) -> int:
    """Show what a sheet would change in the configuration in force."""
    content = _sheets.read(sheet_file, options.json)
    return _client.run(
        options.make_client(),
        lambda client: _sheets.diff(client, content, options.json),
    )


@app.command
def apply(
    sheet_file: pathlib.Path,
    *,
    made_from: int | None = None,
    author: str = '',
    wait: float = 60.0,
    after_gap: Flag = False,
    options: Options = DEFAULTS,
) -> int:
    """Publish a sheet and show where it is in force.

    Parameters
    ----------
    sheet_file
        The sheet, as CSV.
    made_from
        Version that the sheet was made from; by default the one in force.
        The sheet is refused if a newer version was published since.
    author
        Name to publish under; by default the name of the user.
    wait
        Seconds to wait until it is in force everywhere.
    after_gap
        Restart the sequence of versions if the log has lost records that no
        host has read.
    """
    _sheets.read(sheet_file, options.json)
    data = _options.read_file(sheet_file)
    apply_options = _sheets.ApplyOptions(made_from, author, wait, after_gap)
    return _client.run(
        options.make_client(),
        lambda client: _sheets.apply(
            client, data, apply_options, options.json
        ),
    )


@app.command
def status(*, options: Options = DEFAULTS) -> int:
    """Show hosts, shards, queues, shares and the configuration."""
    return _client.run(
        options.make_client(),
        lambda client: _show_status(client, options.json),
    )


@app.command
def top(
    *,
    interval: float = 2.0,
    count: int = 0,
    options: Options = DEFAULTS,
) -> int:
    """Show the status repeatedly.

    Parameters
    ----------
    interval
        Seconds between two updates.
    count
        Number of updates; 0 repeats until interrupted.
    """

    async def command(client: _client.Client) -> int:
        updates = 0
        while True:
            if sys.stdout.isatty() and not options.json:
                print(CLEAR_SCREEN, end='')
            code = await _show_status(client, options.json)
            updates += 1
            if updates == count:
                return code
            await curio.sleep(interval)

    return _client.run(options.make_client(), command)


@app.command
def history(*, limit: int = 50, options: Options = DEFAULTS) -> int:
    """Show what the system recovered from by itself, and why.

    Parameters
    ----------
    limit
        Maximum number of events, the newest first.
    """

    async def command(client: _client.Client) -> int:
        call = _client.Call('GET', '/v1/history', {'limit': str(limit)})
        document = await _client.fetch(client, call, documents.EventsDocument)
        _output.show(
            document, options.json, _views.format_events(document.events)
        )
        return exceptions.ExitCode.DONE

    return _client.run(options.make_client(), command)


@app.command
def explain(job: str, *, options: Options = DEFAULTS) -> int:
    """Show a job's complete event history with reasons."""

    async def command(client: _client.Client) -> int:
        path = _client.build_path('v1', 'jobs', job, 'explain')
        call = _client.Call('GET', path)
        document = await _client.fetch(
            client, call, documents.JobHistoryDocument
        )
        _output.show(document, options.json, '\n'.join(document.lines))
        return exceptions.ExitCode.DONE

    return _client.run(options.make_client(), command)


@app.command
def drain(
    name: str,
    *,
    endpoint: Flag = False,
    wait: float = 120.0,
    options: Options = DEFAULTS,
) -> int:
    """Drain an entry host or an endpoint so that it can be stopped.

    Parameters
    ----------
    name
        Name of the entry host, or of the endpoint.
    endpoint
        Drain an endpoint instead of an entry host.
    wait
        Seconds to wait until the endpoint is drained or the host has stopped.
    """
    drain_target = _drains.drain_endpoint if endpoint else _drains.drain_host
    return _client.run(
        options.make_client(),
        lambda client: drain_target(client, name, wait, options.json),
    )


@app.command
def cancel(
    *,
    team: str = '',
    kind: str = '',
    workload: str = '',
    outcome: str = '',
    yes: Flag = False,
    options: Options = DEFAULTS,
) -> int:
    """Show which jobs match, and cancel them with --yes.

    The call is refused if more jobs match than in the preview, so that no
    job is cancelled unseen.

    Parameters
    ----------
    team
        Only jobs of this team.
    kind
        Only jobs of this kind.
    workload
        Only jobs of this workload.
    outcome
        Only jobs that are `queued` or `running`.
    yes
        Cancel the jobs that were shown.
    """
    selector = {
        'team': team,
        'kind': kind,
        'workload': workload,
        'outcome': outcome,
    }

    async def command(client: _client.Client) -> int:
        call = _client.Call('GET', '/v1/jobs', selector)
        selection = await _client.fetch(client, call, service.Selection)
        _output.show(
            selection, options.json, _views.format_selection(selection)
        )
        if not yes or not selection.count:
            return _exit_code(selection.unreachable)
        body = msgspec.json.encode(selector | {'at_most': selection.count})
        call = _client.Call('POST', '/v1/cancellations', body=body)
        cancelled = await _client.fetch(client, call, service.Cancellation)
        _output.show(
            cancelled, options.json, f'{cancelled.count} jobs cancelled'
        )
        return _exit_code(cancelled.unreachable)

    return _client.run(options.make_client(), command)


@app.command
def why(job: str, *logs: pathlib.Path, json: Flag = False) -> int:
    """Show the timeline of a job from log files; contacts no host.

    Parameters
    ----------
    job
        Id of the job, as its caller chose it.
    logs
        Log files of as many hosts as possible, in any order.
    json
        Print one JSON document.
    """
    return _timeline.show_timeline(
        _timeline.read_timeline(job, list(logs)), json
    )


@config.command(name='check')
def check_config(
    file: pathlib.Path,
    *,
    in_force: pathlib.Path | None = None,
    strict: Flag = False,
    json: Flag = False,
) -> int:
    """Report what is wrong with a configuration; contacts no host.

    Parameters
    ----------
    file
        The configuration document, as JSON.
    in_force
        The document in force, to show what would change.
    strict
        Exit with code 1 for warnings, too.
    json
        Print one JSON document.
    """
    return _configurations.check(file, in_force, strict, json)


async def _show_status(client: _client.Client, as_json: bool) -> int:
    call = _client.Call('GET', '/v1/status')
    fleet = await _client.fetch(client, call, views.FleetStatus)
    _output.show(fleet, as_json, _views.format_status(fleet))
    return _exit_code(fleet.unreachable)


def _exit_code(unreachable: list[str]) -> int:
    if unreachable:
        return exceptions.ExitCode.INCOMPLETE
    return exceptions.ExitCode.DONE


def main() -> None:
    """Run the program and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
