"""Let operators see and steer the fleet."""

import pathlib
import sys
import typing

import curio
import cyclopts
import msgspec

from hibiscusslip.commands import _client
from hibiscusslip.commands import _drains
from hibiscusslip.commands import _options
from hibiscusslip.commands import _output
from hibiscusslip.commands import _sheets
from hibiscusslip.commands import _views
from hibiscusslip.commands import _why
from hibiscusslip.commands import exceptions
from hibiscusslip.operator import documents
from hibiscusslip.operator import service
from hibiscusslip.operator import views

CLEAR_SCREEN = '\x1b[2J\x1b[H'

app = cyclopts.App(
    name='hibiscusslip-ctl',
    help='See and steer the fleet: sheets, status, drains, cancellations.',
    help_epilogue=exceptions.EXIT_HELP,
    result_action='return_value',
)

Options = _options.OperatorOptions
DEFAULTS = Options()
Flag = typing.Annotated[bool, cyclopts.Parameter(negative='')]


@app.command
def check(sheet_file: pathlib.Path, *, options: Options = DEFAULTS) -> int:
    """Report every fault of a sheet with row, column and remedy.

    Calls no host.
    """
    content = _sheets.read(sheet_file, options.json)
    _sheets.show_summary(sheet_file, content, options.json)
    return exceptions.Exit.DONE


@app.command
def diff(sheet_file: pathlib.Path, *, options: Options = DEFAULTS) -> int:
    """Show what a sheet would change in the configuration in force."""
    content = _sheets.read(sheet_file, options.json)
    return _client.run(
        options.client(),
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
        Version that the sheet was made from; by default the one in force
        now. The sheet is refused when another one came after it.
    author
        Name to publish under; by default the name of the user.
    wait
        Seconds to wait until it is in force everywhere.
    after_gap
        Restart the sequence of versions when the log has lost records that
        no host has read.
    """
    _sheets.read(sheet_file, options.json)
    data = _options.read_file(sheet_file)
    chosen = _sheets.ApplyOptions(made_from, author, wait, after_gap)
    return _client.run(
        options.client(),
        lambda client: _sheets.apply(client, data, chosen, options.json),
    )


@app.command
def status(*, options: Options = DEFAULTS) -> int:
    """Show hosts, shards, queues, shares and the configuration."""
    return _client.run(
        options.client(), lambda client: _show_status(client, options.json)
    )


@app.command
def top(
    *,
    interval: float = 2.0,
    count: int = 0,
    options: Options = DEFAULTS,
) -> int:
    """Show the status again and again.

    Parameters
    ----------
    interval
        Seconds between two looks.
    count
        Number of looks; 0 goes on until it is interrupted.
    """

    async def work(client: _client.Client) -> int:
        looks = 0
        while True:
            if sys.stdout.isatty() and not options.json:
                print(CLEAR_SCREEN, end='')
            code = await _show_status(client, options.json)
            looks += 1
            if looks == count:
                return code
            await curio.sleep(interval)

    return _client.run(options.client(), work)


@app.command
def history(*, limit: int = 50, options: Options = DEFAULTS) -> int:
    """Show what the system repaired by itself, and why.

    Parameters
    ----------
    limit
        Number of events, the newest first.
    """

    async def work(client: _client.Client) -> int:
        call = _client.Call('GET', '/v1/history', {'limit': str(limit)})
        found = await _client.fetch(client, call, documents.EventsDocument)
        _output.show(found, options.json, _views.events(found.events))
        return exceptions.Exit.DONE

    return _client.run(options.client(), work)


@app.command
def explain(job: str, *, options: Options = DEFAULTS) -> int:
    """Show a job's whole history with reasons."""

    async def work(client: _client.Client) -> int:
        path = _client.path_of('v1', 'jobs', job, 'explain')
        call = _client.Call('GET', path)
        found = await _client.fetch(client, call, documents.StoryDocument)
        _output.show(found, options.json, '\n'.join(found.lines))
        return exceptions.Exit.DONE

    return _client.run(options.client(), work)


@app.command
def drain(
    name: str,
    *,
    endpoint: Flag = False,
    wait: float = 120.0,
    options: Options = DEFAULTS,
) -> int:
    """Empty an entry host, or an endpoint, so that it can be stopped.

    Parameters
    ----------
    name
        Name of the entry host.
    endpoint
        The name is that of an endpoint.
    wait
        Seconds to wait until it is empty, and a host has stopped.
    """
    flow = _drains.drain_endpoint if endpoint else _drains.drain_host
    return _client.run(
        options.client(),
        lambda client: flow(client, name, wait, options.json),
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

    Jobs that come to match after the preview are not cancelled unseen: the
    call is refused when more match.

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

    async def work(client: _client.Client) -> int:
        call = _client.Call('GET', '/v1/jobs', selector)
        found = await _client.fetch(client, call, service.Selection)
        _output.show(found, options.json, _views.selection(found))
        if not yes or not found.count:
            return _complete(found.unreachable)
        body = msgspec.json.encode(selector | {'at_most': found.count})
        call = _client.Call('POST', '/v1/cancellations', body=body)
        done = await _client.fetch(client, call, service.Cancellation)
        _output.show(done, options.json, f'{done.count} jobs cancelled')
        return _complete(done.unreachable)

    return _client.run(options.client(), work)


@app.command
def why(job: str, *logs: pathlib.Path, json: Flag = False) -> int:
    """Tell a job's story from the logs of hosts; calls no host.

    Parameters
    ----------
    job
        Name of the job, as its caller chose it.
    logs
        Log files of as many hosts as there are, in any order.
    json
        Print one JSON document.
    """
    return _why.show(_why.read(job, list(logs)), json)


async def _show_status(client: _client.Client, as_json: bool) -> int:
    call = _client.Call('GET', '/v1/status')
    found = await _client.fetch(client, call, views.FleetStatus)
    _output.show(found, as_json, _views.status(found))
    return _complete(found.unreachable)


def _complete(unreachable: list[str]) -> int:
    if unreachable:
        return exceptions.Exit.INCOMPLETE
    return exceptions.Exit.DONE


def main() -> None:
    """Run the command and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
