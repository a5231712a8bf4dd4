"""Wake a task that waits for work."""

import curio


class WakeupEvent:
    """Remember that there is work until the waiting task takes it."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def set(self) -> None:
        """Tell that there is work."""
        if not self._event.is_set():
            await self._event.set()

    async def wait(self, timeout: float) -> None:
        """Wait for work, `most` seconds at the longest."""
        async with curio.ignore_after(timeout):
            await self._event.wait()
        self._event.clear()
