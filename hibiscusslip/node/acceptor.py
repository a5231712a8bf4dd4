"""Take requests from callers and see each one through at its home.

Any host accepts any request. A request is known by its job id, so that
asking a home again, or its successor, never starts anything twice.
"""

import collections.abc
import random

import curio
import result

from hibiscusslip.jobs import identity
from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import home_client
from hibiscusslip.routing import directory

FailureKind = home_client.FailureKind

RETRY_WINDOW_SECONDS = 5.0
RETRY_PAUSE_SECONDS = 0.1
MAX_RETRY_PAUSE_SECONDS = 1.0
MAX_CALL_WAIT_SECONDS = 30.0
REROUTABLE_REASONS = ('policy:impossible', 'policy:queue_full', 'TooManyJobs')

FindOwner = collections.abc.Callable[[places.Shard], str | None]
ChooseHome = collections.abc.Callable[
    [work.JobSpec, frozenset[places.Shard]], places.Shard | None
]


class RequestFailed(Exception):
    """Raise for a request that got no view of its job.

    `maybe_run` tells whether it may have had an effect all the same.
    """

    def __init__(
        self, failure: home_client.Failure, may_have_run: bool, job_id: str
    ) -> None:
        super().__init__(failure.detail)
        self.failure = failure
        self.may_have_run = may_have_run
        self.job_id = job_id


class Acceptor:
    """Route requests to the homes of their jobs."""

    def __init__(
        self,
        calls: home_client.HomeClient,
        owners: directory.ShardDirectory,
        find_owner: FindOwner,
        choose_home: ChooseHome,
        rng: random.Random,
    ) -> None:
        self._calls = calls
        self._owners = owners
        self._find_owner = find_owner
        self._choose_home = choose_home
        self._rng = rng
        self.retries = 0

    async def submit(self, spec: work.JobSpec, wait: float) -> view.JobView:
        """See a request through; return its job after `wait` s at most.

        `spec.job_id` is empty for a request without a key. Raises
        RequestFailed.
        """
        refused_by: frozenset[places.Shard] = frozenset()
        unreached: frozenset[places.Shard] = frozenset()
        wait_deadline = clock.now() + wait
        retry_deadline = clock.now() + max(wait, RETRY_WINDOW_SECONDS)
        if spec.job_id:
            return await self._submit_until_final(
                spec, wait, retry_deadline, True
            )
        while True:
            placed = await self._assign_home_until(
                wait_deadline, spec, refused_by | unreached
            )
            remaining = max(wait_deadline - clock.now(), 0.0)
            try:
                return await self._submit_until_final(
                    placed, remaining, retry_deadline, False
                )
            except RequestFailed as exc:
                if exc.may_have_run or clock.now() >= retry_deadline:
                    raise
                if not _may_reroute(exc.failure):
                    raise
                failed = exc
            attempted = frozenset({identity.home_of(placed.job_id)})
            if failed.failure.kind == FailureKind.REFUSED:
                refused_by |= attempted
            else:
                unreached |= attempted
            self.retries += 1
            if self._choose_home(spec, refused_by | unreached) is not None:
                continue
            if not unreached or clock.now() >= wait_deadline:
                raise failed
            # Owners change: a home that wasn't reached soon has another.
            unreached = frozenset()
            await curio.sleep(RETRY_PAUSE_SECONDS)

    async def _assign_home_until(
        self,
        wait_deadline: float,
        spec: work.JobSpec,
        tried: frozenset[places.Shard],
    ) -> work.JobSpec:
        """Give a request a home, as soon as one is known."""
        while True:
            try:
                return self._assign_home(spec, tried)
            except RequestFailed:
                if clock.now() >= wait_deadline:
                    raise
            await curio.sleep(RETRY_PAUSE_SECONDS)

    def _assign_home(
        self, spec: work.JobSpec, tried: frozenset[places.Shard]
    ) -> work.JobSpec:
        """Give a request without a key a home and an id."""
        shard = self._choose_home(spec, tried)
        if shard is None:
            detail = 'no host that could run it is reachable; ask again later'
            raise RequestFailed(
                home_client.Failure(
                    FailureKind.NOT_DELIVERED, 'no_home', detail, 1.0
                ),
                False,
                '',
            )
        token = f'{self._rng.getrandbits(64):016x}'
        return work.with_id(spec, identity.fresh_id(shard, token))

    async def _submit_until_final(
        self,
        spec: work.JobSpec,
        wait: float,
        retry_deadline: float,
        keyed: bool,
    ) -> view.JobView:
        """Ask the home until the job has ended or the time is over."""
        shard = identity.home_of(spec.job_id)
        wait_deadline = clock.now() + wait
        accepted = may_have_run = False
        pause = RETRY_PAUSE_SECONDS
        while True:
            remaining = min(
                max(wait_deadline - clock.now(), 0.0), MAX_CALL_WAIT_SECONDS
            )
            reply = await self._submit_or_poll(
                shard, spec, remaining, accepted
            )
            if isinstance(reply, result.Ok):
                job = reply.ok_value
                accepted = True
                if job.outcome.final or clock.now() >= wait_deadline:
                    return job
                continue
            failure = reply.err_value
            if failure.kind == FailureKind.REFUSED:
                raise RequestFailed(failure, may_have_run, spec.job_id)
            if failure.kind == FailureKind.UNKNOWN_JOB:
                # Its home had it, so it may have run before it was lost.
                may_have_run = may_have_run or accepted
                accepted = False
            if failure.kind == FailureKind.UNSETTLED:
                may_have_run = True
            may_have_effect = accepted or may_have_run
            if clock.now() >= retry_deadline or not (may_have_effect or keyed):
                raise RequestFailed(failure, may_have_effect, spec.job_id)
            self.retries += 1
            await curio.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_PAUSE_SECONDS)

    async def _submit_or_poll(
        self,
        shard: places.Shard,
        spec: work.JobSpec,
        wait: float,
        accepted: bool,
    ) -> home_client.ViewResult:
        """Submit a job, or ask after it once its home has it."""
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_make_no_owner_failure(shard))
        if accepted:
            reply = await self._calls.status(host, shard, spec.job_id, wait)
        else:
            reply = await self._calls.submit(host, shard, spec, wait)
        self._forget_stale_owner(host, shard, reply)
        return reply

    def _forget_stale_owner(
        self, host: str, shard: places.Shard, reply: home_client.ViewResult
    ) -> None:
        """Forget an owner that turned out not to be one."""
        if isinstance(reply, result.Err):
            stale = (FailureKind.NOT_OWNER, FailureKind.NOT_DELIVERED)
            if reply.err_value.kind in stale:
                self._owners.lost(shard, host)

    async def status(self, job_id: str, wait: float) -> view.JobView:
        """Return how a job stands after `wait` s at most.

        Raises RequestFailed, or identity.BadJobId.
        """
        shard = identity.home_of(job_id)
        wait_deadline = clock.now() + wait
        retry_deadline = clock.now() + max(wait, RETRY_WINDOW_SECONDS)
        while True:
            remaining = min(
                max(wait_deadline - clock.now(), 0.0), MAX_CALL_WAIT_SECONDS
            )
            reply = await self._call_owner(
                shard,
                lambda host, remaining=remaining: self._calls.status(
                    host, shard, job_id, remaining
                ),
            )
            if isinstance(reply, result.Ok):
                job = reply.ok_value
                if job.outcome.final or clock.now() >= wait_deadline:
                    return job
                continue
            await self._pause_or_fail(reply.err_value, retry_deadline, job_id)

    async def cancel(self, job_id: str) -> view.JobView:
        """Cancel what has not ended of a job."""
        shard = identity.home_of(job_id)
        return await self._call_owner_with_retries(
            shard,
            job_id,
            lambda host: self._calls.cancel(host, shard, job_id),
        )

    async def explain(self, job_id: str) -> view.JobHistory:
        """Return a job's history."""
        shard = identity.home_of(job_id)
        return await self._call_owner_with_retries(
            shard,
            job_id,
            lambda host: self._calls.explain(host, shard, job_id),
        )

    async def _call_owner_with_retries(
        self, shard: places.Shard, job_id: str, call
    ):
        """Have the home's owner answer, within the patience."""
        retry_deadline = clock.now() + RETRY_WINDOW_SECONDS
        while True:
            reply = await self._call_owner(shard, call)
            if isinstance(reply, result.Ok):
                return reply.ok_value
            await self._pause_or_fail(reply.err_value, retry_deadline, job_id)

    async def _call_owner(self, shard: places.Shard, call):
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_make_no_owner_failure(shard))
        reply = await call(host)
        self._forget_stale_owner(host, shard, reply)
        return reply

    async def _pause_or_fail(
        self, failure: home_client.Failure, retry_deadline: float, job_id: str
    ) -> None:
        final = (FailureKind.REFUSED, FailureKind.UNKNOWN_JOB)
        if failure.kind in final or clock.now() >= retry_deadline:
            raise RequestFailed(failure, True, job_id)
        self.retries += 1
        await curio.sleep(RETRY_PAUSE_SECONDS)


def _may_reroute(failure: home_client.Failure) -> bool:
    """Tell whether another home may take what one did not."""
    if failure.kind != FailureKind.REFUSED:
        return True
    return failure.reason in REROUTABLE_REASONS


def _make_no_owner_failure(shard: places.Shard) -> home_client.Failure:
    detail = f'no owner of shard {shard} is known yet; ask again'
    return home_client.Failure(
        FailureKind.NOT_DELIVERED, 'no_owner', detail, 1.0
    )
