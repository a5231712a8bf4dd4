"""Decide which endpoints suit a step, by their speed and their room.

A step with little slack goes to fast endpoints. One that can wait goes to
slow endpoints, which leaves the fast ones to others. Small tasks go where no
large one would fit anyway.
"""

import collections.abc
import dataclasses
import math

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

# The ratio of slack to critical path from which a step is patient: even a
# straggler on a slow endpoint then ends while its job is of some use.
PATIENT_SLACK_RATIO = 2.5
RUN_TIME_MARGIN = 1.5  # a job waits for the slowest of its tasks
SMALL_SHARE = 0.5  # of the largest demand, up to which a task is small


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """Rank candidates for the tasks of one step.

    `run_time` is the expected one on an endpoint of ordinary speed, in
    seconds. A task that takes longer than `time_left` makes its job late. A
    `patient` step can wait, and so prefers slow endpoints.
    `room` is the demand of large tasks, if the step's own are small.
    """

    run_time: float = 0.0
    time_left: float = math.inf
    patient: bool = False
    considers_speed: bool = False
    room: model.Demand | None = None

    def is_too_slow(self, candidate: candidate_pool.Candidate) -> bool:
        """Return True if a task would make its job late on a candidate.

        False if it would do so on an endpoint of ordinary speed as well.
        """
        if RUN_TIME_MARGIN * self.run_time > self.time_left:
            return False
        longest = RUN_TIME_MARGIN * self.run_time / candidate.speed
        return longest > self.time_left

    def speed_rank(self, candidate: candidate_pool.Candidate) -> int:
        """Return the rank of a candidate's speed; the lowest is the best."""
        if not self.considers_speed:
            return 0
        band = candidate.speed_band
        return band if self.patient else -band

    def rank(
        self,
        candidate: candidate_pool.Candidate,
        left: candidate_pool.RemainingCapacity,
        demand: model.Demand,
        count: int,
    ) -> tuple[int, int]:
        """Return the rank of a candidate for `count` tasks.

        To leave room for large tasks matters less than the speed to a step
        that can't wait.
        """
        room = int(self.uses_up_room(left, demand, count))
        speed = self.speed_rank(candidate)
        return (room, speed) if self.patient else (speed, room)

    def uses_up_room(
        self,
        left: candidate_pool.RemainingCapacity,
        demand: model.Demand,
        count: int,
    ) -> bool:
        """Return True if `count` tasks would take the room of a large one."""
        if self.room is None or not left.fits(self.room):
            return False
        return (
            left.cpu - count * demand.cpu < self.room.cpu
            or left.memory - count * demand.memory < self.room.memory
            or left.accelerators - count * demand.accelerators
            < self.room.accelerators
        )

    def group_by_speed(
        self, candidates: list[candidate_pool.Candidate]
    ) -> list[list[candidate_pool.Candidate]]:
        """Return groups of candidates of equal speed, the best group first."""
        if not self.considers_speed:
            return []
        groups: dict[int, list[candidate_pool.Candidate]] = {}
        for candidate in candidates:
            rank = self.speed_rank(candidate)
            groups.setdefault(rank, []).append(candidate)
        return [groups[rank] for rank in sorted(groups)]


NONE = Preference()


def for_step(
    step: state.StepState,
    slack: float,
    run_time: float,
    remaining: float,
    largest: model.Demand,
) -> Preference:
    """Return the preference of a step.

    `slack` is how long its start can wait, `remaining` the length of the
    critical path from it on, both in seconds; `largest` is the largest
    demand of a task of its service.
    """
    demand = step.spec.allocated_demand
    is_small = (
        demand.cpu <= SMALL_SHARE * largest.cpu
        and demand.accelerators <= SMALL_SHARE * largest.accelerators
    )
    if step.spec.long_running:
        return Preference(room=largest if is_small else None)
    return Preference(
        run_time,
        slack + run_time,
        slack >= PATIENT_SLACK_RATIO * remaining,
        True,
        largest if is_small else None,
    )


def largest_demands(
    steps: collections.abc.Iterable[state.StepState],
) -> dict[str, model.Demand]:
    """Return the largest demand of a task of each service."""
    largest: dict[str, model.Demand] = {}
    for step in steps:
        demand = step.spec.allocated_demand
        known = largest.get(step.job.service)
        if known is None or _size(demand) > _size(known):
            largest[step.job.service] = demand
    return largest


def _size(demand: model.Demand) -> tuple[int, int]:
    return demand.accelerators, demand.cpu
