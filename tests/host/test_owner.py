"""Check what an owner makes of records in an unlucky order."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import owner
from hibiscusslip.host import topics
from tests.host import fakes

BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
JOB = 'a1'


def test_cancel_that_is_read_before_its_job_still_holds():
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    submission = records.Submission('q', 's', 1.0, BODY)
    mine.take_inbox(f'{topics.CANCEL_PREFIX}{JOB}', b'1')
    mine.take_inbox(JOB, records.encode_submission(submission))
    assert mine.engine.jobs[JOB].state is model.JobState.CANCELLED


def test_cancels_of_jobs_that_never_come_are_bounded(monkeypatch):
    monkeypatch.setattr(owner, 'MOST_EARLY_CANCELS', 3)
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    for number in range(5):
        mine.take_inbox(f'{topics.CANCEL_PREFIX}{number}', b'1')
    assert list(mine._early_cancels) == ['2', '3', '4']
