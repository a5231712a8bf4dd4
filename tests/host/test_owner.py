"""Check what an owner makes of records in an unlucky order."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import context
from hibiscusslip.host import owner
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from tests.host import fakes

BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
JOB = 'a1'


def test_cancel_that_is_read_before_its_job_still_holds():
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    submission = records.Submission('q', 's', 1.0, BODY)
    mine.apply_inbox_record(f'{topics.CANCEL_PREFIX}{JOB}', b'1')
    mine.apply_inbox_record(JOB, records.encode_submission(submission))
    assert mine.engine.jobs[JOB].state is model.JobState.CANCELLED


class Feed:
    def __init__(self, failing):
        self.failing = failing


def test_owner_isnt_followed_while_a_partition_of_the_inbox_is_away():
    """A new owner reads all of them before it places anything."""
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    now = context.monotonic()
    mine._inboxes = [Feed(False), Feed(True)]
    assert not mine.successor_can_recover(now)
    mine._inboxes = [Feed(False), Feed(False)]
    assert mine.successor_can_recover(now)


def test_owner_isnt_followed_just_after_a_partition_of_the_progress_failed():
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    now = context.monotonic()
    failed = mine._writer._partitions[0]
    mine._writer._handle_failure(failed, exceptions.StoreUnavailable('503'))
    ctx.record_store_success(now)
    assert not mine.successor_can_recover(now)
    assert mine.successor_can_recover(now + writer.FAILURE_MEMORY_S + 0.1)


def test_cancels_of_jobs_that_never_come_are_bounded(monkeypatch):
    monkeypatch.setattr(owner, 'MAX_EARLY_CANCELS', 3)
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    for number in range(5):
        mine.apply_inbox_record(f'{topics.CANCEL_PREFIX}{number}', b'1')
    assert list(mine._early_cancels) == ['2', '3', '4']
