"""Follow one run on a stand-in worker."""

import math
import typing

import msgspec

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import wire
from hibiscusslip.model import work
from hibiscusslip.standin import payload as payload_module


class Saved(msgspec.Struct, frozen=True):
    """Hold the checkpoint of a task: the seconds of work that are left."""

    left_s: float


class TaskRun:
    """Hold one run; times are readings of the monotonic clock."""

    __slots__ = (
        'order',
        'payload',
        'state',
        'lease_until',
        'started_at',
        'detail',
        'speed',
        '_left_s',
        '_since',
        '_stop_at',
    )

    def __init__(
        self, now: float, order: base.StartRequest, fail_after: float | None
    ) -> None:
        self.order = order
        self.payload = payload_module.decode(order.payload)
        self.state = base.RunState.RUNNING
        self.detail = ''
        self.speed = 1.0
        self.started_at = now
        self.lease_until = now + order.lease
        self._since = now
        self._stop_at = math.inf
        self._left_s = _work_of(order, self.payload)
        if fail_after is not None:
            self._left_s = fail_after
            self.payload = msgspec.structs.replace(self.payload, fail=True)

    @property
    def identity(self) -> str:
        """Return what names the task to its caller."""
        if not self.payload.request:
            return self.order.task
        number = work.index_of(self.order.task)
        return f'{self.payload.request}/{number}'

    @property
    def running(self) -> bool:
        """Tell whether the run hasn't ended."""
        return self.state is base.RunState.RUNNING

    @property
    def finish_at(self) -> float:
        """Return when the work is done at the present speed."""
        return self._since + self._left_s / self.speed

    @property
    def due(self) -> float:
        """Return when the run ends unless something changes."""
        return min(self.finish_at, self.lease_until, self._stop_at)

    def end(self) -> None:
        """Set the final state that holds at `due`."""
        due = self.due
        if due == self.finish_at:
            failed = self.payload.fail
            states = base.RunState
            self.state = states.FAILED if failed else states.SUCCEEDED
        elif due == self._stop_at:
            self.state = base.RunState.STOPPED
        else:
            self.state = base.RunState.LAPSED
        self.detail = f'{self.state.value} on the worker'

    def stop(self, now: float, grace: float) -> None:
        """End by stopping within `grace` seconds."""
        stop_at = now + min(self.payload.stop_s, grace)
        self._stop_at = min(self._stop_at, stop_at)

    def throttle(self, now: float, share: float) -> None:
        """Go on at `share` of the full speed."""
        self._left_s = max(0.0, self._left_s - self._done_s(now))
        self._since = now
        self.speed = share

    def save(self, now: float) -> bytes:
        """Return a checkpoint that a later start can go on from."""
        left_s = max(0.0, self._left_s - self._done_s(now))
        return msgspec.json.encode(Saved(min(left_s, 1e9)))

    def answer(self) -> bytes:
        """Return the whole answer of a run that succeeded."""
        if self.state is not base.RunState.SUCCEEDED:
            return b''
        size = self.payload.answer_bytes
        return payload_module.expected_answer(
            self.order.task, self.payload.echo, size
        )

    def view(self, inline: bool) -> base.Run:
        """Return the run as callers see it."""
        succeeded = self.state is base.RunState.SUCCEEDED
        size = self.payload.answer_bytes if succeeded else 0
        short = inline and succeeded and size <= wire.MAX_INLINE_ANSWER_BYTES
        order = self.order
        return base.Run(
            order.task,
            order.attempt,
            self.state,
            order.demand,
            order.tag,
            self.answer() if short else None,
            size,
            self.detail,
        )

    def _done_s(self, now: float) -> float:
        return (now - self._since) * self.speed


def _work_of(
    order: base.StartRequest, payload: payload_module.Payload
) -> float:
    if payload.never_ends:
        return math.inf
    if not order.checkpoint:
        return payload.run_s
    try:
        saved: typing.Any = msgspec.json.decode(order.checkpoint, type=Saved)
    except (msgspec.DecodeError, ValueError):
        return payload.run_s
    return saved.left_s
