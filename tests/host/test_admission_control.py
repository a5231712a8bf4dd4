"""Check which jobs a host rejects, and that it rejects none accepted."""

import dataclasses

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.host import admission_control
from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.http import messages
from tests.dispatch import support
from tests.host import fakes

BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
JOB_ID = '00000000000000a1'


class Owner(front.JobStateSource):
    """Know a few jobs; count how often it is asked."""

    def __init__(self, known=()):
        self.known = known
        self.asked = []

    async def query_job_state(self, job_id, organisation):
        raise front.OwnerUnavailable('not asked here')

    async def may_know_job(self, job_id):
        self.asked.append(job_id)
        return job_id in self.known


class RecordingInbox:
    """Accept or leave in doubt all records."""

    def __init__(self):
        self.outcome = inbox.Outcome.ACCEPTED
        self.written = []

    async def write(self, items, deadline):
        self.written += [key for key, _ in items]
        return self.outcome


class Host:
    """A host's front with an owner's heartbeats."""

    def __init__(self, organisations, known=()):
        self.ctx = fakes.make_context(None)
        self.ctx.config = model.Configuration(
            1,
            {'q': support.queue('q', public=True)},
            {},
            organisations=organisations,
        )
        self.owner = Owner(known)
        self.inbox = RecordingInbox()
        self.handler = front.FrontHandler(self.ctx, self.owner, self.inbox)
        self.number = 0
        self.body = BODY

    def hear(self, within_wait, age=0.0, kind=notices.HEARTBEAT, ratio=0):
        loads = {'q': notices.QueueLoad(3, within_wait, within_wait, ratio)}
        self.number += 1
        notice = notices.OwnerNotice(
            kind, 1, 'h2', 'i', '10.0.0.2', 1, loads, self.number
        )
        now = context.monotonic()
        self.ctx.ownership.apply_notice(notice, now - age)

    def post(self, job_id=JOB_ID):
        headers = {'host': 'a.example', 'x-deadline-ms': '3000'}
        path = f'/q/{job_id}'
        req = messages.Request(
            'POST', path, {}, headers, self.body, '10.0.0.9:1'
        )
        return curio.run(self.handler.handle, req)


def make_loaded_host(organisations=None, **fields):
    host = Host({} if organisations is None else organisations, **fields)
    host.hear(900)
    host.hear(900)
    return host


def test_job_that_would_be_of_no_use_is_rejected_before_it_is_written():
    host = make_loaded_host()
    response = host.post()
    assert response.status == 429
    assert int(response.headers['retry-after']) >= 1
    assert b'never run' in response.body
    assert host.inbox.written == []
    (line,) = host.ctx.log.named('job_rejected')
    assert line['job'] == JOB_ID and line['wait_ms'] == 90_000
    assert host.post().headers == response.headers


@pytest.mark.parametrize(
    'outcome', [inbox.Outcome.ACCEPTED, inbox.Outcome.INDETERMINATE]
)
def test_retry_of_a_job_that_may_be_accepted_isnt_rejected(outcome):
    host = Host({})
    host.inbox.outcome = outcome
    host.post()
    host.hear(900)
    host.hear(900)
    host.inbox.outcome = inbox.Outcome.ACCEPTED
    assert host.post().status == 200
    assert host.owner.asked == []


def test_job_that_another_host_has_accepted_isnt_rejected():
    host = make_loaded_host(known=(JOB_ID,))
    assert host.post().status == 200
    assert host.inbox.written == [JOB_ID]


def test_nothing_is_rejected_if_the_owner_cant_be_asked():
    host = make_loaded_host()

    async def may_know_job(job_id):
        return True

    host.owner.may_know_job = may_know_job
    assert host.post().status == 200


def test_nothing_is_rejected_on_one_heartbeat_even_if_it_comes_twice():
    host = Host({})
    host.hear(900)
    host.number -= 1
    host.hear(900)
    assert host.post().status == 200


def test_nothing_is_rejected_by_an_old_heartbeat():
    host = Host({})
    host.hear(900, age=4.0)
    host.hear(900, age=admission_control.MAX_NOTICE_AGE_S + 0.1)
    assert host.post().status == 200


def test_nothing_is_rejected_after_a_claim_or_without_organisations():
    host = make_loaded_host()
    host.hear(900, kind=notices.CLAIM)
    assert host.post().status == 200
    host = make_loaded_host()
    host.ctx.config = dataclasses.replace(host.ctx.config, organisations=None)
    assert host.post().status == 200


def test_memory_of_accepted_jobs_is_bounded(monkeypatch):
    monkeypatch.setattr(admission_control, 'MAX_PASSED_IDS', 3)
    host = Host({})
    for number in range(5):
        host.post(f'{number:016x}')
    host.hear(900)
    host.hear(900)
    assert [host.post(f'{n:016x}').status for n in (4, 0)] == [200, 429]


def test_notice_of_a_former_version_carries_no_prediction():
    fields = ['beat', 1, 'h', 'i', '10.0.0.2', 1, {'q': [3]}, 2, {}]
    notice = notices.decode_owner(msgspec.msgpack.encode(fields))
    assert notice.beyond == {}
    assert notice.loads == {'q': notices.QueueLoad(3, 0, 0)}
