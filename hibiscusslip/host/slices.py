"""Divide long work into slices, so that the event loop serves others."""

import curio

from hibiscusslip.host import context

MAX_SLICE_S = 0.05


class Slices:
    """Measure how long a task works on end, and let others work in between.

    What the task has read of shared state may have changed after a pause.
    """

    def __init__(self) -> None:
        self._began = context.monotonic()

    def is_due(self) -> bool:
        """Return True if the present slice has lasted long enough."""
        return context.monotonic() >= self._began + MAX_SLICE_S

    async def pause(self) -> None:
        """Let other tasks and the network have their turn."""
        await curio.sleep(0)
        self._began = context.monotonic()

    async def pause_if_due(self) -> None:
        """End the present slice if it has lasted long enough."""
        if self.is_due():
            await self.pause()
