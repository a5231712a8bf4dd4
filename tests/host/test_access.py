"""Check which callers a host admits, and what it answers the others."""

import curio
import pytest

from hibiscusslip.dispatch import records
from hibiscusslip.host import access
from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.host import inbox
from hibiscusslip.host import topics
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import settings
from hibiscusslip.platform import store
from tests.host import fakes
from tests.platform import cell

KEYS = {'o1': ['first-key', 'second-key'], 'o2': ['other-key']}
JOB_ID = '00000000000000a1'
BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'


def read(keys=KEYS, version=1, **route):
    return documents.read_configuration(
        cell.organisations_document(version, keys, **route)
    )


def decide(config, key, current=True, authenticator=None):
    (queue,) = config.queues.values()
    digest = documents.key_digest(key) if key else None
    authenticator = authenticator or access.Authenticator()
    return authenticator.decide(config, queue, digest, current)


@pytest.mark.parametrize('key', ['first-key', 'second-key'])
def test_caller_is_assigned_to_the_organisation_of_its_key(key):
    decision = decide(read(), key, current=False)
    assert decision == access.Decision(access.Verdict.ADMITTED, 'o1')


@pytest.mark.parametrize('key', [None, 'unknown', 'first-ke', 'first-key2'])
def test_missing_or_unknown_key_is_refused_if_no_newer_one_may_exist(key):
    assert decide(read(), key).verdict is access.Verdict.REFUSED
    outdated = decide(read(), key, current=False)
    assert outdated.verdict is access.Verdict.UNDECIDED


def test_no_key_is_admitted_by_an_empty_list_of_organisations():
    assert decide(read({}), 'first-key').verdict is access.Verdict.REFUSED


def test_any_key_is_ignored_without_organisations():
    config = documents.read_configuration(cell.config_document())
    expected = access.Decision(access.Verdict.ADMITTED)
    assert decide(config, None) == expected
    assert decide(config, 'first-key', current=False) == expected


def test_public_queue_assigns_only_valid_keys_to_organisations():
    config = read(Public=True)
    assert decide(config, 'other-key').organisation == 'o2'
    admitted = access.Decision(access.Verdict.ADMITTED)
    assert decide(config, 'unknown') == admitted
    assert decide(config, None, current=False) == admitted


def test_withdrawn_key_is_refused_from_the_next_configuration_on():
    """The index of keys must not outlive its configuration."""
    authenticator = access.Authenticator()
    before, after = read(), read({'o1': ['second-key']}, 2)
    admitted = access.Verdict.ADMITTED
    assert (
        decide(before, 'first-key', authenticator=authenticator).verdict
        is admitted
    )
    refused = access.Verdict.REFUSED
    assert (
        decide(after, 'first-key', authenticator=authenticator).verdict
        is refused
    )
    assert (
        decide(after, 'second-key', authenticator=authenticator).verdict
        is admitted
    )


class Front:
    """A front handler whose records go to a fake store."""

    def __init__(self, config, config_age=0.0):
        self.store = fakes.FakeStore()
        self.ctx = fakes.make_context(self.store)
        self.ctx.config = config
        self.ctx.config_confirmed_at = context.monotonic() - config_age
        self.ctx.ownership.record_read(0, context.monotonic())
        self.inbox = inbox.Inbox(self.ctx, fakes.FakeRelay())
        self.handler = front.FrontHandler(self.ctx, None, self.inbox)

    def call(
        self,
        method,
        job_id=JOB_ID,
        authorization=None,
        body=BODY,
        timeout_s=3.0,
    ):
        headers = {
            'host': cell.HOST,
            'x-deadline-ms': str(timeout_s * settings.MS_PER_S),
        }
        if authorization is not None:
            headers['authorization'] = authorization
        path = cell.PREFIX + job_id
        req = messages.Request(method, path, {}, headers, body, '127.0.0.1:1')

        async def main():
            task = await curio.spawn(self.inbox.run, daemon=True)
            response = await self.handler.handle(req)
            await task.cancel()
            return response

        return curio.run(main)


@pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
@pytest.mark.parametrize(
    'header',
    [None, '', 'Bearer', 'Bearer ', 'Bearer unknown', 'Basic first-key'],
)
def test_call_without_a_valid_key_is_answered_with_401(method, header):
    caller = Front(read())
    response = caller.call(method, authorization=header)
    assert response.status == 401
    assert response.headers['www-authenticate'] == 'Bearer'
    assert not caller.store.records
    (line,) = caller.ctx.log.named('caller_refused')
    assert (line['job'], line['verdict']) == (JOB_ID, 'refused')


def test_size_of_a_queue_is_told_to_holders_of_a_key_only():
    caller = Front(read())
    assert caller.call('GET', '').status == 401
    assert caller.call('GET', '', 'Bearer other-key').status == 200


def test_unknown_key_is_not_denied_by_an_outdated_configuration():
    """A newer version may have it; the caller may try again elsewhere."""
    caller = Front(read(), config_age=9.0)
    response = caller.call('POST', authorization='Bearer unknown')
    assert response.status == 503
    assert 'retry-after' in response.headers
    assert caller.call('GET', '', 'Bearer other-key').status == 200


def test_unknown_queue_is_answered_before_the_key_is_checked():
    caller = Front(read(prefix='/elsewhere/'))
    assert caller.call('POST').status == 404


@pytest.mark.parametrize('header', ['Bearer other-key', 'bearer  other-key '])
def test_accepted_job_is_stored_with_its_organisation(header):
    caller = Front(read())
    assert caller.call('POST', authorization=header).status == 200
    ((_, record),) = caller.store.records
    key, value = store.decode_keyed(record)
    assert key == topics.submission_key(JOB_ID, 'o2') != JOB_ID
    assert topics.submitted_job(key) == JOB_ID
    assert records.decode_submission(value).organisation == 'o2'


def test_keys_are_never_logged():
    """Log lines are copied to places where more people read them."""
    caller = Front(read())
    for header in ('Bearer other-key', 'Bearer unknown-key', 'other-key'):
        for method in ('POST', 'GET', 'PUT'):
            caller.call(method, '', header)
        caller.call('POST', JOB_ID, header)
        caller.call('POST', header)
    assert caller.ctx.log.named('job_accepted')
    assert caller.ctx.log.named('caller_refused')
    assert '-key' not in repr(caller.ctx.log.events)
    assert '-key' not in caller.ctx.metrics.render().decode()
