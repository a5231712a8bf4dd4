"""Model the state of one run on a stand-in worker."""

import math
import typing

import msgspec

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import wire
from hibiscusslip.model import work
from hibiscusslip.standin import payload as payload_module


class Checkpoint(msgspec.Struct, frozen=True):
    """Represent a checkpoint of a task by its remaining work in seconds."""

    left_s: float


class TaskRun:
    """Track one run; times are readings of the monotonic clock."""

    __slots__ = (
        'start_request',
        'payload',
        'state',
        'lease_until',
        'started_at',
        'detail',
        'speed',
        '_left_s',
        '_progress_at',
        '_stop_at',
    )

    def __init__(
        self,
        now: float,
        start_request: base.StartRequest,
        fail_after: float | None,
    ) -> None:
        self.start_request = start_request
        self.payload = payload_module.decode(start_request.payload)
        self.state = base.RunState.RUNNING
        self.detail = ''
        self.speed = 1.0
        self.started_at = now
        self.lease_until = now + start_request.lease
        self._progress_at = now
        self._stop_at = math.inf
        self._left_s = _remaining_work_s(start_request, self.payload)
        if fail_after is not None:
            self._left_s = fail_after
            self.payload = msgspec.structs.replace(self.payload, fail=True)

    @property
    def identity(self) -> str:
        """Return the name by which the caller knows the task.

        It is the same for repeated starts of one request.
        """
        if not self.payload.request:
            return self.start_request.task
        number = work.index_of(self.start_request.task)
        return f'{self.payload.request}/{number}'

    @property
    def running(self) -> bool:
        """Return True until the run has ended."""
        return self.state is base.RunState.RUNNING

    @property
    def finish_at(self) -> float:
        """Return when the work completes at the current speed."""
        return self._progress_at + self._left_s / self.speed

    @property
    def due_at(self) -> float:
        """Return the earliest of completion, lease expiry and stop."""
        return min(self.finish_at, self.lease_until, self._stop_at)

    def end(self) -> None:
        """Set the final state, as of `due_at`."""
        due_at = self.due_at
        if due_at == self.finish_at:
            failed = self.payload.fail
            states = base.RunState
            self.state = states.FAILED if failed else states.SUCCEEDED
        elif due_at == self._stop_at:
            self.state = base.RunState.STOPPED
        else:
            self.state = base.RunState.LAPSED
        self.detail = f'{self.state.value} on the worker'

    def stop(self, now: float, grace: float) -> None:
        """Schedule the stop of the run within `grace` seconds."""
        stop_at = now + min(self.payload.stop_s, grace)
        self._stop_at = min(self._stop_at, stop_at)

    def throttle(self, now: float, share: float) -> None:
        """Continue at `share` of the full speed."""
        self._left_s = max(0.0, self._left_s - self._done_s(now))
        self._progress_at = now
        self.speed = share

    def build_checkpoint(self, now: float) -> bytes:
        """Return a checkpoint from which a later start can resume."""
        left_s = max(0.0, self._left_s - self._done_s(now))
        return msgspec.json.encode(Checkpoint(min(left_s, 1e9)))

    def answer(self) -> bytes:
        """Return the whole answer, empty unless the run succeeded."""
        if self.state is not base.RunState.SUCCEEDED:
            return b''
        size = self.payload.answer_bytes
        return payload_module.expected_answer(
            self.start_request.task, self.payload.echo, size
        )

    def build_run(self, inline: bool) -> base.Run:
        """Return the run as the endpoint reports it."""
        succeeded = self.state is base.RunState.SUCCEEDED
        size = self.payload.answer_bytes if succeeded else 0
        inlined = inline and succeeded and size <= wire.MAX_INLINE_ANSWER_BYTES
        start_request = self.start_request
        return base.Run(
            start_request.task,
            start_request.attempt,
            self.state,
            start_request.demand,
            start_request.tag,
            self.answer() if inlined else None,
            size,
            self.detail,
        )

    def _done_s(self, now: float) -> float:
        return (now - self._progress_at) * self.speed


def _remaining_work_s(
    start_request: base.StartRequest, payload: payload_module.Payload
) -> float:
    if payload.never_ends:
        return math.inf
    if not start_request.checkpoint:
        return payload.run_s
    try:
        saved: typing.Any = msgspec.json.decode(
            start_request.checkpoint, type=Checkpoint
        )
    except (msgspec.DecodeError, ValueError):
        return payload.run_s
    return saved.left_s
