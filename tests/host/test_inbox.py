"""Check that reported outcomes of writes are true, whatever the store does."""

import curio
import pytest

from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import peer_client
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from tests.host import fakes

ITEMS = [('job1', b'v')]


async def unavailable(store, topic, records):
    raise exceptions.StoreUnavailable('503')


async def lost_answer(store, topic, records):
    store.records.extend((topic, record) for record in records)
    raise exceptions.StoreOutcomeUnknown('no answer')


async def not_written(store, topic, records):
    raise exceptions.StoreOutcomeUnknown('no answer')


async def no_answer(store, topic, records):
    await curio.sleep(60)


async def no_answer_to_j1(store, topic, records):
    if any(record.startswith(b'\x02j1') for record in records):
        await curio.sleep(60)


class RunningInbox:
    def __init__(self):
        self.store = fakes.FakeStore()
        self.relay = fakes.FakeRelay()
        self.ctx = fakes.make_context(self.store)
        self.job_inbox = inbox.Inbox(self.ctx, self.relay)

    def fail_store(self):
        for _ in range(context.FAILURES_UNTIL_UNAVAILABLE):
            self.ctx.record_store_failure('test')

    async def write(self, items=ITEMS, timeout=1.0, relayed=False):
        deadline = context.monotonic() + timeout
        return await self.job_inbox.write(items, deadline, relayed)


def run(scenario, *args):
    async def main():
        running = RunningInbox()
        task = await curio.spawn(running.job_inbox.run, daemon=True)
        try:
            return await scenario(running, *args)
        finally:
            await task.cancel()

    return curio.run(main)


def test_written_record_is_accepted():
    async def scenario(running):
        assert await running.write() is inbox.Outcome.ACCEPTED
        assert running.store.keys() == ['job1']

    run(scenario)


def test_waiting_records_share_an_append():
    async def scenario(running):
        async def slow(store, topic, records):
            await curio.sleep(0.05)

        running.store.script = [slow]
        async with curio.TaskGroup() as group:
            for number in range(10):
                await group.spawn(running.write, [(f'j{number}', b'v')])
        assert running.store.appends <= 3
        assert len(running.store.keys()) == 10

    run(scenario)


def test_record_refused_by_the_store_is_relayed():
    async def scenario(running):
        async def accept(items):
            return inbox.Outcome.ACCEPTED

        running.store.script = [unavailable]
        running.relay.script = [accept]
        assert await running.write() is inbox.Outcome.ACCEPTED
        assert running.relay.items == [ITEMS]

    run(scenario)


def test_relayed_group_fits_the_time_of_a_relay_on_the_slowest_link():
    slowest_link_bytes_per_s = 5e6 / 8
    hops = 3  # to the other host, into it, and from it to the store
    carried = slowest_link_bytes_per_s * peer_client.RELAY_TIMEOUT_S / hops

    async def scenario(running):
        async def accept(items):
            return inbox.Outcome.ACCEPTED

        running.store.script = [unavailable] * 100
        running.relay.script = [accept] * 100
        async with curio.TaskGroup() as group:
            for number in range(30):
                items = [(f'j{number}', b'v' * 20_000)]
                await group.spawn(running.write, items)
        relayed = [
            sum(len(value) for _, value in items)
            for items in running.relay.items
        ]
        assert sum(relayed) == 600_000
        assert max(relayed) <= carried

    run(scenario)


def test_relayed_record_isnt_relayed_again():
    async def scenario(running):
        running.store.script = [unavailable] * 100
        outcome = await running.write(relayed=True)
        assert outcome is inbox.Outcome.REFUSED
        assert running.relay.items == []

    run(scenario)


def test_write_is_retried_after_a_lost_answer():
    async def scenario(running):
        running.store.script = [lost_answer]
        assert await running.write() is inbox.Outcome.ACCEPTED

    run(scenario)


@pytest.mark.parametrize('after', [unavailable, not_written])
def test_indeterminate_record_is_never_reported_as_refused(after):
    async def scenario(running):
        running.store.script = [lost_answer, *[after] * 1000]
        outcome = await running.write(timeout=0.6)
        assert outcome is inbox.Outcome.INDETERMINATE

    run(scenario)


def test_record_is_refused_at_once_while_the_store_is_unavailable():
    async def scenario(running):
        running.fail_store()
        started = context.monotonic()
        assert await running.write() is inbox.Outcome.REFUSED
        assert context.monotonic() - started < 0.2
        assert running.store.appends == 0

    run(scenario)


def test_refused_record_is_never_written_afterwards():
    async def scenario(running):
        running.store.script = [unavailable] * 5
        outcome = await running.write(timeout=0.06)
        await curio.sleep(0.5)
        written = bool(running.store.keys())
        assert written == (outcome is not inbox.Outcome.REFUSED)
        assert outcome is inbox.Outcome.REFUSED

    run(scenario)


def test_deadline_during_an_append_is_indeterminate():
    async def scenario(running):
        running.store.script = [no_answer] * 5
        outcome = await running.write(timeout=0.1)
        assert outcome is inbox.Outcome.INDETERMINATE

    run(scenario)


def test_deadline_during_a_relay_is_indeterminate():
    async def scenario(running):
        async def slow(items):
            await curio.sleep(0.5)
            return inbox.Outcome.ACCEPTED

        running.fail_store()
        running.relay.script = [slow]
        outcome = await running.write(timeout=0.1)
        assert outcome is inbox.Outcome.INDETERMINATE

    run(scenario)


def test_record_that_cannot_be_written_in_time_isnt_sent():
    async def scenario(running):
        outcome = await running.write(timeout=0.01)
        assert outcome is inbox.Outcome.REFUSED
        await curio.sleep(0.1)
        assert running.store.appends == 0

    run(scenario)


def test_records_beyond_the_queue_limit_are_refused():
    async def scenario(running):
        running.store.script = [no_answer]
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(running.write, [(f'j{n}', b'')], 0.3)
                for n in range(inbox.MAX_WAITING + 50)
            ]
        outcomes = [task.result for task in tasks]
        assert outcomes.count(inbox.Outcome.REFUSED) >= 49

    run(scenario)


def answer_after(delay):
    """Return an action that answers late, as an overloaded store does."""

    async def late_answer(store, topic, records):
        timeout = store.timeout
        await curio.sleep(min(timeout, delay))
        if timeout < delay:
            raise exceptions.StoreOutcomeUnknown('no answer')

    return late_answer


def test_late_answer_of_a_silent_store_is_awaited_until_giving_up():
    timeout = 2.8
    give_up_after = inbox.UNAVAILABLE_WAIT_SHARE * timeout

    async def scenario(running):
        running.store.script = [answer_after(give_up_after - 0.1)] * 9
        outcome = await running.write(timeout=timeout)
        assert outcome is inbox.Outcome.ACCEPTED

    run(scenario)


def test_record_is_relayed_while_an_answer_is_late():
    async def scenario(running):
        async def accept(items):
            return inbox.Outcome.ACCEPTED

        running.store.script = [no_answer]
        running.relay.script = [accept]
        started = context.monotonic()
        outcome = await running.write(timeout=2.8)
        assert outcome is inbox.Outcome.ACCEPTED
        assert context.monotonic() < started + 2.0

    run(scenario)


def test_late_answer_doesnt_block_later_records():
    async def scenario(running):
        running.store.script = [no_answer_to_j1] * 30
        first = await curio.spawn(running.write, [('j1', b'v')], 2.0)
        await curio.sleep(0.05)
        outcome = await running.write([('j2', b'v')], 0.9)
        assert outcome is inbox.Outcome.ACCEPTED
        assert await first.join() is inbox.Outcome.INDETERMINATE

    run(scenario)


def test_record_isnt_relayed_while_the_store_answers_other_calls():
    async def scenario(running):
        async def answer_other_calls():
            while True:
                running.ctx.record_store_success(context.monotonic())
                await curio.sleep(0.2)

        running.store.script = [answer_after(2.2)]
        other_calls = await curio.spawn(answer_other_calls, daemon=True)
        outcome = await running.write(timeout=2.8)
        assert outcome is inbox.Outcome.ACCEPTED
        assert running.relay.items == []
        await other_calls.cancel()

    run(scenario)


def test_hosts_are_spread_over_all_partitions():
    names = [f'front-{zone}-{n}' for zone in 'abcde' for n in range(1, 10)]
    parts = [topics.inbox_part(name, 12) for name in names]
    assert set(parts) == set(range(12))
    assert max(parts.count(part) for part in range(12)) <= 9


def test_indeterminate_outcome_comes_early_if_the_store_is_unavailable(
    monkeypatch,
):
    """The store stops answering; the share of the timeout is small."""
    assert inbox.UNAVAILABLE_WAIT_SHARE < 0.5
    monkeypatch.setattr(inbox, 'UNAVAILABLE_WAIT_SHARE', 0.005)

    async def scenario(running):
        running.store.script = [no_answer] * 100
        started = context.monotonic()
        write_task = await curio.spawn(running.write, ITEMS, 60.0)
        await curio.sleep(0.2)
        running.fail_store()
        assert await write_task.join() is inbox.Outcome.INDETERMINATE
        assert context.monotonic() - started < 60.0 / 2
        await curio.sleep(0.2)
        assert running.job_inbox._waiting == []

    run(scenario)


def test_caller_isnt_left_in_doubt_while_other_hosts_are_sought():
    """Nothing was sent: seen 213 times while the store was away for all."""

    async def scenario(running):
        running.fail_store()
        running.relay.seek_s = 1.0
        outcome = await running.write(timeout=0.6)
        assert outcome is inbox.Outcome.REFUSED
        await curio.sleep(1.0)
        assert running.relay.items == []
        assert running.store.records == []

    run(scenario)


def test_refusal_stays_true_when_the_store_returns_meanwhile():
    async def scenario(running):
        running.fail_store()
        running.relay.seek_s = 0.5
        running.relay.hosts = []
        outcome = await running.write(timeout=0.2)
        assert outcome is inbox.Outcome.REFUSED
        running.ctx.record_store_success(context.monotonic())
        await curio.sleep(1.0)
        assert running.store.records == []

    run(scenario)
