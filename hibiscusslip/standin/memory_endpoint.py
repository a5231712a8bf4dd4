"""Call stand-in workers within the process, with injected faults."""

import math
import time

import curio

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.standin import faults
from hibiscusslip.standin import workers

MAX_SLEEP_S = 60.0


class FleetPump:
    """End runs when they are due and notify readers of events."""

    def __init__(self, fleet: workers.Fleet) -> None:
        self.fleet = fleet
        self._changed = curio.Event()
        self._sleeping_until = -math.inf
        self._event_waiters: dict[workers.Worker, curio.Event] = {}

    async def run(self) -> None:
        """End runs until cancelled."""
        while True:
            await self.advance()
            self._changed.clear()
            due = self.fleet.next_due_at()
            self._sleeping_until = due
            delay = min(due - time.monotonic(), MAX_SLEEP_S)
            async with curio.ignore_after(max(delay, 0.0)):
                await self._changed.wait()

    async def advance(self) -> float:
        """End all runs that are due and return the monotonic time."""
        now = time.monotonic()
        for worker in self.fleet.advance(now):
            await self.notify(worker)
        return now

    async def reschedule(self) -> None:
        """Wake the pump if a run is due before its sleep ends."""
        if self.fleet.next_due_at() < self._sleeping_until:
            await self._changed.set()

    async def notify(self, worker: workers.Worker) -> None:
        """Wake the readers that wait for events of a worker."""
        event = self._event_waiters.pop(worker, None)
        if event is not None:
            await event.set()

    async def wait(self, worker: workers.Worker, timeout: float) -> None:
        """Wait for events of a worker, at most `timeout` seconds."""
        event = self._event_waiters.setdefault(worker, curio.Event())
        async with curio.ignore_after(timeout):
            await event.wait()


class MemoryEndpoint(base.Endpoint):
    """Start, renew, watch and stop runs on one stand-in worker."""

    def __init__(self, worker: workers.Worker, pump: FleetPump) -> None:
        self.worker = worker
        self._pump = pump
        self._unfrozen = curio.Event()

    async def start(
        self, requests: list[base.StartRequest]
    ) -> list[base.StartResult]:
        """Start the requested tasks."""
        now = await self._before_call()
        results = [self.worker.start(now, request) for request in requests]
        await self._pump.reschedule()
        if self.worker.faults.lose_starts > 0:
            self.worker.faults.lose_starts -= 1
            raise self._lost_response_error()
        self._after_call()
        return results

    async def renew(self, tasks: list[str], lease: float) -> base.Renewal:
        """Renew leases and return the tasks that no longer run."""
        now = await self._before_call()
        gone = self.worker.renew(now, tasks, lease)
        self._after_call()
        return base.Renewal(gone, now)

    async def runs(self) -> base.RunListing:
        """Return active and recently ended runs."""
        now = await self._before_call()
        listing = self.worker.list_runs(now)
        self._after_call()
        return listing

    async def events(self, after: int, wait: float) -> base.EventBatch:
        """Return runs ended since event `after`, waiting up to `wait` s."""
        await self._before_call()
        boot = self.worker.boot
        deadline = time.monotonic() + wait
        while self.worker.next_event == after and boot == self.worker.boot:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            await self._pump.wait(self.worker, left_s)
        await self._wait_until_available()
        batch = self.worker.events(after)
        self._after_call()
        return batch

    async def answer(self, task: str, attempt: int) -> bytes:
        """Return the whole answer of an ended run."""
        await self._before_call()
        answer = self.worker.answer(task, attempt)
        self._after_call()
        return answer

    async def checkpoint(self, task: str) -> bytes:
        """Return a checkpoint of a running task."""
        now = await self._before_call()
        saved = self.worker.checkpoint(now, task)
        self._after_call()
        return saved

    async def throttle(self, task: str, share: float) -> None:
        """Slow a task down to `share` of its demand (0 < share <= 1)."""
        now = await self._before_call()
        self.worker.throttle(now, task, share)
        await self._pump.reschedule()
        self._after_call()

    async def stop(self, task: str, grace: float) -> None:
        """Stop a task, which has `grace` seconds to end cleanly."""
        now = await self._before_call()
        ends_at = self.worker.stop(now, task, grace)
        await curio.sleep(ends_at - now)
        await self._pump.advance()
        self._after_call()

    async def usage(self) -> list[base.Usage]:
        """Return the resource usage of runs older than the usage lag."""
        now = await self._before_call()
        usage = self.worker.usage(now)
        self._after_call()
        return usage

    async def close(self) -> None:
        """Do nothing, as the worker is shared."""

    async def set_faults(self, changes: faults.WorkerFaults) -> None:
        """Change the faults and notify waiting calls."""
        await self._pump.advance()
        faults.apply(changes, self.worker.faults)
        if changes.restart:
            self.worker.restart()
        if not self.worker.faults.frozen:
            await self._unfrozen.set()
        else:
            self._unfrozen.clear()
        await self._pump.notify(self.worker)

    async def _before_call(self) -> float:
        """Apply the faults that precede a call's effect; return the time."""
        state = self.worker.faults
        if state.latency > 0:
            await curio.sleep(state.latency)
        await self._wait_until_available()
        return await self._pump.advance()

    async def _wait_until_available(self) -> None:
        """Wait while the worker is frozen; raise NotSent while it is down."""
        while self.worker.faults.frozen:
            await self._unfrozen.wait()
        if self.worker.faults.down:
            raise exceptions.NotSent(
                f'{self.worker.info.name} is down; try again later'
            )

    def _after_call(self) -> None:
        """Apply the faults that follow a call's effect."""
        state = self.worker.faults
        if state.lose_answers > 0:
            state.lose_answers -= 1
            raise self._lost_response_error()

    def _lost_response_error(self) -> exceptions.CallUnsettled:
        return exceptions.CallUnsettled(
            f'{self.worker.info.name} lost the response; list its runs'
        )
