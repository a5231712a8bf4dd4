"""An event that wakes a task which waits for work."""

import curio


class WakeupEvent:
    """A flag that stays set until the waiting task consumes it."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def set(self) -> None:
        """Signal that there is work."""
        if not self._event.is_set():
            await self._event.set()

    async def wait(self, timeout: float) -> None:
        """Wait for work, at most `timeout` seconds, and clear the flag."""
        async with curio.ignore_after(timeout):
            await self._event.wait()
        self._event.clear()
