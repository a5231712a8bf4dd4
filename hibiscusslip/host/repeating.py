"""Repeat calls to the store that have the same effect however often sent."""

import collections.abc
import typing

import curio

from hibiscusslip.host import context
from hibiscusslip.http import uplink
from hibiscusslip.platform import exceptions

MIN_TIMEOUT_S = 0.1
MAX_TRANSFER_S = 60.0  # the call itself gives up a transfer that is too slow

_ANSWERS = (
    exceptions.ProducerFenced,
    exceptions.OutOfOrderSequence,
    exceptions.HistoryTrimmed,
)
Began = collections.abc.Callable[[], None]
Attempt = collections.abc.Callable[[float, Began], collections.abc.Awaitable]


class _Call:
    """One call and its repeats; the first answer counts."""

    def __init__(
        self,
        ctx: context.Context,
        attempt: Attempt,
        give_up_at: float,
        wait: float,
    ) -> None:
        self._ctx = ctx
        self._policy = ctx.repeats
        self._uplink = ctx.uplink
        self._attempt = attempt
        self._give_up_at = give_up_at
        self._wait = wait
        self._tasks: list[curio.Task] = []
        self._changed = curio.Event()
        self._errors: list[Exception] = []
        self._results: list[typing.Any] = []
        self._arriving = False

    async def run(self) -> typing.Any:
        """Return the first answer; raises the worst error if there is none."""
        try:
            await self._start()
            repeats = 0
            while not await self._is_settled_in_time(repeats):
                repeats += 1
                now = context.monotonic()
                may_repeat = now + MIN_TIMEOUT_S < self._give_up_at
                slowdown = self._ctx.store_slowdown
                if may_repeat and self._policy.take(now, slowdown):
                    await self._start()
        finally:
            for task in self._tasks:
                await task.cancel(blocking=False)
        if self._results:
            return self._results[0]
        raise self._worst_error()

    async def _is_settled_in_time(self, repeats: int) -> bool:
        """Wait for an answer; return False when a repeat is due.

        A request that still waits for the host's link isn't repeated, nor one
        whose answer has begun to arrive.
        """
        delay = self._policy.delay(repeats) + self._wait
        if await self._is_settled_within(delay):
            return True
        if self._arriving:
            return await self._is_settled_within(MAX_TRANSFER_S)
        backlog = self._uplink.backlog(context.monotonic())
        return await self._is_settled_within(backlog / uplink.OWN_SHARE)

    def _note_arrival(self) -> None:
        self._arriving = True

    async def _is_settled_within(self, seconds: float) -> bool:
        """Wait until the call is settled, at most for a time."""
        async with curio.ignore_after(seconds):
            while not self._is_settled():
                await self._changed.wait()
                self._changed.clear()
        return self._is_settled()

    def _is_settled(self) -> bool:
        """Return True if an answer has come, or no attempt is left."""
        if self._results or len(self._errors) == len(self._tasks):
            return True
        return any(isinstance(error, _ANSWERS) for error in self._errors)

    async def _start(self) -> None:
        number = len(self._tasks)
        self._tasks.append(
            await curio.spawn(self._try_once, number, daemon=True)
        )

    async def _try_once(self, number: int) -> None:
        started = context.monotonic()
        timeout = max(self._give_up_at - started, MIN_TIMEOUT_S)
        try:
            result = await self._attempt(timeout, self._note_arrival)
        except Exception as exc:
            self._errors.append(exc)
            self._arriving = False
        else:
            now = context.monotonic()
            held = now - started
            if held >= self._wait:  # else it is unknown when it was due
                self._policy.record_answer(held - self._wait)
            if number > 0 and not self._results:
                self._policy.record_loss(now)
            self._results.append(result)
        await self._changed.set()

    def _worst_error(self) -> Exception:
        """Return an answer, or else an unknown outcome, if there is one."""
        for kinds in (_ANSWERS, exceptions.StoreOutcomeUnknown):
            for error in self._errors:
                if isinstance(error, kinds):
                    return error
        return self._errors[0]


async def call(
    ctx: context.Context,
    attempt: Attempt,
    timeout: float,
    wait: float = 0.0,
) -> typing.Any:
    """Return the first answer of a call and its repeats.

    `attempt` takes the timeout of one attempt in seconds, to which it adds
    `wait`, for which the store may hold the call open, and a function to call
    when a long answer begins to arrive. Raises what the attempts raise: an
    unknown outcome if any of them may have taken effect.
    """
    give_up_at = context.monotonic() + timeout
    return await _Call(ctx, attempt, give_up_at, wait).run()
