"""Measure how much the organisations send, in jobs and in work.

Hosts reject part of the jobs of an organisation that sends too much, and the
owner never learns of these. So a job of a kind that is being rejected counts
for as many as were sent for each that was accepted. Otherwise the hosts would
accept all jobs again as soon as the rejections take effect.
"""

import dataclasses
import math

from hibiscusslip.dispatch import admission

WINDOW_S = 5.0
DEVIATIONS = 2.0  # above its rate, which random arrivals rarely exceed
MAX_BEYOND_PERCENT = 95
MAX_REPORTED = 64  # organisations, as they are named in each heartbeat


@dataclasses.dataclass(slots=True)
class _Average:
    """A moving average of amounts per second."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.value = self.read(now) + amount / WINDOW_S
        self.updated_at = max(self.updated_at, now)

    def read(self, now: float) -> float:
        """Return the average at a time."""
        age = max(now - self.updated_at, 0.0)
        return self.value * math.exp(-age / WINDOW_S)


class Arrivals:
    """What arrives: jobs by organisation, and work by queue."""

    def __init__(self) -> None:
        self._jobs: dict[str, _Average] = {}
        self._cores: dict[tuple[str, bool], _Average] = {}
        self._accelerators: dict[tuple[str, bool], _Average] = {}

    def add_job(self, organisation: str, sent: float, now: float) -> None:
        """Count a job that stands for `sent` jobs of its organisation."""
        self._jobs.setdefault(organisation, _Average()).add(sent, now)

    def add_work(
        self, queue: str, beyond: bool, work: admission.Work, now: float
    ) -> None:
        """Count the work of a job, in core- and accelerator-seconds."""
        key = queue, beyond
        self._cores.setdefault(key, _Average()).add(work[0], now)
        self._accelerators.setdefault(key, _Average()).add(work[1], now)

    def work(self, now: float) -> dict[tuple[str, bool], admission.Work]:
        """Return the work per second, by queue and whether it is beyond.

        Queues are forgotten an hour after their last job, when their averages
        have decayed to 0: thousands of queues may have jobs once a day.
        """
        works = {
            key: (cores.read(now), self._accelerators[key].read(now))
            for key, cores in self._cores.items()
        }
        for key, work in works.items():
            if not any(work):
                del self._cores[key], self._accelerators[key]
        return {key: work for key, work in works.items() if any(work)}

    def beyond_percents(
        self, weights: dict[str, float], now: float
    ) -> dict[str, int]:
        """Return which part of an organisation's jobs is beyond its rate.

        Returns percentages for the organisations that send more than they are
        entitled to, at most MAX_REPORTED of them, the highest ones.
        """
        found = {}
        for name, average in self._jobs.items():
            rate = weights.get(name)
            if rate is None:
                continue
            entitled = rate + DEVIATIONS * math.sqrt(rate / (2 * WINDOW_S))
            sent = average.read(now)
            if sent > entitled:
                percent = int(100 * (1.0 - entitled / sent))
                found[name] = min(percent, MAX_BEYOND_PERCENT)
        most = sorted(found, key=lambda name: (-found[name], name))
        return {name: found[name] for name in most[:MAX_REPORTED]}
