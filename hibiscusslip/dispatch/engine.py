"""Turn jobs, endpoint reports and the time into starts and stops."""

import collections.abc
import sys
import typing

from hibiscusslip.dispatch import _attempts
from hibiscusslip.dispatch import _draining
from hibiscusslip.dispatch import _durability
from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import _limiter
from hibiscusslip.dispatch import _lost_runs
from hibiscusslip.dispatch import _occurrences
from hibiscusslip.dispatch import _pacing
from hibiscusslip.dispatch import _planning
from hibiscusslip.dispatch import _reports
from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import advice_calls
from hibiscusslip.dispatch import advice_planning
from hibiscusslip.dispatch import advice_sizing
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import entitlement
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import queue_records
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import shares
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs
from hibiscusslip.dispatch import usage

Note = collections.abc.Callable[..., None]


def _ignore(event: str, **fields: typing.Any) -> None:
    return None


class Engine:
    """Track an owner's jobs and endpoints, and decide what runs where.

    The host that owns the cell passes in events, writes the records of the
    jobs in `dirty`, and carries out the commands in `starts`, `stops`,
    `paces` and `advice_requests`. A start may be sent only after the record
    of its job is written. In all methods `now` is the host's monotonic clock
    and `wall_time` a Unix time.

    `policy` says which optional decisions are made. `lease` is the length of
    a lease in seconds, `max_lease` that of the longest that endpoints grant.
    `active_steps` are the steps with unfinished tasks, `periodic_jobs` the
    jobs with occurrences to come. `adviser_count` is the number of hosts that
    call the advice service, `advice_calls` has the calls in progress.
    `eligible_shares` are what was learned of the advice, by queue.
    `withheld_names` are the endpoints whose leases may not be extended,
    `recent_losses` those that crashed lately. `ledger` has what each
    organisation has running; its limit may be exceeded by the share
    `limit_overage` as far as `limits.count_startable` says. Its rate of jobs
    is judged over `entitlement_window` seconds. `held_tasks` have failed and
    wait until it is known how many attempts they have. `starts_decided` is the
    number of starts so far; passes decide at most `starts_left` more.
    """

    def __init__(
        self,
        lease: float,
        note: Note = _ignore,
        max_lease: float | None = None,
        policy: policies.Policy = policies.Policy(),
        limit_overage: float = 0.0,
        entitlement_window: float = entitlement.DEFAULT_WINDOW_S,
    ) -> None:
        self.lease = lease
        self.policy = policy
        self.max_lease = lease if max_lease is None else max_lease
        self.note = note
        self.jobs: dict[str, state.Job] = {}
        self.endpoints: dict[str, state.Endpoint] = {}
        self.candidates: dict[str, candidate_pool.Candidates] = {}
        self.config: model.Configuration | None = None
        self.estimates = estimates.Estimates(policy)
        self.dirty: set[str] = set()
        self.starts: list[commands.Start] = []
        self.stops: list[commands.Stop] = []
        self.paces: list[commands.Pace] = []
        self.advice_requests: list[commands.AdviceRequest] = []
        self.active_steps: dict[str, state.StepState] = {}
        self.periodic_jobs: dict[str, state.Job] = {}
        self.adviser_count = 1
        self.advice_calls = advice_calls.AdviceCalls()
        self.withheld_names: set[str] = set()
        self.recent_losses: list[crashes.Loss] = []
        self.eligible_shares: dict[str, advice_sizing.EligibleShare] = {}
        self.shares = shares.Shares(entitlement_window)
        self.headroom: dict[str, _headroom.Headroom] = {}
        self.ledger = usage.Ledger()
        self.limiter = _limiter.Limiter(self.ledger, note, limit_overage)
        self.held_tasks: dict[str, state.Task] = {}
        self.starts_decided = 0
        self.starts_left = sys.maxsize
        self._accepted_queues: dict[model.Queue, model.Queue] = {}
        self._unclassified: list[tuple[float, state.Job]] = []

    def configure(
        self, config: model.Configuration | None, policy: policies.Policy
    ) -> None:
        """Use a version of the configuration and a policy from now on."""
        if policy.endpoint_speeds is not self.policy.endpoint_speeds:
            self.candidates = {}  # they keep the speeds that were set
        self.config = config
        self.policy = policy
        self.estimates.policy = policy
        if config is not None and self._unclassified:
            self._classify_late(config)

    def _classify_late(self, config: model.Configuration) -> None:
        """Classify the jobs that were read before there was a configuration.

        All jobs so far are among them, so no holding has a run of theirs yet.
        """
        unclassified, self._unclassified = self._unclassified, []
        unclassified.sort(key=lambda pair: pair[0])
        for accepted, job in unclassified:
            self.shares.classify(job, config, accepted, accepted)
        for endpoint in self.endpoints.values():
            for allocation in endpoint.allocations.values():
                if allocation.holding is not None:
                    allocation.holding.add(allocation.demand)

    # Jobs.

    def submit(
        self,
        job_id: str,
        submission: records.Submission,
        spec: model.JobSpec,
        now: float,
        wall_time: float,
    ) -> state.Job:
        """Add an accepted job and return it.

        Idempotent: a job that is known already is returned unchanged.
        """
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = state.Job(
            job_id,
            submission.queue,
            submission.service,
            spec,
            now,
            organisation=submission.organisation,
            accepted_queue=self._accepted_queue(submission),
        )
        if self.config is None:
            accepted = min(submission.accepted, wall_time)
            self._unclassified.append((accepted, job))
        self.shares.classify(job, self.config, submission.accepted, wall_time)
        self.jobs[job_id] = job
        if not spec.times:
            self.create_occurrence(job, 0, now)
            return job
        self.periodic_jobs[job_id] = job
        _occurrences.create_due_of(self, job, now, wall_time)
        return job

    def create_occurrence(
        self, job: state.Job, number: int, now: float
    ) -> None:
        """Create the steps and tasks of one occurrence."""
        for step in _occurrences.create(job, number, now):
            self.active_steps[step.name] = step
            if self.estimates.learns:
                self.estimates.unlogged_steps.append(step)

    def create_due_occurrences(self, now: float, wall_time: float) -> None:
        """Create the occurrences that are due, as many as one pass may."""
        _occurrences.create_due(self, now, wall_time)

    def find_task(
        self, job: state.Job, occurrence: int, step: int, index: int
    ) -> state.Task:
        """Return a task of a job; one that is done if it isn't kept.

        Raises IndexError if the job has no such step or task.
        """
        return _occurrences.find_task(job, occurrence, step, index)

    def restore_occurrences(
        self, job: state.Job, row: records.JobRow, now: float
    ) -> None:
        """Create the open occurrences in a job's record, and only those."""
        _occurrences.restore(self, job, row, now)

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancel a job; return False if it isn't known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if not job.state.final:
            self.finish(job, model.JobState.CANCELLED, now)
        return True

    def finish(
        self, job: state.Job, outcome: model.JobState, now: float
    ) -> None:
        """Set the final state of a job and stop its active runs."""
        job.state = outcome
        job.final_at = now
        self.dirty.add(job.job_id)
        self.periodic_jobs.pop(job.job_id, None)
        for step in job.steps():
            self.active_steps.pop(step.name, None)
            for task in step.tasks:
                for run in task_runs.to_stop(task):
                    self.stop(task, outcome.value, now, run)
        self.note('job_ended', job=job.job_id, outcome=outcome.value)

    def stop(
        self, task: state.Task, reason: str, now: float, run: int = 0
    ) -> None:
        """Stop a task's second run if it is `run`, else its current one."""
        name, number = task_runs.place_of(task, run)
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        allocation = endpoint.allocations.get((task.name, number))
        if allocation is not None and not allocation.stop_requested_at:
            allocation.stop_requested_at = now
        self.stops.append(commands.Stop(name, task.name, number, reason))

    def find_ended_before(self, before: float) -> list[state.Job]:
        """Return the jobs that ended before a time and may be forgotten."""
        return _durability.find_ended_before(self.jobs, self.ledger, before)

    def _accepted_queue(
        self, submission: records.Submission
    ) -> model.Queue | None:
        """Return the queue under which a job was accepted, if it's known.

        Former releases don't record it; the configuration may still have it.
        """
        if submission.queue_row is None:
            return self._configured_queue(submission.queue)
        queue = queue_records.decode(
            submission.queue_row, submission.queue, submission.service
        )
        return self._accepted_queues.setdefault(queue, queue)  # saves memory

    def _configured_queue(self, name: str) -> model.Queue | None:
        return self.config.queues.get(name) if self.config else None

    def known_queue_of(self, job: state.Job) -> model.Queue | None:
        """Return a job's queue, else as it was accepted; None if unknown."""
        return self._configured_queue(job.queue) or job.accepted_queue

    def queue_of(self, job: state.Job) -> model.Queue:
        """Return a job's queue, or DEFAULT_QUEUE if it isn't known.

        Only for decisions that can be changed later.
        """
        return self.known_queue_of(job) or estimates.DEFAULT_QUEUE

    # Endpoints.

    def pools(self) -> dict[str, list[state.Endpoint]]:
        """Return the listed endpoints of each service."""
        pools: dict[str, list[state.Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.entry is not None:
                pools.setdefault(endpoint.entry.service, []).append(endpoint)
        return pools

    def add_endpoint(self, name: str) -> state.Endpoint:
        """Add an endpoint without an entry and return it."""
        endpoint = state.Endpoint(name, observe=self.ledger.record_allocation)
        self.endpoints[name] = endpoint
        return endpoint

    def register_endpoint(
        self, entry: model.EndpointEntry, now: float
    ) -> None:
        """Apply an endpoint's entry in the platform's list."""
        endpoint = self.endpoints.get(entry.name)
        if endpoint is None:
            endpoint = self.add_endpoint(entry.name)
            endpoint.withheld = entry.name in self.withheld_names
            self.note('endpoint_found', endpoint=entry.name)
        known = endpoint.entry
        if known is not None and known.born == entry.born:
            if known.seq > entry.seq:
                return  # an older entry that was read late
        endpoint.entry = entry
        if entry.born == endpoint.born:
            endpoint.entry_outdated_until = 0.0
        endpoint.address = entry.address
        endpoint.zone = entry.zone
        if entry.draining and not endpoint.draining_since:
            endpoint.draining_since = now
            self.note('endpoint_draining', endpoint=entry.name)
        elif not entry.draining:
            endpoint.draining_since = 0.0

    def unregister_endpoint(self, name: str, now: float) -> None:
        """Remove the entry of an endpoint that isn't listed any more.

        The endpoint keeps its allocations, as its runs may still be active.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.entry is None:
            return
        endpoint.entry = None
        self.note('endpoint_unlisted', endpoint=name)

    def handle_report(
        self,
        name: str,
        report: model.EndpointReport,
        sent: float,
        now: float,
    ) -> None:
        """Apply an endpoint's reply to a poll that was sent at `sent`."""
        self.handle_response(name, now)
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            _reports.apply(self, endpoint, report, sent, now)

    def handle_response(
        self, name: str, now: float, clock: float | None = None
    ) -> None:
        """Record an answer, with the time on the endpoint's clock if known."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            _suspicion.handle_response(endpoint, clock, now)

    def handle_no_response(self, name: str, sent: float, now: float) -> None:
        """Record that an endpoint left a call sent at `sent` unanswered."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None and _suspicion.handle_no_response(
            endpoint, sent, now
        ):
            self.note(
                'endpoint_doubted',
                endpoint=name,
                answered_ms_ago=int((now - endpoint.last_response_at) * 1000),
            )

    def mark_unresponsive(self, name: str) -> None:
        """Mark an endpoint as unresponsive until its next report."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        endpoint.silent = True
        if endpoint.responsive:
            endpoint.responsive = False
            self.note('endpoint_silent', endpoint=name)

    def handle_replacement(self, name: str, now: float) -> None:
        """Abandon the runs of an endpoint whose address another one has."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            _lost_runs.handle_replacement(self, endpoint, now)

    # Starts.

    def confirm_start(
        self, start: commands.Start, now: float, clock: float | None = None
    ) -> None:
        """Record that an endpoint confirmed a start."""
        self.handle_response(start.endpoint, now, clock)
        allocation = self._allocation_of(start)
        if allocation is not None:
            allocation.confirmed_at = now
            task_runs.confirm(start.task, start.run, now)
            if start.task.on_trial:
                self.dirty.add(start.task.step.job.job_id)

    def note_unanswered(self, start: commands.Start) -> None:
        """Record that a start was sent and may be carried out late."""
        allocation = self._allocation_of(start)
        if allocation is not None:
            allocation.partly_unanswered = True

    def still_fits(self, start: commands.Start) -> bool:
        """Return False if the endpoint has shrunk since the decision."""
        endpoint = self.endpoints.get(start.endpoint)
        return endpoint is None or _lost_runs.still_fits(endpoint, start)

    def revert_start(
        self, start: commands.Start, reason: str, now: float
    ) -> None:
        """Revert a start that is known to have had no effect."""
        endpoint = self.endpoints.get(start.endpoint)
        if endpoint is not None:
            _lost_runs.revert_start(self, endpoint, start, reason, now)

    def _allocation_of(self, start: commands.Start) -> state.Allocation | None:
        endpoint = self.endpoints.get(start.endpoint)
        if endpoint is None:
            return None
        return endpoint.allocations.get((start.task.name, start.run))

    # Advice.

    def handle_advice(
        self,
        request: commands.AdviceRequest,
        tickets: dict[str, str] | None,
        until: float,
        now: float,
    ) -> None:
        """Apply a reply of the advice service; its tickets expire at `until`.

        `tickets` is None if the call failed.
        """
        advice_planning.handle_reply(self, request, tickets, until, now)

    # Time.

    def plan(
        self, now: float, wall_time: float, may_start: bool = True
    ) -> None:
        """Run one scheduling pass at once, which adds commands."""
        planning = self.begin_plan(now, wall_time, may_start)
        while planning is not None and planning.advance(now):
            pass

    def begin_plan(
        self, now: float, wall_time: float, may_start: bool = True
    ) -> _planning.Planning | None:
        """Begin a scheduling pass, which adds commands.

        What is left of it is done in pieces; None if nothing may start.
        """
        self.create_due_occurrences(now, wall_time)
        _attempts.decide_held(self, now)
        _lost_runs.abandon_expired(self, now)
        _draining.move_runs(self, now)
        _pacing.pace(self, now)
        self.estimates.parallelism.update(
            self.config, self.endpoints.values(), now
        )
        return _planning.Planning(self, now) if may_start else None

    def handled_cursors(self) -> dict[str, state.HandledCursor]:
        """Return the cursor of each endpoint's handled ended runs.

        Call it before the jobs in `dirty` are encoded, and pass the result to
        `confirm_records` once their records are written.
        """
        return {
            endpoint.name: state.HandledCursor(
                endpoint.born, endpoint.handled_cursor
            )
            for endpoint in self.endpoints.values()
        }

    def confirm_records(
        self,
        written: dict[str, model.JobState],
        cursors: dict[str, state.HandledCursor],
    ) -> None:
        """Record that the records of jobs and ended runs are written.

        `written` maps the jobs to the states in their records; `cursors` is
        the result of `handled_cursors`.
        """
        _durability.confirm_records(
            self.jobs, self.endpoints, written, cursors
        )
