"""The endpoints that may get work during a scheduling pass."""

import collections.abc

from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import model
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
    `speed` its speed relative to the pool's typical one.
    """

    __slots__ = ('endpoint', 'entry', 'number', 'slow', 'speed')

    def __init__(self, endpoint: state.Endpoint, number: int, now: float):
        free = endpoint.free_capacity()
        super().__init__(free.cpu, free.memory, free.accelerators)
        assert endpoint.entry is not None
        self.endpoint = endpoint
        self.entry = endpoint.entry
        self.number = number
        self.slow = progress.is_slow(endpoint, now)
        self.speed = 1.0


class Candidates:
    """The usable endpoints of a service during one scheduling pass.

    `max_endpoint_cpu` is the CPU of the largest endpoint of the pool, usable
    or not, allocated or not.
    """

    def __init__(
        self,
        pool: list[state.Endpoint],
        suspicions: _suspicion.Suspicions,
        now: float,
    ) -> None:
        self.all = [
            Candidate(endpoint, number, now)
            for number, endpoint in enumerate(pool)
            if endpoint.usable(now) and suspicions.allows(endpoint)
        ]
        self._has_trials = any(c.endpoint.trials for c in self.all)
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

    def note_trial(self, endpoint: state.Endpoint) -> None:
        """Note that a run was started on trial on an endpoint."""
        self._has_trials = self._has_trials or bool(endpoint.trials)

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
        if self._has_trials:
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


def count_fitting(
    demand: model.Demand,
    capacity: RemainingCapacity | model.Demand,
    limit: int,
) -> int:
    """Return how often a demand fits in a capacity, at most `limit`."""
    count = limit
    if demand.cpu:
        count = min(count, capacity.cpu // demand.cpu)
    if demand.memory:
        count = min(count, capacity.memory // demand.memory)
    if demand.accelerators:
        count = min(count, capacity.accelerators // demand.accelerators)
    return max(count, 0)
