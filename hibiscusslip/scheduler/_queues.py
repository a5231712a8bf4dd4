"""Group the waiting jobs of one kind by urgency, team and shape.

Sets of shapes are bit masks: bit n stands for shape n.
"""

import collections
import collections.abc
import heapq

from hibiscusslip.scheduler import _jobs

ShareFunction = collections.abc.Callable[[str], float]
JobsById = collections.OrderedDict[str, _jobs.Job]


class TeamQueue:
    """Queue the jobs of one team, kind and urgency, grouped by shape.

    `mask` has the shapes of waiting jobs, `skipped_shapes` those to skip in
    this scheduling pass. `share_bounds` are lower bounds of the team's share.
    """

    def __init__(self, team: str) -> None:
        self.team = team
        self.shapes: dict[int, JobsById] = {}
        self.share_bounds: dict[int, float] = {}
        self.mask = 0
        self.skipped_shapes = 0

    def push(self, job: _jobs.Job) -> bool:
        """Add a job; return True if its shape is new here."""
        jobs = self.shapes.get(job.shape)
        if jobs is None:
            jobs = self.shapes[job.shape] = collections.OrderedDict()
        jobs[job.job_id] = job
        new = not self.mask >> job.shape & 1
        self.mask |= 1 << job.shape
        return new

    def discard(self, job: _jobs.Job) -> bool:
        """Remove a job; return True if no job of its shape is left here."""
        jobs = self.shapes.get(job.shape)
        if jobs is None or jobs.pop(job.job_id, None) is None:
            return False
        if jobs:
            return False
        del self.shapes[job.shape]
        self.mask &= ~(1 << job.shape)
        return True

    def oldest(self, mask: int) -> _jobs.Job:
        """Return the oldest job among the shapes in `mask`."""
        oldest_by_shape = []
        while mask:
            bit = mask & -mask
            mask ^= bit
            oldest_by_shape.append(
                next(iter(self.shapes[bit.bit_length() - 1].values()))
            )
        return min(oldest_by_shape, key=lambda job: job.seq)


class UrgencyQueue:
    """Queue the teams that wait with one kind and urgency.

    Each shape has its own heap of teams, ordered by share. The valid entry of
    a team is the one equal to its bound, which never exceeds the actual share;
    entries are corrected when they reach the top (lazy update).
    """

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.by_arrival: JobsById = collections.OrderedDict()
        self.heaps: dict[int, list[tuple[float, str]]] = {}
        self.mask = 0

    def push(self, job: _jobs.Job, share: float) -> bool:
        """Add a job of a team; return True if the team is new here."""
        self.by_arrival[job.job_id] = job
        team = job.spec.team
        team_queue = self.teams.get(team)
        new = team_queue is None
        if team_queue is None:
            team_queue = self.teams[team] = TeamQueue(team)
        if team_queue.push(job):
            heap = self.heaps.setdefault(job.shape, [])
            heapq.heappush(heap, (share, team))
            team_queue.share_bounds[job.shape] = share
            self.mask |= 1 << job.shape
        return new

    def discard(self, job: _jobs.Job) -> bool:
        """Remove a job; return True if no job of its team is left here."""
        self.by_arrival.pop(job.job_id, None)
        team_queue = self.teams.get(job.spec.team)
        if team_queue is None or not team_queue.discard(job):
            return False
        if team_queue.mask:
            return False
        del self.teams[team_queue.team]
        return True

    def first_job(self) -> _jobs.Job | None:
        """Return the job that arrived first."""
        return next(iter(self.by_arrival.values()), None)

    def lower_share(self, team: str, share: float) -> None:
        """Update the heaps after the share of a team has decreased."""
        team_queue = self.teams.get(team)
        if team_queue is None:
            return
        for shape in team_queue.shapes:
            if team_queue.share_bounds[shape] <= share:
                continue
            team_queue.share_bounds[shape] = share
            heap = self.heaps[shape]
            heapq.heappush(heap, (share, team))
            if len(heap) > 4 * len(self.teams) + 64:
                self._compact(shape, heap)

    def rebuild(self, share_of: ShareFunction) -> None:
        """Rebuild all heaps from the present shares."""
        for shape in list(self.heaps):
            heap = [
                (share_of(team), team)
                for team, team_queue in self.teams.items()
                if team_queue.mask >> shape & 1
            ]
            for share, team in heap:
                self.teams[team].share_bounds[shape] = share
            heapq.heapify(heap)
            self.heaps[shape] = heap

    def lowest_share_team(
        self, mask: int, share_of: ShareFunction
    ) -> tuple[float, TeamQueue] | None:
        """Return the lowest share and its team, among the shapes in `mask`."""
        best: tuple[float, str] | None = None
        left = mask & self.mask
        while left:
            bit = left & -left
            left ^= bit
            shape = bit.bit_length() - 1
            top = self._lowest_unskipped(shape, share_of)
            if top is not None and (best is None or top < best):
                best = top
        return (best[0], self.teams[best[1]]) if best else None

    def _lowest_unskipped(
        self, shape: int, share_of: ShareFunction
    ) -> tuple[float, str] | None:
        heap = self.heaps[shape]
        skipped_entries = []
        lowest = None
        while heap and lowest is None:
            share, team = heap[0]
            team_queue = self.teams.get(team)
            if team_queue is None or not team_queue.mask >> shape & 1:
                heapq.heappop(heap)
            elif team_queue.share_bounds[shape] != share:
                heapq.heappop(heap)
            elif (current := share_of(team)) != share:
                heapq.heapreplace(heap, (current, team))
                team_queue.share_bounds[shape] = current
            elif team_queue.skipped_shapes >> shape & 1:
                skipped_entries.append(heapq.heappop(heap))
            else:
                lowest = heap[0]
        for item in skipped_entries:
            heapq.heappush(heap, item)
        if not heap:
            del self.heaps[shape]
            self.mask &= ~(1 << shape)
        return lowest

    def _compact(self, shape: int, heap: list[tuple[float, str]]) -> None:
        heap[:] = [
            (team_queue.share_bounds[shape], team)
            for team, team_queue in self.teams.items()
            if team_queue.mask >> shape & 1
        ]
        heapq.heapify(heap)
