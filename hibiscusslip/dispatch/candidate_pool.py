"""List the endpoints that may get work during a scheduling pass."""

import collections.abc
import math

from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import state

# Speeds that differ by less than 19% count as equal.
SPEED_BANDS_PER_OCTAVE = 4
MAX_RATINGS = 16  # Of a pool; the least recently used one is dropped.


class RemainingCapacity:
    """The capacity that is left while tasks are placed."""

    __slots__ = ('accelerators', 'cpu', 'memory')

    def __init__(self, cpu: int, memory: int, accelerators: int) -> None:
        self.cpu = cpu
        self.memory = memory
        self.accelerators = accelerators

    def allocate(self, demand: model.Demand) -> None:
        """Subtract the demand of one task."""
        self.cpu -= demand.cpu
        self.memory -= demand.memory
        self.accelerators -= demand.accelerators

    def fits(self, demand: model.Demand) -> bool:
        """Return True if one more task fits."""
        return (
            demand.cpu <= self.cpu
            and demand.memory <= self.memory
            and demand.accelerators <= self.accelerators
        )


class Candidate(RemainingCapacity):
    """An endpoint and its free capacity during one scheduling pass.

    The amounts are copied from the endpoint, because one pass reads each of
    them for hundreds of steps. `number` is the endpoint's place in its pool,
    `speed` its speed relative to the pool's typical one; candidates of equal
    speed have the `speed_band` in common. A candidate is added to `changed`
    with each change of what fits on it.
    """

    __slots__ = (
        'changed',
        'copied_from',
        'endpoint',
        'entry',
        'number',
        'slow',
        'speed',
        'speed_band',
        'usable',
    )

    def __init__(
        self,
        endpoint: state.Endpoint,
        number: int,
        changed: list['Candidate'],
    ) -> None:
        assert endpoint.entry is not None
        super().__init__(0, 0, 0)
        self.endpoint = endpoint
        self.entry = endpoint.entry
        self.number = number
        self.usable = False
        self.slow = False
        self.speed = 1.0
        self.speed_band = 0
        self.changed = changed
        self.copied_from: model.Demand | None = None

    def allocate(self, demand: model.Demand) -> None:
        """Subtract the demand of one task."""
        super().allocate(demand)
        self.copied_from = None
        self.changed.append(self)

    def set_speed(self, speed: float) -> None:
        """Set the speed, relative to the pool's typical one."""
        if speed != self.speed:
            self.speed = speed
            self.speed_band = round(math.log2(speed) * SPEED_BANDS_PER_OCTAVE)

    def update(self) -> None:
        """Copy the amounts of the endpoint if they have changed.

        They are immutable, and the endpoint replaces them with each change.
        """
        endpoint = self.endpoint
        if self.copied_from is endpoint.used and self.entry is endpoint.entry:
            return
        assert endpoint.entry is not None
        free = endpoint.free_capacity()
        self.cpu = free.cpu
        self.memory = free.memory
        self.accelerators = free.accelerators
        self.entry = endpoint.entry
        self.copied_from = endpoint.used
        self.changed.append(self)


class Candidates:
    """List the usable endpoints of a service during one scheduling pass.

    They are kept between passes. `max_endpoint_cpu` is the CPU of the largest
    endpoint of the pool, usable or not, allocated or not, `max_capacity` the
    largest amount of each resource that one has and `labels` all their labels,
    draining ones left out. With `has_trials` a run may be on trial. Endpoints
    that are `distrusted` would answer, but are in a quarantine or a back-off.
    """

    def __init__(self) -> None:
        self.pool: list[state.Endpoint] = []
        self.all: list[Candidate] = []
        self.distrusted: list[Candidate] = []
        self.has_trials = False
        self.max_endpoint_cpu = 0
        self.max_capacity = model.Demand()
        self.labels: set[str] = set()
        self._listed: list[Candidate] = []
        self._numbers: dict[str, int] = {}
        self._by_name: dict[str, Candidate] = {}
        self._largest = model.Demand()
        self._changed: list[Candidate] = []
        self._ratings: dict[tuple[model.Demand, str], pool_rating.Rating] = {}

    def update(
        self,
        pool: list[state.Endpoint],
        suspicions: _suspicion.Suspicions,
        now: float,
    ) -> None:
        """Begin a pass with the listed endpoints of the service.

        Everything is built anew if these aren't those of the last pass.
        """
        if pool != self.pool:
            self._build(pool)
        if self._update_listed(suspicions, now):
            self.all = [item for item in self._listed if item.usable]
            self._by_name = {item.endpoint.name: item for item in self.all}
        self.distrusted = [
            item
            for item in self._listed
            if not item.usable
            and item.endpoint.reachable()
            and now >= item.endpoint.entry_outdated_until
            and suspicions.allows(item.endpoint)
        ]
        self.has_trials = any([item.endpoint.trials for item in self.all])
        self._largest = model.Demand(
            max([item.cpu for item in self.all], default=-1),
            max([item.memory for item in self.all], default=-1),
            max([item.accelerators for item in self.all], default=-1),
        )
        self.max_endpoint_cpu = max(
            [item.entry.capacity.cpu for item in self._listed], default=0
        )

    def _summarise_entries(self) -> None:
        """Find what the endpoints that stay have in all."""
        staying = [
            item.entry for item in self._listed if not item.entry.draining
        ]
        self.max_capacity = model.Demand(
            max([entry.capacity.cpu for entry in staying], default=-1),
            max([entry.capacity.memory for entry in staying], default=-1),
            max(
                [entry.capacity.accelerators for entry in staying], default=-1
            ),
        )
        self.labels = {label for entry in staying for label in entry.labels}

    def _build(self, pool: list[state.Endpoint]) -> None:
        self.pool = pool
        self.all = []
        self._by_name = {}
        self._changed = []
        self._ratings = {}
        self._listed = [
            Candidate(endpoint, number, self._changed)
            for number, endpoint in enumerate(pool)
        ]
        self._numbers = {
            endpoint.name: number for number, endpoint in enumerate(pool)
        }
        self._summarise_entries()

    def _update_listed(
        self, suspicions: _suspicion.Suspicions, now: float
    ) -> bool:
        """Update all candidates; return True if others are usable."""
        others_usable = False
        entries_changed = False
        for candidate in self._listed:
            endpoint = candidate.endpoint
            former = candidate.entry
            candidate.update()
            if candidate.entry is not former:  # mostly a heartbeat
                entries_changed |= _differs(former, candidate.entry)
            usable = endpoint.usable(now) and suspicions.allows(endpoint)
            if usable is not candidate.usable:
                candidate.usable = usable
                self._changed.append(candidate)
                others_usable = True
            candidate.slow = progress.is_slow(endpoint, now)
        if entries_changed:
            self._summarise_entries()
        self._outdate_ratings()
        return others_usable

    def _outdate_ratings(self) -> None:
        """Note in all ratings which candidates have changed."""
        for rating in self._ratings.values():
            rating.outdated.update(self._changed)
        self._changed.clear()

    def listed(self, number: int) -> Candidate:
        """Return the endpoint at a place in the pool, usable or not."""
        return self._listed[number]

    def find(self, name: str) -> Candidate | None:
        """Return the candidate of an endpoint, None if it isn't usable."""
        return self._by_name.get(name)

    def number_of(self, name: str) -> int | None:
        """Return the place of an endpoint in the pool, None if not there."""
        return self._numbers.get(name)

    @property
    def all_usable(self) -> bool:
        """Return True if each endpoint that stays is usable."""
        return all(item.usable or item.entry.draining for item in self._listed)

    def count_others(self, excluded: str) -> int:
        """Return how many endpoints the pool has beside one, '' for none."""
        return len(self.pool) - (excluded in self._numbers)

    def rate(self, demand: model.Demand, label: str) -> pool_rating.Rating:
        """Return how many tasks fit on each endpoint with a label now.

        The ratings of the last demands are kept, and updated for candidates
        that have changed.
        """
        self._outdate_ratings()
        rating = self._ratings.pop((demand, label), None)
        if rating is None:
            rating = pool_rating.Rating(demand, label, self._listed)
        self._ratings[demand, label] = rating
        if len(self._ratings) > MAX_RATINGS:
            del self._ratings[next(iter(self._ratings))]
        rating.update()
        return rating

    def note_trial(self, endpoint: state.Endpoint) -> None:
        """Note that a run was started on trial on an endpoint."""
        self.has_trials = self.has_trials or bool(endpoint.trials)

    def may_fit_anywhere(self, demand: model.Demand) -> bool:
        """Return False if no candidate has enough free capacity.

        A cheap check: it uses the free capacities at the start of the pass
        and doesn't consider which candidate has them.
        """
        return demand.fits(self._largest)

    def eligible_for(
        self,
        step: state.StepState,
        tickets: collections.abc.Iterable[str] | None,
    ) -> list[Candidate]:
        """Return the candidates that a step's label and tickets allow.

        `tickets` are the endpoints with a ticket, None if none is required.
        Endpoints with another job's run on trial are left out.
        """
        candidates = self.all
        if tickets is not None:
            by_name = self._by_name
            candidates = [by_name[name] for name in tickets if name in by_name]
        if self.has_trials:
            job_id = step.job.job_id
            candidates = [
                candidate
                for candidate in candidates
                if not candidate.endpoint.on_trial_for_other(job_id)
            ]
        label = step.spec.label
        if not label:
            return candidates
        return [
            candidate
            for candidate in candidates
            if label in candidate.entry.labels
        ]


def _differs(former: model.EndpointEntry, entry: model.EndpointEntry) -> bool:
    """Return True if another set of tasks could run on an endpoint."""
    return (
        former.draining is not entry.draining
        or former.capacity != entry.capacity
        or former.labels != entry.labels
    )
