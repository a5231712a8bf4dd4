"""Call stand-in workers within the process, with faults on demand."""

import math
import time

import curio

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.standin import faults
from hibiscusslip.standin import workers

MAX_SLEEP_S = 60.0


class FleetPump:
    """End runs when they are due and wake whoever waits for events."""

    def __init__(self, fleet: workers.Fleet) -> None:
        self.fleet = fleet
        self._changed = curio.Event()
        self._sleeping_until = -math.inf
        self._waiting: dict[workers.Worker, curio.Event] = {}

    async def run(self) -> None:
        """End runs until cancelled."""
        while True:
            await self.advance()
            self._changed.clear()
            due = self.fleet.next_due()
            self._sleeping_until = due
            delay = min(due - time.monotonic(), MAX_SLEEP_S)
            async with curio.ignore_after(max(delay, 0.0)):
                await self._changed.wait()

    async def advance(self) -> float:
        """End what is due and return the time."""
        now = time.monotonic()
        for worker in self.fleet.advance(now):
            await self.wake(worker)
        return now

    async def replan(self) -> None:
        """Wake the pump when something is due earlier than it sleeps."""
        if self.fleet.next_due() < self._sleeping_until:
            await self._changed.set()

    async def wake(self, worker: workers.Worker) -> None:
        """Wake those who wait for a worker's events."""
        event = self._waiting.pop(worker, None)
        if event is not None:
            await event.set()

    async def wait(self, worker: workers.Worker, timeout: float) -> None:
        """Wait for events of a worker, at most `timeout` seconds."""
        event = self._waiting.setdefault(worker, curio.Event())
        async with curio.ignore_after(timeout):
            await event.wait()


class MemoryEndpoint(base.Endpoint):
    """Start, renew, watch and stop runs on one stand-in worker."""

    def __init__(self, worker: workers.Worker, pump: FleetPump) -> None:
        self.worker = worker
        self._pump = pump
        self._thawed = curio.Event()

    async def start(
        self, orders: list[base.StartRequest]
    ) -> list[base.StartResult]:
        """Start the ordered tasks."""
        now = await self._enter()
        results = [self.worker.start(now, order) for order in orders]
        await self._pump.replan()
        if self.worker.faults.lose_starts > 0:
            self.worker.faults.lose_starts -= 1
            raise self._lost()
        self._leave()
        return results

    async def renew(self, tasks: list[str], lease: float) -> base.Renewal:
        """Renew the leases; tell which tasks run no longer."""
        now = await self._enter()
        gone = self.worker.renew(now, tasks, lease)
        self._leave()
        return base.Renewal(gone, now)

    async def runs(self) -> base.RunListing:
        """Return what runs or has ended lately."""
        now = await self._enter()
        list_runs = self.worker.list_runs(now)
        self._leave()
        return list_runs

    async def events(self, after: int, wait: float) -> base.EventBatch:
        """Return runs ended since event `after`, waiting up to `wait` s."""
        await self._enter()
        boot = self.worker.boot
        deadline = time.monotonic() + wait
        while self.worker.next_event == after and boot == self.worker.boot:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            await self._pump.wait(self.worker, left)
        await self._thaw()
        batch = self.worker.events(after)
        self._leave()
        return batch

    async def answer(self, task: str, attempt: int) -> bytes:
        """Return the whole answer of an ended run."""
        await self._enter()
        answer = self.worker.answer(task, attempt)
        self._leave()
        return answer

    async def checkpoint(self, task: str) -> bytes:
        """Have a task save its state and return it."""
        now = await self._enter()
        saved = self.worker.checkpoint(now, task)
        self._leave()
        return saved

    async def throttle(self, task: str, share: float) -> None:
        """Slow a task down to `share` of its demand (0 < share <= 1)."""
        now = await self._enter()
        self.worker.throttle(now, task, share)
        await self._pump.replan()
        self._leave()

    async def stop(self, task: str, grace: float) -> None:
        """Stop a task, which has `grace` seconds to end by itself."""
        now = await self._enter()
        ends_at = self.worker.stop(now, task, grace)
        await curio.sleep(ends_at - now)
        await self._pump.advance()
        self._leave()

    async def usage(self) -> list[base.Usage]:
        """Return the lagging usage of all runs."""
        now = await self._enter()
        usage = self.worker.usage(now)
        self._leave()
        return usage

    async def close(self) -> None:
        """Do nothing: the worker stays for its other users."""

    async def set_faults(self, order: faults.WorkerFaults) -> None:
        """Change the faults; whoever waits notices."""
        await self._pump.advance()
        faults.apply(order, self.worker.faults)
        if order.restart:
            self.worker.restart()
        if not self.worker.faults.frozen:
            await self._thawed.set()
        else:
            self._thawed.clear()
        await self._pump.wake(self.worker)

    async def _enter(self) -> float:
        """Show the faults that come before the effect; return the time."""
        state = self.worker.faults
        if state.latency > 0:
            await curio.sleep(state.latency)
        await self._thaw()
        return await self._pump.advance()

    async def _thaw(self) -> None:
        while self.worker.faults.frozen:
            await self._thawed.wait()
        if self.worker.faults.down:
            raise exceptions.NotSent(
                f'{self.worker.info.name} is down; try again later'
            )

    def _leave(self) -> None:
        """Show the faults that come after the effect."""
        state = self.worker.faults
        if state.lose_answers > 0:
            state.lose_answers -= 1
            raise self._lost()

    def _lost(self) -> exceptions.CallUnsettled:
        return exceptions.CallUnsettled(
            f'{self.worker.info.name} lost the answer; list its runs'
        )
