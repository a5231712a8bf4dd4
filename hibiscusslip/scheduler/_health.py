"""Suspect endpoints that fail whatever they start."""

import dataclasses
import heapq
import math
import random

from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _learning
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

QUICK_FRACTION = 0.2
QUICK_AT_LEAST_S = 1.0
SUSPECT_AT = 3.0
UNPROVEN_WEIGHT = 0.25
FIRST_SUSPENSION_S = 30.0
MAX_SUSPENSION_S = 960.0
MAX_SUSPECTED_FRACTION = 0.34

BAD_ENDS = (base.RunOutcome.FAILED, base.RunOutcome.NOT_STARTED)


@dataclasses.dataclass(slots=True)
class Record:
    """Hold the evidence against one endpoint."""

    score: float = 0.0
    suspensions: int = 0
    probation: bool = False


class Health:
    """Suspend suspected endpoints and let them back through probation.

    An endpoint on probation runs one repeatable task at a time until one
    succeeds. A failure counts in full only for workloads that have
    succeeded elsewhere.
    """

    def __init__(self, book: _endpoints.Book, rng: random.Random) -> None:
        self._book = book
        self._rng = rng
        self._records: dict[str, Record] = {}
        self._returns: list[tuple[float, str]] = []
        self.suspended: set[str] = set()
        self.probation: set[str] = set()

    def note(
        self,
        name: str,
        how: base.RunOutcome,
        elapsed: float,
        history: _learning.History,
        now: float,
    ) -> None:
        """Learn from the end of a run on an endpoint."""
        if how is base.RunOutcome.SUCCEEDED:
            history.succeeded = True
            if name in self._records:
                self._clear(name)
        elif how in BAD_ENDS and elapsed <= _quick(history):
            record = self._records.setdefault(name, Record())
            weight = 1.0 if history.succeeded else UNPROVEN_WEIGHT
            record.score += weight
            if record.probation or record.score >= SUSPECT_AT:
                self._suspend(name, record, now)

    def ripen(self, now: float) -> list[_endpoints.Room]:
        """Return endpoints whose suspension is over, now on probation."""
        back = []
        while self._returns and self._returns[0][0] <= now:
            _, name = heapq.heappop(self._returns)
            if name not in self.suspended:
                continue
            self.suspended.discard(name)
            self.probation.add(name)
            self._records[name].probation = True
            room = self._book.rooms.get(name)
            if room is not None:
                back.append(room)
        return back

    def next_return(self) -> float | None:
        """Return when the next suspension is over."""
        return self._returns[0][0] if self._returns else None

    def probe_room(self, need: _vector.Vector) -> _endpoints.Room | None:
        """Return an idle endpoint on probation with room for `need`."""
        for name in self.probation:
            room = self._book.rooms.get(name)
            if room is not None and not room.tasks and room.live:
                if _vector.fits(need, room.free):
                    return room
        return None

    def forget(self, name: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._records.pop(name, None)
        self.suspended.discard(name)
        self.probation.discard(name)

    def _suspend(self, name: str, record: Record, now: float) -> None:
        live = sum(self._book.capacities.values())
        allowed = math.ceil(live * MAX_SUSPECTED_FRACTION)
        if name in self.suspended or len(self.suspended) >= allowed:
            return
        record.score = 0.0
        wait = FIRST_SUSPENSION_S * 2**record.suspensions
        record.suspensions += 1
        until = now + min(wait, MAX_SUSPENSION_S) * self._rng.uniform(1, 1.2)
        heapq.heappush(self._returns, (until, name))
        self.probation.discard(name)
        self.suspended.add(name)
        self._trust(name, False)

    def _clear(self, name: str) -> None:
        record = self._records[name]
        record.score = 0.0
        if name in self.suspended or record.probation:
            self.forget(name)
            self._trust(name, True)

    def _trust(self, name: str, trusted: bool) -> None:
        room = self._book.rooms.get(name)
        if room is not None:
            room.trusted = trusted
            self._book.refresh(room)


def _quick(history: _learning.History) -> float:
    estimate = history.estimate
    if estimate is None:
        return QUICK_AT_LEAST_S
    return max(QUICK_AT_LEAST_S, QUICK_FRACTION * estimate.median)
