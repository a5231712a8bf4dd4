"""Implement the callers' job service on top of the acceptor."""

import collections.abc

import curio

from hibiscusslip.caller import exceptions
from hibiscusslip.caller import service
from hibiscusslip.jobs import identity
from hibiscusslip.jobs import view
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.node import clock
from hibiscusslip.node import home_client
from hibiscusslip.node import node as node_

MAX_STATUS_WAIT_SECONDS = 5.0
MAX_CONCURRENT_JOBS = 64
DEFAULT_RETRY_SECONDS = 1.0
KEY_REUSED = 'KeyReused'

FailureKind = home_client.FailureKind


class CallerService(service.JobService):
    """Translate callers' requests into calls of the acceptor."""

    def __init__(self, node: node_.Node) -> None:
        self._node = node
        self._close_deadline: float | None = None

    def set_close_deadline(self, deadline: float) -> None:
        """Answer all waiting callers by `deadline`, with the job's state."""
        self._close_deadline = deadline

    def new_job_id(self, team: str, key: str) -> str:
        """Return the job id for a key, or '' without a key.

        The acceptor assigns the id of a job without a key.
        """
        if not key:
            return ''
        home = identity.keyed_home(team, key, self._node.cfg.shards)
        return identity.keyed_id(home, team, key)

    def default_urgency(self, kind: str) -> work.Urgency:
        """Return the urgency that the sheet assigns to a kind."""
        return self._node.sheet_reconciler.get_urgency(kind)

    def readiness(self) -> service.Readiness:
        """Return whether this host accepts jobs, and why not."""
        if not self._node.fleet.policy_version:
            detail = 'no configuration is in force yet; publish a sheet'
            return service.Readiness(False, detail)
        if self._node.ownership.draining:
            return service.Readiness(False, 'this host is being drained')
        return service.Readiness(True)

    async def submit(self, spec: work.JobSpec) -> service.JobState:
        """Queue a job and return its state without waiting."""
        return await self.submit_and_wait(spec, 0.0)

    async def submit_and_wait(
        self, spec: work.JobSpec, wait: float
    ) -> service.JobState:
        """Queue a job and wait up to `wait` seconds for its final state.

        A job that isn't durable is kept only while a caller waits for it, so
        the acceptor submits it again after a failover of its home.
        """
        if not self._node.fleet.policy_version:
            raise exceptions.Unavailable(self.readiness().detail)
        with self._node.tracer.start_span('accept', spec.trace) as span:
            span.set_attribute('team', spec.team)
            traced = work.with_trace(spec, span.traceparent)
            return await self._submit_until_final(traced, wait)

    async def _submit_until_final(
        self, spec: work.JobSpec, wait: float
    ) -> service.JobState:
        deadline = clock.now() + wait
        state = await self._submit_once(spec, deadline, False)
        while not state.outcome.final and self._next_wait(deadline) > 0:
            resubmitted = work.with_id(spec, state.job_id)
            state = await self._submit_once(resubmitted, deadline, True)
        return state

    async def _submit_once(
        self, spec: work.JobSpec, deadline: float, was_accepted: bool
    ) -> service.JobState:
        """Submit a job and wait for its final state for one interval.

        A job that may have run is retried until `deadline`, as a failover
        may take longer than one interval.
        """
        return await _await_state(
            self._node.acceptor.submit(
                spec,
                self._next_wait(deadline),
                self._remaining(deadline),
                was_accepted,
            )
        )

    async def submit_all(
        self, specs: list[work.JobSpec], wait: float
    ) -> list[service.JobState]:
        """Queue jobs concurrently and return their states in order."""
        states: dict[int, service.JobState] = {}
        semaphore = curio.Semaphore(MAX_CONCURRENT_JOBS)

        async def submit_one(index: int) -> None:
            async with semaphore:
                states[index] = await self.submit_reporting_failure(
                    specs[index], wait
                )

        async with curio.TaskGroup() as group:
            for index in range(len(specs)):
                await group.spawn(submit_one, index)
        return [states[index] for index in range(len(specs))]

    async def wait(self, job_id: str, timeout: float) -> service.JobState:
        """Return the state once it is final, or after `timeout` seconds."""
        deadline = clock.now() + timeout
        while True:
            remaining = self._next_wait(deadline)
            state = await _await_state(
                self._node.acceptor.status(job_id, remaining)
            )
            if state.outcome.final or self._next_wait(deadline) <= 0:
                return state

    async def status(self, job_id: str) -> service.JobState:
        """Return a job's present state."""
        return await _await_state(self._node.acceptor.status(job_id, 0.0))

    async def cancel(self, job_id: str) -> service.JobState:
        """Cancel the tasks of a job that have not ended."""
        return await _await_state(self._node.acceptor.cancel(job_id))

    async def explain(self, job_id: str) -> service.JobHistory:
        """Return a job's event history with reasons."""
        try:
            history = await self._node.acceptor.explain(job_id)
        except identity.BadJobId as exc:
            raise exceptions.UnknownJob(str(exc)) from exc
        except acceptor.RequestFailed as exc:
            raise _make_error(exc) from exc
        return history

    def _next_wait(self, deadline: float) -> float:
        """Return the time to wait in the next call, in seconds."""
        return min(self._remaining(deadline), MAX_STATUS_WAIT_SECONDS)

    def _remaining(self, deadline: float) -> float:
        """Return the seconds until a deadline, or until this host closes."""
        if self._close_deadline is not None:
            deadline = min(deadline, self._close_deadline)
        return max(deadline - clock.now(), 0.0)


async def _await_state(
    call: collections.abc.Awaitable[view.JobView],
) -> service.JobState:
    """Await a call and return the job's state.

    Raises the errors of the callers' interface.
    """
    try:
        return await call
    except identity.BadJobId as exc:
        raise exceptions.UnknownJob(str(exc)) from exc
    except acceptor.RequestFailed as exc:
        refused = _make_refused_state(exc)
        if refused is not None:
            return refused
        raise _make_error(exc) from exc


def _make_refused_state(
    exc: acceptor.RequestFailed,
) -> service.JobState | None:
    """Return the state of a request that the policy refused, else None."""
    failure = exc.failure
    refused = failure.kind == FailureKind.REFUSED and not exc.may_have_run
    if not refused or not failure.reason.startswith('policy:'):
        return None
    return service.JobState(
        exc.job_id,
        work.Outcome.NOT_RUN,
        failure.detail,
        retry_after=failure.retry_after,
        nearest=failure.nearest,
    )


def _make_error(exc: acceptor.RequestFailed) -> exceptions.JobError:
    failure = exc.failure
    if failure.kind == FailureKind.UNKNOWN_JOB:
        return exceptions.UnknownJob(failure.detail)
    if failure.reason == KEY_REUSED:
        return exceptions.KeyReused(failure.detail)
    if exc.may_have_run:
        return exceptions.OutcomeUnknown(
            f'{failure.detail}; the job may run: ask for its state'
            f' by GET /v1/jobs/{exc.job_id}'
        )
    retry_after = failure.retry_after or DEFAULT_RETRY_SECONDS
    return exceptions.Unavailable(failure.detail, retry_after)
