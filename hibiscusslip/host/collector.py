"""Keep garbage collections short while this host owns the cell.

A full collection looks at every object, and an owner has some for each task.
With many tasks it would hold the event loop every few seconds for longer than
a heartbeat allows. So an owner sets aside (freezes) what has outlived a
period: such objects are still freed when nothing refers to them, only cycles
among them aren't found. All are collected once twice as many have been set
aside as were alive.
"""

import collections.abc
import enum
import gc
import time

import curio

from hibiscusslip.host import context

PERIOD_S = 1.0
COUNT_PERIOD_S = 10.0  # counting the frozen objects walks over all of them
GROWTH = 2.0
MIN_OBJECTS = 50_000  # about those of a host without jobs


class Action(enum.Enum):
    """List what is done with the objects; FREEZE collects the new ones."""

    NONE = 'none'
    BEGIN = 'begin'
    FREEZE = 'freeze'
    COLLECT = 'collect'
    THAW = 'thaw'


class Schedule:
    """Decide when objects are frozen, and when all are collected."""

    def __init__(self) -> None:
        self._owns = False
        self._live = 0
        self._next_count_at = 0.0

    def choose(
        self,
        now: float,
        owns: bool,
        count_frozen: collections.abc.Callable[[], int],
    ) -> Action:
        """Return what to do now; it is called every PERIOD_S."""
        owned, self._owns = self._owns, owns
        if not owns:
            return Action.THAW if owned else Action.NONE
        if not owned:
            return Action.BEGIN
        if now < self._next_count_at:
            return Action.FREEZE
        self._next_count_at = now + COUNT_PERIOD_S
        if count_frozen() > GROWTH * max(self._live, MIN_OBJECTS):
            return Action.COLLECT
        return Action.FREEZE

    def note_live(self, objects: int, now: float) -> None:
        """Record how many objects are alive, as far as is known."""
        self._live = objects
        self._next_count_at = now + COUNT_PERIOD_S


class Collector:
    """Carry out the schedule with the interpreter's collector."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._schedule = Schedule()

    async def run(self) -> None:
        """Run until cancelled; the automatic collections go on as usual."""
        try:
            while True:
                self.act(context.monotonic())
                await curio.sleep(PERIOD_S)
        finally:
            gc.unfreeze()

    def act(self, now: float) -> None:
        """Do what is due."""
        owns = bool(self._ctx.ownership.held_epoch)
        action = self._schedule.choose(now, owns, gc.get_freeze_count)
        if action is Action.THAW:
            gc.unfreeze()
        elif action is Action.COLLECT:
            self._collect(now)
        elif action is Action.FREEZE:
            gc.collect()
            gc.freeze()
        elif action is Action.BEGIN:
            gc.freeze()
            self._schedule.note_live(gc.get_freeze_count(), now)

    def _collect(self, now: float) -> None:
        """Collect all objects, and log how long that held the loop."""
        began = time.thread_time()
        gc.unfreeze()
        found = gc.collect()
        gc.freeze()
        used = time.thread_time() - began
        objects = gc.get_freeze_count()
        self._schedule.note_live(objects, now)
        self._ctx.metrics.time('full_collection', used)
        self._ctx.log.note(
            'objects_collected',
            found=found,
            objects=objects,
            processor_ms=int(used * 1000),
        )
