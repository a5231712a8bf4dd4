"""Check what an owner makes of records in an unlucky order."""

import curio

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
    mine.take_inbox(f'{topics.CANCEL_PREFIX}{JOB}', b'1')
    mine.take_inbox(JOB, records.encode_submission(submission))
    assert mine.engine.jobs[JOB].state is model.JobState.CANCELLED


class Successors(owner.Successors):
    """Tell that some hosts are served, one answer for each call."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.releases = 0

    async def served(self):
        return self._answers.pop(0)

    async def release(self, notice, hosts):
        self.releases += 1
        return True

    async def roll_call(self):
        return owner.RollCall([], [])


async def turned_away(store, topic, records):
    raise exceptions.StoreUnavailable('503')


def beat(successors, script, seconds=2.0):
    """Beat while the script lasts; return the context and the store."""
    store = fakes.FakeStore()
    store.script = script
    ctx = fakes.make_context(store)
    ctx.ownership.won(1, context.steady())

    async def main():
        mine = owner.Owner(ctx, None, successors, 1)
        async with curio.ignore_after(seconds):
            await mine._beat()

    curio.run(main)
    return ctx, store


def test_owner_that_alone_is_turned_away_has_its_release_written():
    successors = Successors(['h2'], ['h2'])
    ctx, _ = beat(successors, [turned_away] * 9)
    assert successors.releases == 1
    assert not ctx.ownership.held


def test_owner_keeps_the_cell_if_others_are_served_a_moment_earlier():
    """The store comes back to all, to the owner last."""
    successors = Successors([], [], ['h2'])
    ctx, _ = beat(successors, [turned_away] * 4, 3.0)
    assert not successors.releases
    assert ctx.ownership.held


class Feed:
    def __init__(self, failing):
        self.failing = failing


def test_owner_isnt_followed_while_a_partition_of_the_inbox_is_away():
    """A new owner reads all of them before it places anything."""
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    now = context.steady()
    mine._inboxes = [Feed(False), Feed(True)]
    assert not mine.can_be_followed(now)
    mine._inboxes = [Feed(False), Feed(False)]
    assert mine.can_be_followed(now)


def test_owner_isnt_followed_just_after_a_partition_of_the_progress_failed():
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    now = context.steady()
    failed = mine._writer._lanes[0]
    mine._writer._failed(failed, exceptions.StoreUnavailable('503'))
    ctx.store_answers(now)
    assert not mine.can_be_followed(now)
    assert mine.can_be_followed(now + writer.FAILURE_FADES_S + 0.1)


async def never(store, topic, records):
    await curio.sleep(60)


def test_next_heartbeat_doesnt_wait_for_a_lost_answer():
    """The hosts would take over after `SILENCE_S`."""
    _, store = beat(Successors(), [never], 0.95)
    assert len(store.records) == 2


def test_no_heartbeat_follows_a_release():
    """It would tell the other hosts that the owner is still there."""
    successors = Successors(['h2'], ['h2'])
    _, store = beat(successors, [turned_away] * 3, 3.0)
    assert store.records == []


def test_cancels_of_jobs_that_never_come_are_bounded(monkeypatch):
    monkeypatch.setattr(owner, 'MOST_EARLY_CANCELS', 3)
    ctx = fakes.make_context(fakes.FakeStore())
    mine = owner.Owner(ctx, None, None, 1)
    for number in range(5):
        mine.take_inbox(f'{topics.CANCEL_PREFIX}{number}', b'1')
    assert list(mine._early_cancels) == ['2', '3', '4']
