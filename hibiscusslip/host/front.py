"""Answer callers: take jobs, tell their state, cancel them."""

import abc
import re

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import refusing
from hibiscusslip.host import topics
from hibiscusslip.http import messages
from hibiscusslip.http import server
from hibiscusslip.platform import callers
from hibiscusslip.platform import exceptions

ANSWER_RESERVE_S = 0.05
READY_PATIENCE_S = 0.75  # shorter than for refusing: unready costs little
IDENT = re.compile(r'[0-9a-f]{16}\Z')


class Cell(abc.ABC):
    """Ask the owner of the cell, wherever it is."""

    @abc.abstractmethod
    async def query_job_state(self, ident: str) -> model.JobState | None:
        """Return a job's state, None when it surely doesn't exist.

        Raises OwnerUnknown when that can't be told now.
        """


class OwnerUnavailable(Exception):
    """Raise when the owner can't be asked; try again in a moment."""


class Front(server.Handler):
    """Handle the requests of callers."""

    def __init__(
        self, ctx: context.Context, cell: Cell, box: inbox.Inbox
    ) -> None:
        self._ctx = ctx
        self._cell = cell
        self._inbox = box

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one request."""
        started = context.steady()
        config = self._ctx.config
        if config is None:
            return self._unavailable('no configuration yet')
        queue = config.find_queue(callers.host_of(req), req.path)
        if queue is None:
            return callers.no_queue()
        ident = req.path[len(queue.prefix) :]
        response = await self._route(req, queue, ident, started)
        self._count(req.method, response.status, started)
        return response

    def _count(self, method: str, status: int, started: float) -> None:
        self._ctx.metrics.count('answers', method=method, status=str(status))
        self._ctx.metrics.time(
            f'answer_{method.lower()}', context.steady() - started
        )

    async def _route(
        self,
        req: messages.Request,
        queue: model.Queue,
        ident: str,
        started: float,
    ) -> messages.Response:
        if req.method == 'GET' and not ident:
            return callers.queue_size(self._pending(queue.name))
        if not IDENT.match(ident):
            return callers.bad_request("a job's name has 16 hex digits")
        deadline = started + callers.patience(req) - ANSWER_RESERVE_S
        if req.method == 'POST':
            return await self._submit(req, queue, ident, deadline)
        if req.method == 'GET':
            return await self._show(ident)
        if req.method == 'DELETE':
            return await self._cancel(ident, deadline)
        return callers.bad_method()

    def _pending(self, queue: str) -> int:
        owner = self._ctx.ownership.owner
        load = owner.loads.get(queue) if owner else None
        return load.pending if load else 0

    async def _submit(
        self,
        req: messages.Request,
        queue: model.Queue,
        ident: str,
        deadline: float,
    ) -> messages.Response:
        try:
            callers.read_job(req)
        except exceptions.RequestInvalid as exc:
            self._note('job_invalid', ident, error=str(exc)[:200])
            return callers.bad_request(str(exc))
        submission = records.Submission(
            queue.name, queue.service, context.wall(), req.body
        )
        value = records.encode_submission(submission)
        outcome = await self._inbox.write([(ident, value)], deadline)
        self._note(
            f'job_{outcome.value}',
            ident,
            queue=queue.name,
            bytes=len(req.body),
        )
        return self._written(outcome)

    async def _show(self, ident: str) -> messages.Response:
        try:
            found = await self._cell.query_job_state(ident)
        except OwnerUnavailable as exc:
            self._note('state_unknown', ident, error=str(exc)[:120])
            return self._unavailable("the owner can't be asked")
        if found is None:
            self._note('job_not_found', ident)
            return callers.gone()
        return callers.job_state(found.value)

    async def _cancel(self, ident: str, deadline: float) -> messages.Response:
        key = f'{topics.CANCEL_PREFIX}{ident}'
        outcome = await self._inbox.write([(key, b'1')], deadline)
        self._note(f'cancel_{outcome.value}', ident)
        return self._written(outcome)

    def _written(self, outcome: inbox.Outcome) -> messages.Response:
        """Return what a caller is told of a record that it handed in."""
        if outcome is inbox.Outcome.ACCEPTED:
            return callers.accepted()
        if outcome is inbox.Outcome.REFUSED:
            return self._unavailable('the store is away')
        return callers.in_doubt()

    def _unavailable(self, reason: str) -> messages.Response:
        """Tell that nothing was done, and when and where to try again."""
        ctx = self._ctx
        told = refusing.advise(ctx.cut_off, ctx.found_unready)
        return callers.unavailable(reason, told.retry_after, told.elsewhere)

    def _note(self, event: str, ident: str, **fields: object) -> None:
        self._ctx.log.note(event, job=ident, **fields)


class Ready(server.Handler):
    """Tell the platform whether this host should get connections."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return 200 while callers are served well here."""
        ctx = self._ctx
        now = context.steady()
        ok = (
            not ctx.leaving
            and ctx.config is not None
            and ctx.store_ok(now)
            and now < ctx.store_answered + READY_PATIENCE_S
        )
        ctx.found_unready = 0 if ok else ctx.found_unready + 1
        return callers.readiness(ok)


class Telling(server.Handler):
    """Tell the metrics of this host."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return counters, gauges and histograms as text."""
        if req.path != callers.METRICS_PATH:
            return callers.no_queue()
        self._gauge_ages(context.steady())
        return callers.metrics(self._ctx.metrics.render())

    def _gauge_ages(self, now: float) -> None:
        """Set the gauges that tell how old beliefs are, in seconds."""
        ctx = self._ctx
        ctx.metrics.gauge('store_answer_age', now - ctx.store_answered)
        heard = ctx.ownership.heard
        if heard is not None:
            ctx.metrics.gauge('owner_heard_age', now - heard)
        ctx.metrics.gauge('is_owner', 1.0 if ctx.ownership.held else 0.0)
        for outcome, count in ctx.store.calls.items():
            ctx.metrics.gauge('store_calls', count, outcome=outcome)
