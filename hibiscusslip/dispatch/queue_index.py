"""Answer questions about all queues of one version of the configuration.

A configuration may have thousands of queues, so what depends only on the
configuration is computed once, when it is first needed.
"""

import functools
import typing

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import model


class _HostQueues:
    """The queues of one host by prefix.

    Of queues with the same prefix, only the first configured one is found.
    """

    def __init__(self) -> None:
        self.by_prefix: dict[str, model.Queue] = {}
        self.prefix_lengths: list[int] = []  # longest first

    def find(self, path: str) -> 'model.Queue | None':
        """Return the queue whose prefix is the longest match for `path`."""
        for length in self.prefix_lengths:
            queue = self.by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


class QueueIndex:
    """An index of the queues of a configuration, which doesn't change."""

    def __init__(self, queues: 'dict[str, model.Queue]') -> None:
        self._queues = queues

    @functools.cached_property
    def positions(self) -> dict[str, int]:
        """The position of each queue in the configuration, by name."""
        return {name: number for number, name in enumerate(self._queues)}

    @functools.cached_property
    def priorities(self) -> dict[str, tuple[int, ...]]:
        """The priorities of each service's queues, most urgent first."""
        found: dict[str, set[int]] = {}
        for queue in self._queues.values():
            found.setdefault(queue.service, set()).add(queue.priority)
        return {name: tuple(sorted(known)) for name, known in found.items()}

    def find(self, host: str, path: str) -> 'model.Queue | None':
        """Return the queue whose prefix is the longest match for `path`."""
        queues = self._hosts.get(host)
        return None if queues is None else queues.find(path)

    @functools.cached_property
    def _hosts(self) -> dict[str, _HostQueues]:
        hosts: dict[str, _HostQueues] = {}
        for queue in self._queues.values():
            known = hosts.setdefault(queue.host, _HostQueues())
            known.by_prefix.setdefault(queue.prefix, queue)
        for known in hosts.values():
            lengths = {len(prefix) for prefix in known.by_prefix}
            known.prefix_lengths = sorted(lengths, reverse=True)
        return hosts
