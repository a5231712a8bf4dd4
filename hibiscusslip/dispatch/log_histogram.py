"""Summarise the distribution of a positive quantity in bounded memory.

Values are kept as counts over a logarithmic scale. Older values lose weight
with each newer one, so that the distribution follows a change.
"""

import array
import bisect
import itertools

BINS_PER_OCTAVE = 5
MIN_OCTAVES = -16.0
MAX_OCTAVES = 8.0
BIN_COUNT = int((MAX_OCTAVES - MIN_OCTAVES) * BINS_PER_OCTAVE) + 2
MAX_SCALE = 1e6  # beyond it single precision would lose small counts


class LogHistogram:
    """Count values by their binary logarithm, which is called octaves.

    `window` is the number of values that weigh as much as all older ones and
    themselves together: the total weight never exceeds it.
    """

    __slots__ = ('_counts', '_growth', '_scale', '_total')

    def __init__(self, window: float) -> None:
        self._counts = array.array('f', bytes(4 * BIN_COUNT))
        self._growth = 1.0 / (1.0 - 1.0 / window)
        self._scale = 1.0
        self._total = 0.0

    @property
    def weight(self) -> float:
        """Return the total weight, in values."""
        return self._total / self._scale

    def add(self, octaves: float, weight: float = 1.0) -> None:
        """Add a value."""
        amount = self._age(weight)
        self._put(_position(octaves), amount)

    def add_at_least(self, octaves: float, weight: float = 1.0) -> None:
        """Add a value of which only a lower bound is known.

        Its weight goes to the values above the bound in proportion to
        theirs, or next above the bound if there are none.
        """
        amount = self._age(weight)
        first = int(_position(octaves)) + 1
        above = sum(self._counts[first:])
        if above <= 0.0:
            self._put(float(min(first, BIN_COUNT - 1)), amount)
            return
        self._total += amount
        for number in range(first, BIN_COUNT):
            self._counts[number] *= 1.0 + amount / above

    def discount(self, weight: float) -> None:
        """Reduce the total weight to `weight` values at most."""
        factor = weight / max(self.weight, weight)
        self._multiply(factor)

    def quantiles(self, shares: tuple[float, ...]) -> list[float]:
        """Return the octaves below which each share of the weight lies."""
        sums = list(itertools.accumulate(self._counts))
        return [self._find(share * sums[-1], sums) for share in shares]

    def _find(self, wanted: float, sums: list[float]) -> float:
        """Return the octaves below which a weight lies; 0 if there is none."""
        if wanted <= 0.0:
            return 0.0
        number = bisect.bisect_left(sums, wanted)
        inside = 0.5 - (sums[number] - wanted) / self._counts[number]
        return MIN_OCTAVES + (number + inside) / BINS_PER_OCTAVE

    def _age(self, weight: float) -> float:
        """Let older values lose weight; return the amount to add."""
        self._scale *= self._growth**weight
        if self._scale > MAX_SCALE:
            self._multiply(1.0 / self._scale)
            self._scale = 1.0
        return weight * self._scale

    def _multiply(self, factor: float) -> None:
        for number, count in enumerate(self._counts):
            self._counts[number] = count * factor
        self._total *= factor

    def _put(self, position: float, amount: float) -> None:
        """Divide an amount between the two bins next to a position."""
        self._total += amount
        number = min(int(position), BIN_COUNT - 2)
        upper = min(position - number, 1.0)
        self._counts[number] += amount * (1.0 - upper)
        self._counts[number + 1] += amount * upper


def _position(octaves: float) -> float:
    """Return the place of a value on the scale, in bins."""
    clamped = min(max(octaves, MIN_OCTAVES), MAX_OCTAVES)
    return (clamped - MIN_OCTAVES) * BINS_PER_OCTAVE
