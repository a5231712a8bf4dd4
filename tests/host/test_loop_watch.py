"""Check that a task which holds the event loop is named."""

import re
import time

import curio

from hibiscusslip.host import loop_watch
from tests.host import fakes

HOLD_S = 1.2 * loop_watch.LOGGED_HOLD_S


async def hold():
    time.sleep(HOLD_S)


async def work(holds):
    for _ in range(holds):
        await (await curio.spawn(hold)).join()


def watched(holds):
    ctx = fakes.make_context(fakes.FakeStore())
    curio.run(work, holds, activations=[loop_watch.LoopWatch(ctx)])
    return ctx


def test_long_hold_of_the_loop_is_logged_with_its_task():
    """Guards against owners that are late without a line that says why."""
    ctx = watched(1)
    (line,) = ctx.log.named('loop_held')
    assert line['task'] == 'hold' and line['ms'] >= HOLD_S * 1000 * 0.99
    assert line['processor_ms'] < line['ms']  # it slept
    assert line['owner'] is False


def test_longest_hold_is_a_metric():
    text = watched(2).metrics.render().decode()
    assert 'hibiscusslip_loop_hold_seconds_count 2' in text
    (value,) = re.findall('^hibiscusslip_longest_loop_hold (.*)$', text, re.M)
    assert float(value) >= HOLD_S * 0.99


def test_short_turns_are_neither_logged_nor_measured():
    ctx = fakes.make_context(fakes.FakeStore())
    curio.run(curio.sleep, 0.0, activations=[loop_watch.LoopWatch(ctx)])
    assert ctx.log.events == []
    assert 'loop_hold' not in ctx.metrics.render().decode()
