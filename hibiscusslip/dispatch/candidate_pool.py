"""The endpoints that may get work during a scheduling pass."""

import collections.abc

from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import state


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
    """A usable endpoint and its free capacity during one scheduling pass.

    The amounts are copied from the endpoint, because one pass reads each of
    them for hundreds of steps. `number` is the endpoint's place in its pool,
    `speed` its speed relative to the pool's typical one. It is added to
    `changed` with each allocation.
    """

    __slots__ = ('changed', 'endpoint', 'entry', 'number', 'slow', 'speed')

    def __init__(
        self,
        endpoint: state.Endpoint,
        number: int,
        now: float,
        changed: list['Candidate'],
    ) -> None:
        free = endpoint.free_capacity()
        super().__init__(free.cpu, free.memory, free.accelerators)
        assert endpoint.entry is not None
        self.endpoint = endpoint
        self.entry = endpoint.entry
        self.number = number
        self.slow = progress.is_slow(endpoint, now)
        self.speed = 1.0
        self.changed = changed

    def allocate(self, demand: model.Demand) -> None:
        """Subtract the demand of one task."""
        super().allocate(demand)
        self.changed.append(self)


class Candidates:
    """The usable endpoints of a service during one scheduling pass.

    `max_endpoint_cpu` is the CPU of the largest endpoint of the pool, usable
    or not, allocated or not. With `has_trials` a run may be on trial.
    """

    def __init__(
        self,
        pool: list[state.Endpoint],
        suspicions: _suspicion.Suspicions,
        now: float,
    ) -> None:
        self.pool = pool
        self._numbers = {
            endpoint.name: number for number, endpoint in enumerate(pool)
        }
        self._changed: list[Candidate] = []
        self._ratings: dict[tuple[model.Demand, str], pool_rating.Rating] = {}
        self.all = [
            Candidate(endpoint, number, now, self._changed)
            for number, endpoint in enumerate(pool)
            if endpoint.usable(now) and suspicions.allows(endpoint)
        ]
        self.has_trials = any(c.endpoint.trials for c in self.all)
        self._by_name = {
            candidate.endpoint.name: candidate for candidate in self.all
        }
        self._largest = model.Demand(
            max((candidate.cpu for candidate in self.all), default=-1),
            max((candidate.memory for candidate in self.all), default=-1),
            max(
                (candidate.accelerators for candidate in self.all), default=-1
            ),
        )
        self.max_endpoint_cpu = max(
            (e.entry.capacity.cpu for e in pool if e.entry is not None),
            default=0,
        )

    def find(self, name: str) -> Candidate | None:
        """Return the candidate of an endpoint, None if it isn't usable."""
        return self._by_name.get(name)

    def number_of(self, name: str) -> int | None:
        """Return the place of an endpoint in the pool, None if not there."""
        return self._numbers.get(name)

    def count_others(self, excluded: str) -> int:
        """Return how many endpoints the pool has beside one, '' for none."""
        return len(self.pool) - (excluded in self._numbers)

    def rate(self, demand: model.Demand, label: str) -> pool_rating.Rating:
        """Return how many tasks fit on each endpoint with a label now.

        A rating is kept for the rest of the pass. Allocations change it.
        """
        for candidate in self._changed:
            for known in self._ratings.values():
                known.update(candidate)
        self._changed.clear()
        rating = self._ratings.get((demand, label))
        if rating is None:
            rating = pool_rating.Rating(demand, label, self.pool, self.find)
            self._ratings[demand, label] = rating
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
