"""Define hibiscusslip-submit, with which callers manage their jobs."""

import pathlib
import sys
import typing

import curio
import cyclopts
import msgspec

from hibiscusslip.commands import _client
from hibiscusslip.commands import _jobs
from hibiscusslip.commands import _load
from hibiscusslip.commands import _options
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
from hibiscusslip.model import work

OUTCOME_CODES = {
    work.Outcome.SUCCEEDED: exceptions.ExitCode.DONE,
    work.Outcome.FAILED: exceptions.ExitCode.REFUSED,
    work.Outcome.NOT_RUN: exceptions.ExitCode.REFUSED,
    work.Outcome.UNKNOWN: exceptions.ExitCode.OUTCOME_UNKNOWN,
}

app = cyclopts.App(
    name='hibiscusslip-submit',
    help='Submit jobs, wait for them, cancel and explain them.',
    help_epilogue=(
        'Exit codes: 0 succeeded; 1 failed, refused or not run; 2 wrong'
        ' usage; 4 not final yet; 5 not known whether it ran or was queued;'
        ' 6 no host reached. The outcome is printed.'
    ),
    result_action='return_value',
)

Options = _options.CallerOptions
DEFAULTS = Options()
Flag = typing.Annotated[bool, cyclopts.Parameter(negative='')]


class JobState(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent the state of a job as reported by a host."""

    job_id: str
    outcome: work.Outcome
    detail: str = ''
    answer: str = ''
    answer_base64: str = ''
    answer_size: int = 0
    answer_href: str = ''
    nearest: str = ''


class JobHistory(msgspec.Struct, frozen=True):
    """Represent the event history of a job."""

    job_id: str
    outcome: str
    lines: list[str]


@app.command
def submit(
    *,
    job: _jobs.JobOptions,
    wait: float = 0.0,
    key: str = '',
    options: Options = DEFAULTS,
) -> int:
    """Submit a job, and wait for its outcome when asked to.

    Parameters
    ----------
    wait
        Seconds to wait for the outcome; without it the job is stored in the
        log and outlives this call.
    key
        Idempotency key: submitting again with the same key is safe.
    """
    headers = {'content-type': 'application/json'}
    if key:
        headers['idempotency-key'] = key
    call = _client.Call(
        'POST',
        '/v1/jobs',
        {'wait': f'{wait:g}' if wait else ''},
        headers,
        job.to_json(),
        wait,
    )
    return _show_state(call, options)


@app.command
def wait(
    job: str, *, seconds: float = 60.0, options: Options = DEFAULTS
) -> int:
    """Wait for a job's outcome.

    Parameters
    ----------
    job
        Id of the job.
    seconds
        Seconds to wait; 0 only shows the current state.
    """
    path = _client.build_path('v1', 'jobs', job)
    query = {'wait': f'{seconds:g}' if seconds else ''}
    call = _client.Call('GET', path, query, wait=seconds)
    return _show_state(call, options)


@app.command
def cancel(job: str, *, options: Options = DEFAULTS) -> int:
    """Cancel a job."""
    call = _client.Call('DELETE', _client.build_path('v1', 'jobs', job))
    return _show_state(call, options)


@app.command
def explain(job: str, *, options: Options = DEFAULTS) -> int:
    """Show why a job waits, or where and when it ran."""

    async def command(client: _client.Client) -> int:
        path = _client.build_path('v1', 'jobs', job, 'explain')
        history = await _client.fetch(
            client, _client.Call('GET', path), JobHistory
        )
        _output.show(history, options.json, '\n'.join(history.lines))
        return exceptions.ExitCode.DONE

    return _client.run(options.make_client(), command)


@app.command
def answer(
    job: str,
    *,
    output: pathlib.Path | None = None,
    options: Options = DEFAULTS,
) -> int:
    """Write the complete answer of a job that succeeded.

    Parameters
    ----------
    job
        Id of the job.
    output
        File to write to; by default the standard output.
    """

    async def command(client: _client.Client) -> int:
        path = _client.build_path('v1', 'jobs', job, 'answer')
        reply = await client.call(_client.Call('GET', path))
        if not reply.ok:
            raise _client.make_error(reply)
        if output is None:
            sys.stdout.buffer.write(reply.body)
            sys.stdout.flush()
        else:
            output.write_bytes(reply.body)
        return exceptions.ExitCode.DONE

    return _client.run(options.make_client(), command)


@app.command
def load(
    *,
    job: _jobs.JobOptions,
    rate: float = 100.0,
    duration: float = 10.0,
    wait: float = 30.0,
    connections: int = 64,
    max_outstanding: int = 10_000,
    seed: int | None = None,
    options: Options = DEFAULTS,
) -> int:
    """Generate open-loop load on entry hosts and show the latency.

    The latency of a request counts from the time planned for it.

    Parameters
    ----------
    rate
        Jobs per second, over all entry hosts in turn.
    duration
        Seconds during which requests are sent.
    wait
        Seconds that each request waits for its outcome.
    connections
        Connections to each entry host.
    max_outstanding
        Maximum number of open requests; further ones are counted as skipped.
    seed
        Send at random times drawn with this seed; by default evenly spaced.
    """
    if rate <= 0 or duration <= 0 or wait <= 0 or connections < 1:
        raise exceptions.CommandError(
            '--rate, --duration, --wait and --connections must be above 0',
            exceptions.ExitCode.USAGE,
        )
    plan = _load.Plan(
        _client.parse_entries(options.entry),
        job.to_json(),
        rate,
        duration,
        wait,
        connections,
        max_outstanding,
        seed,
    )
    report = curio.run(_load.LoadGenerator(plan).run)
    _output.show(report, options.json, _load.format_report(report))
    return exceptions.ExitCode.DONE


def _show_state(call: _client.Call, options: Options) -> int:
    async def command(client: _client.Client) -> int:
        reply = await client.call(call)
        if not reply.ok:
            problem = reply.decode(_client.Problem)
            if options.json:
                print(reply.body.decode())
            elif problem.outcome:
                print(f'{problem.job_id or "the job"}: {problem.outcome}')
            raise _client.make_error(reply)
        state = reply.decode(JobState)
        _output.show(state, options.json, _format_state(state))
        return OUTCOME_CODES.get(state.outcome, exceptions.ExitCode.INCOMPLETE)

    return _client.run(options.make_client(), command)


def _format_state(state: JobState) -> str:
    lines = [f'{state.job_id}: {state.outcome}']
    if state.detail:
        lines.append(state.detail)
    if state.answer:
        lines.append(state.answer)
    elif state.answer_size:
        lines.append(
            f'the answer has {state.answer_size} bytes; fetch it with'
            f' hibiscusslip-submit answer {state.job_id}'
        )
    return '\n'.join(lines)


def main() -> None:
    """Run the program and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
