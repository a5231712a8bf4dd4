"""Let callers submit jobs, wait for them, cancel and explain them."""

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
    work.Outcome.SUCCEEDED: exceptions.Exit.DONE,
    work.Outcome.FAILED: exceptions.Exit.REFUSED,
    work.Outcome.NOT_RUN: exceptions.Exit.REFUSED,
    work.Outcome.UNKNOWN: exceptions.Exit.UNSETTLED,
}

app = cyclopts.App(
    name='hibiscusslip-submit',
    help='Submit jobs, wait for them, cancel and explain them.',
    help_epilogue=(
        'Exit codes: 0 succeeded; 1 failed, refused or not run; 2 wrong'
        ' usage; 4 not final yet; 5 not known whether it ran or was queued;'
        ' 6 no host reached. The outcome itself is printed.'
    ),
    result_action='return_value',
)

Options = _options.CallerOptions
DEFAULTS = Options()
Flag = typing.Annotated[bool, cyclopts.Parameter(negative='')]


class State(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what a host tells of a job."""

    job_id: str
    outcome: work.Outcome
    detail: str = ''
    answer: str = ''
    answer_base64: str = ''
    answer_size: int = 0
    answer_href: str = ''
    nearest: str = ''


class Story(msgspec.Struct, frozen=True):
    """Hold a job's history."""

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
        Seconds to wait for the outcome; without it the job is kept on the
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
        job.document(),
        wait,
    )
    return _tell_state(call, options)


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
        Seconds to wait; 0 asks only how it stands.
    """
    path = _client.path_of('v1', 'jobs', job)
    query = {'wait': f'{seconds:g}' if seconds else ''}
    call = _client.Call('GET', path, query, wait=seconds)
    return _tell_state(call, options)


@app.command
def cancel(job: str, *, options: Options = DEFAULTS) -> int:
    """Cancel a job."""
    call = _client.Call('DELETE', _client.path_of('v1', 'jobs', job))
    return _tell_state(call, options)


@app.command
def explain(job: str, *, options: Options = DEFAULTS) -> int:
    """Tell why a job waits, or where and when it ran."""

    async def work_(client: _client.Client) -> int:
        path = _client.path_of('v1', 'jobs', job, 'explain')
        story = await _client.fetch(client, _client.Call('GET', path), Story)
        _output.show(story, options.json, '\n'.join(story.lines))
        return exceptions.Exit.DONE

    return _client.run(options.client(), work_)


@app.command
def answer(
    job: str,
    *,
    output: pathlib.Path | None = None,
    options: Options = DEFAULTS,
) -> int:
    """Write the whole answer of a job that succeeded.

    Parameters
    ----------
    job
        Id of the job.
    output
        File to write to; by default the standard output.
    """

    async def work_(client: _client.Client) -> int:
        path = _client.path_of('v1', 'jobs', job, 'answer')
        reply = await client.call(_client.Call('GET', path))
        if not reply.good:
            raise _client.tell_problem(reply)
        if output is None:
            sys.stdout.buffer.write(reply.body)
            sys.stdout.flush()
        else:
            output.write_bytes(reply.body)
        return exceptions.Exit.DONE

    return _client.run(options.client(), work_)


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
    """Put open-loop load on entry hosts and show what callers see.

    Latency counts from the intended start of each request.

    Parameters
    ----------
    rate
        Jobs per second, over all entry hosts in turn.
    duration
        Seconds to send for.
    wait
        Seconds that each request waits for its outcome.
    connections
        Connections to each entry host.
    max_outstanding
        Requests that may be open at once; more are counted as skipped.
    seed
        Send at random times drawn with this seed; by default evenly.
    """
    if rate <= 0 or duration <= 0 or wait <= 0 or connections < 1:
        raise exceptions.CommandError(
            '--rate, --duration, --wait and --connections must be above 0',
            exceptions.Exit.USAGE,
        )
    plan = _load.Plan(
        _client.parse_places(options.entry),
        job.document(),
        rate,
        duration,
        wait,
        connections,
        max_outstanding,
        seed,
    )
    report = curio.run(_load.Load(plan).run)
    _output.show(report, options.json, _load.lay_out(report))
    return exceptions.Exit.DONE


def _tell_state(call: _client.Call, options: Options) -> int:
    async def work_(client: _client.Client) -> int:
        reply = await client.call(call)
        if not reply.good:
            problem = reply.read(_client.Problem)
            if options.json:
                print(reply.body.decode())
            elif problem.outcome:
                print(f'{problem.job_id or "the job"}: {problem.outcome}')
            raise _client.tell_problem(reply)
        state = reply.read(State)
        _output.show(state, options.json, _lay_out(state))
        return OUTCOME_CODES.get(state.outcome, exceptions.Exit.INCOMPLETE)

    return _client.run(options.client(), work_)


def _lay_out(state: State) -> str:
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
    """Run the command and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
