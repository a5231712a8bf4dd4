"""Account for the memory that peers make a process hold."""

import abc
import math

# Of the limit, for what holds more than SMALL_BYTES: small requests are still
# served beside a crowd of large ones.
LARGE_SHARE = 0.75
SMALL_BYTES = 64 * 1024


class Holder(abc.ABC):
    """Interface to what holds memory for a peer."""

    __slots__ = ()

    @abc.abstractmethod
    def give_up(self) -> int:
        """Give up an unfinished request; return the bytes still held.

        It is called again if that wasn't enough.
        """


class Holding:
    """Record how many bytes are held for one peer.

    `unfinished_since` is when the request began that is being read, on the
    monotonic clock, None if there is none. It is `given_up` once it was
    dropped for another.
    """

    __slots__ = ('budget', 'given_up', 'holder', 'size', 'unfinished_since')

    def __init__(self, budget: 'MemoryBudget', holder: Holder) -> None:
        self.budget = budget
        self.holder = holder
        self.size = 0
        self.given_up = False
        self.unfinished_since: float | None = None

    def resize(self, size: int) -> bool:
        """Change what is held; return False if there is no memory for it.

        Requests that began before this one are given up for it, as they are
        the slower ones; for one that is complete, any that isn't.
        """
        growth = size - self.size
        if growth > 0 and not self.budget.make_room(self, growth, size):
            return False
        self.force(size)
        return True

    def force(self, size: int) -> None:
        """Change what is held, even beyond the limit."""
        self.budget.held += size - self.size
        self.size = size

    def close(self) -> None:
        """Hold nothing any more."""
        self.force(0)
        self.budget.holdings.pop(self, None)


class MemoryBudget:
    """Bound the bytes that all peers together make a process hold."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.holdings: dict[Holding, None] = {}

    def open(self, holder: Holder) -> Holding:
        """Return a new holding, of no bytes yet."""
        holding = Holding(self, holder)
        self.holdings[holding] = None
        return holding

    def make_room(self, holding: Holding, growth: int, size: int) -> bool:
        """Give up unfinished requests until `holding` may grow to `size`.

        Returns False if that can't be.
        """
        limit = self.limit
        if size > SMALL_BYTES:
            limit = int(limit * LARGE_SHARE)
        before = holding.unfinished_since
        if before is None:
            before = math.inf
        while self.held + growth > limit:
            victim = self._find_slowest(holding, before)
            if victim is None:
                return False
            victim.given_up = True
            left = victim.holder.give_up()
            if left >= victim.size:
                victim.unfinished_since = None  # it has no more to give up
            else:
                victim.force(left)
        return True

    def _find_slowest(self, holding: Holding, before: float) -> Holding | None:
        """Return the unfinished request that began first, up to `before`.

        Those that were given up come last: their peers are yet to be told so.
        """
        candidates = [
            (other.given_up, other.unfinished_since, number, other)
            for number, other in enumerate(self.holdings)
            if other is not holding
            and other.unfinished_since is not None
            and other.unfinished_since <= before
        ]
        return min(candidates)[-1] if candidates else None
