"""Check the callers' API by calling its handler."""

import json
import pathlib

import curio
import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscusslip.caller import _documents
from hibiscusslip.caller import exceptions
from hibiscusslip.caller import handler
from hibiscusslip.caller import service
from hibiscusslip.http import messages
from hibiscusslip.model import work
from hibiscusslip.rest import rates
from tests.caller import fakes

JOB = {'team': 'red', 'kind': 'web'}
NOW = 1000.0


@pytest.fixture
def jobs():
    """Return a fake job service."""
    return fakes.FakeJobs()


def call(jobs, method, path, body=b'', **options):
    """Send one request to a fresh handler."""
    return curio.run(send, make_handler(jobs), method, path, body, options)


def make_handler(jobs, **limits):
    """Return a handler whose clocks return a fixed time."""
    return handler.CallerHandler(
        jobs,
        handler.SubmissionLimits(max_jobs=3, max_tasks=5, max_wait=9.0),
        clock=lambda: 0.0,
        unix_clock=lambda: NOW,
        **limits,
    )


async def send(api, method, path, body=b'', options=None):
    """Return status, headers and document of a response."""
    options = options or {}
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    req = messages.Request(
        method,
        path,
        options.get('query', {}),
        options.get('headers', {}),
        body,
        '10.0.0.1:999',
    )
    response = await api.handle(req)
    data = response.body
    if not isinstance(data, bytes):
        data = b''.join([chunk async for chunk in data])
    is_binary = response.headers['content-type'] == handler.OCTET_STREAM
    return (
        response.status,
        response.headers,
        data if is_binary else json.loads(data),
    )


def test_submitted_document_becomes_the_job_spec(jobs):
    body = JOB | {
        'form': 'gang',
        'urgency': 'urgent',
        'tasks': 3,
        'cores': 1.5,
        'memory_gb': 0.5,
        'repeatable': False,
        'deadline': NOW + 5,
        'payload': 'x',
    }
    status, headers, document = call(jobs, 'POST', '/v1/jobs', body)
    (spec,) = jobs.specs
    assert status == 202
    assert headers['location'] == f'/v1/jobs/{spec.job_id}'
    assert document == {
        'job_id': spec.job_id,
        'outcome': 'queued',
        'detail': 'because',
    }
    assert (spec.form, spec.urgency) == (work.Form.GANG, work.Urgency.URGENT)
    assert (spec.demand.cpu_milli, spec.demand.memory_mb) == (1500, 512)
    assert (spec.durable, spec.repeatable) == (True, False)
    assert (spec.deadline, spec.payload) == (NOW + 5, b'x')


def test_waiting_caller_gets_the_final_state(jobs):
    jobs.new_job_id = lambda team, key: 'j1'
    jobs.states['j1'] = service.JobState(
        'j1', work.Outcome.SUCCEEDED, answer=b'\xff'
    )
    status, _, document = call(
        jobs, 'POST', '/v1/jobs', JOB, query={'wait': '4'}
    )
    assert jobs.calls == [('wait', 'j1', 4.0)]
    assert not jobs.specs[0].durable
    assert (status, document['answer_base64']) == (200, '/w==')


def test_queued_job_is_returned_if_the_wait_fails(jobs):
    jobs.wait_error = exceptions.Unavailable('partitioned; try later')
    status, _, document = call(
        jobs, 'POST', '/v1/jobs', JOB, query={'wait': '4'}
    )
    assert (status, document['outcome']) == (202, 'queued')


def test_same_key_and_team_give_the_same_id(jobs):
    key = {'idempotency-key': 'k1'}
    for team in ('red', 'red', 'blue'):
        call(jobs, 'POST', '/v1/jobs', JOB | {'team': team}, headers=key)
    call(jobs, 'POST', '/v1/jobs', [JOB, JOB], headers=key)
    ids = [spec.job_id for spec in jobs.specs]
    assert ids[0] == ids[1]
    assert len(set(ids)) == 4
    assert [spec.key for spec in jobs.specs[3:]] == ['k1/0', 'k1/1']


def test_list_returns_an_outcome_for_each_job(jobs):
    jobs.error = exceptions.Unavailable('the log is down', 2.0)
    jobs.fail_from = 1
    status, _, document = call(jobs, 'POST', '/v1/jobs', [JOB, JOB])
    assert status == 200
    outcomes = [item['outcome'] for item in document['jobs']]
    assert outcomes == ['queued', 'not_run']


@pytest.mark.parametrize(
    ('error', 'status', 'outcome'),
    [
        (exceptions.Unavailable('down', 2.5), 503, 'not_run'),
        (exceptions.OutcomeUnknown('no answer'), 504, 'unknown'),
        (exceptions.KeyReused('other job'), 422, None),
    ],
)
def test_failed_submission_returns_status_and_outcome(
    jobs, error, status, outcome
):
    jobs.error = error
    actual, headers, document = call(jobs, 'POST', '/v1/jobs', JOB)
    assert (actual, document.get('outcome')) == (status, outcome)
    assert headers.get('retry-after') == ('3' if status == 503 else None)


def test_refused_job_returns_a_problem_with_outcome_not_run(jobs):
    jobs.submit_outcome = work.Outcome.NOT_RUN
    status, headers, document = call(jobs, 'POST', '/v1/jobs', JOB)
    assert status == 422
    assert headers['content-type'] == 'application/problem+json'
    assert document['outcome'] == 'not_run'
    assert document['detail'] == 'because'


@pytest.mark.parametrize(
    ('body', 'headers', 'query', 'status'),
    [
        (b'', {}, {}, 400),
        (b'{', {}, {}, 400),
        (b'null', {}, {}, 400),
        (b'\xff', {}, {}, 400),
        ([], {}, {}, 400),
        ([JOB] * 4, {}, {}, 400),
        ([JOB, 1], {}, {}, 400),
        ({'team': 'red'}, {}, {}, 400),
        (JOB | {'tram': 1}, {}, {}, 400),
        (JOB | {'tasks': 0}, {}, {}, 400),
        (JOB | {'tasks': 6}, {}, {}, 400),
        (JOB | {'tasks': '1'}, {}, {}, 400),
        (JOB | {'cores': 0}, {}, {}, 400),
        (JOB | {'cores': 1e300}, {}, {}, 400),
        (JOB | {'team': 'r d'}, {}, {}, 400),
        (JOB | {'team': ''}, {}, {}, 400),
        (JOB | {'urgency': 'now'}, {}, {}, 400),
        (JOB | {'payload_base64': '%'}, {}, {}, 400),
        (JOB | {'payload': 'a', 'payload_base64': 'YQ=='}, {}, {}, 400),
        (JOB | {'deadline': NOW}, {}, {}, 422),
        (JOB, {'idempotency-key': ''}, {}, 400),
        (JOB, {'idempotency-key': 'k' * 129}, {}, 400),
        (JOB, {'idempotency-key': 'a b'}, {}, 400),
        (JOB, {'content-type': 'text/plain'}, {}, 415),
        (JOB, {'content-encoding': 'gzip'}, {}, 415),
        (JOB, {}, {'wait': 'nan'}, 400),
        (JOB, {}, {'wait': '-1'}, 400),
        (JOB, {}, {'wait': '10'}, 400),
        (JOB, {}, {'weight': '1'}, 400),
    ],
)
def test_malformed_submission_is_refused(jobs, body, headers, query, status):
    response = call(
        jobs, 'POST', '/v1/jobs', body, headers=headers, query=query
    )
    assert response[0] == status
    assert response[2]['detail']
    assert jobs.specs == []


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/v1/jobs', 405),
        ('PUT', '/v1/jobs/j1', 405),
        ('GET', '/v1/jobs/', 404),
        ('GET', '/v1/jobs/j1/else', 404),
        ('GET', '/', 404),
        ('GET', '/v1/jobs/j1', 404),
        ('DELETE', '/v1/jobs/j1', 404),
        ('GET', '/healthz', 503),
        ('GET', '/v1/jobs/j1/explain', 200),
    ],
)
def test_paths_and_methods_have_their_status(jobs, method, path, status):
    actual, headers, _ = call(jobs, method, path)
    assert actual == status
    assert ('allow' in headers) == (status == 405)


def test_large_answer_is_fetched_from_its_own_path(jobs):
    answer = bytes(range(256)) * 1000
    jobs.states['j1'] = service.JobState(
        'j1', work.Outcome.SUCCEEDED, answer=answer
    )
    document = call(jobs, 'GET', '/v1/jobs/j1')[2]
    assert document['answer_size'] == len(answer)
    assert 'answer' not in document
    _, headers, data = call(jobs, 'GET', document['answer_href'])
    assert (headers['content-length'], data) == (str(len(answer)), answer)


@pytest.mark.parametrize('outcome', sorted(set(work.Outcome) - {'succeeded'}))
def test_unsuccessful_job_has_no_answer(jobs, outcome):
    jobs.states['j1'] = service.JobState('j1', outcome, answer=b'half')
    assert call(jobs, 'GET', '/v1/jobs/j1/answer')[0] == 409
    assert 'answer' not in call(jobs, 'GET', '/v1/jobs/j1')[2]


def test_team_above_its_rate_gets_429_and_others_do_not(jobs):
    api = make_handler(jobs, team_jobs_per_second=1.0)

    async def submit(team):
        return await send(api, 'POST', '/v1/jobs', JOB | {'team': team})

    assert curio.run(submit, 'red')[0] == 202
    status, headers, document = curio.run(submit, 'red')
    assert (status, headers['retry-after']) == (429, '1')
    assert document['outcome'] == 'not_run'
    assert curio.run(submit, 'blue')[0] == 202


def test_rate_limiter_refills_and_bounds_its_memory():
    limiter = rates.RateLimiter(2.0)
    assert [limiter.acquire('a', 0.0) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert limiter.acquire('a', 0.5) == 0.0
    for number in range(2 * rates.MAX_SENDERS):
        limiter.acquire(str(number), 1.0)
    assert len(limiter._buckets) == rates.MAX_SENDERS


def test_openapi_document_matches_routes_and_members(jobs):
    openapi = json.loads(pathlib.Path('docs/openapi.json').read_text())
    served = {
        (r.path, r.method.lower(), r.query) for r in make_handler(jobs).routes
    }
    described = {
        (
            path,
            method,
            tuple(
                item['name']
                for item in action.get('parameters', [])
                if item['in'] == 'query'
            ),
        )
        for path, actions in openapi['paths'].items()
        for method, action in actions.items()
    }
    assert served == described
    schemas = openapi['components']['schemas']
    pairs = {
        'Job': _documents.JobDocument,
        'State': _documents.JobStateDocument,
    }
    for name, model in pairs.items():
        assert set(schemas[name]['properties']) == set(model.__struct_fields__)


VALUES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
MEMBERS = st.sampled_from(_documents.JobDocument.__struct_fields__)
BODIES = st.binary() | st.dictionaries(MEMBERS | st.text(), VALUES).map(
    lambda extra: json.dumps(JOB | extra).encode()
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(BODIES, st.dictionaries(st.text(), st.text(), max_size=2))
def test_any_submission_is_queued_or_refused(body, query):
    jobs = fakes.FakeJobs()
    status, _, document = call(jobs, 'POST', '/v1/jobs', body, query=query)
    assert (status == 202) == (len(jobs.specs) == 1)
    assert status == 202 or (status in (400, 422) and document['detail'])
