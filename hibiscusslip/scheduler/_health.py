"""Quarantine endpoints on which runs of any workload fail."""

import dataclasses
import heapq
import math
import random

from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _estimates
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

QUICK_FAILURE_FRACTION = 0.2
MIN_QUICK_FAILURE_S = 1.0
QUARANTINE_SCORE = 3.0
UNPROVEN_WEIGHT = 0.25
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 960.0
MAX_QUARANTINED_FRACTION = 0.34

FAILED_OUTCOMES = (base.RunOutcome.FAILED, base.RunOutcome.NOT_STARTED)


@dataclasses.dataclass(slots=True)
class HealthRecord:
    """Represent the recent failures of one endpoint."""

    score: float = 0.0
    quarantines: int = 0
    probation: bool = False


class EndpointHealth:
    """Quarantine failing endpoints and readmit them through probation.

    An endpoint on probation runs one repeatable task at a time until one
    succeeds. Only quick failures count, and they count in full only for
    workloads that have succeeded before, on any endpoint: the runs of other
    workloads may fail because of the work itself.
    """

    def __init__(
        self, inventory: _endpoints.Inventory, rng: random.Random
    ) -> None:
        self._inventory = inventory
        self._rng = rng
        self._records: dict[str, HealthRecord] = {}
        self._quarantine_ends: list[tuple[float, str]] = []
        self.quarantined: set[str] = set()
        self.probation: set[str] = set()

    def record_run(
        self,
        name: str,
        outcome: base.RunOutcome,
        elapsed: float,
        history: _estimates.History,
        now: float,
    ) -> None:
        """Update the health of an endpoint from the outcome of a run."""
        if outcome is base.RunOutcome.SUCCEEDED:
            history.succeeded = True
            if name in self._records:
                self._clear_record(name)
        elif outcome in FAILED_OUTCOMES and elapsed <= _quick_failure_s(
            history
        ):
            record = self._records.setdefault(name, HealthRecord())
            weight = 1.0 if history.succeeded else UNPROVEN_WEIGHT
            record.score += weight
            if record.probation or record.score >= QUARANTINE_SCORE:
                self._quarantine(name, record, now)

    def end_quarantines(self, now: float) -> list[_endpoints.Endpoint]:
        """Put endpoints whose quarantine is over on probation; return them."""
        released = []
        while self._quarantine_ends and self._quarantine_ends[0][0] <= now:
            _, name = heapq.heappop(self._quarantine_ends)
            if name not in self.quarantined:
                continue
            self.quarantined.discard(name)
            self.probation.add(name)
            self._records[name].probation = True
            endpoint = self._inventory.endpoints.get(name)
            if endpoint is not None:
                released.append(endpoint)
        return released

    def next_quarantine_end(self) -> float | None:
        """Return when the next quarantine ends."""
        return self._quarantine_ends[0][0] if self._quarantine_ends else None

    def probe_endpoint(
        self, need: _vector.Vector
    ) -> _endpoints.Endpoint | None:
        """Return an idle endpoint on probation that fits `need`."""
        for name in self.probation:
            endpoint = self._inventory.endpoints.get(name)
            if endpoint is not None and not endpoint.tasks and endpoint.live:
                if _vector.fits(need, endpoint.free):
                    return endpoint
        return None

    def remove(self, name: str) -> None:
        """Remove the records of an endpoint."""
        self._records.pop(name, None)
        self.quarantined.discard(name)
        self.probation.discard(name)

    def _quarantine(self, name: str, record: HealthRecord, now: float) -> None:
        live = sum(self._inventory.capacities.values())
        allowed = math.ceil(live * MAX_QUARANTINED_FRACTION)
        if name in self.quarantined or len(self.quarantined) >= allowed:
            return
        record.score = 0.0
        wait = FIRST_QUARANTINE_S * 2**record.quarantines
        record.quarantines += 1
        until = now + min(wait, MAX_QUARANTINE_S) * self._rng.uniform(1, 1.2)
        heapq.heappush(self._quarantine_ends, (until, name))
        self.probation.discard(name)
        self.quarantined.add(name)
        self._set_trusted(name, False)

    def _clear_record(self, name: str) -> None:
        record = self._records[name]
        record.score = 0.0
        if name in self.quarantined or record.probation:
            self.remove(name)
            self._set_trusted(name, True)

    def _set_trusted(self, name: str, trusted: bool) -> None:
        endpoint = self._inventory.endpoints.get(name)
        if endpoint is not None:
            endpoint.trusted = trusted
            self._inventory.refresh(endpoint)


def _quick_failure_s(history: _estimates.History) -> float:
    estimate = history.estimate
    if estimate is None:
        return MIN_QUICK_FAILURE_S
    return max(MIN_QUICK_FAILURE_S, QUICK_FAILURE_FRACTION * estimate.median)
