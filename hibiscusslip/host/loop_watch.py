"""Measure for how long single tasks hold the event loop."""

import time

import curio
from curio import kernel

from hibiscusslip.host import context

# A fraction of the heartbeat's interval: it shows before heartbeats are late.
LOGGED_HOLD_S = 0.1
MEASURED_HOLD_S = 0.01


class LoopWatch(kernel.Activation):
    """Log and count the holds of the loop that delay all other tasks.

    Only holds of MEASURED_HOLD_S are in the histogram. A long hold that used
    little processor time shows that the machine didn't run this process.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._began = 0.0
        self._processor_began = 0.0
        self._longest = 0.0

    def running(self, task: curio.Task) -> None:
        """Begin to measure."""
        self._began = time.monotonic()
        self._processor_began = time.thread_time()

    def suspended(self, task: curio.Task, trap: object) -> None:
        """Record how long the task has held the loop."""
        held = time.monotonic() - self._began
        if held >= MEASURED_HOLD_S:
            self._record(task, held)

    def _record(self, task: curio.Task, held: float) -> None:
        ctx = self._ctx
        ctx.metrics.time('loop_hold', held)
        if held > self._longest:
            self._longest = held
            ctx.metrics.gauge('longest_loop_hold', held)
        if held >= LOGGED_HOLD_S:
            used = time.thread_time() - self._processor_began
            ctx.log.note(
                'loop_held',
                task=task.name,
                ms=int(held * 1000),
                processor_ms=int(used * 1000),
                owner=bool(ctx.ownership.held_epoch),
            )
