"""Run the jobs of one shard: a state machine without I/O or clock.

The node calls the methods that handle events and carries out the commands
that `pop_commands` returns. `now` is in seconds on the host's monotonic
clock.
"""

import collections.abc
import itertools

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _acceptance
from hibiscusslip.jobs import _adoption
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _contact
from hibiscusslip.jobs import _lifecycle
from hibiscusslip.jobs import _offloaded
from hibiscusslip.jobs import _opening
from hibiscusslip.jobs import _remote
from hibiscusslip.jobs import _starting
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import budget
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base

EngineConfig = _state.EngineConfig
Counters = _state.Counters
Contact = _state.Contact
OffloadHold = _state.OffloadHold

RETRY_SHARE = 0.1  # retries per first attempt
RETRY_RESERVE = 20.0  # retries that are possible at once


def record_ids(prefix: str) -> collections.abc.Iterator[str]:
    """Return an iterator of record ids; `prefix` must be unique."""
    return (f'{prefix}.{number}' for number in itertools.count(1))


class ShardEngine:
    """Run a shard's jobs from acceptance to their final outcome."""

    def __init__(
        self,
        shard: places.Shard,
        epoch: int,
        scheduler: scheduler_base.Scheduler,
        cfg: EngineConfig,
        ids: collections.abc.Iterator[str],
        now: float,
    ) -> None:
        retry_budget = budget.RetryBudget(RETRY_SHARE, RETRY_RESERVE)
        self._st = _state.ShardState(
            shard, epoch, scheduler, cfg, ids, retry_budget
        )
        self._st.opens_at = now + cfg.lease_wait

    @property
    def is_open(self) -> bool:
        """Return whether the shard accepts requests."""
        return self._st.open

    @property
    def counters(self) -> Counters:
        """Return the engine's counters."""
        return self._st.counters

    @property
    def scheduler(self) -> scheduler_base.Scheduler:
        """Return the shard's scheduler."""
        return self._st.scheduler

    @property
    def jobs(self) -> collections.abc.Mapping[str, model.Job]:
        """Return the open and recently finished jobs, by id."""
        return self._st.jobs

    @property
    def endpoints(
        self,
    ) -> collections.abc.Mapping[str, _state.EndpointView]:
        """Return the shard's endpoints, by name."""
        return self._st.endpoints

    def pop_commands(self) -> list[commands.Command]:
        """Return and remove the pending commands."""
        popped = self._st.pending
        self._st.pending = []
        return popped

    def may_report_outcome(self, job_id: str) -> bool:
        """Return whether a finished job's outcome may be reported.

        It may not while its record is awaited.
        """
        return job_id not in self._st.delayed_reports

    def restore(self, job: model.Job) -> None:
        """Add a job of an earlier owner unless its id is known.

        Call it before the shard opens.
        """
        self._st.jobs.setdefault(job.spec.job_id, job)
        if job.outcome.final:
            self._st.finished.append(job.spec.job_id)

    @property
    def unsettled(self) -> bool:
        """Return whether the outcome of some start or run is not known yet."""
        return any(
            task.phase in (model.Phase.STARTING, model.Phase.UNCONFIRMED)
            for job in self._st.jobs.values()
            for task in job.open_tasks
        )

    def pin(self, job_ids: frozenset[str]) -> None:
        """Set the jobs that are not evicted, since they must not run again."""
        self._st.pinned = job_ids

    def set_log_up(self, up: bool) -> None:
        """Set whether the platform's log can be written."""
        self._st.log_up = up

    def submit(self, spec: work.JobSpec, now: float) -> model.Job:
        """Accept a job and return it; the same id returns the same job.

        Raise jobs.exceptions.JobError if the shard rejects the request; it
        has no effect then.
        """
        return _acceptance.submit(self._st, spec, now)

    def cancel(self, job_id: str, now: float) -> model.Job | None:
        """Cancel the tasks of a job that have not ended.

        Return the job, None if it is unknown.
        """
        st = self._st
        job = st.jobs.get(job_id)
        if job is None or job.outcome.final or job.cancelled:
            return job
        job.note('cancelled', now)
        _completion.cancel_remaining(st, job, now)
        return job

    def handle_record_confirmed(self, record_id: str, now: float) -> None:
        """Handle a record that was read back from the log and is valid."""
        record = self._st.unconfirmed_records.pop(record_id, None)
        if isinstance(record, zone_records.StartIntent):
            _starting.handle_intent_confirmed(self._st, record, now)
        elif isinstance(record, zone_records.JobAccepted):
            _lifecycle.handle_acceptance_confirmed(self._st, record, now)
        elif isinstance(record, zone_records.JobEnded):
            _completion.report_delayed_outcome(self._st, record.job_id)

    def handle_record_failed(self, record_id: str, now: float) -> None:
        """Handle a record that provably is not on the log or not valid."""
        record = self._st.unconfirmed_records.pop(record_id, None)
        if isinstance(record, zone_records.StartIntent):
            _starting.handle_intent_failed(self._st, record, now)
        elif isinstance(record, zone_records.JobAccepted):
            _lifecycle.handle_acceptance_failed(self._st, record, now)
        elif isinstance(record, zone_records.JobEnded):
            self._st.unwritten.append(record)
            _completion.report_delayed_outcome(self._st, record.job_id)

    def handle_start_results(
        self,
        endpoint: str,
        results: list[endpoint_base.StartResult],
        now: float,
    ) -> None:
        """Handle an endpoint's reply to start requests."""
        _starting.handle_start_results(self._st, endpoint, results, now)

    def handle_start_failure(
        self, endpoint: str, tasks: list[str], sent: bool, now: float
    ) -> None:
        """Handle start requests that got no reply.

        `sent` is False if none of them was sent.
        """
        _starting.handle_start_failure(self._st, endpoint, tasks, sent, now)

    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add or update an endpoint of this shard from the host list."""
        _adoption.set_endpoint(self._st, info, now)

    def handle_run_listing(
        self,
        name: str,
        listing: endpoint_base.RunListing,
        requested_at: float,
        now: float,
    ) -> None:
        """Handle the list of an endpoint's runs as of `requested_at`."""
        _adoption.handle_run_listing(
            self._st, name, listing, requested_at, now
        )
        _opening.try_open(self._st, now)

    def handle_listing_failure(self, name: str, now: float) -> None:
        """Handle a listing that got no reply; schedule another one."""
        _contact.handle_listing_failure(self._st, name, now)

    def handle_ended_runs(
        self,
        endpoint: str,
        boot: str,
        runs: list[endpoint_base.Run],
        now: float,
    ) -> None:
        """Handle ended runs that an endpoint reports.

        `boot` is the incarnation of the endpoint; a new one lost its runs.
        """
        _contact.handle_ended_runs(self._st, endpoint, boot, runs, now)

    def handle_fetched_answer(
        self, task: str, attempt: int, answer: bytes | None, now: float
    ) -> None:
        """Handle a fetched large answer; None if it is lost."""
        _lifecycle.handle_fetched_answer(self._st, task, attempt, answer, now)

    def begin_renewal(self, endpoint: str, now: float) -> list[str]:
        """Return the tasks whose leases to renew.

        Call it just before the request is sent: leases count from `now`.
        """
        return _contact.begin_renewal(self._st, endpoint, now)

    def handle_renewal(
        self, endpoint: str, missing: list[str], now: float
    ) -> None:
        """Handle renewed leases; those of `missing` could not be renewed."""
        _adoption.handle_renewal(self._st, endpoint, missing, now)

    def save_checkpoint(self, task: str, data: bytes) -> None:
        """Store a task's checkpoint for its next run."""
        match = self._st.find(task)
        if match is not None:
            match[1].checkpoint = data

    def hold(
        self,
        hold_id: str,
        offload_hold: OffloadHold,
        tasks: list[int],
        now: float,
    ) -> list[int]:
        """Hold capacity for tasks of a foreign job; return those that fit.

        Raise StaleHome.
        """
        return _offloaded.hold(self._st, hold_id, offload_hold, tasks, now)

    def commit_hold(self, hold_id: str, now: float) -> bool:
        """Start the tasks of a hold; return False if it has expired."""
        return _offloaded.commit(self._st, hold_id, now)

    def release_hold(self, hold_id: str, now: float) -> None:
        """Release a hold unless it is committed."""
        _offloaded.release(self._st, hold_id, now)

    def query_offloaded(
        self, home: places.Shard, epoch: int, tasks: list[str], now: float
    ) -> list[commands.RemoteTask]:
        """Return the states of a foreign home's tasks on this shard.

        Raise StaleHome or ShardNotReady.
        """
        return _offloaded.query(self._st, home, epoch, tasks, now)

    def stop_offloaded(
        self, home: places.Shard, epoch: int, tasks: list[str], now: float
    ) -> None:
        """Stop tasks of a foreign home; raise StaleHome."""
        _offloaded.stop(self._st, home, epoch, tasks, now)

    def write_remote_intent(
        self, job_id: str, tasks: list[int], shard_names: list[str]
    ) -> str:
        """Write the intent to start tasks on other shards.

        Return the id of the record.
        """
        return _remote.write_intent(self._st, job_id, tasks, shard_names)

    def mark_remote(
        self,
        job_id: str,
        index: int,
        place: str,
        settled_at: float,
        now: float,
    ) -> int:
        """Mark a task as starting on another shard; return its attempt.

        Until `settled_at` the start may still be under way.
        """
        return _remote.mark_remote(
            self._st, job_id, index, place, settled_at, now
        )

    def handle_hold_expired(
        self, job_id: str, index: int, reason: str, now: float
    ) -> None:
        """Handle a remote task whose hold was provably never committed."""
        _remote.handle_hold_expired(self._st, job_id, index, reason, now)

    def start_local(
        self, starts: list[scheduler_base.Start], now: float
    ) -> None:
        """Start the tasks of a gang that were placed on this shard."""
        _starting.prepare_starts(self._st, starts, now)

    def get_remote_queries(self, now: float) -> dict[str, list[str]]:
        """Return the ids of the tasks to query other shards for, by shard."""
        return _remote.get_remote_queries(self._st, now)

    def handle_remote_report(
        self, place: str, report: commands.RemoteTask, now: float
    ) -> None:
        """Handle another shard's report on a task of this shard's jobs."""
        _remote.handle_remote_report(self._st, place, report, now)

    def observe(self, usage: list[endpoint_base.Usage], now: float) -> None:
        """Pass the resource usage of runs, which lags, to the scheduler."""
        for report in usage:
            if self._st.find(report.task) is not None:
                self._st.scheduler.observe(report.task, report.used, now)

    def tick(self, now: float) -> None:
        """Handle elapsed timeouts, then make scheduling decisions."""
        st = self._st
        for view in list(st.endpoints.values()):
            _contact.check_endpoint(st, view, now)
        _opening.try_open(st, now)
        _lifecycle.report_overdue_outcomes(st, now)
        _lifecycle.retry_unwritten(st)
        _lifecycle.evict_finished(st, now)
        _offloaded.expire(st, now)
        self.decide(now)

    def decide(self, now: float) -> None:
        """Run a scheduling pass if the shard is open."""
        st = self._st
        if st.open:
            _starting.apply_decisions(st, st.scheduler.decide(now), now)
