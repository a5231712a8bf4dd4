"""Route callers' requests to the homes of their jobs and retry failures.

Any host accepts any request. The job id makes requests idempotent: sending
one again to its home, or to the home's next owner, never starts a job twice.
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
    """Report that a request failed without returning a view of its job.

    `may_have_run` is true if the request may have taken effect nevertheless.
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
        client: home_client.HomeClient,
        owners: directory.ShardDirectory,
        find_owner: FindOwner,
        choose_home: ChooseHome,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._owners = owners
        self._find_owner = find_owner
        self._choose_home = choose_home
        self._rng = rng
        self.retries = 0

    async def submit(
        self,
        spec: work.JobSpec,
        wait: float,
        retry_for: float = 0.0,
        was_accepted: bool = False,
    ) -> view.JobView:
        """Submit a job and wait up to `wait` seconds for its final outcome.

        `spec.job_id` is empty for a request without a key; such a job gets
        another home when one refuses it or can't be reached. Failed attempts
        are retried for RETRY_WINDOW_SECONDS, or for `wait` if that is longer;
        those of a job that may have run for `retry_for` if that is longer
        still. `was_accepted` is true if a home has accepted the job before.
        Raises RequestFailed.
        """
        refused_by: frozenset[places.Shard] = frozenset()
        unreached: frozenset[places.Shard] = frozenset()
        wait_deadline = clock.now() + wait
        retry_deadline = clock.now() + max(wait, RETRY_WINDOW_SECONDS)
        settle_deadline = max(retry_deadline, clock.now() + retry_for)
        if spec.job_id:
            return await self._submit_until_final(
                spec, wait, retry_deadline, settle_deadline, True, was_accepted
            )
        while True:
            placed = await self._assign_home_until(
                wait_deadline, spec, refused_by | unreached
            )
            remaining = max(wait_deadline - clock.now(), 0.0)
            try:
                return await self._submit_until_final(
                    placed, remaining, retry_deadline, settle_deadline, False
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
            # A shard that wasn't reached gets a new owner after a failover.
            unreached = frozenset()
            await curio.sleep(RETRY_PAUSE_SECONDS)

    async def _assign_home_until(
        self,
        wait_deadline: float,
        spec: work.JobSpec,
        tried: frozenset[places.Shard],
    ) -> work.JobSpec:
        """Assign a home to a request; wait until one is known."""
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
        """Assign a home and a job id to a request without a key."""
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
        settle_deadline: float,
        keyed: bool,
        may_have_run: bool = False,
    ) -> view.JobView:
        """Submit a job to its home, then poll it until it is final.

        Returns the latest view after `wait` seconds. A request with a key is
        retried until `retry_deadline`, and until `settle_deadline` if it may
        have had an effect. One without a key is retried here only in the
        latter case; otherwise another home can accept it.
        """
        shard = identity.home_of(spec.job_id)
        wait_deadline = clock.now() + wait
        accepted = False
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
                # The home had accepted the job, so it may have run before
                # the home lost it.
                may_have_run = may_have_run or accepted
                accepted = False
            if failure.kind == FailureKind.UNSETTLED:
                may_have_run = True
            may_have_effect = accepted or may_have_run
            deadline = settle_deadline if may_have_effect else retry_deadline
            if clock.now() >= deadline or not (may_have_effect or keyed):
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
        """Submit a job, or poll its status once its home has accepted it."""
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_make_no_owner_failure(shard))
        if accepted:
            reply = await self._client.status(host, shard, spec.job_id, wait)
        else:
            reply = await self._client.submit(host, shard, spec, wait)
        self._forget_stale_owner(host, shard, reply)
        return reply

    def _forget_stale_owner(
        self, host: str, shard: places.Shard, reply: home_client.ViewResult
    ) -> None:
        """Forget an owner that is unreachable or not the owner any more."""
        if isinstance(reply, result.Err):
            stale = (FailureKind.NOT_OWNER, FailureKind.NOT_DELIVERED)
            if reply.err_value.kind in stale:
                self._owners.remove_owner(shard, host)

    async def status(self, job_id: str, wait: float) -> view.JobView:
        """Return a job's view once it is final, or after `wait` seconds.

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
                lambda host, remaining=remaining: self._client.status(
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
        """Cancel the tasks of a job that have not ended.

        Raises RequestFailed, or identity.BadJobId.
        """
        shard = identity.home_of(job_id)
        return await self._call_owner_with_retries(
            shard,
            job_id,
            lambda host: self._client.cancel(host, shard, job_id),
        )

    async def explain(self, job_id: str) -> view.JobHistory:
        """Return a job's event history.

        Raises RequestFailed, or identity.BadJobId.
        """
        shard = identity.home_of(job_id)
        return await self._call_owner_with_retries(
            shard,
            job_id,
            lambda host: self._client.explain(host, shard, job_id),
        )

    async def _call_owner_with_retries(
        self, shard: places.Shard, job_id: str, call
    ):
        """Call the owner of a shard; retry for RETRY_WINDOW_SECONDS."""
        retry_deadline = clock.now() + RETRY_WINDOW_SECONDS
        while True:
            reply = await self._call_owner(shard, call)
            if isinstance(reply, result.Ok):
                return reply.ok_value
            await self._pause_or_fail(reply.err_value, retry_deadline, job_id)

    async def _call_owner(self, shard: places.Shard, call):
        """Call the known owner of a shard once."""
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_make_no_owner_failure(shard))
        reply = await call(host)
        self._forget_stale_owner(host, shard, reply)
        return reply

    async def _pause_or_fail(
        self, failure: home_client.Failure, retry_deadline: float, job_id: str
    ) -> None:
        """Sleep before the next attempt; raise once no retry may help."""
        final = (FailureKind.REFUSED, FailureKind.UNKNOWN_JOB)
        if failure.kind in final or clock.now() >= retry_deadline:
            raise RequestFailed(failure, True, job_id)
        self.retries += 1
        await curio.sleep(RETRY_PAUSE_SECONDS)


def _may_reroute(failure: home_client.Failure) -> bool:
    """Return whether another home may accept the rejected request."""
    if failure.kind != FailureKind.REFUSED:
        return True
    return failure.reason in REROUTABLE_REASONS


def _make_no_owner_failure(shard: places.Shard) -> home_client.Failure:
    detail = f'no owner of shard {shard} is known yet; ask again'
    return home_client.Failure(
        FailureKind.NOT_DELIVERED, 'no_owner', detail, 1.0
    )
