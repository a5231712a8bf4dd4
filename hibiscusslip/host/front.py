"""Serve callers: accept jobs, return their state, cancel them."""

import abc
import dataclasses
import re

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import queue_records
from hibiscusslip.dispatch import records
from hibiscusslip.host import access
from hibiscusslip.host import admission_control
from hibiscusslip.host import client_limits
from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import retry_hints
from hibiscusslip.host import topics
from hibiscusslip.http import messages
from hibiscusslip.http import server
from hibiscusslip.platform import callers
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

RESPONSE_RESERVE_S = 0.05
# Below context.MAX_STORE_ANSWER_AGE_S, as being unready costs less than
# refusing requests.
READY_MAX_STORE_ANSWER_AGE_S = 0.75
MAX_LOGGED_PATH_CHARS = 80
METHODS = ('GET', 'POST', 'DELETE')
OTHER_METHOD = 'other'  # all further ones: clients make them up
JOB_ID = re.compile(r'[0-9a-f]{16}\Z')


class JobStateSource(admission_control.KnownJobs):
    """Interface to job states at the cell's owner, local or remote."""

    @abc.abstractmethod
    async def query_job_state(
        self, job_id: str, organisation: str
    ) -> model.JobState | None:
        """Return a job's state, or None if it provably doesn't exist.

        It doesn't exist either for callers that may not access it;
        `organisation` is the caller's, '' for none. Raises OwnerUnavailable
        if the owner can't be queried now.
        """

    async def may_know_job(self, job_id: str) -> bool:
        """Return True, as it isn't known what the owner has read."""
        return True


class OwnerUnavailable(Exception):
    """Raise when the owner can't be queried; retry in a moment."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request for a queue that its caller may use.

    `organisation` is the caller's, '' for none.
    """

    req: messages.Request
    queue: model.Queue
    organisation: str
    started: float

    @property
    def job_id(self) -> str:
        """Return the rest of the path, '' for the queue itself."""
        return self.req.path[len(self.queue.prefix) :]

    @property
    def deadline(self) -> float:
        """Return when the caller has to be answered."""
        timeout = callers.request_timeout(self.req)
        return self.started + timeout - RESPONSE_RESERVE_S


class FrontHandler(server.Handler):
    """Handle callers' requests for jobs and queues."""

    def __init__(
        self,
        ctx: context.Context,
        job_states: JobStateSource,
        job_inbox: inbox.Inbox,
        limits: client_limits.ClientLimits | None = None,
    ) -> None:
        self._ctx = ctx
        self._limits = limits or client_limits.derive(ctx.cfg)
        self._job_states = job_states
        self._inbox = job_inbox
        self._authenticator = access.Authenticator()
        self._admission = admission_control.AdmissionControl(ctx, job_states)

    @property
    def max_body_bytes(self) -> int:
        """Return the largest body by the configuration in force."""
        config = self._ctx.config
        configured = config.max_body_bytes if config else 0
        return client_limits.max_body_bytes(configured, self._limits)

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one request."""
        started = context.monotonic()
        response = await self._respond(req, started)
        self._record_metrics(req.method, response.status, started)
        return response

    async def _respond(
        self, req: messages.Request, started: float
    ) -> messages.Response:
        config = self._ctx.config
        if config is None:
            return self._unavailable('no configuration yet')
        queue = config.find_queue(callers.requested_host(req), req.path)
        if queue is None:
            return self._refuse_unknown_queue(req, config, started)
        decision = self._authenticator.decide(
            config,
            queue,
            callers.key_digest(req),
            self._ctx.config_is_current(started),
        )
        if decision.verdict is not access.Verdict.ADMITTED:
            return self._refuse_caller(req, queue, config, decision, started)
        call = _Call(req, queue, decision.organisation, started)
        return await self._route(call)

    def _refuse_unknown_queue(
        self,
        req: messages.Request,
        config: model.Configuration,
        now: float,
    ) -> messages.Response:
        """Return a 404, or a 503 if a newer version may have the queue."""
        self._ctx.log.note(
            'queue_not_found',
            path=req.path[:MAX_LOGGED_PATH_CHARS],
            version=config.version,
            config_age=round(now - self._ctx.config_confirmed_at, 3),
        )
        if not self._ctx.config_is_current(now):
            return self._unavailable('the configuration may be out of date')
        return callers.queue_not_found()

    def _refuse_caller(
        self,
        req: messages.Request,
        queue: model.Queue,
        config: model.Configuration,
        decision: access.Decision,
        now: float,
    ) -> messages.Response:
        """Return a 401, or a 503 if a newer version may have the key."""
        job_id = req.path[len(queue.prefix) :]
        self._log(
            'caller_refused',
            # Anything else may be a key that the caller put in the path.
            job_id if JOB_ID.match(job_id) else '',
            queue=queue.name,
            key_sent=callers.key_digest(req) is not None,
            verdict=decision.verdict.value,
            version=config.version,
            config_age=round(now - self._ctx.config_confirmed_at, 3),
        )
        if decision.verdict is access.Verdict.UNDECIDED:
            return self._unavailable('the configuration may be out of date')
        return callers.key_refused()

    def _record_metrics(
        self, method: str, status: int, started: float
    ) -> None:
        if method not in METHODS:
            method = OTHER_METHOD
        self._ctx.metrics.count('answers', method=method, status=str(status))
        self._ctx.metrics.time(
            f'answer_{method.lower()}', context.monotonic() - started
        )

    async def _route(self, call: _Call) -> messages.Response:
        method = call.req.method
        if method == 'GET' and not call.job_id:
            return self._tell_queue_size(call.queue.name)
        if not JOB_ID.match(call.job_id):
            return callers.bad_request("a job's name has 16 hex digits")
        if method == 'POST':
            return await self._submit(call)
        if method == 'GET':
            return await self._query_state(call)
        if method == 'DELETE':
            return await self._cancel(call)
        return callers.method_not_allowed()

    def _tell_queue_size(self, queue: str) -> messages.Response:
        """Return the number of pending jobs, a 503 if it isn't known yet."""
        loads = self._ctx.ownership.known_loads()
        if loads is None:
            self._ctx.log.note('queue_size_unknown', queue=queue)
            return self._unavailable("the number of jobs isn't known yet")
        load = loads.get(queue)
        return callers.queue_size(load.pending if load else 0)

    async def _submit(self, call: _Call) -> messages.Response:
        try:
            spec = callers.read_job(call.req)
        except exceptions.JobInvalid as exc:
            self._log('job_invalid', call.job_id, error=str(exc)[:200])
            return callers.bad_request(str(exc))
        body = callers.compact_body(call.req)
        submission = records.Submission(
            call.queue.name,
            call.queue.service,
            context.wall_time(),
            body,
            call.organisation,
            queue_records.encode(call.queue),
        )
        rejection = await self._admission.check(
            call.job_id, submission, call.queue, spec
        )
        if rejection is not None:
            return callers.rejected(
                admission_control.describe(rejection), rejection.retry_after
            )
        key = topics.submission_key(call.job_id, call.organisation)
        value = records.encode_submission(submission)
        size = len(store.encode_keyed(key, value))
        if size > self._ctx.cfg.record_bytes:
            self._log('job_too_large', call.job_id, bytes=size)
            return callers.job_too_large()
        outcome = await self._inbox.write([(key, value)], call.deadline)
        self._log(
            f'job_{outcome.value}',
            call.job_id,
            queue=call.queue.name,
            organisation=call.organisation,
            bytes=len(body),
        )
        return self._respond_to_write(outcome)

    async def _query_state(self, call: _Call) -> messages.Response:
        job_id = call.job_id
        try:
            job_state = await self._job_states.query_job_state(
                job_id, call.organisation
            )
        except OwnerUnavailable as exc:
            self._log('state_unknown', job_id, error=str(exc)[:120])
            return self._unavailable("the owner can't be asked")
        if job_state is None:
            self._log('job_not_found', job_id)
            return callers.job_not_found()
        return callers.job_state(job_state.value)

    async def _cancel(self, call: _Call) -> messages.Response:
        key = topics.cancel_key(call.job_id, call.organisation)
        value = topics.encode_cancel(call.organisation)
        outcome = await self._inbox.write([(key, value)], call.deadline)
        self._log(
            f'cancel_{outcome.value}',
            call.job_id,
            organisation=call.organisation,
        )
        if outcome is inbox.Outcome.ACCEPTED and await self._hidden(call):
            return callers.job_not_found()
        return self._respond_to_write(outcome)

    async def _hidden(self, call: _Call) -> bool:
        """Return True if the job provably doesn't exist for the caller.

        The owner ignores the cancellation then; it is written all the same,
        as a job whose acceptance is in doubt may still appear. Without an
        organisation callers have access to all jobs that they can name.
        """
        if not call.organisation or call.queue.public:
            return False
        # Not cancelled at the deadline: the owner may be reading the inbox.
        query = await curio.spawn(self._query_hidden, call, daemon=True)
        async with curio.ignore_after(
            max(call.deadline - context.monotonic(), 0.0)
        ):
            await query.wait()
        return bool(query.terminated and query.result)

    async def _query_hidden(self, call: _Call) -> bool:
        try:
            job_state = await self._job_states.query_job_state(
                call.job_id, call.organisation
            )
        except OwnerUnavailable:
            return False
        if job_state is None:
            self._log('job_not_found', call.job_id)
        return job_state is None

    def _respond_to_write(self, outcome: inbox.Outcome) -> messages.Response:
        """Return the response to a caller whose record was to be written."""
        if outcome is inbox.Outcome.ACCEPTED:
            return callers.accepted()
        if outcome is inbox.Outcome.REFUSED:
            return self._unavailable('the store is away')
        return callers.outcome_unknown()

    def _unavailable(self, reason: str) -> messages.Response:
        """Return a 503: nothing was done; says when and where to retry."""
        ctx = self._ctx
        hint = retry_hints.choose_retry_hint(ctx.isolated, ctx.unready_probes)
        return callers.unavailable(reason, hint.retry_after, hint.elsewhere)

    def _log(self, event: str, job_id: str, **fields: object) -> None:
        self._ctx.log.note(event, job=job_id, **fields)


class ReadinessHandler(server.Handler):
    """Answer the platform's readiness probes."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return 200 if this host can serve callers, else 503."""
        ctx = self._ctx
        now = context.monotonic()
        ok = (
            not ctx.leaving
            and ctx.config is not None
            and ctx.store_available(now)
            and now < ctx.store_answered_at + READY_MAX_STORE_ANSWER_AGE_S
        )
        ctx.unready_probes = 0 if ok else ctx.unready_probes + 1
        return callers.readiness(ok)


class MetricsHandler(server.Handler):
    """Serve the metrics of this host."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return counters, gauges and histograms as text."""
        if req.path != callers.METRICS_PATH:
            return callers.queue_not_found()
        self._update_gauges(context.monotonic())
        return callers.metrics(self._ctx.metrics.render())

    def _update_gauges(self, now: float) -> None:
        """Set the gauges that are computed on request; ages are in s."""
        ctx = self._ctx
        ctx.metrics.gauge('store_answer_age', now - ctx.store_answered_at)
        ctx.metrics.gauge('config_age', now - ctx.config_confirmed_at)
        last_notice_at = ctx.ownership.last_notice_at
        if last_notice_at is not None:
            ctx.metrics.gauge('owner_heard_age', now - last_notice_at)
        ctx.metrics.gauge('is_owner', 1.0 if ctx.ownership.held_epoch else 0.0)
        for outcome, count in ctx.store.calls.items():
            ctx.metrics.gauge('store_calls', count, outcome=outcome)
