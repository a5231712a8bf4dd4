"""Measure by queue how far run times are from what was expected."""

import dataclasses
import math

from hibiscusslip.dispatch import log_histogram

WINDOW_RUNS = 500.0
MAX_QUEUES = 500
QUANTILES = (0.5, 0.9)
MIN_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """The ratio of actual to expected run times of a queue.

    `estimate` is 'learned' or 'declared'.
    """

    queue: str
    estimate: str
    median: float
    p90: float


class Errors:
    """Compare actual run times with the learned and the declared ones."""

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], log_histogram.LogHistogram] = {}

    def add(
        self, queue: str, actual: float, learned: float, declared: float
    ) -> None:
        """Add a run; times are in seconds."""
        self._add((queue, 'learned'), actual, learned)
        self._add((queue, 'declared'), actual, declared)

    def summarise(self) -> list[Error]:
        """Return the errors of each queue."""
        return [
            Error(*key, *(2.0**ratio for ratio in ratios.quantiles(QUANTILES)))
            for key, ratios in self._ratios.items()
        ]

    def _add(
        self, key: tuple[str, str], actual: float, expected: float
    ) -> None:
        ratios = self._ratios.get(key)
        if ratios is None:
            if len(self._ratios) >= 2 * MAX_QUEUES:
                return
            ratios = log_histogram.LogHistogram(WINDOW_RUNS)
            self._ratios[key] = ratios
        ratios.add(math.log2(max(actual, MIN_S) / max(expected, MIN_S)))
