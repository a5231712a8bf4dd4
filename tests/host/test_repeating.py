"""Check that calls whose answers are lost are repeated, and others aren't."""

import random

import curio
import pytest

from hibiscusslip.host import context
from hibiscusslip.host import repeat_policy
from hibiscusslip.host import repeating
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from tests.host import fakes

ANSWER_S = 0.01
LOST_S = 60.0


def call(attempt, timeout=1.2, wait=0.0, ctx=None):
    ctx = ctx or fakes.make_context(fakes.FakeStore())
    return curio.run(repeating.call, ctx, attempt, timeout, wait)


def scripted(*actions):
    """Return an attempt that takes the next action, and how often it ran.

    An action is a time in seconds after which an answer comes, or an error.
    """
    script = list(actions)
    started = []

    async def attempt(timeout, began):
        started.append(context.monotonic())
        action = script.pop(0) if script else ANSWER_S
        if isinstance(action, Exception):
            raise action
        if action > timeout:
            await curio.sleep(timeout)
            raise exceptions.StoreOutcomeUnknown('no answer')
        await curio.sleep(action)
        return len(started)

    return attempt, started


def test_answered_call_is_sent_once():
    attempt, started = scripted(ANSWER_S)
    assert call(attempt) == 1
    assert len(started) == 1


def test_lost_answer_costs_a_few_usual_answers_not_the_timeout():
    attempt, started = scripted(LOST_S, ANSWER_S)
    before = context.monotonic()
    call(attempt)
    assert len(started) == 2
    assert context.monotonic() - before < 0.4


def test_late_answer_to_the_first_attempt_still_counts():
    attempt, _ = scripted(0.3, LOST_S, LOST_S, LOST_S, LOST_S)
    before = context.monotonic()
    call(attempt)
    assert 0.3 <= context.monotonic() - before < 0.6


def test_long_poll_isnt_repeated_while_the_store_may_hold_it_open():
    attempt, started = scripted(0.4)
    call(attempt, wait=0.5)
    assert len(started) == 1


def test_early_answer_to_a_long_poll_says_nothing_of_the_usual_time():
    """Else a slow store would get repeats while its polls end early."""
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.repeats.record_answer(0.2)
    attempt, _ = scripted(ANSWER_S)
    call(attempt, wait=0.5, ctx=ctx)
    assert ctx.repeats.delay(0) == repeat_policy.MAX_DELAY_S


def test_request_that_waits_for_the_link_isnt_repeated():
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.uplink.add(12_500_000, context.monotonic())  # 1 s on 100 Mbit/s
    attempt, started = scripted(1.02)
    call(attempt, ctx=ctx)
    assert len(started) == 1


def test_long_answer_that_arrives_isnt_requested_again():
    """On a slow link a large configuration takes seconds."""
    started = []

    async def attempt(timeout, began):
        started.append(context.monotonic())
        await curio.sleep(ANSWER_S)
        began()
        await curio.sleep(1.5)
        return 'large'

    assert call(attempt, timeout=0.5) == 'large'
    assert len(started) == 1


def test_outcome_is_unknown_if_one_attempt_may_have_taken_effect():
    attempt, _ = scripted(LOST_S, *[exceptions.StoreUnavailable('503')] * 9)
    with pytest.raises(exceptions.StoreOutcomeUnknown):
        call(attempt, timeout=0.5)


def test_refusal_of_the_only_attempt_is_raised_at_once():
    attempt, started = scripted(exceptions.StoreUnavailable('503'))
    with pytest.raises(exceptions.StoreUnavailable):
        call(attempt)
    assert len(started) == 1


def test_fence_is_raised_although_an_attempt_is_unanswered():
    attempt, _ = scripted(LOST_S, exceptions.ProducerFenced('newer epoch'))
    before = context.monotonic()
    with pytest.raises(exceptions.ProducerFenced):
        call(attempt)
    assert context.monotonic() - before < 0.5


def test_unexpected_error_of_an_attempt_ends_the_call():
    attempt, _ = scripted(ValueError('bug'))
    with pytest.raises(ValueError, match='bug'):
        call(attempt)


@pytest.mark.parametrize(
    ('share', 'bound'), [(0.1, 1.0), (0.35, 1.0), (0.5, 1.0), (0.7, 3.0)]
)
def test_waits_by_share_of_lost_answers(share, bound):
    """Nine tenths of the calls are answered in time, in virtual time.

    The aim is 1 s for a share of 0.5; callers wait for 3 s.
    """
    rng = random.Random(1)
    policy = repeat_policy.RepeatPolicy()
    waits = []
    now = 0.0
    for _ in range(2000):
        now += 0.2
        waited = 0.0
        for repeats in range(6):
            if rng.random() >= share:
                policy.record_answer(ANSWER_S)
                waited += ANSWER_S
                break
            waited += policy.delay(repeats)
            if not policy.take(now + waited):
                waited += LOST_S
        waits.append(waited)
        now += waited
    waits.sort()
    assert waits[len(waits) * 9 // 10] <= bound


def test_slow_store_gets_no_repeats_once_its_answers_are_known():
    policy = repeat_policy.RepeatPolicy()
    for _ in range(3):
        policy.record_answer(50 * 0.004)
    assert policy.delay(0) >= repeat_policy.MAX_DELAY_S


def test_budget_bounds_the_repeats_of_a_host():
    policy = repeat_policy.RepeatPolicy()
    now = 100.0
    taken = sum(policy.take(now + n / 1000) for n in range(10_000))
    longest = repeat_policy.MAX_BUDGET + 10 * repeat_policy.BUDGET_PER_S
    assert longest - 2 <= taken <= longest + 1


def test_losses_are_remembered_for_a_while():
    policy = repeat_policy.RepeatPolicy()
    policy.record_loss(5.0)
    assert policy.is_lossy(5.0 + repeat_policy.LOSSY_S - 0.1)
    assert not policy.is_lossy(5.0 + repeat_policy.LOSSY_S)


class SequenceStore(fakes.FakeStore):
    """Apply each sequence number once, as the store does for a producer."""

    def __init__(self, script):
        super().__init__()
        self.script = script
        self.applied = set()

    async def append(self, topic, records, timeout, *, part, producer):
        key = (part, producer)
        if records and key not in self.applied:
            self.applied.add(key)
            self.records.extend((topic, record) for record in records)
        self.appends += 1
        if self.script and self.script.pop(0):
            await curio.sleep(timeout)
            raise exceptions.StoreOutcomeUnknown('no answer')
        return 0


def test_repeated_record_keeps_its_sequence_number():
    store = SequenceStore([True, False])
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, context.monotonic())

    async def send_starts(starts):
        pass

    async def main():
        records = writer.Writer(ctx, None, 1, send_starts)
        await records._append([b'a'])
        await records._append([b'b'])

    curio.run(main)
    assert store.records == [(topics.JOBS, b'a'), (topics.JOBS, b'b')]
    assert store.appends == 3
