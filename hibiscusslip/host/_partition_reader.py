"""Read the newest records of the store's partitions for a recovery."""

import curio

from hibiscusslip.host import context
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

READ_TIMEOUT_S = 2.5


class PartitionReader:
    """Read the newest records of partitions, each of them once.

    Partitions that were read are retained when another one fails, so that
    the next attempt reads only what is missing. Records that are written
    after a partition was read are found by tailing it from its end.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._read: dict[tuple[str, int], store.NewestValues] = {}

    async def read(self, topic: str, parts: int) -> list[store.NewestValues]:
        """Return the newest records of each partition, read concurrently.

        Raises PlatformError if one of them can't be read.
        """
        missing = [p for p in range(parts) if (topic, p) not in self._read]
        async with curio.TaskGroup() as group:
            tasks = {
                part: await group.spawn(self._try_read, topic, part)
                for part in missing
            }
        errors = [task.result for task in tasks.values() if task.result]
        if errors:
            raise errors[0]
        return [self._read[topic, part] for part in range(parts)]

    async def _try_read(
        self, topic: str, part: int
    ) -> exceptions.PlatformError | None:
        """Read a partition; return the error if that fails.

        A raised error would cancel the other reads of the task group, and
        their cancellation would end the host.
        """
        try:
            newest = await self._ctx.store.newest(topic, READ_TIMEOUT_S, part)
        except exceptions.PlatformError as exc:
            return exc
        self._read[topic, part] = newest
        return None
