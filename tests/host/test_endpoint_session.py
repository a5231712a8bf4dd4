"""Check how an endpoint that has stopped responding is polled."""

import curio
import pytest

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.host import _lease_grants
from hibiscusslip.host import context
from hibiscusslip.host import endpoint_session
from hibiscusslip.host import poll_timing
from hibiscusslip.host import wakeup_event
from hibiscusslip.platform import exceptions
from tests.dispatch import support
from tests.host import fakes


class EndpointClient:
    """Answer the first poll; record the wait time and the cursor of each."""

    def __init__(self, error=exceptions.RequestOutcomeUnknown):
        self.error = error
        self.waits = []
        self.cursors = []

    async def poll(self, deadline, fence, seen, wait, timeout):
        self.waits.append(wait)
        self.cursors.append(seen)
        if len(self.waits) == 1:
            running = model.RunningRun('j.0.0.0', 1, '', 50, 0.0)
            return model.EndpointReport(1.0, 5.0, (running,), ())
        await curio.sleep(0.01)
        raise self.error('no answer')

    async def close(self):
        pass


def make_wakeups():
    wakeup = wakeup_event.WakeupEvent()
    return endpoint_session.Wakeups(wakeup, wakeup, wakeup)


def poll_for(
    seconds,
    acknowledged=0,
    get_timing=poll_timing.PollTiming,
    error=exceptions.RequestOutcomeUnknown,
    client=None,
):
    """Poll an endpoint that answers once; return its client."""
    ctx = fakes.make_context(fakes.FakeStore())
    engine = engines.Engine(5.9)
    engine.register_endpoint(
        support.entry('e1', address='h:1'), context.monotonic()
    )
    engine.endpoints['e1'].handled_cursor = acknowledged
    engine.endpoints['e1'].acknowledged_cursor = acknowledged
    session = endpoint_session.EndpointSession(
        ctx, engine, 'e1', 'h:1', 1, make_wakeups(), get_timing
    )
    client = client or EndpointClient(error)
    session._client = client

    async def main():
        async with curio.ignore_after(seconds):
            await session.run()

    curio.run(main)
    return client


def test_unresponsive_endpoint_isnt_long_polled():
    """The next poll notices that a zone has recovered, without a wait."""
    client = poll_for(0.5)
    failures = _lease_grants.FAILURES_UNTIL_UNRESPONSIVE
    assert set(client.waits[1 : 1 + failures]) == {poll_timing.LONG_POLL_S}
    assert set(client.waits[1 + failures :]) == {0.0}


def test_poll_after_an_unanswered_one_acknowledges_no_end():
    """An endpoint that has restarted numbers its ended runs anew."""
    client = poll_for(0.1, acknowledged=57)
    assert client.cursors[:3] == [57, 57, 0]


class CommandClient:
    """Record the commands that are sent."""

    def __init__(self):
        self.sent = []

    async def start(self, request, timeout):
        self.sent.append('start')

    async def stop(self, task, run, fence, timeout):
        self.sent.append('stop')

    async def pace(self, task, run, percent, fence, timeout):
        self.sent.append('pace')


def send_commands(held_epoch):
    """Send a start, a stop and a pace of epoch 1; return what was sent."""
    ctx = fakes.make_context(fakes.FakeStore())
    now = context.monotonic()
    ctx.ownership.record_claim(held_epoch, now)
    bench = support.Bench()
    bench.now = now
    bench.endpoint('e1')
    bench.submit('j', support.step())
    (start,) = bench.plan()
    session = endpoint_session.EndpointSession(
        ctx,
        bench.engine,
        'e1',
        'h:1',
        1,
        make_wakeups(),
        poll_timing.PollTiming,
    )
    session._client = CommandClient()

    async def main():
        await session.send_start(start)
        await session.send_stop(commands.Stop('e1', start.task.name, 1, 'x'))
        await session.send_pace(commands.Pace('e1', start.task.name, 1, 50))

    curio.run(main)
    return session._client.sent


def test_owner_sends_its_commands():
    assert send_commands(held_epoch=1) == ['start', 'stop', 'pace']


def test_command_of_an_epoch_that_ended_isnt_sent_by_the_next_owner():
    """The same host has claimed the cell again while they were queued."""
    assert send_commands(held_epoch=9) == []


def test_command_isnt_sent_after_the_ownership_was_lost():
    assert send_commands(held_epoch=0) == []


def test_copy_is_sent_after_its_task_was_done():
    """The end is acknowledged by then, and no run may start after that."""
    ctx = fakes.make_context(fakes.FakeStore())
    now = context.monotonic()
    ctx.ownership.record_claim(1, now)
    bench = support.Bench()
    bench.now = now
    endpoint = bench.endpoint('e1')
    bench.submit('j', support.step(speculative=True))
    (start,) = bench.plan()
    start.task.copy_run = start.run
    start.task.status = state.Status.DONE
    session = endpoint_session.EndpointSession(
        ctx,
        bench.engine,
        'e1',
        'h:1',
        1,
        make_wakeups(),
        poll_timing.PollTiming,
    )
    session._client = CommandClient()
    curio.run(session.send_start, start)
    assert session._client.sent == []
    assert not endpoint.allocations


def test_second_failure_is_noticed_soon_by_an_owner_of_many_endpoints():
    """Else a silent endpoint is found after two of the longer waits."""
    timing = poll_timing.PollTiming(long_poll=1.5)
    client = poll_for(0.5, get_timing=lambda: timing)
    assert client.waits[1:3] == [1.5, poll_timing.LONG_POLL_S]


@pytest.mark.parametrize(
    ('late', 'error'),
    [
        (True, exceptions.RequestOutcomeUnknown),
        (False, exceptions.ConnectionsExhausted),
    ],
)
def test_failures_of_this_host_arent_counted(monkeypatch, late, error):
    """An owner of 3,000 endpoints that was late doubted them all."""
    monkeypatch.setattr(poll_timing, 'longest_poll', lambda wait, timeout: 0)
    timing = poll_timing.PollTiming(retry_pause=0.01, excuses_lateness=late)
    client = poll_for(1.0, get_timing=lambda: timing, error=error)
    excused = endpoint_session.MAX_LATE_POLLS
    counted = 1 + excused + _lease_grants.FAILURES_UNTIL_UNRESPONSIVE
    assert set(client.waits[1:counted]) == {poll_timing.LONG_POLL_S}
    assert set(client.waits[counted:]) == {0.0}


def test_endpoint_that_left_out_ended_runs_isnt_long_polled():
    """Guards against waiting for an end while others aren't known yet."""

    class PartialReports(EndpointClient):
        async def poll(self, deadline, fence, seen, wait, timeout):
            self.waits.append(wait)
            await curio.sleep(0.01)
            running = model.RunningRun('j.0.0.0', 1, '', 50, 0.0)
            return model.EndpointReport(1.0, 5.0, (running,), (), False)

    client = poll_for(0.2, client=PartialReports())
    assert len(client.waits) > 2 and set(client.waits) == {0.0}


def test_endpoint_that_has_moved_isnt_judged_by_its_former_address():
    """Guards against giving up runs that go on elsewhere (review/5)."""
    ctx = fakes.make_context(fakes.FakeStore())
    engine = engines.Engine(5.9)
    now = context.monotonic()
    engine.register_endpoint(support.entry('e1', address='h:1'), now)
    session = endpoint_session.EndpointSession(
        ctx, engine, 'e1', 'h:1', 1, make_wakeups(), poll_timing.PollTiming
    )

    class Moved(EndpointClient):
        async def poll(self, *args):
            moved = support.entry('e1', address='h:2', seq=2)
            engine.register_endpoint(moved, context.monotonic())
            allocation = state.Allocation(None, 1, model.Demand(), now)
            engine.endpoints['e1'].allocate('j.0.0.0', allocation)
            raise exceptions.RequestRefused('instance')

    session._client = Moved()

    async def main():
        async with curio.ignore_after(1.0):
            await session.run()
            return True

    assert curio.run(main)  # the session has ended by itself
    assert engine.endpoints['e1'].allocations
    assert engine.endpoints['e1'].entry is not None
