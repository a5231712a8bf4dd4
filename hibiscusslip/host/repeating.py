"""Repeat calls to the store that have the same effect however often sent."""

import collections.abc
import typing

import curio

from hibiscusslip.host import repeat_policy
from hibiscusslip.platform import exceptions

MIN_TIMEOUT_S = 0.1

_ANSWERS = (
    exceptions.ProducerFenced,
    exceptions.OutOfOrderSequence,
    exceptions.HistoryTrimmed,
)
Attempt = collections.abc.Callable[[float], collections.abc.Awaitable]


class _Call:
    """One call and its repeats; the first answer counts."""

    def __init__(
        self,
        policy: repeat_policy.RepeatPolicy,
        now: collections.abc.Callable[[], float],
        attempt: Attempt,
        give_up_at: float,
        wait: float,
    ) -> None:
        self._policy = policy
        self._now = now
        self._attempt = attempt
        self._give_up_at = give_up_at
        self._wait = wait
        self._tasks: list[curio.Task] = []
        self._changed = curio.Event()
        self._errors: list[Exception] = []
        self._results: list[typing.Any] = []

    async def run(self) -> typing.Any:
        """Return the first answer; raises the worst error if there is none."""
        try:
            await self._start()
            repeats = 0
            while not await self._is_settled_within(
                self._policy.delay(repeats) + self._wait
            ):
                repeats += 1
                now = self._now()
                may_repeat = now + MIN_TIMEOUT_S < self._give_up_at
                if may_repeat and self._policy.take(now):
                    await self._start()
        finally:
            for task in self._tasks:
                await task.cancel(blocking=False)
        if self._results:
            return self._results[0]
        raise self._worst_error()

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
        started = self._now()
        timeout = max(self._give_up_at - started, MIN_TIMEOUT_S)
        try:
            result = await self._attempt(timeout)
        except Exception as exc:
            self._errors.append(exc)
        else:
            now = self._now()
            self._policy.record_answer(now - started - self._wait)
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
    policy: repeat_policy.RepeatPolicy,
    now: collections.abc.Callable[[], float],
    attempt: Attempt,
    timeout: float,
    wait: float = 0.0,
) -> typing.Any:
    """Return the first answer of a call and its repeats.

    `attempt` takes the timeout of one attempt in seconds. `now` returns the
    monotonic time. `wait` is how long the store may hold the call open; it is
    added to `timeout`. Raises what the attempts raise: an unknown outcome if
    any of them may have taken effect.
    """
    give_up_at = now() + timeout
    return await _Call(policy, now, attempt, give_up_at, wait).run()
